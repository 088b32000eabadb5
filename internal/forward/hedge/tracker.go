// Package hedge decides whether a call is sent to a second server while the first one is late.
//
// # Usage
//
//	tracker := hedge.New(clock, retryBudget, azurehitch.NewHedgeShare(0.02))
//	tracker.Earn(service)
//	exchange := tracker.Begin(service.Name, route.Name, server)
//	if exchange.Delay.IsLearnt {
//		... // no head after exchange.Delay.Duration
//		exchange.Late()
//		permit, denial := tracker.Decide(hedge.Request{Service: service, Route: route.Name, First: server, Servers: servers})
//	}
//	exchange.End(hedge.OutcomeAnswered)
//
// A call is late when its server takes longer to answer than it usually does: longer than a quantile that is
// learnt at run time, with a margin. The share that operators allow and a part of the retry budget limit the hedges. When
// most servers of a service are late, reject or fail, there are none, so that they don't add to an overload.
package hedge

import (
	"strconv"
	"sync"
	"time"

	"azurehitch"
	"azurehitch/internal/forward/runtimes"
)

const (
	// A call is late when it takes lateFactor times the quantile. At the quantile itself, one in twenty of the calls
	// at servers without trouble would use up a small share: with a share of 0.02 and 0.04 of the calls at slow servers,
	// the factor left 0.021 to 0.030 of the calls late in simulations instead of 0.023 to 0.034.
	quantile   = 0.95
	lateFactor = 1.25
	// timeWindow is how long the time of a call is remembered, and maxTimes the number of calls.
	timeWindow = 5 * time.Minute
	maxTimes   = 128
	// minServerTimes and minServiceTimes are the numbers of calls from which a time is learnt, of one server
	// and of all servers of a service.
	minServerTimes  = 20
	minServiceTimes = 40
	// maxAge is the age from which a learnt time is not used.
	maxAge = time.Minute
	// minDelay is the shortest time after which a call counts as late. Hosts with a fifth of a core are
	// scheduled that late themselves.
	minDelay = 10 * time.Millisecond
)

// Budget is the retry budget of the daemon.
type Budget interface {
	// SpendSpare charges a hedge, and returns false unless enough of the budget stays free for retries.
	SpendSpare(service string) (azurehitch.RetryCharge, bool)
}

// Delay is the time to the head of an answer that most calls don't exceed.
type Delay struct {
	// IsLearnt is false if there are too few calls, or only old ones.
	IsLearnt bool
	Duration time.Duration
	// Age is the time since the last call from which it was learnt.
	Age time.Duration
}

// Tracker observes the calls of a daemon and decides about hedges. It is safe for concurrent use.
type Tracker struct {
	clock  azurehitch.Clock
	budget Budget
	// serverTimes are by server and route, serviceTimes and typicalTimes by service and route.
	serverTimes  *runtimes.Tracker
	serviceTimes *runtimes.Tracker
	typicalTimes *runtimes.Tracker

	mu       sync.Mutex
	share    azurehitch.HedgeShare
	services map[string]*counts
	marks    map[azurehitch.ServerIdentity]marks
	// paces are the normal times, by the key of the calls.
	paces map[string]pace
}

// New returns a tracker that has learnt nothing yet. The share limits the hedges of each service; without
// one, only services with a share of their own have hedges.
func New(clock azurehitch.Clock, budget Budget, share azurehitch.HedgeShare) *Tracker {
	newTimes := func(minSamples int) *runtimes.Tracker {
		return runtimes.NewTrackerWith(clock, runtimes.Settings{
			Quantile: quantile, Window: timeWindow, MaxSamples: maxTimes, MinSamples: minSamples,
		})
	}
	return &Tracker{
		clock: clock, budget: budget, share: share,
		serverTimes: newTimes(minServerTimes), serviceTimes: newTimes(minServiceTimes),
		typicalTimes: runtimes.NewTrackerWith(clock, typicalSettings()),
		services:     map[string]*counts{}, marks: map[azurehitch.ServerIdentity]marks{}, paces: map[string]pace{},
	}
}

// IsOn reports whether the calls of a service may be hedged at all.
func (t *Tracker) IsOn(service azurehitch.BackendService) bool { return t.shareOf(service) > 0 }

// shareOf returns the number of hedges per request of a service.
func (t *Tracker) shareOf(service azurehitch.BackendService) float64 {
	return t.share.Smaller(service.HedgeShare).Share
}

// Outcome says how an exchange ended.
type Outcome string

// The outcomes of exchanges.
const (
	// OutcomeAnswered is that of an exchange with the head of an answer.
	OutcomeAnswered Outcome = "Answered"
	// OutcomeRejected is that of a call that the server did not run.
	OutcomeRejected Outcome = "Rejected"
	OutcomeFailed   Outcome = "Failed"
	// OutcomeCanceled is that of an exchange that this daemon or its caller ended.
	OutcomeCanceled Outcome = "Canceled"
)

// Exchange is a call in progress at a server.
type Exchange struct {
	// Delay is after which time the call is late.
	Delay Delay

	tracker   *Tracker
	server    azurehitch.ServerIdentity
	startedAt time.Time
	runs      [3]*runtimes.Run
}

// Begin records that a call is about to be sent to a server.
func (t *Tracker) Begin(service, route string, server azurehitch.ServerIdentity) *Exchange {
	serverKey := server.ID + "\x00" + server.Address + "\x00" + strconv.FormatInt(server.Incarnation, 10) + "\x00" + route
	ofService := serviceKey(service, route)
	// The normal time of the service is learnt from each call.
	t.isSlowed(service, route)
	return &Exchange{
		Delay:   t.delay(serverKey, ofService),
		tracker: t, server: server, startedAt: t.clock.Now(),
		runs: [3]*runtimes.Run{
			t.serverTimes.Begin(serverKey), t.serviceTimes.Begin(ofService), t.typicalTimes.Begin(ofService),
		},
	}
}

// serviceKey returns the key of the calls of a service and a route.
func serviceKey(service, route string) string { return service + "\x00" + route }

// delay returns the time that was learnt for a server, or else the one for its service.
func (t *Tracker) delay(serverKey, ofService string) Delay {
	key := serverKey
	duration, age, ok := t.serverTimes.Learnt(key)
	if !ok || age > maxAge {
		key = ofService
		duration, age, ok = t.serviceTimes.Learnt(key)
	}
	if !ok || age > maxAge {
		return Delay{}
	}
	return Delay{IsLearnt: true, Duration: time.Duration(lateFactor * float64(t.normal(key, duration))), Age: age}
}

// Late records that no head has come within the delay.
func (e *Exchange) Late() {
	e.tracker.mark(e.server, func(m *marks, now time.Time) { m.lateAt = now })
}

// End records the head of the answer, or why there was none.
func (e *Exchange) End(outcome Outcome) {
	took := e.tracker.clock.Now().Sub(e.startedAt)
	runOutcome := runtimes.OutcomeFailed
	if outcome == OutcomeAnswered {
		runOutcome = runtimes.OutcomeComplete
	}
	for _, run := range e.runs {
		run.End(runOutcome)
	}
	isLate := e.Delay.IsLearnt && took > e.Delay.Duration
	e.tracker.mark(e.server, func(m *marks, now time.Time) {
		switch {
		case outcome == OutcomeRejected:
			m.rejectedAt = now
		case outcome == OutcomeFailed:
			m.failedAt = now
		case isLate:
			m.lateAt = now
		case outcome == OutcomeAnswered:
			m.clear(e.startedAt)
		}
	})
}
