package passthrough_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"azurehitch"

	qt "github.com/frankban/quicktest"
)

// newLateRefuser returns a server that refuses each request as not run after a time.
func newLateRefuser(t *testing.T, after time.Duration) *backend {
	return &backend{address: listen(t, func(conn net.Conn) {
		defer conn.Close()
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
			return
		}
		time.Sleep(after)
		_, _ = io.WriteString(conn, misdirected)
	})}
}

// TestRequestHeldForLoadUntilItsCallerLeaves guards against a wait between two attempts that outlasts the search.
func TestRequestHeldForLoadUntilItsCallerLeaves(t *testing.T) {
	limit := map[string]string{"X-Left": strconv.FormatInt(callerPatience.Milliseconds(), 10)}
	for name, test := range map[string]struct {
		route  azurehitch.PathRoute
		fields map[string]string
	}{
		"resumable stream": {route: resumable},
		"call":             {route: idempotent, fields: limit},
	} {
		test.route.Timeout = 6 * time.Second
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			backends := []*backend{newLateRefuser(t, 0), newLateRefuser(t, 1650*time.Millisecond), newBackend(t, whole, 0)}
			withGateway(t, test.route, backends, func(g *gateway) {
				g.placer.tier = azurehitch.CacheTierMemory
				g.assertRefusedInTime(test.fields)
			})
		})
	}
}

// TestSlowBodyIsDenied guards against a 4xx, which says that the request is wrong, for a body that takes long.
func TestSlowBodyIsDenied(t *testing.T) {
	withGateway(t, idempotent, []*backend{newBackend(t, whole, 0)}, func(g *gateway) {
		conn, err := net.Dial("tcp", g.address)
		g.Assert(err, qt.IsNil)
		defer conn.Close()
		_, err = io.WriteString(conn, "POST /x/y HTTP/1.1\r\nHost: a.example\r\nX-Id: q\r\nX-Left: 3000\r\nContent-Length: 4\r\n\r\nab")
		g.Assert(err, qt.IsNil)
		time.Sleep(1100 * time.Millisecond)
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		g.Assert(err, qt.IsNil)
		g.Assert(response.StatusCode, qt.Equals, http.StatusRequestTimeout)
	})
}

// TestUnusedConnectionIsDenied guards against a 400 on a new connection on which nothing has arrived.
func TestUnusedConnectionIsDenied(t *testing.T) {
	withGateway(t, idempotent, []*backend{newBackend(t, whole, 0)}, func(g *gateway) {
		conn, err := net.Dial("tcp", g.address)
		g.Assert(err, qt.IsNil)
		defer conn.Close()
		g.Assert(conn.SetReadDeadline(time.Now().Add(3*time.Second)), qt.IsNil)
		text, err := io.ReadAll(conn)
		g.Assert(err, qt.IsNil)
		g.Assert(string(text), qt.Not(qt.Contains), " 400 ")
	})
}
