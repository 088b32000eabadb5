package passthrough

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// planAt returns the plan of a stream that waits for an event from the given time on.
func planAt(at time.Time) *takeoverPlan {
	plan := newTakeoverPlan(at)
	return &plan
}

func assertDue(c *qt.C, plan *takeoverPlan, silentSince, now time.Time, isDue bool, next time.Time) {
	c.Helper()
	c.Assert(plan.isDue(silentSince, now), qt.Equals, isDue)
	c.Assert(plan.due, qt.Equals, next)
}

func TestTakeoverPlan(t *testing.T) {
	start := time.Unix(1000, 0)
	gapEnd := start.Add(maxEventGap)
	t.Run("silent for the whole gap", func(t *testing.T) {
		assertDue(qt.New(t), planAt(start), start, gapEnd, true, gapEnd)
	})
	t.Run("an event came meanwhile", func(t *testing.T) {
		lastEvent := start.Add(maxEventGap / 2)
		assertDue(qt.New(t), planAt(start), lastEvent, gapEnd, false, lastEvent.Add(maxEventGap))
	})
	t.Run("no event is awaited, since the caller does not read", func(t *testing.T) {
		assertDue(qt.New(t), planAt(start), time.Time{}, gapEnd, false, gapEnd.Add(maxEventGap))
	})
	t.Run("the daemon was held up: events may be unread", func(t *testing.T) {
		c := qt.New(t)
		plan, thawed := planAt(start), gapEnd.Add(2*maxTimerDelay)
		assertDue(c, plan, start, thawed, false, thawed.Add(maxTimerDelay))
		assertDue(c, plan, start, thawed.Add(maxTimerDelay), true, thawed.Add(maxTimerDelay))
	})
	t.Run("pauses grow in one silence, and begin anew in the next", func(t *testing.T) {
		c := qt.New(t)
		plan, now := planAt(start), gapEnd
		for _, pause := range []time.Duration{firstTakeoverPause, 2 * firstTakeoverPause, 4 * firstTakeoverPause} {
			assertDue(c, plan, start, now, true, now)
			plan.failed(now)
			c.Assert(plan.due, qt.Equals, now.Add(pause))
			now = plan.due
		}
		assertDue(c, plan, now, now, false, now.Add(maxEventGap))
		now = plan.due
		assertDue(c, plan, plan.silentSince, now, true, now)
		plan.failed(now)
		c.Assert(plan.due, qt.Equals, now.Add(firstTakeoverPause))
	})
}
