package callerconn

import (
	"context"
	"net"
	"sync"
	"time"

	"azurehitch"
	"azurehitch/internal/transport/retryaccept"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

const (
	// idleGrace is how long an idle connection stays open after CloseIdle, for a request that is on its way.
	idleGrace = 50 * time.Millisecond
	// unusedGrace is that time for a connection without a request so far: one is surely on its way.
	unusedGrace = 250 * time.Millisecond
)

// Listener returns connections that can be passed to Watch, and closes them.
type Listener struct {
	net.Listener
	clock    azurehitch.Clock
	onClosed Observer
	close    func() error
	// maxConns is the number of open connections from which on idle ones are closed; 0 sets no bound.
	maxConns int

	mu        sync.Mutex
	isClosing bool
	conns     map[*conn]struct{}
	// accepting is the number of calls of Accept in progress. They may return a connection that arrived
	// before the listener was closed.
	accepting int
	// closeEmpty closes empty once CloseIdle has been called, and no connection is open or being accepted.
	empty      chan struct{}
	closeEmpty func()
}

// Listen returns a Listener that reports to onClosed the connections that are closed without an answer, or
// can't be accepted.
func Listen(l net.Listener, clock azurehitch.Clock, onClosed Observer) *Listener {
	onFailure := func(err error) { onClosed(Closure{Loss: LossUnaccepted, Cause: err}) }
	empty := make(chan struct{})
	return &Listener{
		Listener: retryaccept.Listen(l, clock, onFailure), clock: clock, onClosed: onClosed, close: sync.OnceValue(l.Close),
		conns: map[*conn]struct{}{}, empty: empty, closeEmpty: sync.OnceFunc(func() { close(empty) }),
	}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	l.countAccepting(1)
	accepted, err := l.Listener.Accept()
	defer l.countAccepting(-1)
	if err != nil {
		return nil, err
	}
	limitBuffers(accepted)
	now := l.clock.Now()
	c := &conn{Conn: accepted, listener: l, isIdle: true, acceptedAt: now, idleSince: now}
	l.add(c)
	return c, nil
}

// countAccepting counts the calls of Accept in progress.
func (l *Listener) countAccepting(change int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.accepting += change
	l.checkEmpty()
}

func (l *Listener) add(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = struct{}{}
	if l.isClosing {
		c.expire(l.clock.Now())
		return
	}
	l.closeSurplus(c)
}

// checkEmpty closes empty if no connection is open any more, or will be. The caller holds l.mu.
func (l *Listener) checkEmpty() {
	if l.isClosing && l.accepting == 0 && len(l.conns) == 0 {
		l.closeEmpty()
	}
}

// Close implements net.Listener. Further calls return the result of the first.
func (l *Listener) Close() error { return l.close() }

// CloseIdle closes the listener and, after a short time, the connections that are idle or become so.
func (l *Listener) CloseIdle() error {
	err := l.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.isClosing = true
	l.checkEmpty()
	for c := range l.conns {
		c.expire(l.clock.Now())
	}
	return errors.Wrap(err, "close listener")
}

// Wait waits after CloseIdle until no connection is open or being accepted.
func (l *Listener) Wait(ctx context.Context) error {
	select {
	case <-l.empty:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Shutdown closes the listener, and each connection once it is idle, and then shuts the server down that
// has the connections. A server without a listener has nothing to close.
func (l *Listener) Shutdown(ctx context.Context, server *fasthttp.Server) error {
	if l == nil {
		return nil
	}
	if err := l.CloseIdle(); err != nil {
		return err
	}
	if err := l.Wait(ctx); err != nil {
		return err
	}
	return server.ShutdownWithContext(ctx)
}

// observe reports a connection that is being closed to the Observer.
func (l *Listener) observe(c *conn) {
	c.mu.Lock()
	closure := c.closure(l.clock.Now())
	// Further calls of Close lose nothing.
	c.unanswered, c.expiresAt, c.isStuck, c.isSurplus = 0, time.Time{}, false, false
	c.mu.Unlock()
	if closure.Loss != lossNone {
		closure.Caller = c.RemoteAddr().String()
		l.onClosed(closure)
	}
}

func (l *Listener) remove(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
	l.checkEmpty()
}

// StateChanged is the fasthttp.Server.ConnState of a server whose listener is a Listener.
func StateChanged(c net.Conn, state fasthttp.ConnState) {
	idle, ok := c.(*conn)
	if !ok || state != fasthttp.StateIdle {
		return
	}
	idle.setIdle(idle.listener.clock.Now())
	idle.listener.expireIfClosing(idle)
}

func (l *Listener) expireIfClosing(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.isClosing {
		c.expire(l.clock.Now())
	}
}
