package swap

import "time"

const (
	// evictionDrainTime is how long a replica draining for eviction is neither pinned nor loaded
	// again.
	evictionDrainTime = 4 * time.Second
	// evictionDrainDelay is how long requests wait for free memory on the cached servers of their
	// model before a pinned replica is drained.
	evictionDrainDelay = 600 * time.Millisecond
	// maxVictimRateRatio is the highest ratio of the request rate of a model whose sole replica is
	// drained to the request rate of the waiting model.
	maxVictimRateRatio = 2
	// blockingTTL is how long after lastBlockingAt a replica counts as blocking other models.
	blockingTTL = time.Second
)

// drainForEviction drains a pinned replica if requests wait for a model and its cached servers can
// free enough memory only by unloading pinned replicas. Daemons stop using the draining replica,
// which becomes evictable once its requests have ended. Replicas whose model has another ready
// replica are drained first. The sole replica of a model is drained only if the model's request
// rate is at most maxVictimRateRatio times the rate of the waiting model.
func (p *Plan) drainForEviction(name string, now time.Time) {
	waiting := p.waiters.byModel[name]
	if len(waiting) == 0 || now.Sub(waiting[0].arrivedAt) < evictionDrainDelay {
		return
	}
	var best *server
	victim := ""
	for _, s := range p.cachedServers(name) {
		if !s.acceptsModelOrders(now) {
			continue
		}
		if p.hasDrainingReplica(s) {
			return
		}
		model := p.leastUsedRedundantModel(s)
		if model == "" {
			p.noteBlockingReplica(s, now)
			continue
		}
		if best == nil || p.inProgress.servers[s.ID] < p.inProgress.servers[best.ID] {
			best, victim = s, model
		}
	}
	if best == nil {
		best, victim = p.leastRequestedPinned(name, now)
	}
	if best != nil {
		p.draining[Replica{Server: best.ID, Model: victim}] = now.Add(evictionDrainTime)
	}
}

// leastRequestedPinned looks at the pinned replicas on the cached servers of the named model. It
// returns the server and the model of the replica whose model has the lowest request rate. It
// returns nil if there is none, or if that rate exceeds maxVictimRateRatio times the rate of the
// named model. Busy models that don't all fit into memory thus alternate.
func (p *Plan) leastRequestedPinned(name string, now time.Time) (target *server, victim string) {
	least := maxVictimRateRatio * p.model(name).requestRate.perSecond(now)
	for _, s := range p.cachedServers(name) {
		if !s.acceptsModelOrders(now) {
			continue
		}
		for _, model := range s.modelNames() {
			if rate := p.model(model).requestRate.perSecond(now); p.isPinned(s.ID, model) && rate <= least {
				target, victim, least = s, model, rate
			}
		}
	}
	return target, victim
}

// noteBlockingReplica marks the pinned model with the fewest requests on a server. It is called if
// no pinned model of the server has another ready replica. The marked model then gets a second
// replica, if necessary from the weight store, so that the first can be drained.
func (p *Plan) noteBlockingReplica(s *server, now time.Time) {
	if blocking := p.leastUsedModel(s, func(model string) bool { return p.isPinned(s.ID, model) }); blocking != "" {
		p.model(blocking).lastBlockingAt = now
	}
}

// isSoleReplicaBlocking reports whether a model has at most one replica, ready or loading, and was
// marked by noteBlockingReplica within blockingTTL.
func (p *Plan) isSoleReplicaBlocking(name string, now time.Time) bool {
	m, ok := p.models[name]
	return ok && !m.lastBlockingAt.IsZero() && now.Sub(m.lastBlockingAt) < blockingTTL && len(p.readyServers(name))+len(p.loadingServers(name)) < 2
}

// hasDrainingReplica reports whether a replica on a server is already draining for eviction.
func (p *Plan) hasDrainingReplica(s *server) bool {
	for model := range s.replicas {
		if p.isDraining(s.ID, model) {
			return true
		}
	}
	return false
}

func (p *Plan) isDraining(server, model string) bool {
	_, draining := p.draining[Replica{Server: server, Model: model}]
	return draining
}

// leastUsedRedundantModel returns the pinned model with the fewest requests on a server among those
// that have a ready replica on another server too, or "" if there is none.
func (p *Plan) leastUsedRedundantModel(s *server) string {
	return p.leastUsedModel(s, func(model string) bool { return p.isPinned(s.ID, model) && p.hasOtherReplica(model, s) })
}

// leastUsedModel returns the model with the fewest requests at a server among those for which fits
// is true, or "" if there is none.
func (p *Plan) leastUsedModel(s *server, fits func(model string) bool) string {
	least := ""
	for _, model := range s.modelNames() {
		if fits(model) && (least == "" || p.requestsAt(s, model) < p.requestsAt(s, least)) {
			least = model
		}
	}
	return least
}

func (p *Plan) requestsAt(s *server, model string) int {
	return p.inProgress.replicas[Replica{Server: s.ID, Model: model}]
}

// hasOtherReplica reports whether a model has a ready replica on a server other than s, and that
// replica is not draining for eviction.
func (p *Plan) hasOtherReplica(model string, s *server) bool {
	for _, other := range p.readyServers(model) {
		if other != s && !p.isDraining(other.ID, model) {
			return true
		}
	}
	return false
}

func (p *Plan) expireDraining(now time.Time) {
	for r, until := range p.draining {
		if !now.Before(until) {
			delete(p.draining, r)
		}
	}
}
