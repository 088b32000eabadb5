package planner

import (
	"time"

	"azurehitch"
)

const (
	// loadTimeWeight is the weight of the past in the averages of load times.
	loadTimeWeight = 0.8
	// ownShare is the part of the price that a cold start costs whatever its length.
	ownShare = 0.5
)

// loadTimes are moving averages of the load times of models, by where their checkpoints
// lay.
type loadTimes map[azurehitch.CacheTier]time.Duration

func (t loadTimes) observe(tier azurehitch.CacheTier, took time.Duration) {
	if average, known := t[tier]; known {
		took = time.Duration(loadTimeWeight*float64(average) + (1-loadTimeWeight)*float64(took))
	}
	t[tier] = took
}

// share returns what a cold start from a tier costs as a part of one from the weight
// store: half is the same for all, half goes by the load time. It is 1 as long as either
// load time is not known.
func (t loadTimes) share(tier azurehitch.CacheTier) float64 {
	near, far := t[tier], t[azurehitch.CacheTierRemote]
	if near == 0 || far == 0 {
		return 1
	}
	return ownShare + (1-ownShare)*min(float64(near)/float64(far), 1)
}
