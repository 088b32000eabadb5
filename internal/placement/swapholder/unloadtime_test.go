package swapholder

import (
	"testing"
	"time"

	"azurehitch"

	qt "github.com/frankban/quicktest"
)

// TestUnloadTime covers swaps, an unload and a load each, at servers whose unloads take 25 to 55 ms. Sent
// right after the unload was accepted, every load was rejected once, a third of all orders.
func TestUnloadTime(t *testing.T) {
	const swaps = 1000
	u, now := newUnloadTime(), time.Unix(1000, 0)
	rejected, waited := 0, time.Duration(0)
	for i := range swaps {
		takes := 25*time.Millisecond + time.Duration(i*7%31)*time.Millisecond
		wait := u.wait
		now = now.Add(wait)
		u.waitEnded("s1", now)
		answer := azurehitch.OrderAccepted
		if wait < takes {
			answer = azurehitch.OrderConflict
		}
		u.ordered("s1", now, answer)
		if waited += wait; answer == azurehitch.OrderConflict {
			rejected++
			waited += conflictResendDelay
		}
	}
	c := qt.New(t)
	// Three orders belong to a swap whose load is rejected, and two to the others.
	c.Assert(float64(rejected)/(2*swaps+float64(rejected)) < 0.05, qt.IsTrue, qt.Commentf("%d of %d loads rejected", rejected, swaps))
	c.Assert(waited/swaps < 65*time.Millisecond, qt.IsTrue, qt.Commentf("%v from unload to load", waited/swaps))

	t.Run("the answer to an order some time later says nothing", func(t *testing.T) {
		u := newUnloadTime()
		u.waitEnded("s1", now)
		u.ordered("s1", now.Add(time.Second), azurehitch.OrderConflict)
		u.ordered("s2", now, azurehitch.OrderConflict)
		qt.New(t).Assert(u.wait, qt.Equals, initialUnloadWait)
	})
	t.Run("servers that always reject don't delay orders for long", func(t *testing.T) {
		u := newUnloadTime()
		for range 100 {
			u.waitEnded("s1", now)
			u.ordered("s1", now, azurehitch.OrderConflict)
		}
		qt.New(t).Assert(u.wait, qt.Equals, maxUnloadWait)
	})
}
