package passthrough_test

import (
	"context"
	"testing"
	"time"

	"azurehitch"
	"azurehitch/internal/standin/hookconn"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"
)

// stopWithin stops the gateway in the background.
func (g *gateway) stopWithin(group *errgroup.Group, timeout time.Duration) {
	group.Go(func() error {
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		return g.server.Stop(ctx)
	})
}

func TestStopDropsRequestThatWasJustRead(t *testing.T) {
	for name, isKept := range map[string]bool{"on a kept connection": true, "on a new connection": false} {
		t.Run(name, func(t *testing.T) {
			listener := &hookconn.Listener{}
			backends := []*backend{newBackend(t, whole, 0), newBackend(t, whole, 0)}
			withListener(t, idempotent, backends, listener, func(g *gateway) {
				kept := g.keepConn(t)
				if isKept {
					kept.write()
					kept.assertAnswer(200, false)
				}
				var group errgroup.Group
				stop := func() {
					g.server.Drain(stopEndsIn(time.Second))
					g.stopWithin(&group, 2*time.Second)
					time.Sleep(200 * time.Millisecond)
				}
				listener.CallOnRead(stop)
				kept.write()
				kept.assertAnswer(503, true)
				g.Assert(group.Wait(), qt.IsNil)
			})
		})
	}
}

func TestStopWaitsForIdleConnections(t *testing.T) {
	for name, isUsed := range map[string]bool{"used before": true, "never used": false} {
		t.Run(name, func(t *testing.T) {
			withGateway(t, idempotent, []*backend{newBackend(t, whole, 0)}, func(g *gateway) {
				kept := g.keepConn(t)
				if isUsed {
					kept.write()
					kept.assertAnswer(200, false)
				}
				g.Assert(azurehitch.SystemClock{}.Sleep(context.Background(), 50*time.Millisecond), qt.IsNil)
				var group errgroup.Group
				g.stopWithin(&group, time.Second)
				g.Assert(group.Wait(), qt.IsNil)
				rest, err := kept.reader.ReadByte()
				g.Assert(err, qt.ErrorMatches, "EOF", qt.Commentf("got %d", rest))
			})
		})
	}
}
