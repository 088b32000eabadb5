package callerconn_test

import (
	"io"
	"net"
	"os"
	"testing"
	"time"

	"azurehitch"
	"azurehitch/internal/standin/manualclock"
	"azurehitch/internal/transport/callerconn"

	qt "github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"
)

// largeResponse fills the buffers of a connection on both sides.
var largeResponse = make([]byte, 32<<20)

// TestCallerThatReadsNothing guards against a response that is held as long as its caller wants.
func TestCallerThatReadsNothing(t *testing.T) {
	t.Parallel()
	a := accept(t)
	a.receive()
	_, err := a.Write(largeResponse)
	a.Assert(err, qt.ErrorMatches, "the caller reads nothing")
	a.Assert(a.Close(), qt.IsNil)
	a.Assert(a.losses, qt.DeepEquals, []callerconn.Loss{callerconn.LossStuck})
}

// TestSlowReader guards against a cut response to a caller that reads slowly, for longer than one that reads nothing
// may stay.
func TestSlowReader(t *testing.T) {
	t.Parallel()
	a := accept(t)
	a.receive()
	var group errgroup.Group
	group.Go(func() error {
		for end := time.Now().Add(7 * time.Second); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
			if _, err := io.CopyN(io.Discard, a.peer, 128<<10); err != nil {
				return err
			}
		}
		_, err := io.CopyN(io.Discard, a.peer, int64(len(largeResponse)-14*128<<10))
		return err
	})
	_, err := a.Write(largeResponse)
	a.Assert(err, qt.IsNil)
	a.Assert(group.Wait(), qt.IsNil)
}

// TestSurplusConnections guards against idle connections that keep others out, and checks that a connection without
// a request so far is closed before one that has been used.
func TestSurplusConnections(t *testing.T) {
	c := qt.New(t)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	var losses []callerconn.Loss
	listener := callerconn.Listen(inner, azurehitch.SystemClock{}, func(closure callerconn.Closure) { losses = append(losses, closure.Loss) }).WithMaxConns(2)
	c.Cleanup(func() { listener.Close() })
	open := func() (peer, accepted net.Conn) {
		peer, err := net.Dial("tcp", inner.Addr().String())
		c.Assert(err, qt.IsNil)
		c.Cleanup(func() { peer.Close() })
		accepted, err = listener.Accept()
		c.Assert(err, qt.IsNil)
		c.Cleanup(func() { accepted.Close() })
		return peer, accepted
	}
	usedPeer, used := open()
	_, err = io.WriteString(usedPeer, "G")
	c.Assert(err, qt.IsNil)
	_, err = used.Read(make([]byte, 1))
	c.Assert(err, qt.IsNil)
	callerconn.StateChanged(used, fasthttp.StateIdle)
	_, unused := open()
	_, _ = open()
	_, err = unused.Read(make([]byte, 1))
	c.Assert(err, qt.Equals, net.ErrClosed)
	c.Assert(unused.Close(), qt.IsNil)
	c.Assert(losses, qt.DeepEquals, []callerconn.Loss{callerconn.LossSurplus})
	_, err = io.WriteString(usedPeer, "H")
	c.Assert(err, qt.IsNil)
	_, err = used.Read(make([]byte, 1))
	c.Assert(err, qt.IsNil)
}

// TestSlowHeadGivesWay guards against heads that don't end and keep others out until the read timeout.
func TestSlowHeadGivesWay(t *testing.T) {
	c := qt.New(t)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	clock := manualclock.New()
	listener := callerconn.Listen(inner, clock, func(callerconn.Closure) {}).WithMaxConns(1)
	c.Cleanup(func() { listener.Close() })
	open := func() net.Conn {
		peer, err := net.Dial("tcp", inner.Addr().String())
		c.Assert(err, qt.IsNil)
		c.Cleanup(func() { peer.Close() })
		accepted, err := listener.Accept()
		c.Assert(err, qt.IsNil)
		c.Cleanup(func() { accepted.Close() })
		_, err = io.WriteString(peer, "G")
		c.Assert(err, qt.IsNil)
		_, err = accepted.Read(make([]byte, 1))
		c.Assert(err, qt.IsNil)
		return accepted
	}
	slow := open()
	clock.Time = clock.Time.Add(3 * time.Second)
	recent := open()
	_, err = slow.Read(make([]byte, 1))
	c.Assert(err, qt.ErrorIs, os.ErrDeadlineExceeded)
	handled := callerconn.Watch(recent, func() { c.Error("a request that is handled was interrupted") })
	clock.Time = clock.Time.Add(3 * time.Second)
	open()
	handled()
}
