package swap_test

import (
	"testing"
	"time"

	"azurehitch"
	"azurehitch/internal/placement/swap"

	qt "github.com/frankban/quicktest"
)

// TestCopies answers the load of rare models that take turns on a server whose memory holds copies of
// two: a request is told of a load from there only where the copy is still there. A load that takes
// longer than expected is refused by the server in the meantime.
func TestCopies(t *testing.T) {
	swapTo := func(w *world, model string) swap.Order {
		w.Helper()
		w.ask(w.need("r-"+model, model))
		for range 4 {
			orders := w.decide()
			w.Assert(len(orders) > 0, qt.IsTrue)
			w.carryOut(orders)
			for _, order := range orders {
				if order.Kind == azurehitch.OrderLoad && order.Model == model {
					w.plan.Withdraw("r-" + model)
					w.pass(time.Second)
					return order
				}
			}
		}
		w.Fatalf("%s was not loaded", model)
		return swap.Order{}
	}
	newServer := func(t *testing.T, hostMemory, disk azurehitch.ByteSize) *world {
		t.Helper()
		w := newWorld(t, 6)
		w.limits.Memory = 80 * gigabyte
		w.limits.HostMemory, w.limits.Disk = hostMemory, disk
		w.plan.SetLimits(w.limits)
		w.add("s0", nil, names("m", 0, 6))
		return w
	}
	t.Run("the copies that were loaded last stay in memory", func(t *testing.T) {
		w := newServer(t, 150*gigabyte, 500*gigabyte)
		for _, step := range []struct {
			model string
			tier  azurehitch.CacheTier
		}{
			{"m0", azurehitch.CacheTierDisk},
			{"m1", azurehitch.CacheTierDisk},
			{"m0", azurehitch.CacheTierMemory},
			{"m2", azurehitch.CacheTierDisk},
			{"m1", azurehitch.CacheTierDisk},
			{"m2", azurehitch.CacheTierMemory},
		} {
			w.Assert(swapTo(w, step.model).Tier, qt.Equals, step.tier, qt.Commentf("%s", step.model))
		}
	})
	t.Run("where the room is unknown, all stay", func(t *testing.T) {
		w := newServer(t, 0, 0)
		for _, model := range []string{"m0", "m1", "m2"} {
			swapTo(w, model)
		}
		w.Assert(swapTo(w, "m0").Tier, qt.Equals, azurehitch.CacheTierMemory)
	})
	t.Run("copies that the disk has no room for are gone", func(t *testing.T) {
		w := newServer(t, 75*gigabyte, 150*gigabyte)
		for _, model := range []string{"m0", "m1", "m2"} {
			swapTo(w, model)
		}
		w.Assert(swapTo(w, "m0").Tier, qt.Equals, azurehitch.CacheTierRemote)
	})
}
