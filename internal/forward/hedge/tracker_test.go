package hedge_test

import (
	"fmt"
	"testing"
	"time"

	"azurehitch"
	"azurehitch/internal/forward/hedge"
	"azurehitch/internal/forward/retrybudget"
	"azurehitch/internal/standin/manualclock"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// budget is a retry budget without a limit unless isSpent is set.
type budget struct {
	isSpent  bool
	refunded int
}

func (b *budget) SpendSpare(string) (azurehitch.RetryCharge, bool) { return (*charge)(b), !b.isSpent }

type charge budget

func (*charge) Sent()     {}
func (c *charge) Refund() { c.refunded++ }

// service is a service with servers in two failure domains, in turn.
type service struct {
	azurehitch.BackendService
	clock   *manualclock.Clock
	budget  *budget
	tracker *hedge.Tracker
	servers []hedge.Server
}

func newService(servers int, share float64) *service {
	s := &service{
		BackendService: azurehitch.BackendService{Name: "web"}, clock: manualclock.New(), budget: &budget{},
	}
	s.tracker = hedge.New(s.clock, s.budget, azurehitch.NewHedgeShare(share))
	for i := range servers {
		s.servers = append(s.servers, hedge.Server{
			ServerIdentity: azurehitch.ServerIdentity{ID: fmt.Sprint("s", i)}, FailureDomain: fmt.Sprint("d", i%2),
		})
	}
	return s
}

// call makes a call that takes some time.
func (s *service) call(server int, took time.Duration, outcome hedge.Outcome) {
	s.tracker.Earn(s.BackendService)
	exchange := s.tracker.Begin(s.Name, "r", s.servers[server].ServerIdentity)
	s.clock.Time = s.clock.Time.Add(took)
	exchange.End(outcome)
}

func (s *service) calls(n, server int, took time.Duration) {
	for range n {
		s.call(server, took, hedge.OutcomeAnswered)
	}
}

// delay returns what was learnt, a moment after the last call.
func (s *service) delay(server int) hedge.Delay {
	s.clock.Time = s.clock.Time.Add(50 * time.Millisecond)
	exchange := s.tracker.Begin(s.Name, "r", s.servers[server].ServerIdentity)
	exchange.End(hedge.OutcomeCanceled)
	return exchange.Delay
}

func (s *service) decide(first int) (*hedge.Permit, hedge.Denial) {
	return s.tracker.Decide(hedge.Request{Service: s.BackendService, Route: "r", First: s.servers[first].ServerIdentity, Servers: s.servers})
}

// TestDelay guards against hedges by a time that was not learnt at the server, or long ago.
func TestDelay(t *testing.T) {
	const usual = 40 * time.Millisecond
	for _, test := range []struct {
		name  string
		learn func(s *service)
		want  time.Duration
	}{
		{"no calls", func(*service) {}, 0},
		{"too few calls", func(s *service) { s.calls(19, 0, usual) }, 0},
		{"enough calls", func(s *service) { s.calls(20, 0, usual) }, usual},
		{"other servers differ", func(s *service) { s.calls(30, 0, usual); s.calls(90, 1, 5*usual) }, usual},
		{"enough calls at all servers only", func(s *service) { s.calls(25, 1, usual); s.calls(15, 2, 3*usual) }, 3 * usual},
		{"too few at all servers", func(s *service) { s.calls(39, 1, usual) }, 0},
		{"old", func(s *service) {
			s.calls(90, 0, usual)
			s.clock.Time = s.clock.Time.Add(61 * time.Second)
		}, 0},
		{"faster than the daemon is scheduled", func(s *service) { s.calls(60, 0, time.Millisecond) }, 10 * time.Millisecond},
		{"failures are not calls", func(s *service) {
			for range 60 {
				s.call(0, usual, hedge.OutcomeRejected)
			}
		}, 0},
		{"one in twenty is late", func(s *service) {
			for range 6 {
				s.calls(1, 0, 9*usual)
				s.calls(20, 0, usual)
			}
		}, usual},
		{"calls that were ended early don't make it shorter", func(s *service) {
			for range 6 {
				s.calls(10, 0, usual)
				s.call(0, usual/2, hedge.OutcomeCanceled)
			}
		}, usual},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := newService(3, 1)
			test.learn(s)
			got := s.delay(0)
			qt.New(t).Assert(got.Duration, qt.Equals, test.want*5/4)
			qt.New(t).Assert(got.IsLearnt, qt.Equals, test.want > 0)
		})
	}
}

// TestDenials guards against hedges that add to the load of a service in trouble, and against denials that
// are counted under another cause.
func TestDenials(t *testing.T) {
	set := func(denials ...hedge.Denial) func(s *service) {
		return func(s *service) {
			for i, d := range denials {
				s.servers[i+1].Denial = d
			}
		}
	}
	for _, test := range []struct {
		name    string
		servers int
		change  func(s *service)
		want    hedge.Denial
	}{
		{"all is well", 4, func(*service) {}, ""},
		{"one server", 1, func(*service) {}, hedge.DenialNoOtherServer},
		{"retry budget", 4, func(s *service) { s.budget.isSpent = true }, hedge.DenialBudget},
		{"a brittle server", 4, set(hedge.DenialBrittle), hedge.DenialBrittle},
		{"a full server of three others", 4, set(hedge.DenialServiceFull), ""},
		{"two full servers of three others", 4, set(hedge.DenialServiceFull, hedge.DenialServiceFull), hedge.DenialServiceFull},
		{"rate limits", 4, set(hedge.DenialRateLimited, hedge.DenialRateLimited), hedge.DenialRateLimited},
		{"failures", 4, set(hedge.DenialFailing, hedge.DenialFailing), hedge.DenialFailing},
		{"the only other server rejected", 2, func(s *service) { s.call(1, 0, hedge.OutcomeRejected) }, hedge.DenialServiceFull},
		{"the only other server failed", 2, func(s *service) { s.call(1, 0, hedge.OutcomeFailed) }, hedge.DenialFailing},
		{"the only other server was late", 2, func(s *service) { s.call(1, time.Second, hedge.OutcomeAnswered) }, hedge.DenialServiceFull},
		{"it is on time again", 2, func(s *service) {
			s.call(1, time.Second, hedge.OutcomeAnswered)
			s.clock.Time = s.clock.Time.Add(time.Millisecond)
			s.calls(1, 1, time.Millisecond)
		}, ""},
		{"it rejected calls and answers again", 2, func(s *service) {
			s.call(1, 0, hedge.OutcomeRejected)
			s.clock.Time = s.clock.Time.Add(time.Millisecond)
			s.calls(1, 1, time.Millisecond)
		}, ""},
		{"it rejected long ago", 2, func(s *service) {
			s.call(1, 0, hedge.OutcomeRejected)
			s.clock.Time = s.clock.Time.Add(10 * time.Second)
		}, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := newService(test.servers, 1)
			for i := range s.servers {
				s.calls(30, i, 20*time.Millisecond)
			}
			test.change(s)
			_, denial := s.decide(0)
			qt.New(t).Assert(denial, qt.Equals, test.want)
		})
	}
}

// TestOtherFailureDomain guards against hedges in the failure domain that makes the first server late.
func TestOtherFailureDomain(t *testing.T) {
	for servers, want := range map[int]int{2: 1, 4: 2, 3: 2} {
		s := newService(servers, 1)
		s.calls(30, 0, 0)
		permit, _ := s.decide(0)
		qt.New(t).Assert(permit.Avoid, qt.HasLen, want, qt.Commentf("%d servers: %v", servers, permit.Avoid))
	}
}

// TestShareSettings guards against hedges that operators have not allowed, in the settings or for a service.
func TestShareSettings(t *testing.T) {
	for _, test := range []struct {
		flag, service azurehitch.HedgeShare
		want          bool
	}{
		{azurehitch.HedgeShare{}, azurehitch.HedgeShare{}, false},
		{azurehitch.NewHedgeShare(0.02), azurehitch.HedgeShare{}, true},
		{azurehitch.HedgeShare{}, azurehitch.NewHedgeShare(0.02), true},
		{azurehitch.NewHedgeShare(0), azurehitch.NewHedgeShare(0.02), false},
		{azurehitch.NewHedgeShare(0.02), azurehitch.NewHedgeShare(0), false},
		{azurehitch.NewHedgeShare(0.02), azurehitch.NewHedgeShare(-1), false},
		{azurehitch.NewHedgeShare(2), azurehitch.HedgeShare{}, false},
	} {
		tracker := hedge.New(manualclock.New(), &budget{}, test.flag)
		got := tracker.IsOn(azurehitch.BackendService{Name: "web", HedgeShare: test.service})
		qt.New(t).Assert(got, qt.Equals, test.want, qt.Commentf("%v and %v", test.flag, test.service))
	}
}

// TestShareInAnyWindow guards against more hedges than the share allows in the five minutes before any of them, also
// when all calls are late.
func TestShareInAnyWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const share = 0.05
		s := newService(2, share)
		var requests, hedges []time.Time
		within := func(times []time.Time, end time.Time) (n int) {
			for _, at := range times {
				if !at.After(end) && end.Sub(at) < 5*time.Minute {
					n++
				}
			}
			return n
		}
		for range rapid.IntRange(100, 600).Draw(t, "calls") {
			s.clock.Time = s.clock.Time.Add(time.Duration(rapid.IntRange(0, 3500).Draw(t, "ms")) * time.Millisecond)
			s.calls(1, 0, 0)
			requests = append(requests, s.clock.Time)
			permit, denial := s.decide(0)
			if denial != "" {
				continue
			}
			permit.Sent()
			hedges = append(hedges, s.clock.Time)
			n, allowed := within(hedges, s.clock.Time), share*float64(within(requests, s.clock.Time))
			if float64(n) > allowed {
				t.Fatalf("%d hedges in five minutes, %v are allowed", n, allowed)
			}
		}
	})
}

// TestRoomOfRetries guards against hedges that take the part of the retry budget that is kept for retries.
func TestRoomOfRetries(t *testing.T) {
	c := qt.New(t)
	clock := manualclock.New()
	limits := retrybudget.Limits{Ratio: 0.2, Window: 10 * time.Second}
	retries := retrybudget.New(clock, limits, alone{})
	tracker := hedge.New(clock, retries, azurehitch.NewHedgeShare(1))
	web := azurehitch.BackendService{Name: "web"}
	for range 400 {
		retries.Earn(web.Name)
		tracker.Earn(web)
	}
	servers := []hedge.Server{{ServerIdentity: azurehitch.ServerIdentity{ID: "a"}}, {ServerIdentity: azurehitch.ServerIdentity{ID: "b"}}}
	hedges := 0
	for {
		permit, denial := tracker.Decide(hedge.Request{Service: web, First: servers[0].ServerIdentity, Servers: servers})
		if denial != "" {
			c.Assert(denial, qt.Equals, hedge.DenialBudget)
			break
		}
		permit.Sent()
		hedges++
	}
	sent := 0
	for charge, ok := retries.Spend(web.Name); ok; charge, ok = retries.Spend(web.Name) {
		charge.Sent()
		sent++
	}
	c.Assert(hedges, qt.Equals, 30)
	c.Assert(sent, qt.Equals, 30)
}

// alone is a daemon without others.
type alone struct{}

func (alone) Count() int      { return 1 }
func (alone) IsRestart() bool { return false }
