package callerconn_test

import (
	"context"
	"net"
	"testing"
	"time"

	"azurehitch"
	"azurehitch/internal/transport/callerconn"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"
)

// lateListener returns one connection once it is closed, as a listener does that is closed while it accepts.
type lateListener struct {
	net.Listener
	conn   chan net.Conn
	closed chan struct{}
}

// Accept implements net.Listener.
func (l *lateListener) Accept() (net.Conn, error) {
	if conn, ok := <-l.conn; ok {
		return conn, nil
	}
	return nil, net.ErrClosed
}

// Close implements net.Listener.
func (l *lateListener) Close() error {
	close(l.closed)
	return nil
}

// TestConnectionAcceptedAsListenerCloses guards against a daemon that ends with a panic in a planned stop, or
// stops before it has handled the request of a connection that was accepted as its listener closed.
func TestConnectionAcceptedAsListenerCloses(t *testing.T) {
	c := qt.New(t)
	inner := &lateListener{conn: make(chan net.Conn), closed: make(chan struct{})}
	listener := callerconn.Listen(inner, azurehitch.SystemClock{}, func(callerconn.Closure) {})
	accepted := make(chan net.Conn, 1)
	var group errgroup.Group
	group.Go(func() error {
		conn, err := listener.Accept()
		accepted <- conn
		return err
	})
	// The listener is asked for a connection by now.
	c.Assert(azurehitch.SystemClock{}.Sleep(t.Context(), 50*time.Millisecond), qt.IsNil)
	c.Assert(listener.CloseIdle(), qt.IsNil)
	<-inner.closed
	c.Check(isDone(listener), qt.IsFalse, qt.Commentf("before the accept has ended"))
	caller, conn := net.Pipe()
	defer caller.Close()
	inner.conn <- conn
	close(inner.conn)
	c.Assert(group.Wait(), qt.IsNil)
	last := <-accepted
	c.Check(isDone(listener), qt.IsFalse, qt.Commentf("before the connection is closed"))
	c.Assert(last.Close(), qt.IsNil)
	c.Assert(isDone(listener), qt.IsTrue)
	_, err := listener.Accept()
	c.Assert(err, qt.ErrorIs, net.ErrClosed)
	c.Assert(isDone(listener), qt.IsTrue)
}

// isDone reports whether the connections of a listener are closed for good.
func isDone(listener *callerconn.Listener) bool {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	return listener.Wait(ctx) == nil
}
