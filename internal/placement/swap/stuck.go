package swap

import (
	"math"
	"slices"
	"time"
)

// stuckTime is the wait for a replica's server from which on another replica is worth a load from a
// near copy.
const stuckTime = 1500 * time.Millisecond

// isStuck reports whether there are replicas of a model, and none of them can serve a request soon:
// they have failed it, or its adapter is not there and their servers take no orders for some time. A server
// that carries out the order of a former holder is such a one, for as long as a load from the weight
// store takes.
func (p *Plan) isStuck(need Need, replicas []*server, now time.Time) bool {
	return len(replicas) > 0 && p.waitForReplica(need, replicas, now) > stuckTime
}

// waitForReplica is how long it takes until one of some replicas can serve a request, or load its
// adapter. It is the longest time there is when all of them have failed the request.
func (p *Plan) waitForReplica(need Need, replicas []*server, now time.Time) time.Duration {
	wait := time.Duration(math.MaxInt64)
	for _, s := range replicas {
		if !slices.Contains(need.Avoid, s.ID) {
			wait = min(wait, p.waitAt(s, need, now))
		}
	}
	return wait
}

// waitAt is how long it takes until a replica can serve a request as far as its adapter goes.
func (p *Plan) waitAt(s *server, need Need, now time.Time) time.Duration {
	switch {
	case need.Adapter == "" || s.replicas[need.Model].hasAdapter(need.Adapter):
		return 0
	case s.order != nil:
		return max(s.freeAt.Sub(now), 0)
	}
	// A server that is unknown is expected to be so as long again.
	return s.unknownFor(now)
}

// stuckWait is how long a request waits for a further replica of its model, or for the server of
// one that there is.
func (p *Plan) stuckWait(w *waiter, o outlook, now time.Time) time.Duration {
	// Without any other, the servers may come back as they did before.
	wait := min(p.waitForReplica(w.Need, o.replicas, now), max(p.settings.SwapTime, now.Sub(w.since)))
	limits := p.limits.Models[w.Model]
	if loaders := p.loaders(w.Model); len(loaders) > 0 {
		return min(wait, loaders[0].loadLeft(now)+p.settings.SwapTime)
	}
	if s := p.bestHome(w.Model, now); s != nil {
		return min(wait, limits.LoadTime(s.tier(w.Model))+p.settings.SwapTime)
	}
	return wait
}
