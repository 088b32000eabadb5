package callerconn_test

import (
	"context"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"azurehitch"
	"azurehitch/internal/transport/callerconn"

	qt "github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"
)

// acceptedConn is a connection that a Listener accepted.
type acceptedConn struct {
	*qt.C
	net.Conn
	listener *callerconn.Listener
	peer     net.Conn
	// losses are those of the connection.
	losses []callerconn.Loss
}

// accept returns a connection whose peer sends nothing yet.
func accept(t *testing.T) *acceptedConn {
	t.Helper()
	c := qt.New(t)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	a := &acceptedConn{C: c}
	listener := callerconn.Listen(inner, azurehitch.SystemClock{}, func(closure callerconn.Closure) { a.losses = append(a.losses, closure.Loss) })
	c.Cleanup(func() { listener.Close() })
	peer, err := net.Dial("tcp", inner.Addr().String())
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { peer.Close() })
	accepted, err := listener.Accept()
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { accepted.Close() })
	a.Conn, a.listener, a.peer = accepted, listener, peer
	return a
}

// receive reads a byte of a request.
func (a *acceptedConn) receive() {
	_, err := io.WriteString(a.peer, "G")
	a.Assert(err, qt.IsNil)
	a.assertRead(nil)
}

func (a *acceptedConn) becomeIdle() { callerconn.StateChanged(a.Conn, fasthttp.StateIdle) }

func (a *acceptedConn) closeIdle() { a.Assert(a.listener.CloseIdle(), qt.IsNil) }

// assertRead checks the error of a read that the HTTP library gives some time.
func (a *acceptedConn) assertRead(want error) {
	a.Helper()
	a.Assert(a.SetReadDeadline(time.Now().Add(300*time.Millisecond)), qt.IsNil)
	_, err := a.Read(make([]byte, 1))
	a.Assert(err, qt.ErrorIs, want)
}

// assertWait checks the error of waiting for the end of all connections.
func (a *acceptedConn) assertWait(want error) {
	a.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	a.Assert(a.listener.Wait(ctx), qt.ErrorIs, want)
}

func TestIdleConnectionStaysOpen(t *testing.T) {
	for name, prepare := range map[string]func(a *acceptedConn){
		"never used": (*acceptedConn).closeIdle,
		"idle before CloseIdle": func(a *acceptedConn) {
			a.receive()
			a.becomeIdle()
			a.closeIdle()
		},
		"idle after CloseIdle": func(a *acceptedConn) {
			a.receive()
			a.closeIdle()
			a.becomeIdle()
		},
		"idle again after CloseIdle": func(a *acceptedConn) {
			a.closeIdle()
			a.receive()
			a.becomeIdle()
		},
	} {
		t.Run(name, func(t *testing.T) {
			a := accept(t)
			prepare(a)
			a.assertRead(net.ErrClosed)
			a.assertWait(context.DeadlineExceeded)
			a.Assert(a.Close(), qt.IsNil)
			a.assertWait(nil)
		})
	}
}

func TestConnectionIsClosedDuringRequest(t *testing.T) {
	for name, prepare := range map[string]func(a *acceptedConn){
		"that began before CloseIdle": func(a *acceptedConn) {
			a.receive()
			a.closeIdle()
		},
		"that began after CloseIdle": func(a *acceptedConn) {
			a.closeIdle()
			a.receive()
		},
		"after an idle time": func(a *acceptedConn) {
			a.receive()
			a.becomeIdle()
			a.closeIdle()
			a.receive()
		},
	} {
		t.Run(name, func(t *testing.T) {
			a := accept(t)
			prepare(a)
			a.assertRead(os.ErrDeadlineExceeded)
			a.receive()
			a.assertWait(context.DeadlineExceeded)
		})
	}
}

func TestRequestDuringStopHasNoReadTimeout(t *testing.T) {
	a := accept(t)
	a.Assert(a.SetReadDeadline(time.Now().Add(300*time.Millisecond)), qt.IsNil)
	a.closeIdle()
	_, err := io.WriteString(a.peer, "G")
	a.Assert(err, qt.IsNil)
	timer := time.AfterFunc(time.Second, func() { a.peer.Close() })
	defer timer.Stop()
	rest, err := io.ReadAll(a.Conn)
	a.Assert(err, qt.ErrorIs, os.ErrDeadlineExceeded)
	a.Assert(string(rest), qt.Equals, "G")
}

func TestClosureIsObserved(t *testing.T) {
	for name, test := range map[string]struct {
		prepare func(a *acceptedConn)
		want    []callerconn.Loss
	}{
		"a part of a request":       {(*acceptedConn).receive, []callerconn.Loss{callerconn.LossRead}},
		"an answered request":       {(*acceptedConn).answer, nil},
		"a new connection":          {func(*acceptedConn) {}, nil},
		"a new connection, stop":    {(*acceptedConn).closeIdle, []callerconn.Loss{callerconn.LossUnused}},
		"a kept connection, stop":   {(*acceptedConn).becomeIdleInStop, nil},
		"unread bytes, kept, stop":  {(*acceptedConn).sendInStop, []callerconn.Loss{callerconn.LossUnread}},
		"a part of a request, stop": {func(a *acceptedConn) { a.closeIdle(); a.receive() }, []callerconn.Loss{callerconn.LossRead}},
	} {
		t.Run(name, func(t *testing.T) {
			a := accept(t)
			test.prepare(a)
			a.Assert(a.Close(), qt.IsNil)
			a.Assert(a.Close(), qt.IsNotNil)
			a.Assert(a.losses, qt.DeepEquals, test.want)
		})
	}
}

// answer receives a request and writes a response.
func (a *acceptedConn) answer() {
	a.receive()
	_, err := io.WriteString(a.Conn, "H")
	a.Assert(err, qt.IsNil)
}

func (a *acceptedConn) becomeIdleInStop() {
	a.answer()
	a.becomeIdle()
	a.closeIdle()
}

// sendInStop sends a request that the daemon does not read any more.
func (a *acceptedConn) sendInStop() {
	a.becomeIdleInStop()
	_, err := io.WriteString(a.peer, "G")
	a.Assert(err, qt.IsNil)
}

func TestNewConnectionIsClosedBeforeItsRequestArrives(t *testing.T) {
	a := accept(t)
	a.closeIdle()
	timer := time.AfterFunc(120*time.Millisecond, func() { _, _ = io.WriteString(a.peer, "G") })
	defer timer.Stop()
	n, err := a.Read(make([]byte, 1))
	a.Assert(err, qt.IsNil)
	a.Assert(n, qt.Equals, 1)
}
