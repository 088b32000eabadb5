package priority_test

import (
	"fmt"
	"math"
	"testing"

	"azurehitch"
	"azurehitch/internal/forward/priority"

	qt "github.com/frankban/quicktest"
)

// TestRank guards against an order in which the route outranks the account, and against ranks outside of what
// servers accept.
func TestRank(t *testing.T) {
	const none = -1 << 40
	for _, test := range []struct{ account, route, rank int }{
		{none, 0, 0}, {none, 4, 4}, {none, 9, 9}, {none, 10, 9}, {none, -3, 0},
		{0, 0, 0}, {0, 1, 1}, {0, 2, 2}, {0, 9, 2},
		{1, 0, 3}, {1, 2, 5}, {2, 0, 6}, {2, 1, 7},
		{3, 0, 9}, {3, 2, 9}, {4, 0, 9},
		{-1, 1, 1}, {math.MaxInt, 1, 9}, {math.MinInt, math.MaxInt, 2},
	} {
		t.Run(fmt.Sprintf("account %d, route %d", test.account, test.route), func(t *testing.T) {
			account := azurehitch.ClientAccount{Priority: test.account, HasPriority: test.account != none}
			qt.New(t).Assert(priority.Rank(account, test.route), qt.Equals, test.rank)
		})
	}
}
