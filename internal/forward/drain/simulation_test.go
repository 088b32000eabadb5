package drain_test

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"azurehitch/internal/forward/drain"
	"azurehitch/internal/forward/runtimes"
	"azurehitch/internal/standin/manualclock"

	qt "github.com/frankban/quicktest"
)

// workload draws how long requests take. The argument is the time until the stop, negative after it.
type workload struct {
	name string
	// rate is the number of requests per second.
	rate     float64
	duration func(random *rand.Rand, untilStop time.Duration) time.Duration
}

func logNormal(median time.Duration, sigma float64) func(*rand.Rand, time.Duration) time.Duration {
	return func(random *rand.Rand, _ time.Duration) time.Duration {
		return time.Duration(float64(median) * math.Exp(sigma*random.NormFloat64()))
	}
}

func mixed(random *rand.Rand, untilStop time.Duration) time.Duration {
	if random.Float64() < 0.2 {
		return logNormal(7*time.Second, 0.2)(random, untilStop)
	}
	return logNormal(500*time.Millisecond, 0.4)(random, untilStop)
}

// slowing draws durations that double when the stop comes, as when other daemons stop at the same time.
func slowing(random *rand.Rand, untilStop time.Duration) time.Duration {
	median := 2 * time.Second
	if untilStop < 4*time.Second {
		median *= 2
	}
	return logNormal(median, 0.3)(random, untilStop)
}

var workloads = []workload{
	{"calls of 0.3 s", usualRate, logNormal(300*time.Millisecond, 0.6)},
	{"streams of 2 s", usualRate, logNormal(2*time.Second, 0.4)},
	{"streams of 4 s", usualRate, logNormal(4*time.Second, 0.5)},
	{"short and long", usualRate, mixed},
	{"slower meanwhile", usualRate, slowing},
	{"rare, 2 s", 0.3, logNormal(2*time.Second, 0.5)},
}

const (
	// stops is the number of stops for a workload of the usual rate, in requests per second. Others get
	// as many requests.
	stops        = 20
	usualRate    = 15.0
	warmUp       = 45 * time.Second
	routeTimeout = 12 * time.Second
	stopTimeout  = 8 * time.Second
	// The load balancer sends requests to the daemon until balancerDelay after the stop.
	balancerDelay = 2700 * time.Millisecond
)

// outcome counts the requests that arrived during the simulated stops, after the daemon had noticed
// them.
type outcome struct {
	accepted int
	cut      int
	// refused counts the refusals, and inVain those of requests that would have ended in time.
	refused int
	inVain  int
}

// count counts a request, and whether it would have ended in time.
func (o *outcome) count(isAccepted, isInTime bool) {
	switch {
	case isAccepted && isInTime:
		o.accepted++
	case isAccepted:
		o.accepted++
		o.cut++
	case isInTime:
		o.refused++
		o.inVain++
	default:
		o.refused++
	}
}

// rule decides on a request during a stop, and says when requests are cut.
type rule struct {
	name    string
	accepts func(timing drain.Timing, noticedLate time.Duration, now time.Time, r drain.Request) bool
	cutAt   func(timing drain.Timing, noticedLate time.Duration) time.Time
	// mayRepeat is true for requests that may be repeated.
	mayRepeat bool
}

// fixedTimes is the rule that accepts requests for a fixed time, whatever their length, and counts
// from the notice of the stop.
var fixedTimes = rule{
	name: "fixed times",
	accepts: func(t drain.Timing, late time.Duration, now time.Time, _ drain.Request) bool {
		return now.Sub(t.PendingSince.Add(late)) < balancerDelay
	},
	cutAt: func(t drain.Timing, late time.Duration) time.Time {
		cutAt := t.PendingSince.Add(late + stopTimeout - 500*time.Millisecond)
		if cutAt.After(t.End()) {
			return t.End()
		}
		return cutAt
	},
}

func learnt(name string, mayRepeat bool) rule {
	return rule{
		name: name, mayRepeat: mayRepeat,
		accepts: func(t drain.Timing, _ time.Duration, now time.Time, r drain.Request) bool { return t.Accepts(now, r) },
		cutAt:   func(t drain.Timing, _ time.Duration) time.Time { return t.CancelAt() },
	}
}

// simulation is one stop of a daemon.
type simulation struct {
	clock   *manualclock.Clock
	random  *rand.Rand
	tracker *runtimes.Tracker
	load    workload
	running []ending
}

// ending is a request that runs.
type ending struct {
	at  time.Time
	run *runtimes.Run
}

// start begins to run a request of a duration.
func (s *simulation) start(duration time.Duration) {
	s.running = append(s.running, ending{at: s.clock.Time.Add(duration), run: s.tracker.Begin("r")})
}

// advance moves the clock and ends the requests that end meanwhile.
func (s *simulation) advance(d time.Duration) {
	end := s.clock.Time.Add(d)
	slices.SortFunc(s.running, func(a, b ending) int { return a.at.Compare(b.at) })
	for len(s.running) > 0 && !s.running[0].at.After(end) {
		s.clock.Time = s.running[0].at
		s.running[0].run.End(runtimes.OutcomeComplete)
		s.running = s.running[1:]
	}
	s.clock.Time = end
}

func (s *simulation) nextArrival() time.Duration {
	return time.Duration(s.random.ExpFloat64() / s.load.rate * float64(time.Second))
}

// play plays a stop that the daemon notices late, and adds to the outcome.
func (s *simulation) play(r rule, noticedLate time.Duration, out *outcome) {
	stopAt := s.clock.Time.Add(warmUp)
	for s.clock.Time.Before(stopAt) {
		s.start(min(s.load.duration(s.random, stopAt.Sub(s.clock.Time)), routeTimeout))
		s.advance(s.nextArrival())
	}
	timing := drain.Timing{PendingSince: stopAt, StopTimeout: stopTimeout, Lateness: noticedLate}
	for s.clock.Time.Sub(stopAt) < noticedLate+balancerDelay {
		now := s.clock.Time
		duration := min(s.load.duration(s.random, 0), routeTimeout)
		request := drain.Request{
			Estimate: s.tracker.Estimate("r", routeTimeout), Deadline: now.Add(routeTimeout), MayRepeat: r.mayRepeat,
		}
		if now.Sub(stopAt) < noticedLate {
			s.start(duration)
			s.advance(s.nextArrival())
			continue
		}
		isInTime := !now.Add(duration).After(r.cutAt(timing, noticedLate))
		isAccepted := r.accepts(timing, noticedLate, now, request)
		if isAccepted {
			s.start(duration)
		}
		out.count(isAccepted, isInTime)
		s.advance(s.nextArrival())
	}
}

func simulate(load workload, r rule, noticedLate time.Duration) outcome {
	var out outcome
	for seed := range uint64(stops * usualRate / load.rate) {
		clock := manualclock.New()
		s := &simulation{clock: clock, random: rand.New(rand.NewPCG(seed, 7)), tracker: runtimes.NewTracker(clock), load: load}
		s.play(r, noticedLate, &out)
	}
	return out
}

// maxCutDivisor is one over the fraction of the requests that may be cut, also while they become slower.
const maxCutDivisor = 50

// TestSimulatedStops compares the rule of this package with one of fixed times.
func TestSimulatedStops(t *testing.T) {
	rules := []rule{fixedTimes, learnt("learnt, may be repeated", true), learnt("learnt, once only", false)}
	for _, noticedLate := range []time.Duration{0, 300 * time.Millisecond} {
		for _, load := range workloads {
			t.Run(load.name+", noticed after "+noticedLate.String(), func(t *testing.T) {
				c := qt.New(t)
				for _, r := range rules {
					out := simulate(load, r, noticedLate)
					t.Logf("| %s | %v | %s | %d | %d | %d | %d |", load.name, noticedLate, r.name, out.accepted, out.cut, out.refused, out.inVain)
					if r.name != fixedTimes.name {
						c.Assert(out.cut*maxCutDivisor <= out.accepted+out.refused, qt.IsTrue)
					}
				}
			})
		}
	}
}
