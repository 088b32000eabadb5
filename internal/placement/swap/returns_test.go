package swap_test

import (
	"testing"
	"time"

	"azurehitch/internal/placement/swap"

	qt "github.com/frankban/quicktest"
)

// TestRetryAfterSpread covers 40 requests that are refused at about the same time because the only replica is full.
// Callers that come back at one moment are refused again.
func TestRetryAfterSpread(t *testing.T) {
	s := newSimulation(t, overload{runTime: 500 * time.Millisecond, kindOf: func(int) requestKind { return draft }})
	for i := range 200 {
		s.advance(time.Second / 40)
		s.step(i)
	}
	var first, last time.Duration
	for _, id := range modelNames("late", 0, 40) {
		request := s.newRequest(id, "m0")
		request.Deadline = s.now.Add(10 * time.Millisecond)
		verdict := s.submit(request)
		s.assertKind(verdict, swap.VerdictRefused)
		if first == 0 {
			first, last = verdict.Estimate, verdict.Estimate
		}
		first, last = min(first, verdict.Estimate), max(last, verdict.Estimate)
	}
	s.Assert(last-first > 150*time.Millisecond, qt.IsTrue, qt.Commentf("%v to %v", first, last))
	s.Assert(last-first < time.Second, qt.IsTrue, qt.Commentf("%v to %v", first, last))
}
