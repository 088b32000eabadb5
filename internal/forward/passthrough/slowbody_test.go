package passthrough_test

import (
	"context"
	"io"
	"testing"
	"time"

	"azurehitch"
	"azurehitch/internal/standin/hookconn"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"
)

// bodyPause is longer than the gateway of these tests gives the head of a request.
const bodyPause = 1500 * time.Millisecond

// pause waits.
func pause(g *gateway, d time.Duration) {
	g.Assert(azurehitch.SystemClock{}.Sleep(context.Background(), d), qt.IsNil)
}

// writePart writes a part of a request.
func (k *keptConn) writePart(text string) {
	k.Helper()
	_, err := io.WriteString(k.conn, text)
	k.Assert(err, qt.IsNil)
}

const slowHead = "POST /x/y HTTP/1.1\r\nHost: a.example\r\nX-Id: id-1\r\nContent-Length: 4\r\n"

func TestBodyThatArrivesSlowlyIsTakenForInvalidRequest(t *testing.T) {
	for name, test := range map[string]struct {
		head   string
		rest   string
		status int
	}{
		"whole within the caller's time limit": {slowHead + "X-Left: 4000\r\n\r\nbo", "dy", 200},
		"not whole within the time limit":      {slowHead + "X-Left: 1200\r\n\r\nbo", "", 408},
		"not whole, no time limit":             {slowHead + "\r\nbo", "", 408},
		"head not whole":                       {slowHead, "", 408},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			withGateway(t, idempotent, []*backend{newBackend(t, whole, 0)}, func(g *gateway) {
				kept := g.keepConn(t)
				kept.writePart(test.head)
				pause(g, bodyPause)
				kept.writePart(test.rest)
				kept.assertAnswer(test.status, test.status != 200)
			})
		})
	}
}

func TestStopClosesConnectionWhileBodyArrives(t *testing.T) {
	for name, isKept := range map[string]bool{"on a kept connection": true, "on a new connection": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			backends := []*backend{newBackend(t, whole, 0), newBackend(t, whole, 0)}
			withListener(t, idempotent, backends, &hookconn.Listener{}, func(g *gateway) {
				kept := g.keepConn(t)
				if isKept {
					kept.write()
					kept.assertAnswer(200, false)
				}
				kept.writePart(slowHead + "\r\nbo")
				pause(g, 50*time.Millisecond)
				var group errgroup.Group
				g.server.Drain(stopEndsIn(3 * time.Second))
				g.stopWithin(&group, 2*time.Second)
				pause(g, 400*time.Millisecond)
				kept.writePart("dy")
				kept.assertAnswer(503, true)
				g.Assert(group.Wait(), qt.IsNil)
			})
		})
	}
}
