package swap_test

import (
	"fmt"
	"testing"
	"time"

	"azurehitch"
	"azurehitch/internal/placement/swap"
	"azurehitch/internal/proof/limitbound"

	qt "github.com/frankban/quicktest"
)

// limitedLoad submits requests for model m0, as long as it lasts.
type limitedLoad struct {
	*fixture
	requestsPerSecond int
	// granted are the times of the grants by server.
	granted map[string][]time.Time
	refused int
	waiting map[string]bool
	sent    int
}

func newLimitedLoad(f *fixture, requestsPerSecond int) *limitedLoad {
	return &limitedLoad{fixture: f, requestsPerSecond: requestsPerSecond, granted: map[string][]time.Time{}, waiting: map[string]bool{}}
}

// run submits requests for some time. Orders are completed at once.
func (l *limitedLoad) run(d time.Duration) {
	for end := l.now.Add(d); l.now.Before(end); {
		l.advance(time.Second / time.Duration(l.requestsPerSecond))
		l.sent++
		id := fmt.Sprint(l.sent)
		l.waiting[id] = true
		l.record(id, l.submit(l.newRequest(id, "m0")))
		for _, v := range l.plan.EvaluateWaiting(l.now, func(id string) bool { return l.waiting[id] }) {
			l.record(v.ID, v.Verdict)
		}
		for _, order := range l.decide() {
			if count, ok := l.plan.AcceptedOrders(order); ok {
				l.plan.SetAcceptedOrders(order, count+1)
			}
			l.plan.Finish(order, swap.OutcomeDone, l.now)
		}
	}
}

func (l *limitedLoad) record(id string, v swap.Verdict) {
	switch v.Kind {
	case swap.VerdictGranted:
		server := v.Grant.Server.ID
		l.granted[server] = append(l.granted[server], l.now)
	case swap.VerdictRefused:
		l.refused++
	default:
		return
	}
	delete(l.waiting, id)
}

// limitRate makes a server name a rate limit.
func (f *fixture) limitRate(server azurehitch.FleetServer, perSecond float64) {
	f.plan.SetRateLimits(map[azurehitch.ServerIdentity]float64{server.ServerIdentity: perSecond}, f.now)
}

// assertWithinLimit checks that the grants at a server stay within its rate limit.
func assertWithinLimit(c *qt.C, grants []time.Time, perSecond float64) {
	c.Helper()
	most := limitbound.MostInWindow(grants)
	c.Assert(float64(most) <= limitbound.Allowed(perSecond), qt.IsTrue, qt.Commentf("%d grants in a window", most))
}

func TestRateLimit(t *testing.T) {
	for _, perSecond := range []float64{0.3, 1.1, 4} {
		t.Run(fmt.Sprintf("the only replica gets no more than %g requests a second", perSecond), func(t *testing.T) {
			f := newFixture(t, 1)
			s := f.addServer("s", []string{"m0"}, []string{"m0"})
			f.limitRate(s, perSecond)
			load := newLimitedLoad(f, 10)
			const duration = 40 * time.Second
			load.run(duration)
			grants := load.granted["s"]
			assertWithinLimit(f.C, grants, perSecond)
			f.Assert(float64(len(grants)) >= 0.9*perSecond*duration.Seconds()-1, qt.IsTrue, qt.Commentf("only %d grants", len(grants)))
		})
	}
	t.Run("a new holder does not grant at once what its predecessor may have granted", func(t *testing.T) {
		const perSecond, holders = 6, 4
		var grants []time.Time
		now := start
		for range holders {
			f := newFixture(t, 1)
			f.now = now
			s := f.addServer("s", []string{"m0"}, []string{"m0"})
			f.limitRate(s, perSecond)
			load := newLimitedLoad(f, 20)
			load.run(time.Second)
			grants = append(grants, load.granted["s"]...)
			now = f.now
		}
		assertWithinLimit(qt.New(t), grants, perSecond)
	})
	t.Run("the load moves to a replica on a server that has a copy", func(t *testing.T) {
		f := newFixture(t, 1)
		s := f.addServer("s", []string{"m0"}, []string{"m0"})
		f.addServer("other", nil, []string{"m0"})
		f.limitRate(s, 1)
		load := newLimitedLoad(f, 10)
		load.run(10 * time.Second)
		f.Assert(load.refused, qt.Equals, 0)
		f.Assert(len(load.granted["other"]) > 50, qt.IsTrue, qt.Commentf("%d grants", len(load.granted["other"])))
		assertWithinLimit(f.C, load.granted["s"], 1)
	})
	t.Run("more demand than the limit justifies a load from the weight store", func(t *testing.T) {
		f := newFixture(t, 1)
		s := f.addServer("s", []string{"m0"}, []string{"m0"})
		f.addServer("other", nil, nil)
		f.limitRate(s, 1)
		load := newLimitedLoad(f, 10)
		load.run(10 * time.Second)
		f.Assert(len(load.granted["other"]) > 0, qt.IsTrue)
	})
	t.Run("a rare model needs no further replica", func(t *testing.T) {
		f := newFixture(t, 1)
		s := f.addServer("s", []string{"m0"}, []string{"m0"})
		f.addServer("other", nil, []string{"m0"})
		f.limitRate(s, 1)
		for i := range 5 {
			f.advance(4 * time.Second)
			f.assertKind(f.submit(f.newRequest(fmt.Sprint(i), "m0")), swap.VerdictGranted)
			f.Assert(f.decide(), qt.HasLen, 0)
		}
	})
	t.Run("nothing is pinned on a limited server", func(t *testing.T) {
		f := newFixture(t, 1)
		s := f.addServer("s", []string{"m0"}, []string{"m0"})
		f.addServer("other", []string{"m0"}, []string{"m0"})
		newLimitedLoad(f, 10).run(2 * time.Second)
		f.Assert(pinnedServers(f), qt.DeepEquals, map[string]bool{"s": true, "other": true})
		f.limitRate(s, 1)
		newLimitedLoad(f, 10).run(time.Second)
		f.Assert(pinnedServers(f), qt.DeepEquals, map[string]bool{"other": true})
		f.plan.SetRateLimits(nil, f.now)
		newLimitedLoad(f, 10).run(time.Second)
		f.Assert(pinnedServers(f), qt.DeepEquals, map[string]bool{"s": true, "other": true})
	})
	t.Run("a grant says that it is counted", func(t *testing.T) {
		f := newFixture(t, 1)
		s := f.addServer("s", []string{"m0"}, []string{"m0"})
		f.Assert(f.submit(f.newRequest("1", "m0")).Grant.RateLimited, qt.IsFalse)
		f.limitRate(s, 1)
		f.advance(time.Second)
		f.Assert(f.submit(f.newRequest("2", "m0")).Grant.RateLimited, qt.IsTrue)
	})
	t.Run("a request that can't be served within the limit is refused at once", func(t *testing.T) {
		f := newFixture(t, 1)
		s := f.addServer("s", []string{"m0"}, []string{"m0"})
		f.limitRate(s, 0.05)
		verdict := f.submit(f.newRequest("1", "m0"))
		f.assertKind(verdict, swap.VerdictRefused)
		f.Assert(verdict.Estimate >= 10*time.Second, qt.IsTrue, qt.Commentf("%v", verdict.Estimate))
	})
}

func pinnedServers(f *fixture) map[string]bool {
	servers := map[string]bool{}
	for _, pin := range f.plan.PinnedReplicas() {
		servers[pin.Server] = true
	}
	return servers
}
