package planner

import (
	"slices"
	"time"

	"azurehitch"
	"azurehitch/internal/proof/sabotage"
)

// evictFor unloads, on the server where the least recently used suffices, one
// artifact towards the room that a load needs.
func (p *Plan) evictFor(candidates []*server, memory azurehitch.ByteSize, now time.Time) (Action, bool) {
	var best *server
	var bestVictim *booking
	for _, s := range candidates {
		victims, enough := p.victims(s, memory, now)
		if !enough {
			continue
		}
		if bestVictim == nil || victims[0].lastUsed.Before(bestVictim.lastUsed) {
			best, bestVictim = s, victims[0]
		}
	}
	if best == nil {
		return Action{}, false
	}
	return p.evict(best, bestVictim), true
}

// evict begins to unload an artifact, adapters that lie on it first.
func (p *Plan) evict(s *server, b *booking) Action {
	b.draining = true
	return p.bookUnload(s, s.topmost(b))
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

// victims returns what may be evicted from a server, the longest idle first, and
// whether that and what is being unloaded make enough room.
func (p *Plan) victims(s *server, memory azurehitch.ByteSize, now time.Time) ([]*booking, bool) {
	room := s.free()
	var victims []*booking
	for _, artifact := range sortedArtifacts(s.bookings) {
		b := s.bookings[artifact]
		if p.isEvictable(s, b, now) {
			victims = append(victims, b)
			room += b.Memory
		}
	}
	slices.SortStableFunc(victims, func(a, b *booking) int { return a.lastUsed.Compare(b.lastUsed) })
	return victims, len(victims) > 0 && room >= memory
}

func (p *Plan) isEvictable(s *server, b *booking, now time.Time) bool {
	return s.isUnloadable(b) && b.Active == 0 && now.Sub(b.lastUsed) >= minimumKeep
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

// evictOtherVersion makes room under the replica limit by unloading an idle
// replica of another version, or one on a server that takes no requests.
func (p *Plan) evictOtherVersion(artifact azurehitch.Artifact, now time.Time, budget Budget) (Action, bool) {
	for _, name := range sortedKeys(p.servers) {
		s := p.servers[name]
		for _, other := range sortedArtifacts(s.bookings) {
			b := s.bookings[other]
			if other.Model == artifact.Model && other.Version != artifact.Version &&
				p.mayOrder(s, budget) && p.isEvictable(s, b, now) {
				return p.evict(s, b), true
			}
		}
	}
	return Action{}, false
}

// drainLeaving unloads from servers that leave or are no longer in the table,
// and what the table no longer has. The engine finishes requests in progress.
func (p *Plan) drainLeaving(budget Budget) []Action {
	return p.unloadWhere(budget, func(s *server, b *booking) bool {
		_, known := p.pool.Memory(b.Artifact)
		return !known || s.isLeaving() || s.retired || b.State == azurehitch.PlacementUnloading || b.draining
	})
}

// unloadIdle unloads what nobody has used for its keep time.
func (p *Plan) unloadIdle(now time.Time, budget Budget) []Action {
	return p.unloadWhere(budget, func(_ *server, b *booking) bool {
		return b.Active == 0 && now.Sub(b.lastUsed) >= p.keepTime(b.Artifact)
	})
}

func (p *Plan) unloadWhere(budget Budget, due func(*server, *booking) bool) []Action {
	var actions []Action
	for _, name := range sortedKeys(p.servers) {
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
	staying := p.staying()
	for _, model := range sortedKeys(staying) {
		for excess := staying[model] - p.pool.MaxReplicas(model); excess > 0; excess-- {
			action, ok := p.unloadLeastBusy(model, budget)
			if !ok {
				break
			}
			actions = append(actions, action)
		}
	}
	return actions
}

// staying counts the replicas of each model that are booked and not to be
// unloaded.
func (p *Plan) staying() map[string]int {
	count := map[string]int{}
	for _, s := range p.servers {
		for artifact, b := range s.bookings {
			if artifact.Adapter == "" && !b.draining && b.State != azurehitch.PlacementUnloading {
				count[artifact.Model]++
			}
		}
	}
	return count
}

func (p *Plan) unloadLeastBusy(model string, budget Budget) (Action, bool) {
	var on *server
	var least *booking
	for _, name := range sortedKeys(p.servers) {
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
