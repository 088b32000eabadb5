package swap_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestAwaitedServers covers a replica whose slots are requested at 1.1 times the rate that it can serve, and whose
// daemon reports each 250 ms. Until an end is reported, its slot counts as taken: the daemon has to report
// ends at awaited servers sooner, or slots stay idle while urgent requests wait.
func TestAwaitedServers(t *testing.T) {
	const runTime, perSecond, reportInterval, freedInterval = 330 * time.Millisecond, slots * 10 / 3, 250 * time.Millisecond, 40 * time.Millisecond
	onTime := func(t *testing.T, reportsFreed bool) float64 {
		s := newSimulation(t, overload{runTime: runTime, kindOf: func(int) requestKind { return draft }})
		reportedAt := s.now
		s.isReportDue = func(freed bool) bool {
			sinceReport := s.now.Sub(reportedAt)
			isDue := sinceReport >= reportInterval || reportsFreed && freed && sinceReport >= freedInterval
			if isDue {
				reportedAt = s.now
			}
			return isDue
		}
		for i := range 30 * perSecond {
			s.advance(time.Second / perSecond)
			s.step(i)
		}
		return s.outcomes["draft"].onTimeShare()
	}
	before, after := onTime(t, false), onTime(t, true)
	c := qt.New(t)
	c.Assert(after >= 0.85, qt.IsTrue, qt.Commentf("%.3f on time, %.3f with a report each 250 ms", after, before))
	c.Assert(after-before >= 0.05, qt.IsTrue, qt.Commentf("%.3f on time, %.3f with a report each 250 ms", after, before))
}

// TestNoAwaitedServers covers a replica with free slots: daemons must not send more reports than before.
func TestNoAwaitedServers(t *testing.T) {
	f := newFixture(t, 1)
	f.addServer("s0", []string{"m0"}, []string{"m0"})
	f.submit(f.newRequest("r1", "m0"))
	f.plan.EvaluateWaiting(f.now, func(string) bool { return true })
	f.Assert(f.plan.AwaitedServers(), qt.HasLen, 0)
}
