// Package keepalive decides how long an idle artifact stays loaded, from the gaps
// between its own uses.
//
// # Usage
//
//	history := history.WithGap(gap)
//	keep := history.KeepTime(price, limit)
//
// The price is how many idle seconds of the accelerator one cold start is worth.
// The keep time is the one with the least expected cost over the gaps seen, the
// recent ones weighing more. Artifacts with few gaps of their own learn from those
// of the pool. With no gaps at all, the price itself is the keep time, which costs
// at most twice as much as knowing the next gap would.
package keepalive

import (
	"math"
	"time"
)

const (
	// firstBound is the upper bound of the first bin; each further bin is wider by
	// binGrowth.
	firstBound = time.Second
	binGrowth  = 1.5
	binCount   = 32
	// decay is the weight that the past keeps with each new gap.
	decay = 0.97
	// poolDecay is the same for the gaps of a pool.
	poolDecay = 0.999
	// enoughGaps is the weight of gaps from which the histogram is trusted.
	enoughGaps = 4
)

// History is the gaps between the uses of one artifact. It is a value and is never
// changed.
type History struct {
	bins  [binCount]float64
	total float64
}

// WithGap returns the history after one more gap.
func (h History) WithGap(gap time.Duration) History { return h.withGap(gap, decay) }

// WithPoolGap returns the history of a whole pool after one more gap of any artifact.
// It remembers more gaps than that of one artifact.
func (h History) WithPoolGap(gap time.Duration) History { return h.withGap(gap, poolDecay) }

func (h History) withGap(gap time.Duration, decay float64) History {
	for i := range h.bins {
		h.bins[i] *= decay
	}
	h.bins[binOf(gap)]++
	h.total = h.total*decay + 1
	return h
}

// Bins returns the weights of the bins and their total, to be kept elsewhere.
func (h History) Bins() (bins []float32, total float64) {
	for _, weight := range h.bins {
		bins = append(bins, float32(weight))
	}
	return bins, h.total
}

// RestoreHistory returns the history of weights that Bins returned.
func RestoreHistory(bins []float32, total float64) History {
	var h History
	for i, weight := range bins[:min(len(bins), binCount)] {
		h.bins[i] = float64(weight)
	}
	h.total = total
	return h
}

func binOf(gap time.Duration) int {
	if gap <= firstBound {
		return 0
	}
	bin := int(math.Ceil(math.Log(float64(gap)/float64(firstBound)) / math.Log(binGrowth)))
	return min(bin, binCount-1)
}

func bound(bin int) time.Duration {
	return time.Duration(float64(firstBound) * math.Pow(binGrowth, float64(bin)))
}

// WithPrior returns the history with the gaps of others added, at the weight of a
// few gaps. It is for artifacts with few gaps of their own.
func (h History) WithPrior(prior History) History {
	if prior.total < enoughGaps {
		return h
	}
	for i := range h.bins {
		h.bins[i] += prior.bins[i] / prior.total * enoughGaps
	}
	h.total += enoughGaps
	return h
}

// KeepTime returns how long to keep the artifact after a use, at most a limit.
func (h History) KeepTime(price, limit time.Duration) time.Duration {
	if h.total < enoughGaps {
		return min(price, limit)
	}
	best, bestCost := time.Duration(0), price.Seconds()*h.total
	var idle, ended float64
	for i, weight := range h.bins {
		keep := bound(i)
		if keep > limit {
			break
		}
		// Gaps of this bin end while the artifact is kept.
		idle += weight * keep.Seconds()
		ended += weight
		cost := idle + (h.total-ended)*(keep.Seconds()+price.Seconds())
		if cost < bestCost {
			best, bestCost = keep, cost
		}
	}
	return best
}
