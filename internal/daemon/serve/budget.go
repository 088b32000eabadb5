package serve

import (
	"context"
	"sync/atomic"
	"time"

	"azurehitch"
	"azurehitch/internal/lease/leaselog"
	"azurehitch/internal/oplog/control"
)

const (
	limitsInterval       = 10 * time.Second
	limitsTimeout        = 2 * time.Second
	defaultConcurrentMax = 4
)

// loadBudget gives this daemon its share of the loads that the weight store
// takes at full speed. Each holder of a pool has at least one.
type loadBudget struct {
	weights    azurehitch.WeightStore
	clock      azurehitch.Clock
	store      *control.Store
	concurrent atomic.Int64
}

func newLoadBudget(weights azurehitch.WeightStore, clock azurehitch.Clock, store *control.Store) *loadBudget {
	b := &loadBudget{weights: weights, clock: clock, store: store}
	b.concurrent.Store(defaultConcurrentMax)
	return b
}

// Run reads the limits of the weight store until the context ends.
func (b *loadBudget) Run(ctx context.Context) error {
	for {
		b.refresh(ctx)
		if err := b.clock.Sleep(ctx, limitsInterval); err != nil {
			return nil
		}
	}
}

func (b *loadBudget) refresh(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, limitsTimeout)
	defer cancel()
	limits, err := b.weights.Limits(ctx)
	if err == nil && limits.ConcurrentLoads > 0 {
		b.concurrent.Store(int64(limits.ConcurrentLoads))
	}
}

// RemoteLoads returns how many loads each pool of this daemon may have under way.
func (b *loadBudget) RemoteLoads() int {
	held := 0
	for _, lease := range b.store.Leases() {
		if lease.Holder != (leaselog.Holder{}) {
			held++
		}
	}
	return max(int(b.concurrent.Load())/max(held, 1), 1)
}
