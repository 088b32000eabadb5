package soak_test

import (
	"net"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

// linkState is what a relay does with the bytes of its connections.
type linkState string

const (
	linkPasses linkState = "Passes"
	// linkSilent keeps connections open and passes nothing.
	linkSilent linkState = "Silent"
	// linkOneWay passes what goes to the target and nothing that comes back.
	linkOneWay linkState = "OneWay"
	// linkRefuses resets connections, also new ones.
	linkRefuses linkState = "Refuses"
	linkDelays  linkState = "Delays"
)

const (
	linkDelay       = 150 * time.Millisecond
	relayBufferSize = 16 << 10
	dialTimeout     = time.Second
)

// link relays connections to a target, and can be disturbed.
type link struct {
	listener net.Listener
	group    errgroup.Group

	mu      sync.Mutex
	changed *sync.Cond
	target  string
	state   linkState
	conns   map[*relayed]bool
	closed  bool
}

// relayed is one connection through a link.
type relayed struct {
	caller, target net.Conn
	// dead connections pass nothing any more, and stay open.
	dead bool
}

func newLink(address, target string) (*link, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	l := &link{listener: listener, target: target, state: linkPasses, conns: map[*relayed]bool{}}
	l.changed = sync.NewCond(&l.mu)
	l.group.Go(func() error {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return nil
			}
			l.group.Go(func() error {
				l.relay(conn)
				return nil
			})
		}
	})
	return l, nil
}

func (l *link) address() string { return l.listener.Addr().String() }

// set changes what the link does. Connections of a link that refuses are reset.
func (l *link) set(state linkState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state = state
	if state == linkRefuses {
		l.resetOpen()
	}
	l.changed.Broadcast()
}

// retarget leads new connections elsewhere and resets the open ones.
func (l *link) retarget(target string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.target = target
	l.resetOpen()
}

// reset resets the open connections.
func (l *link) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.resetOpen()
}

func (l *link) resetOpen() {
	for r := range l.conns {
		abort(r.caller)
		abort(r.target)
	}
}

// deaden silences the open connections for good; new ones work.
func (l *link) deaden() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for r := range l.conns {
		r.dead = true
	}
}

// abort closes a connection so that its peer sees a reset.
func abort(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		// The connection is closed in any case.
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

func (l *link) close() {
	l.mu.Lock()
	l.closed = true
	l.resetOpen()
	l.changed.Broadcast()
	l.mu.Unlock()
	_ = l.listener.Close()
	// The relays return no error.
	_ = l.group.Wait()
}

func (l *link) relay(caller net.Conn) {
	l.mu.Lock()
	target, state := l.target, l.state
	l.mu.Unlock()
	if state == linkRefuses {
		abort(caller)
		return
	}
	conn, err := net.DialTimeout("tcp", target, dialTimeout)
	if err != nil {
		abort(caller)
		return
	}
	r := &relayed{caller: caller, target: conn}
	l.mu.Lock()
	l.conns[r] = true
	l.mu.Unlock()
	var group errgroup.Group
	group.Go(func() error {
		l.copy(r, caller, conn, linkSilent)
		return nil
	})
	group.Go(func() error {
		l.copy(r, conn, caller, linkSilent, linkOneWay)
		return nil
	})
	_ = group.Wait()
	l.mu.Lock()
	delete(l.conns, r)
	l.mu.Unlock()
}

// copy passes bytes on while the link is in none of the states that hold them. When one
// side ends, so does the other.
func (l *link) copy(r *relayed, from, to net.Conn, held ...linkState) {
	defer to.Close()
	defer from.Close()
	buffer := make([]byte, relayBufferSize)
	for {
		n, err := from.Read(buffer)
		if n > 0 && !l.awaitPassing(r, held) {
			return
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			// The end of a silent connection doesn't show either.
			l.awaitPassing(r, held)
			return
		}
	}
}

// awaitPassing waits until the link passes bytes on. It returns false when it is closed.
func (l *link) awaitPassing(r *relayed, held []linkState) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.state == linkDelays {
		l.mu.Unlock()
		time.Sleep(linkDelay)
		l.mu.Lock()
	}
	for !l.closed && (r.dead || slices.Contains(held, l.state)) {
		l.changed.Wait()
	}
	return !l.closed
}
