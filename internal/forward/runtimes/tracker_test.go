package runtimes_test

import (
	"fmt"
	"testing"
	"time"

	"azurehitch/internal/forward/runtimes"
	"azurehitch/internal/standin/manualclock"

	qt "github.com/frankban/quicktest"
)

const timeout = 12 * time.Second

// history is a tracker with a clock.
type history struct {
	*qt.C
	clock   *manualclock.Clock
	tracker *runtimes.Tracker
}

func newHistory(t *testing.T) *history {
	clock := manualclock.New()
	return &history{C: qt.New(t), clock: clock, tracker: runtimes.NewTracker(clock)}
}

// run runs n requests of a duration, one after the other.
func (h *history) run(n int, d time.Duration) {
	for range n {
		run := h.tracker.Begin("r")
		h.clock.Time = h.clock.Time.Add(d)
		run.End(runtimes.OutcomeComplete)
	}
}

func (h *history) assertEstimate(want time.Duration) {
	h.Helper()
	h.Assert(h.tracker.Estimate("r", timeout), qt.Equals, want)
}

func TestEstimate(t *testing.T) {
	t.Run("without history, the timeout", func(t *testing.T) {
		newHistory(t).assertEstimate(timeout)
	})
	t.Run("with too few requests, the timeout", func(t *testing.T) {
		h := newHistory(t)
		h.run(99, time.Second)
		h.assertEstimate(timeout)
	})
	t.Run("a hundred requests: the longest few of them count", func(t *testing.T) {
		h := newHistory(t)
		h.run(97, time.Second)
		h.run(3, 2*time.Second)
		h.assertEstimate(2 * time.Second)
	})
	t.Run("many requests: the longest of them does not count", func(t *testing.T) {
		h := newHistory(t)
		h.run(1, 5*time.Second)
		h.run(200, 500*time.Millisecond)
		h.assertEstimate(500 * time.Millisecond)
	})
	t.Run("not above the timeout", func(t *testing.T) {
		h := newHistory(t)
		h.run(20, timeout+time.Second)
		h.run(100, time.Millisecond)
		h.assertEstimate(timeout)
	})
	t.Run("old requests are forgotten", func(t *testing.T) {
		h := newHistory(t)
		h.run(120, 100*time.Millisecond)
		h.clock.Time = h.clock.Time.Add(6 * time.Minute)
		h.assertEstimate(timeout)
	})
	t.Run("requests that fail early don't make it shorter", func(t *testing.T) {
		h := newHistory(t)
		h.run(120, time.Second)
		for range 40 {
			h.tracker.Begin("r").End(runtimes.OutcomeFailed)
		}
		h.assertEstimate(time.Second)
	})
}

func TestEstimateOfSlowerRequestsIsOutdated(t *testing.T) {
	h := newHistory(t)
	h.run(120, 100*time.Millisecond)
	h.assertEstimate(100 * time.Millisecond)
	for range 20 {
		h.tracker.Begin("r")
	}
	h.clock.Time = h.clock.Time.Add(3 * time.Second)
	h.assertEstimate(timeout)
}

func TestMemoryOfRoutesGrows(t *testing.T) {
	h := newHistory(t)
	for i := range 100 {
		for range 100 {
			run := h.tracker.Begin(fmt.Sprint("r", i))
			h.clock.Time = h.clock.Time.Add(250 * time.Millisecond)
			run.End(runtimes.OutcomeComplete)
		}
	}
	h.Assert(len(h.tracker.Estimates()) <= 13, qt.IsTrue)
}
