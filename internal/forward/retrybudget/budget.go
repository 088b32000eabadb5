// Package retrybudget bounds how many requests all daemons together send again.
//
// # Usage
//
//	budget := retrybudget.New(clock, limits, daemons)
//	budget.Earn("llm")
//	if budget.Spend("llm") { ... }
//
// The bound holds for the sum over all daemons in any window of time. Each daemon keeps to
// its share: a part of its own requests, and a part of the slack that all have together.
package retrybudget

import (
	"sync"
	"time"

	"azurehitch"
)

// Limits are the bound of all daemons.
type Limits struct {
	// Ratio is the part of the requests that may be sent again.
	Ratio float64
	// Slack is the number that may be sent again besides.
	Slack float64
	// Window is the span in which both are counted.
	Window time.Duration
}

const (
	// reserve is the part of the bound that is used. The rest covers daemons that are not
	// known yet.
	reserve = 0.75
	// bucketsPerWindow is how finely times are kept.
	bucketsPerWindow = 20
)

// Budget is the share of one daemon.
type Budget struct {
	clock   azurehitch.Clock
	limits  Limits
	daemons func() int
	began   time.Time

	mu       sync.Mutex
	services map[string]*counts
}

// counts is the requests for one service in the last window.
type counts struct {
	requests window
	repeats  window
}

// New returns the budget of a daemon. The number of daemons that share the slack may change.
func New(clock azurehitch.Clock, limits Limits, daemons func() int) *Budget {
	return &Budget{clock: clock, limits: limits, daemons: daemons, began: clock.Now(), services: map[string]*counts{}}
}

// SetLimits replaces the bound of all daemons. The window stays as it is.
func (b *Budget) SetLimits(limits Limits) {
	b.mu.Lock()
	defer b.mu.Unlock()
	limits.Window = b.limits.Window
	b.limits = limits
}

// Earn counts a request.
func (b *Budget) Earn(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.counts(service).requests.add(b.bucket())
}

// Spend reports whether a request may be sent once more, and counts that.
func (b *Budget) Spend(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.counts(service)
	bucket := b.bucket()
	if float64(c.repeats.sum(bucket)+1) > b.share(c, bucket) {
		return false
	}
	c.repeats.add(bucket)
	return true
}

// share is the number of repeats in a window. In the first window, an earlier process of
// this host may have used a part.
func (b *Budget) share(c *counts, bucket int64) float64 {
	share := b.limits.Ratio * float64(c.requests.sum(bucket))
	slack := b.limits.Slack / float64(max(b.daemons(), 1))
	if b.clock.Now().Sub(b.began) < b.limits.Window {
		slack /= 2
	}
	return reserve * (share + slack)
}

func (b *Budget) counts(service string) *counts {
	c, ok := b.services[service]
	if !ok {
		c = &counts{}
		b.services[service] = c
	}
	return c
}

func (b *Budget) bucket() int64 {
	return int64(b.clock.Now().Sub(b.began) / (b.limits.Window / bucketsPerWindow))
}

// window counts events by bucket.
type window struct {
	buckets [bucketsPerWindow]int
	newest  int64
}

func (w *window) add(bucket int64) {
	w.advance(bucket)
	w.buckets[bucket%bucketsPerWindow]++
}

func (w *window) sum(bucket int64) int {
	w.advance(bucket)
	sum := 0
	for _, n := range w.buckets {
		sum += n
	}
	return sum
}

// advance empties the buckets that have left the window.
func (w *window) advance(bucket int64) {
	for i := max(w.newest+1, bucket-bucketsPerWindow+1); i <= bucket; i++ {
		w.buckets[i%bucketsPerWindow] = 0
	}
	w.newest = max(w.newest, bucket)
}
