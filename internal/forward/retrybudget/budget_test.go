package retrybudget_test

import (
	"strconv"
	"testing"
	"time"

	"azurehitch/internal/forward/retrybudget"
	"azurehitch/internal/standin/manualclock"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

var limits = retrybudget.Limits{Ratio: 0.2, Slack: 58, Window: 10 * time.Second}

// TestSumOverDaemons checks the limit on the retries of all daemons in each window, for requests
// at random times.
func TestSumOverDaemons(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const daemons = 5
		clock := manualclock.New()
		budgets := make([]*retrybudget.Budget, daemons)
		for i := range budgets {
			budgets[i] = retrybudget.New(clock, limits, func() int { return daemons })
		}
		var requests, retries []time.Time
		for range rapid.IntRange(50, 400).Draw(t, "steps") {
			clock.Time = clock.Time.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			i := rapid.IntRange(0, daemons-1).Draw(t, "daemon")
			budgets[i].Earn("llm")
			requests = append(requests, clock.Time)
			for range rapid.IntRange(0, 3).Draw(t, "tries") {
				if budgets[i].Spend("llm") {
					retries = append(retries, clock.Time)
				}
			}
		}
		for _, end := range retries {
			allowed := limits.Ratio*float64(countInWindow(requests, end)) + limits.Slack
			if n := float64(countInWindow(retries, end)); n > allowed {
				t.Fatalf("%v retries in the window before %v, %v are allowed", n, end, allowed)
			}
		}
	})
}

// TestRefunds checks the limit in each window for retries some of which are not made after all.
func TestRefunds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := manualclock.New()
		budget := retrybudget.New(clock, limits, func() int { return 10 })
		var made []time.Time
		for range rapid.IntRange(50, 400).Draw(t, "steps") {
			clock.Time = clock.Time.Add(time.Duration(rapid.IntRange(0, 1000).Draw(t, "ms")) * time.Millisecond)
			if !budget.Spend("llm") {
				continue
			}
			if rapid.Bool().Draw(t, "isMade") {
				made = append(made, clock.Time)
				continue
			}
			chargedAt := clock.Time
			clock.Time = clock.Time.Add(time.Duration(rapid.IntRange(0, 20000).Draw(t, "refund after ms")) * time.Millisecond)
			budget.Refund("llm", chargedAt)
		}
		for _, end := range made {
			if n := float64(countInWindow(made, end)); n > limits.Slack/10 {
				t.Fatalf("%v retries in the window before %v, %v are allowed", n, end, limits.Slack/10)
			}
		}
	})
}

func TestRefundedRetryMayBeMadeLater(t *testing.T) {
	c := qt.New(t)
	clock := manualclock.New()
	budget := retrybudget.New(clock, limits, func() int { return 1 })
	for budget.Spend("llm") {
	}
	budget.Refund("llm", clock.Time)
	c.Assert(budget.Spend("llm"), qt.IsTrue)
	c.Assert(budget.Spend("llm"), qt.IsFalse)
}

func TestRetryCountsForTheWholeWindow(t *testing.T) {
	const steps = 40
	for step := range steps {
		t.Run(strconv.Itoa(step), func(t *testing.T) {
			c := qt.New(t)
			clock := manualclock.New()
			budget := retrybudget.New(clock, limits, func() int { return 1 })
			clock.Time = clock.Time.Add(2*limits.Window + time.Duration(step)*limits.Window/steps)
			for budget.Spend("llm") {
			}
			clock.Time = clock.Time.Add(limits.Window - time.Millisecond)
			c.Assert(budget.Spend("llm"), qt.IsFalse)
		})
	}
}

// countInWindow counts the times in the window that ends at end.
func countInWindow(times []time.Time, end time.Time) int {
	count := 0
	for _, at := range times {
		if !at.After(end) && end.Sub(at) < limits.Window {
			count++
		}
	}
	return count
}

func TestLateRefundTakesBackAnotherRetry(t *testing.T) {
	c := qt.New(t)
	clock := manualclock.New()
	budget := retrybudget.New(clock, limits, func() int { return 1 })
	chargedAt := clock.Time
	c.Assert(budget.Spend("llm"), qt.IsTrue)
	clock.Time = clock.Time.Add(2 * limits.Window)
	for budget.Spend("llm") {
	}
	budget.Refund("llm", chargedAt)
	c.Assert(budget.Spend("llm"), qt.IsFalse)
}

func TestDaemonThatKnowsNoOthersSpendsTheSlackOfAll(t *testing.T) {
	c := qt.New(t)
	clock := manualclock.New()
	daemons := 0
	budget := retrybudget.New(clock, limits, func() int { return daemons })
	c.Assert(budget.Spend("llm"), qt.IsFalse)
	daemons = 3
	c.Assert(budget.Spend("llm"), qt.IsTrue)
}

func TestSpend(t *testing.T) {
	c := qt.New(t)
	clock := manualclock.New()
	budget := retrybudget.New(clock, limits, func() int { return 1 })
	spend := func() int {
		n := 0
		for budget.Spend("llm") {
			n++
		}
		return n
	}
	spentAtStart := spend()
	c.Assert(spentAtStart > 0, qt.IsTrue)
	c.Assert(float64(spentAtStart) <= limits.Slack/2, qt.IsTrue, qt.Commentf("an earlier process may have used a part of the slack: %d", spentAtStart))
	c.Assert(spend(), qt.Equals, 0)
	clock.Time = clock.Time.Add(2 * limits.Window)
	c.Assert(spend() > spentAtStart, qt.IsTrue)
}
