package planner

import (
	"time"

	"azurehitch"
)

const (
	// loadTimePastWeight is the weight of past load times in the moving average.
	loadTimePastWeight = 0.8
	// fixedCostShare is the share of the price of a cold start that doesn't depend on its
	// duration.
	fixedCostShare = 0.5
)

// loadTimes holds the moving averages of model load times, by where the server got the checkpoint from:
// its memory, its disk or the weight store.
type loadTimes map[azurehitch.CacheTier]time.Duration

func (t loadTimes) observe(tier azurehitch.CacheTier, took time.Duration) {
	if average, known := t[tier]; known {
		took = time.Duration(loadTimePastWeight*float64(average) + (1-loadTimePastWeight)*float64(took))
	}
	t[tier] = took
}

// costShare returns the cost of a cold start with the checkpoint in a cache tier, as a fraction of the
// cost of a cold start from the weight store. Half of the cost is fixed, half is proportional to the
// load time. The result is 1 until the load times of both are known.
func (t loadTimes) costShare(tier azurehitch.CacheTier) float64 {
	fromTier, fromStore := t[tier], t[azurehitch.CacheTierRemote]
	if fromTier == 0 || fromStore == 0 {
		return 1
	}
	return fixedCostShare + (1-fixedCostShare)*min(float64(fromTier)/float64(fromStore), 1)
}
