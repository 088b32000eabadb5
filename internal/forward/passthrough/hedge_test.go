package passthrough_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"azurehitch"
	"azurehitch/internal/forward/hedge"
	"azurehitch/internal/telemetry/metrics"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"
)

// lateTime is a time after which a hedge has been sent. Hedges are due after 12.5 ms, some more on a busy host.
const lateTime = 400 * time.Millisecond

// bodyGraceLimit is the time within which the late server must learn that the other one has begun its answer.
const bodyGraceLimit = 500 * time.Millisecond

// lateBackend starts a server that answers with text after a time.
func lateBackend(t *testing.T, after time.Duration, text string) *backend {
	return newPausingBackend(t, step{after, text})
}

// secondBackend starts a server that answers with text after a time, counted from when the first one has read its
// request: a busy host may run the first one later, which would then see nothing of a closed connection.
func secondBackend(t *testing.T, first *backend, after time.Duration, text string) *backend {
	b := &backend{closed: make(chan struct{}, 10)}
	b.address = listen(t, func(conn net.Conn) {
		b.playAnswer(conn, func(*http.Request) []step {
			for end := time.Now().Add(time.Second); len(first.requests()) == 0 && time.Now().Before(end); time.Sleep(time.Millisecond) {
			}
			return []step{{after, text}}
		})
	})
	return b
}

// hedgeBudget charges hedges to the retry budget of the test.
type hedgeBudget struct{ *testBudget }

// unsettled is what a hedge counts for in the budget of the test until it is sent, which counts for 1, or refunded.
const unsettled = 1000

// SpendSpare implements hedge.Budget.
func (b hedgeBudget) SpendSpare(string) (azurehitch.RetryCharge, bool) {
	if b.isSpent {
		return nil, false
	}
	b.charged.Add(unsettled)
	return b, true
}

// Sent implements azurehitch.RetryCharge.
func (b hedgeBudget) Sent() { b.charged.Add(1 - unsettled) }

// Refund implements azurehitch.RetryCharge.
func (b hedgeBudget) Refund() { b.charged.Add(-unsettled) }

// timeLeftProtocol records the time that is left in the head of each attempt.
type timeLeftProtocol struct {
	testProtocol
	mu       sync.Mutex
	timeLeft []time.Duration
}

// WriteAttempt implements azurehitch.ExchangeProtocol.
func (p *timeLeftProtocol) WriteAttempt(h azurehitch.Header, attempt azurehitch.Attempt) {
	p.testProtocol.WriteAttempt(h, attempt)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.timeLeft = append(p.timeLeft, attempt.TimeLeft)
}

// withHedges calls run with a gateway that has learnt that the calls of the route take 10 ms at most.
func withHedges(t *testing.T, route azurehitch.PathRoute, backends []*backend, run func(g *gateway)) {
	t.Helper()
	withGateway(t, route, backends, func(g *gateway) {
		tracker := hedge.New(azurehitch.SystemClock{}, hedgeBudget{g.budget}, azurehitch.NewHedgeShare(1))
		for range 100 {
			tracker.Earn(azurehitch.BackendService{Name: "llm"})
			tracker.Begin("llm", "r", azurehitch.ServerIdentity{ID: "former"}).End(hedge.OutcomeAnswered)
		}
		// Estimates are computed anew each 50 ms.
		time.Sleep(60 * time.Millisecond)
		g.server.Hedges = tracker
		g.server.ListedServers = func(string) []azurehitch.FleetServer {
			var listed []azurehitch.FleetServer
			for i, address := range g.placer.servers {
				listed = append(listed, azurehitch.FleetServer{ServerIdentity: azurehitch.ServerIdentity{ID: fmt.Sprint("s", i), Address: address}})
			}
			return listed
		}
		run(g)
	})
}

// hedgeCounts are the metrics of hedges.
type hedgeCounts struct{ sent, won, canceled, denied int64 }

func (g *gateway) assertHedges(want hedgeCounts) {
	g.Helper()
	m := g.server.Metrics
	g.Check(hedgeCounts{m.Get(metrics.HedgesSent), m.Get(metrics.HedgesWon), m.Get(metrics.HedgesCanceled), m.Get(metrics.HedgesDenied)}, qt.Equals, want)
	g.Check(g.budget.charged.Load(), qt.Equals, want.sent, qt.Commentf("charged retries"))
}

// TestHedges checks what becomes of a call whose first server is late, by the answers of both servers. It
// guards against answers that are lost, refusals that wrongly say "not run", and hedges beyond the attempts.
func TestHedges(t *testing.T) {
	const never = 2 * time.Second
	attempts := func(n int) azurehitch.PathRoute {
		route := idempotent
		route.MaxAttempts = n
		return route
	}
	won, canceled, lost := hedgeCounts{1, 1, 0, 0}, hedgeCounts{1, 0, 1, 0}, hedgeCounts{1, 0, 0, 0}
	for _, test := range []struct {
		name                   string
		route                  azurehitch.PathRoute
		firstAfter             time.Duration
		first                  string
		secondAfter            time.Duration
		second                 string
		status                 int
		counts                 hedgeCounts
		isFirstCut, isOtherCut bool
	}{
		{"the first answers in time", idempotent, 0, whole, 0, whole, 200, hedgeCounts{}, false, false},
		{"the second answers", idempotent, never, whole, 0, whole, 200, won, true, false},
		{"the first answers first", idempotent, lateTime, whole, never, whole, 200, canceled, false, true},
		{"the second rejects, the first answers", idempotent, lateTime, whole, 0, notRun, 200, lost, false, false},
		{"the second breaks off, the first answers", idempotent, lateTime, whole, 0, silent, 200, lost, false, false},
		{"the second is another's answer, the first answers", idempotent, lateTime, whole, 0, otherID, 200, lost, false, false},
		{"the body of the second breaks off, the first answers", idempotent, lateTime / 2, whole, 0, cut, 200, lost, false, false},
		{"the first rejects, the second answers", idempotent, lateTime, notRun, 2 * lateTime, whole, 200, won, false, false},
		{"the first breaks off, the second answers", idempotent, lateTime, silent, 2 * lateTime, whole, 200, won, false, false},
		{"both reject: not run", idempotent, lateTime, notRun, 0, notRun, 503, lost, false, false},
		{"the first breaks off, the second rejects: may have run", idempotent, lateTime, silent, 0, notRun, 502, lost, false, false},
		{"the second breaks off, the first rejects: may have run", idempotent, lateTime, notRun, 0, silent, 502, lost, false, false},
		{"an error of the server is an answer", idempotent, never, whole, 0, failed, 500, won, true, false},
		{"one attempt", attempts(1), lateTime, whole, 0, whole, 200, hedgeCounts{}, false, false},
		{"non-idempotent", nonIdempotent, lateTime, whole, 0, whole, 200, hedgeCounts{}, false, false},
		{"resumable stream", resumable, lateTime, whole, 0, whole, 200, hedgeCounts{}, false, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			first := lateBackend(t, test.firstAfter, test.first)
			second := secondBackend(t, first, test.secondAfter, test.second)
			withHedges(t, test.route, []*backend{first, second}, func(g *gateway) {
				got := g.send("POST", "/x/y", "body")
				g.Assert(got.status, qt.Equals, test.status)
				g.Check(got.cut, qt.IsFalse)
				if test.isFirstCut {
					g.assertClosed(first, closeLimit)
				}
				if test.isOtherCut {
					g.assertClosed(second, closeLimit)
				}
				if test.counts.sent > 0 {
					g.Check(second.requests(), qt.HasLen, 1)
				}
				g.assertHedges(test.counts)
			})
		})
	}
}

// TestHedgeDenied guards against hedges that a limit forbids: the answer of the late server is passed on.
func TestHedgeDenied(t *testing.T) {
	for _, test := range []struct {
		denial hedge.Denial
		change func(g *gateway)
	}{
		{hedge.DenialBudget, func(g *gateway) { g.budget.isSpent = true }},
		{hedge.DenialQuarantined, func(g *gateway) { g.quarantine.closesAfter = 1 }},
		{hedge.DenialNoOtherServer, func(g *gateway) { g.server.ListedServers = func(string) []azurehitch.FleetServer { return nil } }},
		{hedge.DenialFailing, func(g *gateway) { g.server.Breakers.ConnectionRefused(g.placer.servers[1]) }},
		{hedge.DenialServiceFull, func(g *gateway) {
			g.server.Backoffs.BackOff(azurehitch.ServerIdentity{ID: "s1", Address: g.placer.servers[1]}, time.Second)
		}},
		{hedge.DenialRateLimited, func(g *gateway) {
			g.server.Limits.Named(azurehitch.ServerIdentity{ID: "s1", Address: g.placer.servers[1]}, 5)
		}},
		{hedge.DenialNotLearnt, func(g *gateway) {
			g.server.Hedges = hedge.New(azurehitch.SystemClock{}, hedgeBudget{g.budget}, azurehitch.NewHedgeShare(1))
		}},
		{hedge.DenialDraining, func(g *gateway) { g.server.Drain(stopEndsIn(time.Minute)) }},
	} {
		t.Run(string(test.denial), func(t *testing.T) {
			first, second := lateBackend(t, lateTime, whole), lateBackend(t, 0, whole)
			withHedges(t, idempotent, []*backend{first, second}, func(g *gateway) {
				test.change(g)
				g.Assert(g.send("POST", "/x/y", "").status, qt.Equals, 200)
				g.Check(second.requests(), qt.HasLen, 0)
				g.assertHedges(hedgeCounts{denied: 1})
				g.Check(g.server.Metrics.GetLabeled(metrics.HedgesDenied, string(test.denial)), qt.Equals, int64(1))
			})
		})
	}
}

// TestHedgeAttemptsUsed guards against a call that more servers may run than its route allows.
func TestHedgeAttemptsUsed(t *testing.T) {
	broken, late, third := lateBackend(t, 0, silent), lateBackend(t, lateTime, whole), lateBackend(t, 0, whole)
	withHedges(t, idempotent, []*backend{broken, late, third}, func(g *gateway) {
		g.Assert(g.send("POST", "/x/y", "").status, qt.Equals, 200)
		g.Check(third.requests(), qt.HasLen, 0)
		g.Check(g.server.Metrics.GetLabeled(metrics.HedgesDenied, string(hedge.DenialAttemptsUsed)), qt.Equals, int64(1))
	})
}

// TestHedgeNotSent guards against hedges that are charged, or counted as sent, although their server was not reached.
func TestHedgeNotSent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.New(t).Assert(err, qt.IsNil)
	ended := &backend{address: listener.Addr().String()}
	qt.New(t).Assert(listener.Close(), qt.IsNil)
	withHedges(t, idempotent, []*backend{lateBackend(t, lateTime, whole), ended}, func(g *gateway) {
		g.Assert(g.send("POST", "/x/y", "").status, qt.Equals, 200)
		g.assertHedges(hedgeCounts{})
	})
}

// TestHedgeLongBody guards against a late server that goes on while the body of the other answer arrives.
func TestHedgeLongBody(t *testing.T) {
	first := lateBackend(t, 3*time.Second, whole)
	second := newPausingBackend(t, step{0, whole[:len(whole)-1]}, step{1500 * time.Millisecond, whole[len(whole)-1:]})
	withHedges(t, idempotent, []*backend{first, second}, func(g *gateway) {
		var group errgroup.Group
		group.Go(func() error {
			g.Check(g.send("POST", "/x/y", "").body, qt.Equals, "ok")
			return nil
		})
		g.awaitRequest(first)
		g.awaitRequest(second)
		g.assertClosed(first, bodyGraceLimit)
		g.Assert(group.Wait(), qt.IsNil)
		g.assertHedges(hedgeCounts{1, 1, 0, 0})
	})
}

// TestHedgeTimeLeft guards against a hedge whose server works for longer than the caller waits.
func TestHedgeTimeLeft(t *testing.T) {
	withHedges(t, idempotent, []*backend{lateBackend(t, lateTime, silent), lateBackend(t, lateTime, silent), lateBackend(t, 0, whole)}, func(g *gateway) {
		protocol := &timeLeftProtocol{}
		g.server.Protocol = protocol
		g.Assert(g.send("POST", "/x/y", "").status, qt.Equals, 502)
		g.Assert(protocol.timeLeft, qt.HasLen, 2)
		g.Assert(protocol.timeLeft[0]-protocol.timeLeft[1] >= 10*time.Millisecond, qt.IsTrue)
	})
}

// TestHedgeCallerDisconnects guards against servers that go on working for a caller who has gone.
func TestHedgeCallerDisconnects(t *testing.T) {
	first, second := lateBackend(t, 3*time.Second, whole), lateBackend(t, 3*time.Second, whole)
	withHedges(t, idempotent, []*backend{first, second}, func(g *gateway) {
		ctx, cancel := context.WithCancel(context.Background())
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+g.address+"/x/y", strings.NewReader("body"))
		g.Assert(err, qt.IsNil)
		request.Host = "a.example"
		request.Header.Set("X-Id", "id-1")
		var group errgroup.Group
		group.Go(func() error {
			response, err := http.DefaultClient.Do(request)
			if err == nil {
				response.Body.Close()
			}
			return nil
		})
		g.awaitRequest(first)
		g.awaitRequest(second)
		cancel()
		g.assertClosed(first, closeLimit)
		g.assertClosed(second, closeLimit)
		g.Assert(group.Wait(), qt.IsNil)
	})
}

// TestHedgeAnswersAtOnce guards against two answers that arrive together: each caller gets one, and nothing is
// left of the other. Bodies differ, so that a mix of both would show.
func TestHedgeAnswersAtOnce(t *testing.T) {
	const calls = 40
	other := strings.Replace(whole, "ok", "me", 1)
	for i := range calls {
		after := time.Duration(i%8) * time.Millisecond
		first, second := lateBackend(t, 16*time.Millisecond+after, whole), lateBackend(t, 2*time.Millisecond, other)
		withHedges(t, idempotent, []*backend{first, second}, func(g *gateway) {
			got := g.send("POST", "/x/y", strings.Repeat("b", 100<<10))
			g.Assert(got.status, qt.Equals, 200)
			g.Assert(got.body == "ok" || got.body == "me", qt.IsTrue, qt.Commentf("%q", got.body))
			for g.server.ActiveRequests() > 0 {
				time.Sleep(time.Millisecond)
			}
			m := g.server.Metrics
			g.Assert(m.Get(metrics.HedgesWon)+m.Get(metrics.HedgesCanceled) <= m.Get(metrics.HedgesSent), qt.IsTrue)
		})
	}
}
