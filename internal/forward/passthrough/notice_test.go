package passthrough_test

import (
	"strings"
	"testing"
	"time"

	"azurehitch"
	"azurehitch/internal/forward/rejectbudget"

	qt "github.com/frankban/quicktest"
)

// withField adds a field to the head of a response.
func withField(answer, field string) string {
	head, rest, _ := strings.Cut(answer, "\r\n")
	return head + "\r\n" + field + "\r\n" + rest
}

// TestNotices checks that the notices of servers are read from each kind of response.
func TestNotices(t *testing.T) {
	withShutdown := func(answer string) string { return withField(answer, "X-Leaving: 1") }
	shuttingDown := azurehitch.ServerNotice{ShuttingDown: true}
	noNotice := azurehitch.ServerNotice{}
	for _, test := range []struct {
		name   string
		route  azurehitch.PathRoute
		answer string
		want   azurehitch.ServerNotice
	}{
		{"complete response", idempotent, withShutdown(whole), shuttingDown},
		{"error status of the server", nonIdempotent, withShutdown(failed), shuttingDown},
		{"not run", nonIdempotent, withShutdown(notRun), shuttingDown},
		{"cut response", nonIdempotent, withShutdown(cut), shuttingDown},
		{"the head of a stream", stream, withShutdown(streamHead + events + lastEvents + streamEnd), shuttingDown},
		{"a cut stream", stream, withShutdown(streamHead + events), shuttingDown},
		{"not run, with a backoff", nonIdempotent, withField(notRun, "X-Rest: 1500"), azurehitch.ServerNotice{Backoff: 1500 * time.Millisecond}},
		{"backoff in another response is ignored", idempotent, withField(whole, "X-Rest: 1500"), noNotice},
		{"rate limit", nonIdempotent, withField(whole, "X-Limit: 1.5"), azurehitch.ServerNotice{RateLimit: 1.5}},
		{"no notice", idempotent, whole, noNotice},
	} {
		t.Run(test.name, func(t *testing.T) {
			withGateway(t, test.route, []*backend{newBackend(t, test.answer, 0)}, func(g *gateway) {
				g.send("POST", "/x/y", "")
				g.Assert(g.notices["s0"], qt.DeepEquals, []azurehitch.ServerNotice{test.want})
			})
		})
	}
	t.Run("a notice from another server at the same address is ignored", func(t *testing.T) {
		withGateway(t, nonIdempotent, []*backend{newBackend(t, withShutdown(misdirected), 0)}, func(g *gateway) {
			g.send("POST", "/x/y", "")
			g.Assert(g.notices["s0"], qt.HasLen, 0)
		})
	})
	t.Run("server on which a stream is resumed", func(t *testing.T) {
		first := newBackend(t, streamHead+events, 0)
		second := newBackend(t, withShutdown(streamHead+"f\r\nid: 2\ndata: b\n\n\r\n"+resumed+streamEnd), 0)
		withGateway(t, resumable, []*backend{first, second}, func(g *gateway) {
			g.send("POST", "/x/y", "")
			g.Assert(g.notices["s1"], qt.DeepEquals, []azurehitch.ServerNotice{shuttingDown})
		})
	})
}

// TestBrittleServers checks which responses state that a server is brittle, and which count as rejections.
func TestBrittleServers(t *testing.T) {
	brittle := func(answer string) string { return withField(answer, "X-Brittle: 3") }
	for _, test := range []struct {
		name           string
		route          azurehitch.PathRoute
		answer         string
		isBrittle      bool
		wantRejections int
	}{
		{"complete response", idempotent, brittle(whole), true, 0},
		{"the head of a stream", stream, brittle(streamHead + events + lastEvents + streamEnd), true, 0},
		{"not run", nonIdempotent, brittle(notRun), true, 1},
		{"not run at a server that is not brittle", nonIdempotent, notRun, false, 0},
		{"another server at the same address", nonIdempotent, brittle(misdirected), false, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			withGateway(t, test.route, []*backend{newBackend(t, test.answer, 0)}, func(g *gateway) {
				g.send("POST", "/x/y", "")
				var want []rejectbudget.Brittleness
				if test.isBrittle {
					want = append(want, rejectbudget.Brittleness{IsBrittle: true, Allowance: 3})
				}
				g.Assert(g.brittle.stated, qt.DeepEquals, want)
				g.Assert(g.brittle.rejections, qt.Equals, test.wantRejections)
			})
		})
	}
}
