package swap

import (
	"math"
	"time"

	"azurehitch"
)

// maxReplicaWait is the wait for a replica beyond which another one is loaded from a cached
// checkpoint.
const maxReplicaWait = 1500 * time.Millisecond

// hasNoUsableReplica reports whether a model has replicas but none can serve a request soon: each
// has failed the request, has another software version, is on a server whose rate limit is used up for
// some time, or lacks its adapter and its server accepts no orders for some time. For example, a server that carries out a
// former holder's order accepts none for as long as a load from the weight store takes.
func (p *Plan) hasNoUsableReplica(request Request, ready []*server, now time.Time) bool {
	return len(ready) > 0 && p.waitForReplica(request, ready, now) > maxReplicaWait
}

// waitForReplica returns the time until the first of the replicas can serve a request or load its
// adapter. It returns the maximum duration if the request may use none of them.
func (p *Plan) waitForReplica(request Request, ready []*server, now time.Time) time.Duration {
	wait := time.Duration(math.MaxInt64)
	for _, s := range ready {
		if request.accepts(s) {
			wait = min(wait, p.usableWait(s, request, now))
		}
	}
	return wait
}

// usableWait returns the time until a replica can serve a request or load its adapter, and the rate
// limit of its server allows a further request.
func (p *Plan) usableWait(s *server, request Request, now time.Time) time.Duration {
	return max(p.adapterWait(s, request, now), p.rateLimitWait(s, now))
}

// adapterWait returns the time until a replica can serve a request or load its adapter.
func (p *Plan) adapterWait(s *server, request Request, now time.Time) time.Duration {
	switch {
	case request.Adapter == "" || s.replicas[request.Model].hasAdapter(request.Adapter):
		return 0
	case s.modelOrder != nil:
		return max(s.freeAt.Sub(now), 0)
	}
	// The server is assumed to be known again after as much time as it has been unknown.
	return s.unknownFor(now)
}

// estimateReplicaWait returns the expected wait for a further replica of a model or for an existing
// one to become usable.
func (p *Plan) estimateReplicaWait(w *waiter, avail availability, now time.Time) time.Duration {
	// Without a better estimate, the remaining wait is assumed to equal the time that the request
	// has waited.
	wait := min(p.waitForReplica(w.Request, avail.ready, now), max(p.settings.SwapOverhead, now.Sub(w.arrivedAt)))
	if next, ok := p.nextReplicaWait(w.Model, w.SoftwareVersion, now); ok {
		wait = min(wait, next)
	}
	return wait
}

// nextReplicaWait returns the expected time until a further replica of a model is ready at a server of
// the right software version. It returns false if none is being loaded and none can be loaded from a
// cached checkpoint now.
func (p *Plan) nextReplicaWait(name string, version azurehitch.VersionBound, now time.Time) (time.Duration, bool) {
	for _, s := range p.loadingServers(name) {
		if version.Allows(s.softwareVersion) {
			return s.remainingLoadTime(now) + p.settings.SwapOverhead, true
		}
	}
	if s := p.bestCachedServer(name, version, now); s != nil {
		return p.limits.Models[name].LoadTime(s.tier(name)) + p.settings.SwapOverhead, true
	}
	return 0, false
}
