package swap

import (
	"time"

	"azurehitch"
)

const (
	// firstLoadsTime is within how long the first loads from the weight store end, even if
	// only one of them runs at full speed.
	firstLoadsTime = 24 * time.Second
	// slowFactor is how much longer than expected a load takes that shares the weight store
	// with too many.
	slowFactor = 1.25
	// overdueTime is how long a load from a near copy may take beyond the expected time before
	// another server is tried.
	overdueTime = time.Second
)

// remoteShare is how many loads from the weight store run at once at full speed, as far as
// their times show: it is in no description of the store.
type remoteShare struct {
	// limit is 0 before the first decision.
	limit int
	// isKnown is true once loads were slower because of others.
	isKnown bool
}

// remoteLoads returns how many loads from the weight store may run at once.
func (p *Plan) remoteLoads(now time.Time) int {
	if p.share.limit == 0 {
		var longest time.Duration
		for _, m := range p.limits.Models {
			longest = max(longest, m.RemoteLoad)
		}
		if longest == 0 {
			return max(p.settings.RemoteLoads, 1)
		}
		p.share.limit = max(min(int(firstLoadsTime/longest), p.settings.RemoteLoads), 1)
	}
	for _, s := range p.list {
		if o := s.order; o != nil && o.isRemoteLoad() && o.slowness(now) > slowFactor {
			p.share.learn(o.among, o.slowness(now))
		}
	}
	return p.share.limit
}

// finished takes in how long a load took that had ran beside others.
func (p *Plan) finished(o Order, now time.Time) {
	slowness := o.slowness(now)
	switch {
	case slowness > slowFactor:
		p.share.learn(o.among, slowness)
	case o.among >= p.share.limit && !p.share.isKnown:
		p.share.limit = min(p.share.limit+1, p.settings.RemoteLoads)
	}
}

// learn lowers the limit: so many loads took so much longer than one.
func (r *remoteShare) learn(among int, slowness float64) {
	r.isKnown = true
	r.limit = min(r.limit, max(int(float64(among)/slowness+0.5), 1))
}

func (o Order) isRemoteLoad() bool {
	return o.Kind == azurehitch.OrderLoad && o.Adapter == "" && o.Tier == azurehitch.CacheTierRemote
}

// slowness is how many times as long as expected an order takes.
func (o Order) slowness(now time.Time) float64 {
	if o.Expected <= 0 {
		return 0
	}
	return float64(now.Sub(o.beganAt)) / float64(o.Expected)
}

// isOverdue reports whether a load from a near copy takes far longer than it should.
func (s *server) isOverdue(now time.Time) bool {
	return s.order != nil && !s.order.isRemoteLoad() && now.Sub(s.freeAt) > overdueTime
}
