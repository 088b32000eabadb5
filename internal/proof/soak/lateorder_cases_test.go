package soak_test

import (
	"testing"
	"time"

	"azurehitch"
	"azurehitch/platform/platformtest"

	qt "github.com/frankban/quicktest"
)

// seen returns an order that a server has seen some time after the start of a test.
func seen(after time.Duration, holder string, token int64) seenOrder {
	return seenOrder{
		OrderArrival: platformtest.OrderArrival{
			SwapOrder: azurehitch.SwapOrder{Kind: azurehitch.OrderLoad, Holder: holder, Token: token}, Answer: azurehitch.OrderConflict,
		},
		at: testStart.Add(after),
	}
}

// testStart is when the orders of TestHolderCases begin.
var testStart = time.Unix(1_000_000, 0)

func TestHolderCases(t *testing.T) {
	for _, test := range []struct {
		name   string
		orders []seenOrder
		cases  int
	}{
		{"one holder", []seenOrder{seen(0, "daemon-0", 4), seen(time.Second, "daemon-0", 4)}, 0},
		{"a later holder", []seenOrder{seen(0, "daemon-0", 4), seen(time.Second, "daemon-1", 9)}, 0},
		{"a rejected order of the former holder", []seenOrder{seen(0, "daemon-0", 4), seen(time.Second, "daemon-1", 9), seen(leaseDuration, "daemon-0", 4)}, 1},
		{"the former process of a daemon", []seenOrder{seen(0, "daemon-0", 9), seen(time.Second, "daemon-0", 4)}, 1},
		{"turns within a lease", []seenOrder{seen(0, "daemon-0", 4), seen(time.Second, "daemon-1", 9), seen(2*time.Second, "daemon-0", 12)}, 1},
		{"turns beyond a lease", []seenOrder{seen(0, "daemon-0", 4), seen(time.Second, "daemon-1", 9), seen(leaseDuration, "daemon-0", 12)}, 0},
		{"one token of two holders", []seenOrder{seen(0, "daemon-0", 4), seen(time.Second, "daemon-1", 4)}, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := newChecker(&disturbanceLog{}, defaultSetup())
			qt.New(t).Check(c.findHolderCases(test.orders), qt.HasLen, test.cases)
		})
	}
}

func TestHolderCasesAfterFreeze(t *testing.T) {
	frozen := func(until time.Duration) *checker {
		return newChecker(&disturbanceLog{daemons: []*disturbance{{
			name: freezeName, daemon: 0, from: testStart, to: testStart.Add(until),
		}}}, defaultSetup())
	}
	orders := []seenOrder{seen(0, "daemon-0", 4), seen(4*time.Second, "daemon-1", 9), seen(8*time.Second, "daemon-0", 4)}
	t.Run("right after a freeze", func(t *testing.T) {
		qt.New(t).Check(frozen(8*time.Second-resumeSlack/2).findHolderCases(orders), qt.HasLen, 0)
	})
	t.Run("later", func(t *testing.T) {
		qt.New(t).Check(frozen(8*time.Second-2*resumeSlack).findHolderCases(orders), qt.HasLen, 1)
	})
}
