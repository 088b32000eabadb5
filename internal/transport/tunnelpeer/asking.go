package tunnelpeer

import (
	"context"
	"net"
	"slices"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
)

// asking asks daemons for one tunnel.
type asking struct {
	*Client
	server  string
	group   errgroup.Group
	results chan result
	// waiting are the daemons whose answer is awaited.
	waiting []Peer
	last    error
	// unreached are the daemons that have not reached the server.
	unreached []Peer
}

// result is the answer of a daemon.
type result struct {
	peer Peer
	conn net.Conn
	err  error
}

// await asks the daemons in order, and returns the first tunnel or the last error.
func (a *asking) await(ctx context.Context, peers []Peer) (net.Conn, error) {
	for len(peers) > 0 || len(a.waiting) > 0 {
		if len(peers) > 0 {
			a.ask(ctx, peers[0])
			peers = peers[1:]
		}
		if conn := a.awaitAnswer(ctx, len(peers) > 0); conn != nil {
			a.rejectAll(a.unreached)
			a.rejectAll(a.waiting)
			return conn, nil
		}
		if ctx.Err() != nil {
			break
		}
		if a.hasFailedEnough() {
			peers = nil
		}
	}
	return nil, a.failure(ctx)
}

// hasFailedEnough reports whether so many daemons have not reached the server that no further one is asked.
func (a *asking) hasFailedEnough() bool { return len(a.unreached) >= maxUnreached }

// ask asks a daemon in the background.
func (a *asking) ask(ctx context.Context, peer Peer) {
	a.waiting = append(a.waiting, peer)
	a.group.Go(func() error {
		conn, err := a.openThrough(ctx, peer, a.server)
		a.results <- result{peer: peer, conn: conn, err: err}
		return nil
	})
}

// awaitAnswer waits for the next answer, and if another daemon can be asked, at most for nextPeerDelay. It returns nil
// if there is no tunnel yet.
func (a *asking) awaitAnswer(ctx context.Context, hasNext bool) net.Conn {
	var next <-chan time.Time
	if hasNext {
		timer := time.NewTimer(nextPeerDelay)
		defer timer.Stop()
		next = timer.C
	}
	select {
	case r := <-a.results:
		a.add(r)
		return r.conn
	case <-next:
	case <-ctx.Done():
	}
	return nil
}

// add records the answer of a daemon.
func (a *asking) add(r result) {
	a.waiting = slices.DeleteFunc(a.waiting, func(p Peer) bool { return p.Name == r.peer.Name })
	if r.err == nil {
		return
	}
	a.last = r.err
	var failed *ErrTunnel
	if errors.As(r.err, &failed) && failed.IsServerFault() {
		a.unreached = append(a.unreached, r.peer)
	}
}

// failure returns the error for the caller.
func (a *asking) failure(ctx context.Context) error {
	switch {
	case a.last != nil:
		return a.last
	case ctx.Err() != nil:
		return ctx.Err()
	}
	return errNoPeer
}

// closeOthers closes the tunnels that were opened beside the one that is used. Daemons that were asked for
// them no longer answer, but may have before.
func (a *asking) closeOthers(used net.Conn) {
	// The functions of the group return nil.
	_ = a.group.Wait()
	for {
		select {
		case r := <-a.results:
			if r.conn != nil && r.conn != used {
				r.conn.Close()
			}
		default:
			return
		}
	}
}
