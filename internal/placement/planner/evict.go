package planner

import (
	"cmp"
	"math"
	"slices"
	"time"

	"azurehitch"
	"azurehitch/internal/proof/sabotage"
)

// evictFor returns an order to unload one artifact to free up memory for a requested load. Among the
// servers that can free enough memory, it chooses the least valuable artifact. It returns false if no
// server can.
func (p *Plan) evictFor(candidates []*server, req loadRequest, now time.Time) (Action, bool) {
	var bestServer *server
	var bestVictim victim
	for _, s := range candidates {
		victims, enough := p.victims(s, req, now)
		if enough && (bestServer == nil || victims[0].compare(bestVictim) < 0) {
			bestServer, bestVictim = s, victims[0]
		}
	}
	if bestServer == nil {
		return Action{}, false
	}
	return p.evictVictim(bestServer, bestVictim), true
}

// evictVictim starts to unload a victim. If trials are using it, their requests are cancelled.
func (p *Plan) evictVictim(s *server, v victim) Action {
	v.preempt = v.value == valueTrialBusy
	return p.evict(s, v.booking)
}

// evict starts to unload an artifact. The adapters of a model are unloaded before the model.
func (p *Plan) evict(s *server, b *booking) Action {
	b.draining = true
	action := p.bookUnload(s, s.firstToUnload(b))
	action.Preempt = b.preempt
	return action
}

// firstToUnload returns an adapter of a model, which must be unloaded before it, or the booking
// itself.
func (s *server) firstToUnload(b *booking) *booking {
	for _, artifact := range sortedArtifacts(s.bookings) {
		if artifact.Adapter != "" && b.Artifact.Adapter == "" && artifact.WithoutAdapter() == b.Artifact {
			return s.bookings[artifact]
		}
	}
	return b
}

// The values of victims, in order of eviction.
const (
	// valueTrialIdle is an idle artifact that only trials have used.
	valueTrialIdle = iota
	// valueIdle is an idle artifact that paying callers have used.
	valueIdle
	// valueTrialBusy is an artifact that only trials are using now. Their requests are cancelled
	// and resumed later.
	valueTrialBusy
)

// victim is a booking that may be evicted.
type victim struct {
	*booking
	value int
}

// compare orders victims by value, then by last use, the least recently used first.
func (v victim) compare(other victim) int {
	return cmp.Or(cmp.Compare(v.value, other.value), v.lastUsed.Compare(other.lastUsed))
}

// victims returns the bookings of a server that may be evicted for a requested load, the least
// valuable first. The second result is false if there are none, or if unloading all of them would not
// free enough memory.
func (p *Plan) victims(s *server, req loadRequest, now time.Time) ([]victim, bool) {
	available := s.freeMemory()
	var victims []victim
	for _, artifact := range sortedArtifacts(s.bookings) {
		b := s.bookings[artifact]
		if value, ok := p.valueOf(s, b, req, now); ok {
			victims = append(victims, victim{booking: b, value: value})
			available += b.Memory
		}
	}
	slices.SortStableFunc(victims, victim.compare)
	return victims, len(victims) > 0 && available >= req.memory
}

// valueOf returns the value of a booking as a victim; ok is false if it may not be evicted for the
// requested load. A load for trials evicts only idle artifacts that were loaded for trials, never
// those kept for paying callers. A load for paying callers may also evict idle artifacts that paying
// callers used, and artifacts that trials are using now.
func (p *Plan) valueOf(s *server, b *booking, req loadRequest, now time.Time) (value int, ok bool) {
	if !s.isUnloadable(b) || b.Artifact == req.artifact.WithoutAdapter() {
		return 0, false
	}
	borrowed, paid := p.isBorrowed(b.Artifact, now), req.class.IsPaid()
	isIdle := b.Active == 0 && now.Sub(b.lastUsed) >= minKeepTime
	switch {
	case borrowed && isIdle:
		return valueTrialIdle, true
	case paid && isIdle:
		return valueIdle, true
	case paid && borrowed:
		return valueTrialBusy, true
	}
	return 0, false
}

// reclaimBorrowed frees memory on a server by unloading artifacts that only trials use, one at a time.
// sufficient is false if unloading all of them would not free enough for the requested load. If it is
// true and the action is empty, unloads in progress already free enough, and the load must wait for
// them.
func (p *Plan) reclaimBorrowed(s *server, req loadRequest, now time.Time) (action Action, sufficient bool) {
	available, freeing := s.freeMemory(), s.freeMemory()
	var borrowed []victim
	for _, artifact := range sortedArtifacts(s.bookings) {
		b := s.bookings[artifact]
		if !p.isBorrowed(artifact, now) {
			continue
		}
		value, ok := p.valueOf(s, b, req, now)
		switch {
		case b.draining:
			freeing += b.Memory
			available += b.Memory
		case ok:
			borrowed = append(borrowed, victim{booking: b, value: value})
			available += b.Memory
		}
	}
	if available < req.memory || freeing >= req.memory {
		return Action{}, available >= req.memory
	}
	return p.evictVictim(s, slices.MinFunc(borrowed, victim.compare)), true
}

// isBorrowed reports whether an artifact is loaded only for trials: no paying caller has used it within
// its keep time, and it is not preloaded. Trials then borrow its memory until a paying caller needs
// it.
func (p *Plan) isBorrowed(artifact azurehitch.Artifact, now time.Time) bool {
	if p.isPreloadActive(artifact, now) {
		return false
	}
	lastPaidUse, known := p.lastPaidUse[artifact]
	return !known || now.Sub(lastPaidUse) >= p.keepTime(artifact)
}

// trialMemoryAvailable returns how much more memory of the pool trials may use: the memory of the
// servers that accept work, less the memory promised to paying callers and the memory that trials use
// already. It is unlimited if no memory is promised, and may be negative.
func (p *Plan) trialMemoryAvailable(now time.Time) azurehitch.ByteSize {
	if p.pool.PromisedMemoryToPaid == 0 || sabotage.Active(sabotage.TrialsLikePaid) {
		return math.MaxInt64
	}
	available := -p.pool.PromisedMemoryToPaid
	for _, s := range p.servers {
		if s.acceptsWork() {
			available += s.AcceleratorMemory
		}
		for artifact, b := range s.bookings {
			if p.isBorrowed(artifact, now) {
				available -= b.Memory
			}
		}
	}
	return available
}

// isUnloadable reports whether an unload may be ordered: the artifact and its adapters are loaded, and
// no order for them is outstanding. A load order that arrived after the unload would load the
// artifact again without a booking.
func (s *server) isUnloadable(b *booking) bool {
	for artifact, other := range s.bookings {
		if artifact.Adapter != "" && b.Artifact.Adapter == "" && artifact.WithoutAdapter() == b.Artifact && !other.isSettled() {
			return false
		}
	}
	return b.isSettled()
}

// isSettled reports whether the artifact is loaded, or being unloaded, and no earlier order for it can
// still arrive.
func (b *booking) isSettled() bool {
	loaded := b.State == azurehitch.PlacementReady || b.State == azurehitch.PlacementUnloading || b.draining
	return loaded && !b.orderInFlight && !b.uncertain && len(b.openIntents) == 0
}

// evictOtherVersion starts to unload the least valuable replica of another version of the model,
// since the limit of replicas counts all versions of a model. It returns false if none may be evicted.
func (p *Plan) evictOtherVersion(req loadRequest, now time.Time, budget Budget) (Action, bool) {
	var bestServer *server
	var bestVictim victim
	for _, name := range p.serverNames {
		s := p.servers[name]
		if !p.mayOrder(s, budget) {
			continue
		}
		for _, b := range s.replicasOf(req.artifact.Model) {
			value, ok := p.valueOf(s, b, req, now)
			v := victim{booking: b, value: value}
			if ok && b.Artifact.Version != req.artifact.Version && (bestServer == nil || v.compare(bestVictim) < 0) {
				bestServer, bestVictim = s, v
			}
		}
	}
	if bestServer == nil {
		return Action{}, false
	}
	return p.evictVictim(bestServer, bestVictim), true
}

// unloadDraining unloads all artifacts from servers that are leaving or no longer in the table,
// artifacts that are no longer in the table, and replicas draining for eviction. The engine
// finishes requests in progress first.
func (p *Plan) unloadDraining(budget Budget) []Action {
	return p.unloadWhere(budget, func(s *server, b *booking) bool {
		_, known := p.memory(b.Artifact)
		return !known || s.isLeaving() || s.retired || b.State == azurehitch.PlacementUnloading || b.draining
	})
}

// unloadIdle unloads the artifacts that have been idle for their keep time.
func (p *Plan) unloadIdle(now time.Time, budget Budget) []Action {
	return p.unloadWhere(budget, func(s *server, b *booking) bool {
		return b.Active == 0 && now.Sub(b.lastUsed) >= p.keepTimeOn(s, b.Artifact) && !p.isPreloadActive(b.Artifact, now)
	})
}

// unloadWhere unloads the artifacts for which due is true, on the servers that may get orders now.
func (p *Plan) unloadWhere(budget Budget, due func(*server, *booking) bool) []Action {
	var actions []Action
	for _, name := range p.serverNames {
		s := p.servers[name]
		if !p.mayOrder(s, budget) || !s.any(due) {
			continue
		}
		for _, artifact := range sortedArtifacts(s.bookings) {
			if b := s.bookings[artifact]; s.isUnloadable(b) && due(s, b) {
				actions = append(actions, p.evict(s, b))
			}
		}
	}
	return actions
}

// any reports whether due is true for any booking of the server.
func (s *server) any(due func(*server, *booking) bool) bool {
	for _, b := range s.bookings {
		if due(s, b) {
			return true
		}
	}
	return false
}

// unloadExcess unloads replicas above a limit that was lowered, the least busy first.
func (p *Plan) unloadExcess(budget Budget) []Action {
	if sabotage.Active(sabotage.SkipLowering) {
		return nil
	}
	var actions []Action
	excesses := p.excessReplicas()
	for _, model := range sortedKeys(excesses) {
		for excess := excesses[model]; excess > 0; excess-- {
			action, ok := p.unloadLeastBusy(model, budget)
			if !ok {
				break
			}
			actions = append(actions, action)
		}
	}
	return actions
}

// excessReplicas returns, by model, how many replicas beyond its limit are booked and not being
// unloaded. Models within their limit are left out.
func (p *Plan) excessReplicas() map[string]int {
	count := map[string]int{}
	for _, s := range p.servers {
		for artifact, b := range s.bookings {
			if artifact.Adapter == "" && !b.draining && b.State != azurehitch.PlacementUnloading {
				count[artifact.Model]++
			}
		}
	}
	for model := range count {
		if count[model] -= p.maxReplicas[model]; count[model] <= 0 {
			delete(count, model)
		}
	}
	return count
}

// unloadLeastBusy returns an order to unload the replica of a model that has the fewest requests in
// progress, and false if none may be unloaded now.
func (p *Plan) unloadLeastBusy(model string, budget Budget) (Action, bool) {
	var leastBusyServer *server
	var leastBusy *booking
	for _, name := range p.serverNames {
		s := p.servers[name]
		if !p.mayOrder(s, budget) {
			continue
		}
		for _, b := range s.replicasOf(model) {
			if s.isUnloadable(b) && !b.draining && (leastBusy == nil || b.Active < leastBusy.Active) {
				leastBusyServer, leastBusy = s, b
			}
		}
	}
	if leastBusy == nil {
		return Action{}, false
	}
	return p.evict(leastBusyServer, leastBusy), true
}
