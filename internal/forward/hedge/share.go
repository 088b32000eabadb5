package hedge

import (
	"slices"
	"time"

	"azurehitch"
)

const (
	// shareWindow is the time in which hedges are at most a share of the requests. A daemon may have one request
	// in two seconds, of which a share of 0.02 is less than one in a minute.
	shareWindow = 5 * time.Minute
	// shareBucket is the time for which requests are counted together.
	shareBucket = 5 * time.Second
)

// counts are the requests and hedges of a service.
type counts struct {
	// requests are the numbers of requests by bucket; the oldest come first.
	requests []bucket
	// hedgedAt are the times at which hedges were sent, and pending is the number of those that may be.
	hedgedAt []time.Time
	pending  int
}

// bucket counts the requests of a shareBucket.
type bucket struct {
	startedAt time.Time
	count     int
}

// Earn counts a request of a service. Further hedges are a share of the requests.
func (t *Tracker) Earn(service azurehitch.BackendService) {
	if !t.IsOn(service) {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	c, ok := t.services[service.Name]
	if !ok {
		c = &counts{}
		t.services[service.Name] = c
	}
	c.forgetOld(now)
	if last := len(c.requests) - 1; last >= 0 && now.Sub(c.requests[last].startedAt) < shareBucket {
		c.requests[last].count++
		return
	}
	c.requests = append(c.requests, bucket{startedAt: now, count: 1})
}

// forgetOld forgets what was more than shareWindow ago. A bucket counts until its first request does.
func (c *counts) forgetOld(now time.Time) {
	c.requests = slices.DeleteFunc(c.requests, func(b bucket) bool { return now.Sub(b.startedAt) >= shareWindow })
	c.hedgedAt = slices.DeleteFunc(c.hedgedAt, func(at time.Time) bool { return now.Sub(at) >= shareWindow })
}

// isWithin reports whether one more hedge stays within the share.
func (c *counts) isWithin(share float64) bool {
	requests := 0
	for _, b := range c.requests {
		requests += b.count
	}
	return float64(len(c.hedgedAt)+c.pending+1) <= share*float64(requests)
}

// reserve counts a hedge that may be sent, and returns false if the share does not allow it.
func (t *Tracker) reserve(service azurehitch.BackendService) (c *counts, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c, ok = t.services[service.Name]
	if !ok {
		return nil, false
	}
	c.forgetOld(t.clock.Now())
	if !c.isWithin(t.shareOf(service)) {
		return nil, false
	}
	c.pending++
	return c, true
}

// Permit allows one hedge. Either Sent or Refund is called once.
type Permit struct {
	// Avoid holds the ids of the servers that must not get the hedge. Others may have it.
	Avoid []string

	tracker *Tracker
	counts  *counts
	charge  azurehitch.RetryCharge
}

// Sent records that the hedge is sent now.
func (p *Permit) Sent() {
	p.charge.Sent()
	p.tracker.mu.Lock()
	defer p.tracker.mu.Unlock()
	p.counts.pending--
	p.counts.hedgedAt = append(p.counts.hedgedAt, p.tracker.clock.Now())
}

// Refund records that the hedge is not sent.
func (p *Permit) Refund() {
	p.charge.Refund()
	p.release()
}

func (p *Permit) release() {
	p.tracker.mu.Lock()
	defer p.tracker.mu.Unlock()
	p.counts.pending--
}
