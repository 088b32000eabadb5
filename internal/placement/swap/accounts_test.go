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

// TestHotAccountOfOtherKind covers an account whose urgent requests alone are more than a replica can serve, beside
// patient ones of others. The losses of the account are no reason to serve its kind before the others.
func TestHotAccountOfOtherKind(t *testing.T) {
	const runTime = 500 * time.Millisecond
	hint := requestKind{name: "hint", urgency: 0, objective: 400 * time.Millisecond, deadline: 2 * time.Second}
	tale := requestKind{name: "tale", urgency: 2, objective: 2 * time.Second, deadline: 8 * time.Second}
	load := overload{runTime: runTime, requestsPerSecond: 2 * slots * 2, duration: 30 * time.Second}
	load.kindOf = func(i int) requestKind {
		if i%6 == 0 {
			return tale
		}
		return hint
	}
	load.accountOf = func(i int) string {
		if i%6 == 0 {
			return "other"
		}
		return "hot"
	}
	share := load.run(t)["tale"].onTimeShare()
	qt.New(t).Assert(share >= 0.9, qt.IsTrue, qt.Commentf("%.3f on time", share))
}
