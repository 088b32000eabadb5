package swap_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestHotAccount covers an account that sends seven times the traffic of each of five others, so that a
// replica that could serve all of the others gets 1.3 times what it can serve. Without turns, all accounts lose
// alike. A request of the hot account must not wait while a slot is free either.
func TestHotAccount(t *testing.T) {
	const runTime, others, hotFactor = 500 * time.Millisecond, 5, 7
	capacity := slots / runTime.Seconds()
	perSecond := int(1.3 * capacity)
	outcomes := func(t *testing.T, hasAccounts bool) (hot, other, all float64) {
		load := overload{runTime: runTime, requestsPerSecond: perSecond, duration: 30 * time.Second}
		account := func(i int) string {
			if n := i * 5 % (others + hotFactor); n < others {
				return fmt.Sprintf("other%d", n)
			}
			return "hot"
		}
		load.kindOf = func(i int) requestKind {
			kind := draft
			if kind.name = "other"; account(i) == "hot" {
				kind.name = "hot"
			}
			return kind
		}
		if hasAccounts {
			load.accountOf = account
		}
		counts := load.run(t)
		h, o := counts["hot"], counts["other"]
		return h.onTimeShare(), o.onTimeShare(), float64(h.onTime+o.onTime) / float64(h.requested+o.requested)
	}
	_, otherBefore, allBefore := outcomes(t, false)
	hot, other, all := outcomes(t, true)
	c := qt.New(t)
	shares := qt.Commentf("on time: hot %.3f, others %.3f, all %.3f; without accounts: others %.3f, all %.3f", hot, other, all, otherBefore, allBefore)
	c.Assert(other >= 0.97, qt.IsTrue, shares)
	c.Assert(all >= allBefore-0.02, qt.IsTrue, shares)
}
