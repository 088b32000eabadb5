package swap_test

import (
	"fmt"
	"testing"
	"time"

	"azurehitch"
	"azurehitch/internal/placement/swap"

	qt "github.com/frankban/quicktest"
)

// overload is a load test of a model with a single replica.
type overload struct {
	// runTime is how long each request runs after its grant.
	runTime           time.Duration
	requestsPerSecond int
	duration          time.Duration
	// kindOf returns the kind of the i-th request.
	kindOf func(i int) requestKind
	// accountOf returns the client account of the i-th request; nil without accounts.
	accountOf func(i int) string
}

// requestKind is a class of requests with the same urgency and time limits.
type requestKind struct {
	name string
	// urgency is the rank as in swap.Request: 0 is the most urgent.
	urgency             int
	objective, deadline time.Duration
}

// kindOutcome counts the outcomes of the requests of a kind. A request is late if it is granted
// after its objective.
type kindOutcome struct{ requested, onTime, late, refused int }

func (o kindOutcome) onTimeShare() float64 { return float64(o.onTime) / float64(o.requested) }

// simulation runs an overload against a plan. The maps arrivedAt, kinds and waiting are keyed by
// request ID, and outcomes by the name of the kind.
type simulation struct {
	*fixture
	load      overload
	arrivedAt map[string]time.Time
	kinds     map[string]requestKind
	waiting   map[string]bool
	// runEnds are the times at which the running requests end.
	runEnds   []time.Time
	lastGrant int64
	outcomes  map[string]*kindOutcome
	// isReportDue reports whether the daemon sends its report at a step, given that a request has ended at
	// an awaited server since the last one; nil means at each step.
	isReportDue func(freed bool) bool
	// freed is true if a request has ended at an awaited server since the last report.
	freed bool
}

// run returns the outcomes by the name of the kind.
func (load overload) run(t *testing.T) map[string]*kindOutcome {
	t.Helper()
	s := newSimulation(t, load)
	for i := range int(load.duration.Seconds()) * load.requestsPerSecond {
		s.advance(time.Second / time.Duration(load.requestsPerSecond))
		s.step(i)
	}
	return s.outcomes
}

func newSimulation(t *testing.T, load overload) *simulation {
	t.Helper()
	f := newFixture(t, 1)
	f.limits.Models["m0"] = azurehitch.ModelLimits{Memory: 200 * gigabyte, RemoteLoad: time.Minute, DiskLoad: time.Minute, MemoryLoad: time.Minute}
	f.plan.SetLimits(f.limits)
	f.addServer("s0", []string{"m0"}, []string{"m0"})
	return &simulation{
		fixture: f, load: load, arrivedAt: map[string]time.Time{}, kinds: map[string]requestKind{}, waiting: map[string]bool{},
		outcomes: map[string]*kindOutcome{},
	}
}

// step ends the requests that are done, evaluates the waiting requests and submits request i.
func (s *simulation) step(i int) {
	running := s.runEnds[:0]
	for _, end := range s.runEnds {
		if s.now.Before(end) {
			running = append(running, end)
		}
	}
	s.freed = s.freed || len(running) < len(s.runEnds) && len(s.plan.AwaitedServers()) > 0
	s.runEnds = running
	if s.isReportDue == nil || s.isReportDue(s.freed) {
		s.freed = false
		s.plan.SetDemand("daemon-1", swap.Demand{
			InProgress: map[swap.Replica]int{{Server: "s0", Model: "m0"}: len(s.runEnds)}, LastGrant: s.lastGrant,
		}, s.now)
	}
	for _, decided := range s.plan.EvaluateWaiting(s.now, func(id string) bool { return s.waiting[id] }) {
		s.recordVerdict(decided.ID, decided.Verdict)
	}
	id, k := fmt.Sprintf("r%05d", i), s.load.kindOf(i)
	s.arrivedAt[id], s.kinds[id] = s.now, k
	if s.outcomes[k.name] == nil {
		s.outcomes[k.name] = &kindOutcome{}
	}
	s.outcomes[k.name].requested++
	request := s.newRequest(id, "m0")
	if s.load.accountOf != nil {
		request.Account = s.load.accountOf(i)
	}
	request.Objective, request.Deadline, request.Urgency = s.now.Add(k.objective), s.now.Add(k.deadline), k.urgency
	s.recordVerdict(id, s.submit(request))
}

// recordVerdict counts a verdict and updates the state of the request.
func (s *simulation) recordVerdict(id string, verdict swap.Verdict) {
	delete(s.waiting, id)
	k := s.kinds[id]
	counts := s.outcomes[k.name]
	switch verdict.Kind {
	case swap.VerdictGranted:
		s.runEnds = append(s.runEnds, s.now.Add(s.load.runTime))
		s.lastGrant = max(s.lastGrant, verdict.Grant.Number)
		if s.now.Sub(s.arrivedAt[id]) < k.objective {
			counts.onTime++
			return
		}
		counts.late++
	case swap.VerdictWaiting:
		s.waiting[id] = true
	case swap.VerdictRefused:
		counts.refused++
	}
}

var draft = requestKind{name: "draft", urgency: 1, objective: 600 * time.Millisecond, deadline: 5 * time.Second}

// TestOverload covers a model that is requested at 1.5 times the rate that its only replica can
// serve.
func TestOverload(t *testing.T) {
	const (
		runTime           = 500 * time.Millisecond
		requestsPerSecond = slots * 3
		duration          = 20 * time.Second
		// minShare is the minimum share of the servable requests that must be on time. It allows
		// for the first seconds and for rounding.
		minShare = 0.85
	)
	// servableShare is the share of requests for which the replica has slots.
	servableShare := slots / runTime.Seconds() / requestsPerSecond
	// If requests were served in the order of arrival, all would be late.
	t.Run("as many requests as can be served are on time", func(t *testing.T) {
		load := overload{runTime: runTime, requestsPerSecond: requestsPerSecond, duration: duration, kindOf: func(int) requestKind { return draft }}
		share := load.run(t)["draft"].onTimeShare()
		qt.New(t).Assert(share >= minShare*servableShare, qt.IsTrue,
			qt.Commentf("%.2f of the requests were on time, there were slots for %.2f", share, servableShare))
	})
	t.Run("urgent requests don't starve the others", func(t *testing.T) {
		const reviewEvery = 12
		review := requestKind{name: "review", urgency: 2, objective: time.Second, deadline: 5 * time.Second}
		load := overload{runTime: runTime, requestsPerSecond: requestsPerSecond, duration: duration, kindOf: func(i int) requestKind {
			if i%reviewEvery == 0 {
				return review
			}
			return draft
		}}
		outcomes := load.run(t)
		drafts, reviews := outcomes["draft"].onTimeShare(), outcomes["review"].onTimeShare()
		qt.New(t).Assert(reviews >= minShare*drafts, qt.IsTrue, qt.Commentf("reviews %.2f, drafts %.2f on time", reviews, drafts))
	})
}

// TestCompetingKinds covers a replica that is short of slots for kinds of different objectives: with an order by
// arrival, patient requests got nearly all slots that they asked for, and the kind between lost nearly all.
func TestCompetingKinds(t *testing.T) {
	hint := requestKind{name: "hint", urgency: 0, objective: 400 * time.Millisecond, deadline: 2 * time.Second}
	check := requestKind{name: "check", urgency: 1, objective: 500 * time.Millisecond, deadline: 2 * time.Second}
	tale := requestKind{name: "tale", urgency: 2, objective: 6 * time.Second, deadline: 24 * time.Second}
	kinds := []requestKind{hint, tale, hint, check, hint, tale, hint, check, hint, tale}
	const runTime = 500 * time.Millisecond
	capacity := int(slots / runTime.Seconds())
	// run returns the share of each kind that is on time; between 3 of 10 seconds, the rate is multiplied by burst.
	run := func(t *testing.T, perSecond int, burst float64) (hints, checks, tales float64) {
		s := newSimulation(t, overload{runTime: runTime, kindOf: func(i int) requestKind { return kinds[i%len(kinds)] }})
		for i := 0; s.now.Before(start.Add(time.Minute)); i++ {
			rate := float64(perSecond)
			if int(s.now.Sub(start).Seconds())%10 < 3 {
				rate *= burst
			}
			s.advance(time.Duration(float64(time.Second) / rate))
			s.step(i)
		}
		return s.outcomes["hint"].onTimeShare(), s.outcomes["check"].onTimeShare(), s.outcomes["tale"].onTimeShare()
	}
	for name, load := range map[string]struct {
		perSecond int
		burst     float64
		servable  float64
	}{
		"bursts":           {perSecond: capacity - 2, burst: 1.6, servable: 0.9},
		"lasting overload": {perSecond: capacity * 5 / 4, burst: 1, servable: 0.8},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			hints, checks, tales := run(t, load.perSecond, load.burst)
			shares := qt.Commentf("on time: hints %.3f, checks %.3f, tales %.3f", hints, checks, tales)
			c.Assert(hints >= checks && checks >= tales, qt.IsTrue, shares)
			c.Assert(tales >= 0.85*load.servable, qt.IsTrue, shares)
		})
	}
	t.Run("with room, all are on time", func(t *testing.T) {
		hints, checks, tales := run(t, capacity-2, 1)
		qt.New(t).Assert([]float64{hints, checks, tales}, qt.DeepEquals, []float64{1, 1, 1})
	})
}

// TestRunTime sends a burst of 60 short requests, which the replica can serve within a second. None
// may be refused, since the run time is estimated from the preceding requests.
func TestRunTime(t *testing.T) {
	const requestsPerSecond, steadyBefore, burst, steadyAfter = 40, 200, 60, 100
	s := newSimulation(t, overload{runTime: 200 * time.Millisecond, kindOf: func(int) requestKind { return draft }})
	for i := range steadyBefore + burst + steadyAfter {
		if i < steadyBefore || i >= steadyBefore+burst {
			s.advance(time.Second / requestsPerSecond)
		}
		s.step(i)
	}
	counts := s.outcomes["draft"]
	s.Assert(counts.refused, qt.Equals, 0, qt.Commentf("%+v", *counts))
	s.Assert(counts.onTime+counts.late, qt.Equals, counts.requested)
}
