// Package retrybudget limits the number of retries that all daemons make together.
//
// # Usage
//
//	budget := retrybudget.New(clock, limits, members)
//	budget.Earn("llm")
//	charge, ok := budget.Spend("llm")
//	charge.Sent()
//
// The limit applies to the sum over all daemons in any window of time. Each daemon stays within its
// share: a fraction of its own requests, and an equal part of the slack for all daemons. A retry counts
// from its charge on, also while it waits for a server, and for a window after it was sent.
package retrybudget

import (
	"sync"
	"time"

	"azurehitch"
)

// Limits limit the retries of all daemons together.
type Limits struct {
	// Ratio is the number of retries allowed per request.
	Ratio float64
	// Slack is the number of retries allowed per service in a window regardless of the number of
	// requests.
	Slack float64
	// Window is the time span in which requests and retries are counted.
	Window time.Duration
}

const (
	// usableFraction is the fraction of its share that a daemon uses. The rest covers daemons that
	// are not known yet.
	usableFraction = 0.75
	// startFraction is the part of its share that a daemon may use in the first window after a restart. Together
	// with what an earlier process of this host has used, it stays within what usableFraction leaves unused.
	startFraction = (1 - usableFraction) / usableFraction
	// spareFraction is the fraction of the share up to which hedges may be charged.
	spareFraction = 0.5
	// bucketsPerWindow is the number of time buckets in a window. A window may begin inside a bucket, so
	// that one more is kept.
	bucketsPerWindow = 20
	keptBuckets      = bucketsPerWindow + 1
)

// Members are the daemons that share the slack.
type Members interface {
	// Count returns the number of daemons, which may change; 0 means that it is not known.
	Count() int
	// IsRestart reports whether an earlier process of this daemon may have used its share.
	IsRestart() bool
}

// Budget is the part of the limits that one daemon may use.
type Budget struct {
	clock     azurehitch.Clock
	limits    Limits
	members   Members
	startedAt time.Time

	mu       sync.Mutex
	services map[string]*counts
}

// counts holds the numbers of requests and of sent retries for one service in the last window.
type counts struct {
	requests window
	retries  window
	// pending is the number of retries that were charged and not sent yet.
	pending int
}

// charge implements azurehitch.RetryCharge. It is safe for concurrent use.
type charge struct {
	budget *Budget
	counts *counts
	// isPending is true until the retry is sent or given up. The mutex of the budget guards it.
	isPending bool
}

// Sent implements azurehitch.RetryCharge.
func (c *charge) Sent() {
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	if c.settle() {
		c.counts.retries.add(c.budget.bucket())
	}
}

// Refund implements azurehitch.RetryCharge.
func (c *charge) Refund() {
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	c.settle()
}

// settle ends the wait of the retry, and returns false if it had ended before. The caller holds the mutex of
// the budget.
func (c *charge) settle() bool {
	if !c.isPending {
		return false
	}
	c.isPending = false
	c.counts.pending--
	return true
}

// New returns the budget of a daemon. While the number of daemons is not known, there is no slack.
func New(clock azurehitch.Clock, limits Limits, members Members) *Budget {
	return &Budget{clock: clock, limits: limits, members: members, startedAt: clock.Now(), services: map[string]*counts{}}
}

// SetLimits replaces the limits except for the window.
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

// Spend charges a retry, and returns false if the budget does not allow it.
func (b *Budget) Spend(service string) (retry azurehitch.RetryCharge, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.spend(b.counts(service), 1)
}

// SpendSpare charges a hedge: a retry that is not needed for an answer. It returns false unless spareFraction of the
// budget allows it. The rest is kept for the other retries, which may use all of it.
func (b *Budget) SpendSpare(service string) (hedge azurehitch.RetryCharge, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.spend(b.counts(service), spareFraction)
}

// spend charges a retry if a fraction of the share allows it. The caller holds b.mu.
func (b *Budget) spend(c *counts, fraction float64) (azurehitch.RetryCharge, bool) {
	bucket := b.bucket()
	if float64(c.retries.sum(bucket, keptBuckets)+c.pending+1) > fraction*b.share(c, bucket) {
		return nil, false
	}
	c.pending++
	return &charge{budget: b, counts: c, isPending: true}, true
}

// share returns the number of retries that this daemon may make in a window. In the first window after a restart
// it is lower, since an earlier process of this host may have used its own; the slack then grows from 0, so that
// several starts within one window make no more of it.
func (b *Budget) share(c *counts, bucket int64) float64 {
	earned := b.limits.Ratio * float64(c.requests.sum(bucket, bucketsPerWindow))
	slack := 0.0
	if daemons := b.members.Count(); daemons > 0 {
		slack = b.limits.Slack / float64(daemons)
	}
	if age := b.clock.Now().Sub(b.startedAt); age < b.limits.Window && b.members.IsRestart() {
		return startFraction * usableFraction * (earned + slack*float64(age)/float64(b.limits.Window))
	}
	return usableFraction * (earned + slack)
}

func (b *Budget) counts(service string) *counts {
	c, ok := b.services[service]
	if !ok {
		c = &counts{}
		b.services[service] = c
	}
	return c
}

// bucket returns the number of the current time bucket, counted from startedAt.
func (b *Budget) bucket() int64 {
	return int64(b.clock.Now().Sub(b.startedAt) / (b.limits.Window / bucketsPerWindow))
}

// window is a ring of the event counts of the last buckets; newest is the number of the latest one.
type window struct {
	buckets [keptBuckets]int
	newest  int64
}

func (w *window) add(bucket int64) {
	w.advance(bucket)
	w.buckets[bucket%keptBuckets]++
}

// sum returns the number of events in the last buckets up to the given one.
func (w *window) sum(bucket, buckets int64) int {
	w.advance(bucket)
	sum := 0
	for i := max(bucket-buckets+1, 0); i <= bucket; i++ {
		sum += w.buckets[i%keptBuckets]
	}
	return sum
}

// advance clears the buckets that are no longer kept.
func (w *window) advance(bucket int64) {
	for i := max(w.newest+1, bucket-keptBuckets+1); i <= bucket; i++ {
		w.buckets[i%keptBuckets] = 0
	}
	w.newest = max(w.newest, bucket)
}
