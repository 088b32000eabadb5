package passthrough_test

import (
	"strconv"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// withStatus returns an answer with another status.
func withStatus(answer, status string) string {
	_, rest, _ := strings.Cut(answer, " ")
	_, rest, _ = strings.Cut(rest, " ")
	return "HTTP/1.1 " + status + " " + rest
}

// TestStatusThatIsNone guards against answers with a status that no server can mean, 000 above all, which callers got as
// the success 200 with the signature of the server.
func TestStatusThatIsNone(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "600", "999"} {
		t.Run(status+", non-idempotent", func(t *testing.T) {
			second := newBackend(t, whole, 0)
			withGateway(t, nonIdempotent, []*backend{newBackend(t, withStatus(whole, status), 0), second}, func(g *gateway) {
				got := g.send("POST", "/x/y", "")
				g.Assert(got.status, qt.Equals, 502)
				g.Assert(got.header.Get("X-Signature"), qt.Equals, "")
				g.Assert(second.requests(), qt.HasLen, 0)
			})
		})
		t.Run(status+", idempotent", func(t *testing.T) {
			withGateway(t, idempotent, []*backend{newBackend(t, withStatus(whole, status), 0), newBackend(t, whole, 0)}, func(g *gateway) {
				g.Assert(g.send("POST", "/x/y", "").status, qt.Equals, 200)
			})
		})
		t.Run(status+", stream", func(t *testing.T) {
			servers := []*backend{newBackend(t, withStatus(streamHead, status)+events, 0), newBackend(t, streamHead+events+lastEvents+streamEnd, 0)}
			withGateway(t, resumable, servers, func(g *gateway) {
				got := g.send("POST", "/x/y", "")
				g.Assert(got.status, qt.Equals, 200)
				g.Assert(got.cut, qt.IsFalse)
				g.Assert(servers[1].requests(), qt.HasLen, 1)
			})
		})
		t.Run(status+", after an interim head", func(t *testing.T) {
			withGateway(t, nonIdempotent, []*backend{newBackend(t, "HTTP/1.1 103 Hints\r\nX: y\r\n\r\n"+withStatus(whole, status), 0)}, func(g *gateway) {
				g.Assert(g.send("POST", "/x/y", "").status, qt.Equals, 502)
			})
		})
	}
	t.Run("counts against the server", func(t *testing.T) {
		bad := newBackend(t, withStatus(whole, "000"), 0)
		var servers []*backend
		for range 5 {
			servers = append(servers, bad)
		}
		withGateway(t, nonIdempotent, servers, func(g *gateway) {
			for range servers {
				g.Assert(g.send("POST", "/x/y", "").status, qt.Equals, 502)
			}
			g.Assert(g.server.Breakers.IsOpen(bad.address), qt.IsTrue)
		})
	})
}

// TestStatusAfterManyBlanks checks a status that does not begin within the first bytes of its line.
func TestStatusAfterManyBlanks(t *testing.T) {
	for _, blanks := range []int{1, 40, 60, 1000} {
		t.Run(strconv.Itoa(blanks), func(t *testing.T) {
			status := strings.Repeat(" ", blanks) + "000"
			withGateway(t, nonIdempotent, []*backend{newBackend(t, withStatus(whole, status), 0)}, func(g *gateway) {
				got := g.send("POST", "/x/y", "")
				g.Assert(got.status, qt.Equals, 502)
				g.Assert(got.header.Get("X-Signature"), qt.Equals, "")
			})
		})
	}
}

// TestStatusAtTheBorders checks the statuses next to those that are none.
func TestStatusAtTheBorders(t *testing.T) {
	for _, status := range []string{"100", "199"} {
		t.Run(status+" is interim", func(t *testing.T) {
			withGateway(t, nonIdempotent, []*backend{newBackend(t, "HTTP/1.1 "+status+" X\r\n\r\n"+whole, 0)}, func(g *gateway) {
				g.Assert(g.send("POST", "/x/y", "").status, qt.Equals, 200)
			})
		})
	}
	for status, want := range map[string]int{"200": 200, "404": 404, "599": 599} {
		t.Run(status+" is passed on", func(t *testing.T) {
			withGateway(t, nonIdempotent, []*backend{newBackend(t, withStatus(whole, status), 0)}, func(g *gateway) {
				got := g.send("POST", "/x/y", "")
				g.Assert(got.status, qt.Equals, want)
				g.Assert(got.header.Get("X-Signature"), qt.Not(qt.Equals), "")
			})
		})
	}
}
