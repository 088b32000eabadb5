package soak_test

import (
	"fmt"
	"testing"
	"time"

	"azurehitch"

	qt "github.com/frankban/quicktest"
)

// rejectOrders records that a server rejects orders of the daemons with the given numbers, each under a higher token.
func (c *checkerHarness) rejectOrders(server string, daemons ...int) {
	for token, daemon := range daemons {
		c.answerOrder(server, fmt.Sprintf(daemonNameFormat, daemon), int64(token+1), azurehitch.OrderConflict)
	}
}

// shiftOrders makes the orders to a server so far arrive earlier.
func (c *checkerHarness) shiftOrders(server string, by time.Duration) {
	for i := range c.orders.byServer[server] {
		c.orders.byServer[server][i].at = c.orders.byServer[server][i].at.Add(-by)
	}
}

// TestOrderChecks feeds the checker orders that servers reject, and orders that don't count.
func TestOrderChecks(t *testing.T) {
	for _, test := range []struct {
		name string
		// ignored and checked are the rules violated at servers that ignore tokens and at those that check them.
		ignored, checked rule
		feed             func(c *checkerHarness)
	}{
		{"one holder after the other", "", "", func(c *checkerHarness) { c.rejectOrders("a", 0, 0, 1, 1) }},
		{"rejected orders in turns", ruleSingleHolder, ruleSingleHolder, func(c *checkerHarness) { c.rejectOrders("a", 0, 1, 0) }},
		{"rejected orders in turns after the time of a lease", "", "", func(c *checkerHarness) {
			c.rejectOrders("a", 0)
			c.shiftOrders("a", leaseDuration)
			c.answerOrder("a", "daemon-1", 2, azurehitch.OrderConflict)
			c.answerOrder("a", "daemon-0", 3, azurehitch.OrderConflict)
		}},
		{"rejected orders at several servers", "", "", func(c *checkerHarness) {
			c.rejectOrders("a", 0)
			c.answerOrder("b", "daemon-1", 2, azurehitch.OrderConflict)
		}},
		{"rejected orders in turns beside a freeze of one holder", ruleSingleHolder, "", func(c *checkerHarness) {
			c.disturbances.beginDaemonFault(1, "freeze")()
			c.rejectOrders("a", 0, 1, 0)
		}},
		{"rejected orders in turns beside a planned stop of one holder", ruleSingleHolder, "", func(c *checkerHarness) {
			c.disturbances.beginPlannedWork(0, plannedStop)()
			c.rejectOrders("a", 0, 1, 0)
		}},
		{"rejected orders in turns beside a fault of the store", ruleSingleHolder, "", func(c *checkerHarness) {
			c.disturbances.beginStoreFault("store malfunction")()
			c.rejectOrders("a", 0, 1, 0)
		}},
		{"accepted orders in turns beside a fault of the store", ruleSingleHolder, ruleSingleHolder, func(c *checkerHarness) {
			c.disturbances.beginStoreFault("store malfunction")()
			c.order("a", "daemon-0", 1)
			c.order("a", "daemon-1", 2)
			c.order("a", "daemon-0", 3)
		}},
		{"rejected order under a lower token", ruleSingleHolder, "", func(c *checkerHarness) {
			c.order("a", "daemon-0", 2)
			c.answerOrder("a", "daemon-1", 1, azurehitch.OrderStale)
		}},
		{"accepted order under a lower token than a rejected one", ruleSingleHolder, "", func(c *checkerHarness) {
			c.answerOrder("a", "daemon-0", 2, azurehitch.OrderConflict)
			c.order("a", "daemon-1", 1)
		}},
		{"accepted order under a lower token than one long before", ruleSingleHolder, ruleSingleHolder, func(c *checkerHarness) {
			c.order("a", "daemon-0", 3)
			c.shiftOrders("a", 10*leaseDuration)
			c.order("a", "daemon-1", 1)
		}},
		{"rejected order just after its sender was resumed", "", "", func(c *checkerHarness) {
			c.order("a", "daemon-0", 2)
			c.disturbances.recordResumed(1)
			c.answerOrder("a", "daemon-1", 1, azurehitch.OrderStale)
		}},
		{"accepted order just after its sender was resumed", ruleSingleHolder, ruleSingleHolder, func(c *checkerHarness) {
			c.order("a", "daemon-0", 2)
			c.disturbances.recordResumed(1)
			c.order("a", "daemon-1", 1)
		}},
		{"rejected order just after another daemon was resumed", ruleSingleHolder, "", func(c *checkerHarness) {
			c.order("a", "daemon-0", 2)
			c.disturbances.recordResumed(0)
			c.answerOrder("a", "daemon-1", 1, azurehitch.OrderStale)
		}},
		{"turn that ends just after its sender was resumed", "", "", func(c *checkerHarness) {
			c.rejectOrders("a", 0, 1)
			c.disturbances.recordResumed(0)
			c.answerOrder("a", "daemon-0", 3, azurehitch.OrderConflict)
		}},
		{"turn that ends after its sender was resumed a while ago", ruleSingleHolder, ruleSingleHolder, func(c *checkerHarness) {
			c.disturbances.recordResumed(0)
			c.disturbances.resumed[0].from = time.Now().Add(-2 * resumeSlack)
			c.disturbances.resumed[0].to = c.disturbances.resumed[0].from
			c.rejectOrders("a", 0, 1, 0)
		}},
		{"turn just after the link to the server was restored", "", "", func(c *checkerHarness) {
			c.disturbances.recordRestored("a")
			c.rejectOrders("a", 0, 1, 0)
		}},
		{"turn just after the link to another server was restored", ruleSingleHolder, ruleSingleHolder, func(c *checkerHarness) {
			c.disturbances.recordRestored("b")
			c.rejectOrders("a", 0, 1, 0)
		}},
	} {
		for _, ignoresTokens := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, tokens ignored: %t", test.name, ignoresTokens), func(t *testing.T) {
				harness := newCheckerHarness()
				harness.ignoresTokens = ignoresTokens
				test.feed(harness)
				want := test.checked
				if ignoresTokens {
					want = test.ignored
				}
				assertViolates(qt.New(t), harness, want)
			})
		}
	}
}
