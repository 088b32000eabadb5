package rejectbudget_test

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var (
	groupSeeds = flag.Uint64("groups.seeds", 1, "seeds of the simulated deployments")
	allGroups  = flag.Bool("groups.all", false, "also simulate large deployments")
)

// groupSize is the size of a simulated deployment.
type groupSize struct{ daemons, servers int }

func (s groupSize) String() string {
	return fmt.Sprintf("%d daemons, %d servers", s.daemons, s.servers)
}

func groupSizes() []groupSize {
	sizes := []groupSize{{9, 4}}
	if *allGroups {
		sizes = append(sizes, groupSize{30, 12}, groupSize{95, 40}, groupSize{95, 4}, groupSize{300, 125})
	}
	return sizes
}

// baseScenario returns a deployment whose daemons get even traffic.
func baseScenario(size groupSize, load float64) scenario {
	return scenario{
		daemons: size.daemons, servers: size.servers, slots: 6, queue: 24, load: load, work: 15 * time.Millisecond,
		busyShare: 0.25, duration: 9 * time.Second,
	}
}

// with returns the scenario with a seed, brittle servers, and the traffic of the busy daemons.
func (s scenario) with(seed uint64, allowance int, busyTraffic float64) scenario {
	s.seed, s.isBrittle, s.allowance, s.busyTraffic = seed, true, allowance, busyTraffic
	return s
}

// assertFalls simulates a deployment, and checks how often servers fell over: at most 2 times, and a tenth of
// their number. It reports the share of requests that are answered beside that of servers which are not brittle.
func assertFalls(t *testing.T, s scenario) {
	t.Helper()
	calm := s
	calm.isBrittle = false
	want, got := newGroup(calm).run(), newGroup(s).run()
	most := 2 + s.servers/10
	t.Logf("seed %d: %d falls, %d of %d rejected, answered %.3f, not brittle %.3f", s.seed, got.falls, got.rejected, got.sent, got.share(), want.share())
	qt.Assert(t, got.falls <= most, qt.IsTrue, qt.Commentf("%d falls, %d allowed", got.falls, most))
}

// TestBrittleServers simulates deployments of several sizes while their servers are brittle.
func TestBrittleServers(t *testing.T) {
	for _, size := range groupSizes() {
		for _, load := range []float64{0.05, 0.3, 0.9} {
			for _, allowance := range []int{0, 3, 20} {
				for _, busy := range []float64{0, 0.8} {
					t.Run(fmt.Sprintf("%v, load %g, allowance %d, busy traffic %g", size, load, allowance, busy), func(t *testing.T) {
						for seed := range *groupSeeds {
							assertFalls(t, baseScenario(size, load).with(seed, allowance, busy))
						}
					})
				}
			}
		}
	}
}

// TestDaemonsThatKnowFewOthers simulates daemons of which a third knows only half of the daemons.
func TestDaemonsThatKnowFewOthers(t *testing.T) {
	for _, size := range groupSizes() {
		for _, allowance := range []int{3, 8, 20} {
			t.Run(fmt.Sprintf("%v, allowance %d", size, allowance), func(t *testing.T) {
				for seed := range *groupSeeds {
					s := baseScenario(size, 0.3).with(seed, allowance, 0)
					s.knownDaemons = func(self int, all []string) []string {
						if self%3 != 0 {
							return all
						}
						half := slices.Clone(all[:len(all)/2])
						if self >= len(half) {
							half = append(half, all[self])
						}
						return half
					}
					assertFalls(t, s)
				}
			})
		}
	}
}

// TestUnawareDaemons checks that the simulated servers do fall over if the daemons ignore the notices.
func TestUnawareDaemons(t *testing.T) {
	s := baseScenario(groupSize{9, 4}, 0.9).with(0, 3, 0)
	s.unaware = true
	qt.Assert(t, newGroup(s).run().falls > 2, qt.IsTrue)
}
