package sharedlimit_test

import (
	"flag"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"azurehitch/internal/allowance/sharedlimit"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

const (
	// window, overage and slack are those of the requirement, with the slack in requests of the test.
	window  = 8 * time.Second
	overage = 0.1
	slack   = 20.0
)

func bound(l sharedlimit.Limit) float64 {
	return (l.PerSecond*window.Seconds()+l.Burst)*(1+overage) + slack
}

// fault changes the simulation.
type fault func(s *simulation, m *member)

var faults = map[string]fault{
	"restart": func(s *simulation, m *member) { s.start(m) },
	"stop":    func(_ *simulation, m *member) { m.isUp = false },
	"pause": func(s *simulation, m *member) {
		m.pausedUntil = s.now.Add(time.Duration(s.rand.Int64N(int64(6 * time.Second))))
	},
	"partition": func(s *simulation, _ *member) { s.split(s.rand.IntN(4) + 1) },
	"heal":      func(s *simulation, _ *member) { s.split(1) },
	"isolate":   func(s *simulation, m *member) { m.group = 100 + s.rand.IntN(100) },
	"loss":      func(s *simulation, _ *member) { s.net.loss = s.rand.Float64() * 0.5 },
	"delay": func(s *simulation, _ *member) {
		s.net.maxDelay = time.Millisecond + time.Duration(s.rand.Int64N(int64(400*time.Millisecond)))
	},
	"refunds": func(s *simulation, _ *member) { s.refundRatio = s.rand.Float64() },
	"join": func(s *simulation, _ *member) {
		m := &member{name: fmt.Sprintf("daemon-%03d", len(s.members))}
		s.members = append(s.members, m)
		s.known = len(s.members)
		s.start(m)
		for _, other := range s.members {
			s.describe(other)
		}
	},
	"none": func(*simulation, *member) {},
}

// split parts the daemons into groups that can't reach each other.
func (s *simulation) split(groups int) {
	for _, m := range s.members {
		m.group = s.rand.IntN(groups)
	}
}

// TestBound guards against sums beyond the limit: units that are used at two places after messages are lost, late or
// arrive twice, and after processes are restarted or paused.
func TestBound(t *testing.T) {
	largest := 0.0
	rapid.Check(t, func(t *rapid.T) {
		limit := sharedlimit.Limit{PerSecond: 1000, Burst: 1000}
		daemons := rapid.SampledFrom([]int{2, 3, 8, 8, 8, 66}).Draw(t, "daemons")
		s := newSimulation(rapid.Uint64().Draw(t, "seed"), daemons, limit)
		names := rapid.SliceOfN(rapid.SampledFrom(sortedNames(faults)), 4, 12).Draw(t, "faults")
		demand := rapid.Float64Range(0.2, 4).Draw(t, "demand") * limit.PerSecond
		cost := rapid.SampledFrom([]float64{3, 10, 20}).Draw(t, "cost")
		hot := rapid.IntRange(-1, daemons-1).Draw(t, "hot")
		for _, name := range names {
			faults[name](s, s.members[s.rand.IntN(len(s.members))])
			s.run(time.Duration(s.rand.Int64N(int64(3*time.Second))), cost, func(i int) float64 {
				if hot >= 0 {
					return demand * float64(boolToInt(i == hot))
				}
				return demand / float64(daemons)
			})
		}
		sum := s.largestWindow()
		largest = max(largest, sum/bound(limit))
		if sum > bound(limit) {
			t.Fatalf("%v spent within %v, more than %v", sum, window, bound(limit))
		}
	})
	t.Logf("largest window %.3f of the bound", largest)
}

// seed is that of TestUtilization, whose log lines are the rows of the table in docs/CAPACITY.md.
var seed = flag.Uint64("seed", 1, "seed of TestUtilization")

// TestUtilization guards against units that expire or are lost while there is demand.
func TestUtilization(t *testing.T) {
	const (
		duration, warmUp = 25 * time.Second, 3 * time.Second
		// minUtilization is that of the requirement.
		minUtilization = 0.95
	)
	for _, daemons := range []int{8, 66, 300} {
		for name, share := range traffics(daemons) {
			t.Run(fmt.Sprintf("%d daemons, %s", daemons, name), func(t *testing.T) {
				limit := sharedlimit.Limit{PerSecond: 3000, Burst: 3000}
				s := newSimulation(*seed, daemons, limit)
				start := s.now
				s.run(duration, 10, func(i int) float64 { return 1.5 * limit.PerSecond * share(i, s.now.Sub(start)) })
				utilization := s.sum(warmUp) / (limit.PerSecond * (duration - warmUp).Seconds())
				t.Logf("| %d | %s | %d | %.3f | %.3f | %.0f |", daemons, name, *seed, utilization,
					s.largestWindow()/bound(limit), float64(s.messages)/duration.Seconds())
				qt.Check(t, utilization >= minUtilization, qt.IsTrue)
				qt.Check(t, s.largestWindow() <= bound(limit), qt.IsTrue)
			})
		}
	}
}

// traffics returns how the traffic is spread over daemons: the share of each at a time.
func traffics(daemons int) map[string]func(i int, at time.Duration) float64 {
	return map[string]func(i int, at time.Duration) float64{
		"even":   func(int, time.Duration) float64 { return 1 / float64(daemons) },
		"one":    func(i int, _ time.Duration) float64 { return float64(boolToInt(i == 0)) },
		"moving": func(i int, at time.Duration) float64 { return float64(boolToInt(i == int(at/(5*time.Second))%daemons)) },
		"sixfold": func(i int, at time.Duration) float64 {
			return float64(boolToInt(i%6 == int(at/(5*time.Second))%6)) * 6 / float64(daemons)
		},
	}
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

func sortedNames(m map[string]fault) []string { return slices.Sorted(maps.Keys(m)) }
