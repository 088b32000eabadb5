package runtimes

import (
	"cmp"
	"slices"
	"time"
)

// observation is the part of a request that was observed, as times since its start.
type observation struct {
	from, to time.Duration
	// isComplete is true if the request was complete at to. Else it took longer, by an unknown time.
	isComplete bool
}

// upperQuantile returns the duration that a request exceeds with a probability of 1 - quantile, by the
// Kaplan-Meier estimator with delayed entry. It returns false if the observations don't reach so far.
func upperQuantile(observed []observation, quantile float64) (time.Duration, bool) {
	entries := make([]time.Duration, 0, len(observed))
	for _, o := range observed {
		entries = append(entries, o.from)
	}
	slices.Sort(entries)
	slices.SortFunc(observed, func(a, b observation) int { return cmp.Compare(a.to, b.to) })
	longer := 1.0
	entered := 0
	for left, o := range observed {
		for entered < len(entries) && entries[entered] < o.to {
			entered++
		}
		if atRisk := entered - left; o.isComplete && atRisk > 0 {
			longer *= 1 - 1/float64(atRisk)
		}
		if longer <= 1-quantile {
			return o.to, true
		}
	}
	return 0, false
}
