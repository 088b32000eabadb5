// Package keepalive decides how long an idle artifact stays loaded, and when to preload a
// model, from the history of its uses.
//
// # Usage
//
//	history := history.WithGap(gap)
//	keep := history.KeepTime(price, limit)
//
// A gap is the time between two uses of an artifact. The price is how long an accelerator
// may idle to avoid one cold start. KeepTime returns the time with the least expected cost
// over the observed gaps, where recent gaps weigh more. For artifacts with few gaps, the
// gaps of the pool are added as a prior (WithPrior). With too few gaps in total, the keep
// time is the price itself, which costs at most twice as much as knowing the next gap in
// advance.
package keepalive

import (
	"math"
	"time"
)

const (
	// firstBinBound is the upper bound of the first bin. Each further bound is binGrowth times the
	// one before.
	firstBinBound = time.Second
	binGrowth     = 1.5
	binCount      = 32
	// gapDecay is the factor applied to the weight of past gaps with each new gap.
	gapDecay = 0.97
	// poolDecay is the same factor for the gaps of a pool.
	poolDecay = 0.999
	// minGapWeight is the total weight of gaps that a histogram must have to be used. Each gap
	// has the weight 1, which decays with later gaps.
	minGapWeight = 4
)

// History is a histogram of the gaps between uses of an artifact. It is an immutable value.
type History struct {
	bins  [binCount]float64
	total float64
}

// WithGap returns the history after one more gap.
func (h History) WithGap(gap time.Duration) History { return h.withGap(gap, gapDecay) }

// WithPoolGap returns the history of a pool after one more gap of any artifact. It decays more
// slowly than the history of an artifact.
func (h History) WithPoolGap(gap time.Duration) History { return h.withGap(gap, poolDecay) }

func (h History) withGap(gap time.Duration, decay float64) History {
	for i := range h.bins {
		h.bins[i] *= decay
	}
	h.bins[binIndex(gap)]++
	h.total = h.total*decay + 1
	return h
}

// Bins returns the weights of the bins and their total, for storage.
func (h History) Bins() (bins []float32, total float64) {
	for _, weight := range h.bins {
		bins = append(bins, float32(weight))
	}
	return bins, h.total
}

// RestoreHistory returns the history with weights that Bins returned.
func RestoreHistory(bins []float32, total float64) History {
	var h History
	for i, weight := range bins[:min(len(bins), binCount)] {
		h.bins[i] = float64(weight)
	}
	h.total = total
	return h
}

func binIndex(gap time.Duration) int {
	if gap <= firstBinBound {
		return 0
	}
	bin := int(math.Ceil(math.Log(float64(gap)/float64(firstBinBound)) / math.Log(binGrowth)))
	return min(bin, binCount-1)
}

// binBound returns the longest gap that belongs in a bin.
func binBound(bin int) time.Duration {
	return time.Duration(float64(firstBinBound) * math.Pow(binGrowth, float64(bin)))
}

// WithPrior returns the history with the gaps of prior added, scaled to a total weight of minGapWeight.
// The prior thus matters only while the artifact has few gaps of its own. A prior with a total weight
// below minGapWeight is ignored.
func (h History) WithPrior(prior History) History {
	if prior.total < minGapWeight {
		return h
	}
	for i := range h.bins {
		h.bins[i] += prior.bins[i] / prior.total * minGapWeight
	}
	h.total += minGapWeight
	return h
}

// KeepTime returns how long to keep the artifact loaded after a use, at most limit. It compares the
// expected cost of each bin bound as keep time: idle accelerator time, plus price for each gap that
// is longer and ends in a cold start. Zero means to unload at once.
func (h History) KeepTime(price, limit time.Duration) time.Duration {
	if h.total < minGapWeight {
		return min(price, limit)
	}
	bestKeep, bestCost := time.Duration(0), price.Seconds()*h.total
	var idleCost, endedWeight float64
	for i, weight := range h.bins {
		keep := binBound(i)
		if keep > limit {
			break
		}
		// Gaps in this bin end while the artifact is still loaded.
		idleCost += weight * keep.Seconds()
		endedWeight += weight
		cost := idleCost + (h.total-endedWeight)*(keep.Seconds()+price.Seconds())
		if cost < bestCost {
			bestKeep, bestCost = keep, cost
		}
	}
	return bestKeep
}
