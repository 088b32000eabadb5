package serve

import (
	"context"
	"sync/atomic"
	"time"

	"azurehitch"
	"azurehitch/internal/placement/loadslots"
)

const (
	limitsInterval = 10 * time.Second
	limitsTimeout  = 2 * time.Second
	// defaultModelLoads and defaultAdapterLoads are the numbers of concurrent loads at full
	// speed if the weight store does not report them.
	defaultModelLoads   = 4
	defaultAdapterLoads = 30
)

// weightLimits polls the load limits of the weight store.
type weightLimits struct {
	weights azurehitch.WeightStore
	clock   azurehitch.Clock
	limits  atomic.Pointer[loadslots.Limits]
}

func newWeightLimits(weights azurehitch.WeightStore, clock azurehitch.Clock) *weightLimits {
	w := &weightLimits{weights: weights, clock: clock}
	w.set(azurehitch.WeightStoreLimits{})
	return w
}

func (w *weightLimits) set(store azurehitch.WeightStoreLimits) {
	if store.ConcurrentLoads <= 0 {
		store.ConcurrentLoads = defaultModelLoads
	}
	if store.ConcurrentAdapterLoads <= 0 {
		store.ConcurrentAdapterLoads = defaultAdapterLoads
	}
	limits := loadslots.NewLimits(store)
	w.limits.Store(&limits)
}

// Limits returns the limits that the weight store reported last, or the defaults before its first
// report.
func (w *weightLimits) Limits() loadslots.Limits { return *w.limits.Load() }

// Run reads the limits every limitsInterval until the context ends.
func (w *weightLimits) Run(ctx context.Context) error {
	for {
		w.refresh(ctx)
		if err := w.clock.Sleep(ctx, limitsInterval); err != nil {
			return nil
		}
	}
}

func (w *weightLimits) refresh(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, limitsTimeout)
	defer cancel()
	if limits, err := w.weights.Limits(ctx); err == nil {
		w.set(limits)
	}
}
