package swap_test

import (
	"fmt"
	"testing"
	"time"

	"azurehitch"
	"azurehitch/internal/placement/swap"

	qt "github.com/frankban/quicktest"
)

// TestOverload answers the load of a model that is asked for half again as often as its only replica can
// serve: as many callers as it can serve get their answer on time. Served in the order in which they
// came, all would be late.
func TestOverload(t *testing.T) {
	const (
		runs      = 500 * time.Millisecond
		perSecond = slots * 3
		objective = 600 * time.Millisecond
		deadline  = 5 * time.Second
		length    = 20 * time.Second
		// wanted is the part of the requests with a slot that should be on time, the first seconds
		// and rounding left out.
		wanted = 0.85
	)
	// served is the part of the requests that the replica has slots for.
	served := slots / runs.Seconds() / perSecond
	w := newWorld(t, 1)
	w.limits.Models["m0"] = azurehitch.ModelLimits{Memory: 200 * gigabyte, RemoteLoad: time.Minute, DiskLoad: time.Minute, MemoryLoad: time.Minute}
	w.plan.SetLimits(w.limits)
	w.add("s0", []string{"m0"}, []string{"m0"})
	asked := map[string]time.Time{}
	waits := map[string]bool{}
	var ends []time.Time
	onTime, lastGrant := 0, int64(0)
	begin := func(id string, grant swap.Grant) {
		ends = append(ends, w.now.Add(runs))
		lastGrant = max(lastGrant, grant.Number)
		if w.now.Sub(asked[id]) < objective {
			onTime++
		}
	}
	total := 0
	for w.now.Sub(start) < length {
		w.pass(time.Second / perSecond)
		running := ends[:0]
		for _, end := range ends {
			if w.now.Before(end) {
				running = append(running, end)
			}
		}
		ends = running
		w.plan.Report("daemon-1", swap.Demand{
			InProgress: map[swap.Replica]int{{Server: "s0", Model: "m0"}: len(ends)}, LastGrant: lastGrant,
		}, w.now)
		for _, settled := range w.plan.Settle(w.now, func(id string) bool { return waits[id] }) {
			delete(waits, settled.ID)
			if settled.Verdict.Kind == swap.VerdictGranted {
				begin(settled.ID, settled.Verdict.Grant)
			}
		}
		id := fmt.Sprintf("r%05d", total)
		total++
		asked[id] = w.now
		need := w.need(id, "m0")
		need.Objective, need.Deadline = w.now.Add(objective), w.now.Add(deadline)
		switch verdict := w.ask(need); verdict.Kind {
		case swap.VerdictGranted:
			begin(id, verdict.Grant)
		case swap.VerdictWaiting:
			waits[id] = true
		}
	}
	share := float64(onTime) / float64(total)
	w.Assert(share >= wanted*served, qt.IsTrue, qt.Commentf("%.2f of the requests were on time, there were slots for %.2f", share, served))
}
