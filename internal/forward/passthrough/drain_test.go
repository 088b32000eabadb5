package passthrough_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"testing"
	"time"

	"azurehitch"
	"azurehitch/internal/forward/drain"
	"azurehitch/internal/forward/passthrough"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"
)

// stopEndsIn returns the timing of a planned stop that the daemon has begun a while ago.
func stopEndsIn(d time.Duration) drain.Timing {
	const sinceBegin = 6 * time.Second
	return drain.Timing{PendingSince: time.Now().Add(-sinceBegin), StopTimeout: sinceBegin + d}
}

// keptConn is a connection of a caller that sends further requests on it.
type keptConn struct {
	*gateway
	conn   net.Conn
	reader *bufio.Reader
}

func (g *gateway) keepConn(t *testing.T) *keptConn {
	conn, err := net.Dial("tcp", g.address)
	g.Assert(err, qt.IsNil)
	t.Cleanup(func() { conn.Close() })
	return &keptConn{gateway: g, conn: conn, reader: bufio.NewReader(conn)}
}

func (k *keptConn) write() {
	k.Helper()
	_, err := io.WriteString(k.conn, "POST /x/y HTTP/1.1\r\nHost: a.example\r\nX-Id: id-1\r\nContent-Length: 0\r\n\r\n")
	k.Assert(err, qt.IsNil)
}

// assertAnswer reads an answer, and checks its status and whether it closes the connection.
func (k *keptConn) assertAnswer(status int, closes bool) {
	k.Helper()
	response, err := http.ReadResponse(k.reader, nil)
	k.Assert(err, qt.IsNil)
	_, err = io.Copy(io.Discard, response.Body)
	k.Assert(err, qt.IsNil)
	k.Assert(response.StatusCode, qt.Equals, status)
	k.Assert(response.Close, qt.Equals, closes)
}

// awaitWaiting waits until a request waits for a server.
func (g *gateway) awaitWaiting() {
	for g.server.WaitingRequests() == 0 {
		g.Assert(azurehitch.SystemClock{}.Sleep(context.Background(), time.Millisecond), qt.IsNil)
	}
}

// listenSlow starts a server that sends each answer after a while.
func listenSlow(t *testing.T, delay time.Duration) *backend {
	b := &backend{closed: make(chan struct{}, 10)}
	b.address = listen(t, func(conn net.Conn) {
		time.Sleep(delay)
		b.play(conn, whole, 0)
	})
	return b
}

func TestStopKeepsConnections(t *testing.T) {
	backends := func(t *testing.T) []*backend {
		return []*backend{newBackend(t, whole, 0), listenSlow(t, 300*time.Millisecond)}
	}
	t.Run("a request in progress when the stop begins", func(t *testing.T) {
		withGateway(t, idempotent, backends(t), func(g *gateway) {
			kept := g.keepConn(t)
			kept.write()
			kept.assertAnswer(200, false)
			kept.write()
			for g.server.ActiveRequests() == 0 {
				g.Assert(azurehitch.SystemClock{}.Sleep(context.Background(), time.Millisecond), qt.IsNil)
			}
			g.server.Drain(stopEndsIn(time.Minute))
			kept.assertAnswer(200, true)
		})
	})
	t.Run("a request that is refused", func(t *testing.T) {
		withGateway(t, idempotent, backends(t), func(g *gateway) {
			kept := g.keepConn(t)
			kept.write()
			kept.assertAnswer(200, false)
			g.server.Drain(stopEndsIn(time.Second))
			kept.write()
			kept.assertAnswer(503, true)
		})
	})
}

func TestStopHoldsWaitingRequests(t *testing.T) {
	route := idempotent
	route.Timeout = 12 * time.Second
	t.Run("the latest start has passed: refused at once", func(t *testing.T) {
		withGateway(t, route, nil, func(g *gateway) {
			kept := g.keepConn(t)
			kept.write()
			g.awaitWaiting()
			// More time is left than a fixed margin would need, but less than the timeout of the route.
			g.server.Drain(stopEndsIn(7500 * time.Millisecond))
			kept.assertAnswer(503, true)
			g.Assert(g.server.DrainCounts().RefusedWaiting, qt.Equals, 1)
		})
	})
	t.Run("the request fits: it waits on", func(t *testing.T) {
		withGateway(t, route, nil, func(g *gateway) {
			kept := g.keepConn(t)
			kept.write()
			g.awaitWaiting()
			g.server.Drain(stopEndsIn(time.Minute))
			g.Assert(g.server.WaitingRequests(), qt.Equals, 1)
			g.server.Drain(stopEndsIn(time.Second))
			kept.assertAnswer(503, true)
		})
	})
}

func TestGrantIsUsedAfterLatestStart(t *testing.T) {
	const learnt = 120
	route := nonIdempotent
	route.Timeout = 12 * time.Second
	b := newBackend(t, whole, 0)
	withGateway(t, route, slices.Repeat([]*backend{b}, learnt+1), func(g *gateway) {
		for range learnt {
			g.Assert(g.send("POST", "/x/y", "").status, qt.Equals, 200)
		}
		// The latest start is 0.3 s from now.
		g.server.Drain(drain.Timing{PendingSince: time.Now(), StopTimeout: 8 * time.Second, Lateness: 6700 * time.Millisecond})
		g.placer.onPlace = func(int) { time.Sleep(500 * time.Millisecond) }
		g.Assert(g.send("POST", "/x/y", "").status, qt.Equals, 503)
		g.Assert(b.requests(), qt.HasLen, learnt)
		g.Assert(g.server.DrainCounts().RefusedWaiting, qt.Equals, 1)
	})
}

func TestStopCutsResumedStreams(t *testing.T) {
	first := newBackend(t, streamHead+events, 0)
	second := newBackend(t, streamHead+"f\r\nid: 2\ndata: b\n\n\r\n"+resumed+streamEnd, 0)
	withGateway(t, resumable, []*backend{first, second}, func(g *gateway) {
		g.placer.onPlace = func(n int) {
			if n == 2 {
				g.server.Drain(stopEndsIn(1500 * time.Millisecond))
			}
		}
		got := g.send("POST", "/x/y", "")
		g.Assert(got.cut, qt.IsFalse)
		g.Assert(got.body, qt.Equals, "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n")
	})
}

func TestStopCounts(t *testing.T) {
	b := newBackend(t, silent, 2*time.Second)
	route := nonIdempotent
	route.Timeout = 20 * time.Second
	withGateway(t, route, []*backend{b}, func(g *gateway) {
		var group errgroup.Group
		group.Go(func() error {
			if status := g.send("POST", "/x/y", "").status; status != 502 {
				return fmt.Errorf("status %d", status)
			}
			return nil
		})
		for len(b.requests()) == 0 {
			g.Assert(azurehitch.SystemClock{}.Sleep(context.Background(), time.Millisecond), qt.IsNil)
		}
		g.server.Drain(stopEndsIn(10 * time.Second))
		g.Assert(g.send("POST", "/x/y", "").status, qt.Equals, 503)
		g.server.CancelRequests()
		g.Assert(group.Wait(), qt.IsNil)
		g.Assert(g.send("POST", "/x/y", "").status, qt.Equals, 503)
		got := g.server.DrainCounts()
		got.Longest = 0
		g.Assert(got, qt.Equals, passthrough.DrainCounts{RefusedArriving: 2, Cut: 1})
	})
}
