package planner

import (
	"cmp"
	"math"
	"slices"
	"time"

	"azurehitch"
	"azurehitch/internal/proof/sabotage"
)

// evictFor unloads, on the server where the least valuable suffices, one artifact
// towards the room that a load needs.
func (p *Plan) evictFor(candidates []*server, n need, now time.Time) (Action, bool) {
	var on *server
	var best victim
	for _, s := range candidates {
		victims, enough := p.victims(s, n, now)
		if enough && (on == nil || victims[0].compare(best) < 0) {
			on, best = s, victims[0]
		}
	}
	if on == nil {
		return Action{}, false
	}
	return p.evictVictim(on, best), true
}

// evictVictim begins to unload a victim; requests of trials on it are cancelled.
func (p *Plan) evictVictim(s *server, v victim) Action {
	v.preempt = v.value == valueTrialBusy
	return p.evict(s, v.booking)
}

// evict begins to unload an artifact, adapters that lie on it first.
func (p *Plan) evict(s *server, b *booking) Action {
	b.draining = true
	action := p.bookUnload(s, s.topmost(b))
	action.Preempt = b.preempt
	return action
}

// topmost returns an adapter that lies on a model, which must go first, or the
// booking itself.
func (s *server) topmost(b *booking) *booking {
	for _, artifact := range sortedArtifacts(s.bookings) {
		if artifact.Adapter != "" && b.Artifact.Adapter == "" && artifact.WithoutAdapter() == b.Artifact {
			return s.bookings[artifact]
		}
	}
	return b
}

// The values of what may be evicted, the least first.
const (
	// valueTrialIdle is used by trials only, and idle.
	valueTrialIdle = iota
	// valueIdle is idle.
	valueIdle
	// valueTrialBusy is used by trials only, whose requests are cancelled and resumed.
	valueTrialBusy
)

// victim is a booking that may be evicted.
type victim struct {
	*booking
	value int
}

// compare orders victims by value, the longest idle first among equals.
func (v victim) compare(other victim) int {
	return cmp.Or(cmp.Compare(v.value, other.value), v.lastUsed.Compare(other.lastUsed))
}

// victims returns what may be evicted from a server for a need, the least valuable
// first, and whether that and what is being unloaded make enough room.
func (p *Plan) victims(s *server, n need, now time.Time) ([]victim, bool) {
	room := s.free()
	var victims []victim
	for _, artifact := range sortedArtifacts(s.bookings) {
		b := s.bookings[artifact]
		if value, ok := p.valueOf(s, b, n, now); ok {
			victims = append(victims, victim{booking: b, value: value})
			room += b.Memory
		}
	}
	slices.SortStableFunc(victims, victim.compare)
	return victims, len(victims) > 0 && room >= n.memory
}

// valueOf returns the value of a booking as a victim, and false if it may not be
// evicted for the need. A need of trials takes nothing that a paying caller may come
// back to; one of paying callers takes also what trials are using.
func (p *Plan) valueOf(s *server, b *booking, n need, now time.Time) (value int, ok bool) {
	if !s.isUnloadable(b) || b.Artifact == n.artifact.WithoutAdapter() {
		return 0, false
	}
	lent, paid := p.isLent(b.Artifact, now), n.class.IsPaid()
	isIdle := b.Active == 0 && now.Sub(b.lastUsed) >= minimumKeep
	switch {
	case lent && isIdle:
		return valueTrialIdle, true
	case paid && isIdle:
		return valueIdle, true
	case paid && lent:
		return valueTrialBusy, true
	}
	return 0, false
}

// takeBack unloads one artifact that is lent to trials, if that gives a server room
// for a need. It returns no action while enough is being unloaded already.
func (p *Plan) takeBack(s *server, n need, now time.Time) (action Action, due bool) {
	room, going := s.free(), s.free()
	var lent []victim
	for _, artifact := range sortedArtifacts(s.bookings) {
		b := s.bookings[artifact]
		if !p.isLent(artifact, now) {
			continue
		}
		value, ok := p.valueOf(s, b, n, now)
		switch {
		case b.draining:
			going += b.Memory
			room += b.Memory
		case ok:
			lent = append(lent, victim{booking: b, value: value})
			room += b.Memory
		}
	}
	if room < n.memory || going >= n.memory {
		return Action{}, room >= n.memory
	}
	return p.evictVictim(s, slices.MinFunc(lent, victim.compare)), true
}

// isLent reports whether only trials have used an artifact within its keep time, so
// that its memory is spare capacity that is taken back when a paying caller needs it.
func (p *Plan) isLent(artifact azurehitch.Artifact, now time.Time) bool {
	if p.isHeldAhead(artifact, now) {
		return false
	}
	paidAt, known := p.paidAt[artifact]
	return !known || now.Sub(paidAt) >= p.keepTime(artifact)
}

// lendable returns how much memory trials may still take: what is not promised to
// paying callers, less what they have.
func (p *Plan) lendable(now time.Time) azurehitch.ByteSize {
	if p.pool.PromisedMemoryToPaid == 0 || sabotage.Active(sabotage.TrialsLikePaid) {
		return math.MaxInt64
	}
	left := -p.pool.PromisedMemoryToPaid
	for _, s := range p.servers {
		if s.accepts() {
			left += s.AcceleratorMemory
		}
		for artifact, b := range s.bookings {
			if p.isLent(artifact, now) {
				left -= b.Memory
			}
		}
	}
	return left
}

// isUnloadable reports whether an unload may be ordered: nothing is under way on
// it or on its adapters, and no order that may still arrive could load it again
// uncounted.
func (s *server) isUnloadable(b *booking) bool {
	for artifact, other := range s.bookings {
		if artifact.Adapter != "" && b.Artifact.Adapter == "" && artifact.WithoutAdapter() == b.Artifact && !other.isSettled() {
			return false
		}
	}
	return b.isSettled()
}

func (b *booking) isSettled() bool {
	loaded := b.State == azurehitch.PlacementReady || b.State == azurehitch.PlacementUnloading || b.draining
	return loaded && !b.ordered && !b.uncertain && len(b.intents) == 0
}

// evictOtherVersion makes room under the replica limit by unloading the least valuable
// replica of another version.
func (p *Plan) evictOtherVersion(n need, now time.Time, budget Budget) (Action, bool) {
	var on *server
	var best victim
	for _, name := range p.names {
		s := p.servers[name]
		if !p.mayOrder(s, budget) {
			continue
		}
		for _, b := range s.replicas(n.artifact.Model) {
			value, ok := p.valueOf(s, b, n, now)
			v := victim{booking: b, value: value}
			if ok && b.Artifact.Version != n.artifact.Version && (on == nil || v.compare(best) < 0) {
				on, best = s, v
			}
		}
	}
	if on == nil {
		return Action{}, false
	}
	return p.evictVictim(on, best), true
}

// drainLeaving unloads from servers that leave or are no longer in the table,
// and what the table no longer has. The engine finishes requests in progress.
func (p *Plan) drainLeaving(budget Budget) []Action {
	return p.unloadWhere(budget, func(s *server, b *booking) bool {
		_, known := p.memory(b.Artifact)
		return !known || s.isLeaving() || s.retired || b.State == azurehitch.PlacementUnloading || b.draining
	})
}

// unloadIdle unloads what nobody has used for its keep time.
func (p *Plan) unloadIdle(now time.Time, budget Budget) []Action {
	return p.unloadWhere(budget, func(s *server, b *booking) bool {
		return b.Active == 0 && now.Sub(b.lastUsed) >= p.keepTimeOn(s, b.Artifact) && !p.isHeldAhead(b.Artifact, now)
	})
}

func (p *Plan) unloadWhere(budget Budget, due func(*server, *booking) bool) []Action {
	var actions []Action
	for _, name := range p.names {
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

func (s *server) any(due func(*server, *booking) bool) bool {
	for _, b := range s.bookings {
		if due(s, b) {
			return true
		}
	}
	return false
}

// lowerReplicas unloads replicas above a limit that was lowered, the least busy
// first.
func (p *Plan) lowerReplicas(budget Budget) []Action {
	if sabotage.Active(sabotage.SkipLowering) {
		return nil
	}
	var actions []Action
	excesses := p.excesses()
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

// excesses returns how many replicas above its limit a model has booked that are not
// to be unloaded, for the models that have any.
func (p *Plan) excesses() map[string]int {
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

func (p *Plan) unloadLeastBusy(model string, budget Budget) (Action, bool) {
	var on *server
	var least *booking
	for _, name := range p.names {
		s := p.servers[name]
		if !p.mayOrder(s, budget) {
			continue
		}
		for _, b := range s.replicas(model) {
			if s.isUnloadable(b) && !b.draining && (least == nil || b.Active < least.Active) {
				on, least = s, b
			}
		}
	}
	if least == nil {
		return Action{}, false
	}
	return p.evict(on, least), true
}
