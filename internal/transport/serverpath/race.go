package serverpath

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
)

// dialed is the outcome of a dial.
type dialed struct {
	conn net.Conn
	err  error
}

// race dials a server directly, and also through another daemon if that fails or takes longer than
// indirectDelay. It returns the first connection and closes the other one.
func (d *Dialer) race(ctx context.Context, address string) (net.Conn, error) {
	r := &race{Dialer: d, address: address, direct: make(chan dialed, 1), indirect: make(chan dialed, 1)}
	ctx, cancel := context.WithCancel(ctx)
	r.group.Go(func() error {
		conn, err := d.dialDirect(ctx, address)
		r.direct <- dialed{conn, err}
		return nil
	})
	conn, err := r.await(ctx)
	cancel()
	r.closeOthers(conn)
	return conn, err
}

// race is a race between the two ways to a server.
type race struct {
	*Dialer
	address string
	group   errgroup.Group
	// direct and indirect receive the outcomes. directErr is that of the direct dial; nil while it has not
	// failed.
	direct    chan dialed
	indirect  chan dialed
	directErr error
}

// await returns the first connection. The error is that of the direct dial, unless another daemon knows
// that the server refuses connections.
func (r *race) await(ctx context.Context) (net.Conn, error) {
	timer := time.NewTimer(indirectDelay)
	defer timer.Stop()
	select {
	case result := <-r.direct:
		if result.err == nil || ctx.Err() != nil {
			return result.conn, result.err
		}
		r.directErr = result.err
	case <-timer.C:
	}
	r.group.Go(func() error {
		conn, err := r.Indirect.Dial(ctx, r.address)
		r.indirect <- dialed{conn, err}
		return nil
	})
	return r.awaitBoth()
}

// awaitBoth waits while both dials are in progress, or the second one after the first has failed.
func (r *race) awaitBoth() (net.Conn, error) {
	var indirectErr error
	for r.directErr == nil || indirectErr == nil {
		select {
		case result := <-r.direct:
			if result.err == nil {
				return result.conn, nil
			}
			r.directErr = result.err
		case result := <-r.indirect:
			if result.err == nil {
				r.blocked(r.address, r.cause())
				return result.conn, nil
			}
			indirectErr = result.err
		}
	}
	r.Doubt()
	if errors.Is(indirectErr, syscall.ECONNREFUSED) {
		return nil, indirectErr
	}
	return nil, r.directErr
}

// cause returns why the direct dial has opened no connection.
func (r *race) cause() error {
	if r.directErr != nil {
		return r.directErr
	}
	return errSlow
}

// closeOthers closes the connection that was opened beside the one that is used. A dial that was canceled
// ends at once, but may have succeeded before.
func (r *race) closeOthers(used net.Conn) {
	// The functions of the group return nil.
	_ = r.group.Wait()
	for _, results := range []chan dialed{r.direct, r.indirect} {
		select {
		case result := <-results:
			if result.conn != nil && result.conn != used {
				result.conn.Close()
			}
		default:
		}
	}
}
