// Package runtimes learns how long the requests of each route take at their servers.
//
// # Usage
//
//	tracker := runtimes.NewTracker(clock)
//	run := tracker.Begin("chat")
//	...
//	run.End(runtimes.OutcomeComplete)
//	estimate := tracker.Estimate("chat", route.Timeout)
//
// The estimate is an upper one: most requests take less. It is the Kaplan-Meier estimate of a quantile,
// from the requests that ended lately and those that still run, so that it grows as soon as requests
// become slower.
package runtimes

import (
	"maps"
	"slices"
	"sync"
	"time"

	"azurehitch"
)

// refreshInterval is how often an estimate is computed anew.
const refreshInterval = 50 * time.Millisecond

// Settings say which requests count, and what is estimated from them.
type Settings struct {
	// Quantile is the fraction of the requests of a route that take no longer than the estimate.
	Quantile float64
	// Window is the time for which a request is remembered, and MaxSamples the number of requests of
	// a route that are remembered.
	Window     time.Duration
	MaxSamples int
	// MinSamples is the number of complete requests below which there is no estimate.
	MinSamples int
}

// DefaultSettings returns the settings of an upper estimate of whole requests.
func DefaultSettings() Settings {
	return Settings{Quantile: 0.99, Window: 5 * time.Minute, MaxSamples: 256, MinSamples: 100}
}

// Outcome says how a request ended.
type Outcome string

// The outcomes of requests.
const (
	OutcomeComplete Outcome = "Complete"
	// OutcomeFailed is that of a request which would have taken longer.
	OutcomeFailed Outcome = "Failed"
)

// Tracker remembers durations of requests. It is safe for concurrent use.
type Tracker struct {
	clock    azurehitch.Clock
	settings Settings
	mu       sync.Mutex
	routes   map[string]*history
}

// history holds the requests of one route.
type history struct {
	settings Settings
	running  map[*Run]struct{}
	// samples are the requests that ended last, in that order.
	samples []sample
	current estimate
}

// estimate is the estimate of a route at a time.
type estimate struct {
	madeAt   time.Time
	duration time.Duration
	// newestAt is when the last complete request ended.
	newestAt time.Time
	// isKnown is false if too few requests have ended.
	isKnown bool
}

// sample is a request that has ended.
type sample struct {
	startedAt time.Time
	endedAt   time.Time
	outcome   Outcome
}

// Run is a request that a server has begun to run.
type Run struct {
	tracker   *Tracker
	route     string
	startedAt time.Time
}

// NewTracker returns a tracker with the default settings that remembers nothing yet.
func NewTracker(clock azurehitch.Clock) *Tracker {
	return NewTrackerWith(clock, DefaultSettings())
}

// NewTrackerWith returns a tracker that remembers nothing yet.
func NewTrackerWith(clock azurehitch.Clock, settings Settings) *Tracker {
	return &Tracker{clock: clock, settings: settings, routes: map[string]*history{}}
}

// Begin records that a request of a route is about to be sent to a server.
func (t *Tracker) Begin(route string) *Run {
	t.mu.Lock()
	defer t.mu.Unlock()
	run := &Run{tracker: t, route: route, startedAt: t.clock.Now()}
	if t.routes[route] == nil {
		t.forgetUnused(run.startedAt)
		t.routes[route] = &history{settings: t.settings, running: map[*Run]struct{}{}}
	}
	t.routes[route].running[run] = struct{}{}
	return run
}

// forgetUnused forgets the routes that have had no requests for the window.
func (t *Tracker) forgetUnused(now time.Time) {
	maps.DeleteFunc(t.routes, func(_ string, h *history) bool {
		h.forgetOld(now)
		return len(h.running) == 0 && len(h.samples) == 0
	})
}

// End records the end of the request. Further calls have no effect.
func (r *Run) End(outcome Outcome) {
	t := r.tracker
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.routes[r.route]
	if h == nil {
		return
	}
	if _, isRunning := h.running[r]; !isRunning {
		return
	}
	delete(h.running, r)
	h.add(sample{startedAt: r.startedAt, endedAt: t.clock.Now(), outcome: outcome})
}

func (h *history) add(s sample) {
	if len(h.samples) == h.settings.MaxSamples {
		h.samples = slices.Delete(h.samples, 0, 1)
	}
	h.samples = append(h.samples, s)
}

// forgetOld forgets the requests that ended before the window.
func (h *history) forgetOld(now time.Time) {
	for len(h.samples) > 0 && now.Sub(h.samples[0].endedAt) > h.settings.Window {
		h.samples = slices.Delete(h.samples, 0, 1)
	}
}

// Estimate returns how long a request of a route takes at most, as a rule, but not more than the
// timeout of the route. Without enough requests, it returns the timeout.
func (t *Tracker) Estimate(route string, timeout time.Duration) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.routes[route]
	if h == nil {
		return timeout
	}
	if e := h.estimate(t.clock.Now()); e.isKnown {
		return min(e.duration, timeout)
	}
	return timeout
}

// Learnt returns the estimate of a route and its age: the time since the last complete request ended. It
// returns false without enough requests.
func (t *Tracker) Learnt(route string) (estimate, age time.Duration, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.routes[route]
	if h == nil {
		return 0, 0, false
	}
	now := t.clock.Now()
	e := h.estimate(now)
	return e.duration, now.Sub(e.newestAt), e.isKnown
}

// estimate returns the current estimate.
func (h *history) estimate(now time.Time) estimate {
	if h.current.madeAt.IsZero() || now.Sub(h.current.madeAt) >= refreshInterval {
		h.current = h.newEstimate(now)
	}
	return h.current
}

func (h *history) newEstimate(now time.Time) estimate {
	h.forgetOld(now)
	ended, newestAt := 0, time.Time{}
	for _, s := range h.samples {
		if s.outcome == OutcomeComplete {
			ended++
			newestAt = s.endedAt
		}
	}
	if ended < h.settings.MinSamples {
		return estimate{madeAt: now}
	}
	duration, ok := upperQuantile(h.observations(now), h.settings.Quantile)
	return estimate{madeAt: now, duration: duration, newestAt: newestAt, isKnown: ok}
}

// observations returns what was seen of each request since observedSince.
func (h *history) observations(now time.Time) []observation {
	since := h.observedSince(now)
	var observed []observation
	add := func(startedAt, seenUntil time.Time, isComplete bool) {
		o := observation{from: max(since.Sub(startedAt), 0), to: seenUntil.Sub(startedAt), isComplete: isComplete}
		if o.from < o.to {
			observed = append(observed, o)
		}
	}
	for _, s := range h.samples {
		add(s.startedAt, s.endedAt, s.outcome == OutcomeComplete)
	}
	for run := range h.running {
		add(run.startedAt, now, false)
	}
	return observed
}

// observedSince returns the time since which all requests that ended are remembered.
func (h *history) observedSince(now time.Time) time.Time {
	if len(h.samples) == h.settings.MaxSamples {
		return h.samples[0].endedAt
	}
	return now.Add(-h.settings.Window)
}

// Estimates returns the estimates of the routes that have one.
func (t *Tracker) Estimates() map[string]time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	now, estimates := t.clock.Now(), map[string]time.Duration{}
	for route, h := range t.routes {
		if e := h.estimate(now); e.isKnown {
			estimates[route] = e.duration
		}
	}
	return estimates
}
