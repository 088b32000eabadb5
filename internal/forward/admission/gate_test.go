package admission_test

import (
	"context"
	"testing"

	"azurehitch/internal/configuration/tables"
	"azurehitch/internal/forward/admission"
	_ "azurehitch/internal/proof/fixedseed"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

func TestShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		daemons := rapid.IntRange(1, 12).Draw(t, "daemons")
		places := rapid.IntRange(daemons, 500).Draw(t, "places")
		pool := tables.Pool{ConcurrentRequests: places, PromisedToPaid: rapid.IntRange(0, places).Draw(t, "promised"), QueueLimit: 1}
		total, trial := 0, 0
		for rank := range daemons {
			limits := admission.Share(pool, rank, daemons)
			total += limits.Total
			trial += limits.Trial
		}
		if total != places || trial != places-pool.PromisedToPaid {
			t.Fatalf("%d daemons share %d of %d places and %d for trials", daemons, total, places, trial)
		}
	})
}

func enter(gate *admission.Gate, tier tables.Tier) error {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return gate.Enter(ctx, tier)
}

func TestGate(t *testing.T) {
	c := qt.New(t)
	gate := admission.NewGate()
	gate.SetLimits(admission.Limits{Total: 3, Trial: 1, Queue: 2})
	c.Assert(gate.Enter(context.Background(), tables.TierTrial), qt.IsNil)
	c.Run("a second trial waits, and leaves the queue with its context", func(c *qt.C) {
		c.Assert(enter(gate, tables.TierTrial), qt.ErrorIs, context.Canceled)
		running, waiting := gate.Usage()
		c.Assert(running, qt.Equals, 1)
		c.Assert(waiting, qt.Equals, 0)
	})
	c.Run("paying callers have the rest", func(c *qt.C) {
		c.Assert(gate.Enter(context.Background(), tables.TierPaid), qt.IsNil)
		c.Assert(gate.Enter(context.Background(), tables.TierPaid), qt.IsNil)
		c.Assert(enter(gate, tables.TierPaid), qt.ErrorIs, context.Canceled)
	})
	c.Run("a place that is given back is used again", func(c *qt.C) {
		gate.Leave(tables.TierPaid)
		c.Assert(gate.Enter(context.Background(), tables.TierPaid), qt.IsNil)
	})
}
