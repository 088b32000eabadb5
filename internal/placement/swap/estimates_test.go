package swap_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestEstimateErrors covers urgent requests that compete with patient ones for 0.7 to 0.8 of the slots that they
// need. Requests that arrive later are served earlier and the other way round, so the length of the queue alone
// doesn't say how long a request waits.
func TestEstimateErrors(t *testing.T) {
	hint := requestKind{name: "hint", urgency: 0, objective: 400 * time.Millisecond, deadline: 2 * time.Second}
	check := requestKind{name: "check", urgency: 1, objective: 500 * time.Millisecond, deadline: 2 * time.Second}
	tale := requestKind{name: "tale", urgency: 2, objective: 6 * time.Second, deadline: 24 * time.Second}
	kinds := []requestKind{hint, tale, hint, check, hint, tale, hint, check, hint, tale}
	s := newSimulation(t, overload{runTime: 500 * time.Millisecond, kindOf: func(i int) requestKind { return kinds[i%len(kinds)] }})
	for i := 0; s.now.Before(start.Add(time.Minute)); i++ {
		rate := 40.0
		if int(s.now.Sub(start).Seconds())%10 < 3 {
			rate *= 1.3
		}
		s.advance(time.Duration(float64(time.Second) / rate))
		s.step(i)
	}
	errors := s.plan.EstimateErrors(s.now)
	s.Assert(errors, qt.HasLen, 3)
	s.Assert(errors[0].P50 <= 80*time.Millisecond && errors[0].P95 <= 160*time.Millisecond, qt.IsTrue, qt.Commentf("%+v", errors[0]))
	s.Assert(errors[0].Age <= time.Second, qt.IsTrue)
}
