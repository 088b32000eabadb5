// Package serverlink stands in for the network between one daemon and all backend servers. It can be cut
// while callers, the platform's store and other daemons still reach the daemon.
//
// # Usage
//
//	link, err := serverlink.New(connpool.DirectDialer{})
//	defer link.Close()
//	pool.WithDialer(link)
//	link.Set(serverlink.Hanging)
//	link.Set(serverlink.Up)
//
// The daemon has a real TCP connection to a relay, and the relay has one to the server. A link that is up
// again delivers what a connection held back, as TCP does.
package serverlink

import (
	"context"
	"net"
	"os"
	"sync"
	"syscall"

	"azurehitch/internal/transport/connpool"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
)

// State is the state of a link.
type State string

// The states of links.
const (
	Up State = "Up"
	// Hanging makes open connections silent in both directions, and dials hang.
	Hanging State = "Hanging"
	// Reset resets open connections, and refuses dials.
	Reset State = "Reset"
	// Refused refuses dials. Open connections live on.
	Refused State = "Refused"
	// OneWay delivers requests on open connections, but no answers, and dials hang.
	OneWay State = "OneWay"
)

// hangsDials reports whether dials hang.
func (s State) hangsDials() bool { return s == Hanging || s == OneWay }

// refusesDials reports whether dials are refused.
func (s State) refusesDials() bool { return s == Reset || s == Refused }

// Link relays the connections of one daemon to backend servers. It implements connpool.Dialer.
type Link struct {
	dialer    connpool.Dialer
	listener  net.Listener
	blackHole *blackHole
	group     errgroup.Group
	// pairing is held while a connection to the relay is opened.
	pairing sync.Mutex

	mu       sync.Mutex
	changed  *sync.Cond
	state    State
	isClosed bool
	relays   map[*relay]bool
}

// New returns a link that is up.
func New(dialer connpool.Dialer) (*Link, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen for the relay")
	}
	hole, err := newBlackHole()
	if err != nil {
		return nil, err
	}
	l := &Link{dialer: dialer, listener: listener, blackHole: hole, state: Up, relays: map[*relay]bool{}}
	l.changed = sync.NewCond(&l.mu)
	return l, nil
}

// Dial implements connpool.Dialer.
func (l *Link) Dial(ctx context.Context, address string) (net.Conn, error) {
	switch state := l.State(); {
	case state.hangsDials():
		return l.dialer.Dial(ctx, l.blackHole.address())
	case state.refusesDials():
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}
	}
	server, err := l.dialer.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	daemon, relayed, err := l.pair(ctx)
	if err != nil {
		return nil, errors.Wrap(err, "connect to the relay")
	}
	l.start(&relay{link: l, daemon: relayed, server: server})
	return daemon, nil
}

// pair opens a connection to the relay, and returns both of its ends.
func (l *Link) pair(ctx context.Context) (daemon, relayed net.Conn, err error) {
	l.pairing.Lock()
	defer l.pairing.Unlock()
	if daemon, err = l.dialer.Dial(ctx, l.listener.Addr().String()); err != nil {
		return nil, nil, err
	}
	if relayed, err = l.listener.Accept(); err != nil {
		return nil, nil, err
	}
	return daemon, relayed, nil
}

// start relays a connection in the background.
func (l *Link) start(r *relay) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.isClosed || l.state == Reset {
		r.reset()
		return
	}
	l.relays[r] = true
	l.group.Go(func() error {
		r.run()
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.relays, r)
		return nil
	})
}

// State returns the state of the link.
func (l *Link) State() State {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state
}

// Set changes the state of the link.
func (l *Link) Set(state State) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state = state
	if state == Reset {
		l.resetAll()
	}
	l.changed.Broadcast()
}

func (l *Link) resetAll() {
	for r := range l.relays {
		r.reset()
	}
}

// Close resets all connections and frees the ports of the link.
func (l *Link) Close() error {
	l.mu.Lock()
	l.isClosed = true
	l.resetAll()
	l.changed.Broadcast()
	l.mu.Unlock()
	err := errors.Wrap(l.listener.Close(), "close the relay")
	// The relays return no errors.
	_ = l.group.Wait()
	if holeErr := l.blackHole.close(); err == nil {
		err = holeErr
	}
	return err
}

// awaitDelivery waits until the link delivers in a direction. It returns false when the link is closed.
func (l *Link) awaitDelivery(d direction) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for !l.isClosed && !d.isDelivered(l.state) {
		l.changed.Wait()
	}
	return !l.isClosed
}
