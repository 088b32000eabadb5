package admission

import (
	"cmp"
	"slices"
	"time"

	"azurehitch"
)

// rank is the order in which requests give way.
type rank int

const (
	// rankStalled is that of requests without progress.
	rankStalled rank = iota
	// rankGreedy is that of the requests of a caller that holds more than its part.
	rankGreedy
	// rankLarge is that of requests that give way to small ones.
	rankLarge
	// rankKept is that of requests that don't give way.
	rankKept
)

// candidate is a request that could be evicted.
type candidate struct {
	*Reservation
	rank rank
	// weight is what it holds multiplied by how long it has been open in seconds.
	weight float64
}

// isStalled reports whether a request has brought too little in its current span. If it has brought enough, a
// new span begins.
func (r *Reservation) isStalled(limits Limits, now time.Time) bool {
	span := now.Sub(r.spanBegin)
	if span < limits.Span {
		return false
	}
	if float64(r.spanBytes) < float64(limits.MinRate)*span.Seconds() {
		return true
	}
	r.spanBegin, r.spanBytes = now, 0
	return false
}

// rankOf returns when a request gives way to another one that is to hold size bytes.
func (b *Budget) rankOf(r, to *Reservation, size int64, now time.Time) rank {
	part := int64(b.limits.CallerPart)
	switch {
	case r.isStalled(b.limits, now):
		return rankStalled
	case r.caller != to.caller && b.callers[r.caller] > part && b.callers[to.caller] <= part:
		return rankGreedy
	case azurehitch.ByteSize(size) <= b.limits.Small && azurehitch.ByteSize(r.taken) > b.limits.Small:
		return rankLarge
	}
	return rankKept
}

// makeRoom evicts requests in favor of one that lacks missing bytes to grow by added, if they free enough. It
// returns the refusal of that request. The caller holds b.mu.
func (b *Budget) makeRoom(r *Reservation, added, missing int64, now time.Time) *ErrExhausted {
	b.refusedCaller, b.refusedAt = r.caller, now
	refusal := b.exhausted(CauseMemory)
	if r.isAnswer {
		b.refusedCaller = ""
		return refusal
	}
	var candidates []candidate
	for other := range b.receiving {
		if other.evicted != "" {
			missing -= other.taken
			continue
		}
		rank := b.rankOf(other, r, r.taken+added, now)
		if other != r && rank != rankKept {
			weight := float64(other.taken) * now.Sub(other.openedAt).Seconds()
			candidates = append(candidates, candidate{other, rank, weight})
		}
	}
	slices.SortFunc(candidates, func(x, y candidate) int {
		return cmp.Or(cmp.Compare(x.rank, y.rank), cmp.Compare(y.weight, x.weight))
	})
	refusal.willBeFreed = evictFor(candidates, missing)
	return refusal
}

// evictFor evicts candidates in order until they free the missing bytes. It reports whether that is enough;
// otherwise it evicts only those without progress.
func evictFor(candidates []candidate, missing int64) bool {
	needed := 0
	for _, c := range candidates {
		if missing <= 0 {
			break
		}
		missing -= c.taken
		needed++
	}
	for _, c := range candidates[:needed] {
		switch {
		case c.rank == rankStalled:
			c.evicted = CauseStalled
		case missing <= 0:
			c.evicted = CauseEvicted
		default:
			continue
		}
		c.evict()
	}
	return missing <= 0
}

// isBeyondPart reports whether a caller may not get more bytes, because it would hold more than its part while
// a request of another one was refused a short time ago. The caller holds b.mu.
func (b *Budget) isBeyondPart(r *Reservation, added int64, now time.Time) bool {
	if b.refusedCaller == "" || b.refusedCaller == r.caller || now.Sub(b.refusedAt) > contestTime {
		return false
	}
	return b.callers[r.caller]+added > int64(b.limits.CallerPart)
}
