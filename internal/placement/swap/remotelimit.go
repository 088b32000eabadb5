package swap

import (
	"time"

	"azurehitch"
)

const (
	// initialLoadsTime bounds the initial limit: that many concurrent loads must end within this
	// time even if the weight store serves only one at full speed.
	initialLoadsTime = 24 * time.Second
	// contentionSlowdown is the ratio of actual to expected load time above which the weight store
	// counts as overloaded by concurrent loads.
	contentionSlowdown = 1.25
	// overdueAfter is how long a load from a cached checkpoint may exceed its expected time before
	// another server is tried.
	overdueAfter = time.Second
)

// remoteLimit estimates how many concurrent loads the weight store serves at full speed. The
// platform does not publish that number, so it is derived from the observed load times.
type remoteLimit struct {
	// limit is the maximum number of concurrent loads; 0 before the first decision.
	limit int
	// contentionSeen is set once loads have slowed each other down. The limit is not raised after
	// that.
	contentionSeen bool
}

// maxRemoteLoads returns how many loads from the weight store may run at once.
func (p *Plan) maxRemoteLoads(now time.Time) int {
	if p.remoteLimit.limit == 0 {
		var longest time.Duration
		for _, m := range p.limits.Models {
			longest = max(longest, m.RemoteLoad)
		}
		if longest == 0 {
			return max(p.settings.MaxRemoteLoads, 1)
		}
		p.remoteLimit.limit = max(min(int(initialLoadsTime/longest), p.settings.MaxRemoteLoads), 1)
	}
	for _, s := range p.sortedServers {
		if o := s.modelOrder; o != nil && o.isRemoteLoad() && o.slowdown(now) > contentionSlowdown {
			p.remoteLimit.lower(o.remoteConcurrency, o.slowdown(now))
		}
	}
	return p.remoteLimit.limit
}

// adjustRemoteLimit lowers the limit on concurrent loads after a load that took too long, and
// raises it by one after a load at full speed at the limit, until loads have once slowed each other
// down.
func (p *Plan) adjustRemoteLimit(o Order, now time.Time) {
	slowdown := o.slowdown(now)
	switch {
	case slowdown > contentionSlowdown:
		p.remoteLimit.lower(o.remoteConcurrency, slowdown)
	case o.remoteConcurrency >= p.remoteLimit.limit && !p.remoteLimit.contentionSeen:
		p.remoteLimit.limit = min(p.remoteLimit.limit+1, p.settings.MaxRemoteLoads)
	}
}

// lower lowers the limit after a load took slowdown times as long as expected while concurrency
// loads, including this one, were in progress. The store then served about concurrency/slowdown
// loads at full speed.
func (r *remoteLimit) lower(concurrency int, slowdown float64) {
	r.contentionSeen = true
	r.limit = min(r.limit, max(int(float64(concurrency)/slowdown+0.5), 1))
}

func (o Order) isRemoteLoad() bool {
	return o.Kind == azurehitch.OrderLoad && o.Adapter == "" && o.Tier == azurehitch.CacheTierRemote
}

// slowdown returns the ratio of the elapsed time of an order to its expected time. It returns 0 if
// the order has no expected time.
func (o Order) slowdown(now time.Time) float64 {
	if o.Expected <= 0 {
		return 0
	}
	return float64(now.Sub(o.startedAt)) / float64(o.Expected)
}

// isOverdue reports whether a model order other than a load from the weight store has exceeded its
// expected time by more than overdueAfter.
func (s *server) isOverdue(now time.Time) bool {
	return s.modelOrder != nil && !s.modelOrder.isRemoteLoad() && now.Sub(s.freeAt) > overdueAfter
}
