package passthrough

import (
	"context"
	"sync"
	"time"

	"azurehitch"
	"azurehitch/internal/forward/drain"
	"azurehitch/internal/telemetry/metrics"

	"github.com/pkg/errors"
)

// StopEffect is what a planned stop did to a request.
type StopEffect string

// The effects of a planned stop on requests.
const (
	StopEffectNone StopEffect = ""
	// StopEffectRefusedArriving and StopEffectRefusedWaiting are those of requests that were not
	// sent to a server, because they could not be expected to end in time.
	StopEffectRefusedArriving StopEffect = "RefusedArriving"
	StopEffectRefusedWaiting  StopEffect = "RefusedWaiting"
	// StopEffectCut is that of a request that had not ended when the stop did.
	StopEffectCut StopEffect = "Cut"
)

var (
	// errDraining is the cancellation cause of a wait that ends because the request would not end
	// before the daemon stops.
	errDraining = errors.New("the daemon stops before the request would end")
	// errStopped is the cancellation cause of all requests at the end of a planned stop.
	errStopped = errors.New("the daemon stops")
)

// DrainCounts counts the requests that ended during a planned stop.
type DrainCounts struct {
	Finished        int
	RefusedArriving int
	RefusedWaiting  int
	Cut             int
	// Longest is the longest time that one of them took.
	Longest time.Duration
}

// drainState is the state of the planned stop of a Server.
type drainState struct {
	// ctx ends when the planned stop begins.
	ctx   context.Context
	begin context.CancelFunc

	mu     sync.Mutex
	timing drain.Timing
	// waiting holds the requests that wait for a server.
	waiting map[*request]context.CancelCauseFunc
	counts  DrainCounts
}

func newDrainState() *drainState {
	s := &drainState{waiting: map[*request]context.CancelCauseFunc{}}
	s.ctx, s.begin = context.WithCancel(context.Background())
	return s
}

// hasBegun reports whether the planned stop has begun. Each response closes its connection then, so
// that callers connect to other daemons.
func (s *drainState) hasBegun() bool { return s.ctx.Err() != nil }

func (s *drainState) currentTiming() drain.Timing {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.timing
}

func (s *drainState) setTiming(timing drain.Timing) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.timing = timing
	s.begin()
}

func (s *drainState) addWaiting(r *request, cancel context.CancelCauseFunc) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting[r] = cancel
}

func (s *drainState) removeWaiting(r *request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.waiting, r)
}

// endWaits ends the waits of the requests that may no longer be sent.
func (s *drainState) endWaits() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for r, cancel := range s.waiting {
		if !r.mayStart(s.timing) {
			cancel(errDraining)
		}
	}
}

func (s *drainState) record(effect StopEffect, took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch effect {
	case StopEffectNone:
		s.counts.Finished++
	case StopEffectRefusedArriving:
		s.counts.RefusedArriving++
	case StopEffectRefusedWaiting:
		s.counts.RefusedWaiting++
	case StopEffectCut:
		s.counts.Cut++
	}
	s.counts.Longest = max(s.counts.Longest, took)
}

// Drain begins the planned stop, or adjusts its timing. From now on, requests are refused if they
// can't be expected to end in time, on arrival and while they wait for a server: another daemon may
// serve them. To end the waits in time, it has to be called again and again.
func (s *Server) Drain(timing drain.Timing) {
	s.drain.setTiming(timing)
	s.drain.endWaits()
}

// WaitingRequests returns the number of requests that wait for a server.
func (s *Server) WaitingRequests() int {
	s.drain.mu.Lock()
	defer s.drain.mu.Unlock()
	return len(s.drain.waiting)
}

// DrainCounts returns the numbers of requests that have ended since the planned stop began.
func (s *Server) DrainCounts() DrainCounts {
	s.drain.mu.Lock()
	defer s.drain.mu.Unlock()
	return s.drain.counts
}

// RunTimeEstimates returns how long requests take at servers, by route. A route without an estimate
// is not listed.
func (s *Server) RunTimeEstimates() map[string]time.Duration { return s.runTimes.Estimates() }

// drainRequest returns the request as the decisions of a planned stop see it.
func (r *request) drainRequest() drain.Request {
	return drain.Request{
		Estimate: r.server.runTimes.Estimate(r.route.Name, r.route.Timeout), Deadline: r.deadline, MayRepeat: r.route.MayRepeat(),
	}
}

// mayStart reports whether the request may be sent to a server during a planned stop. Answers that have
// begun don't ask: they may go on at another server at any time.
func (r *request) mayStart(timing drain.Timing) bool {
	return timing.MayStart(r.server.Clock.Now(), r.drainRequest())
}

// checkDrain returns an *azurehitch.ErrRefused if the request has arrived too late to end before the
// daemon stops.
func (r *request) checkDrain() error {
	s := r.server
	if !s.drain.hasBegun() || s.drain.currentTiming().Accepts(s.Clock.Now(), r.drainRequest()) {
		return nil
	}
	r.stopEffect = StopEffectRefusedArriving
	return drainingRefusal()
}

func drainingRefusal() *azurehitch.ErrRefused {
	return azurehitch.Refuse(azurehitch.CodeDraining, "the daemon stops").WithRetryAfter(drainingRetryAfter)
}

// isStopped reports whether the request was canceled at the end of a planned stop.
func (r *request) isStopped() bool {
	return r.ctx != nil && errors.Is(context.Cause(r.ctx), errStopped)
}

// recordStop records what a planned stop did to the request, which has ended with a reason.
func (r *request) recordStop(reason string, took time.Duration) {
	s := r.server
	if !s.drain.hasBegun() {
		return
	}
	if r.stopEffect == StopEffectNone && reason != answeredReason && r.isStopped() {
		r.stopEffect = StopEffectCut
	}
	s.drain.record(r.stopEffect, took)
	if r.stopEffect != StopEffectNone {
		s.Metrics.AddLabeled(metrics.RequestsStopped, string(r.stopEffect), 1)
	}
}
