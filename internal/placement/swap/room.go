package swap

import (
	"time"

	"azurehitch"
)

// loadOrMakeRoom books the load of a model, or first the unload that makes room for it.
func (p *Plan) loadOrMakeRoom(s *server, name, reason string, now time.Time) (Order, bool) {
	limits := p.limits.Models[name]
	if s.free(p.limits) >= limits.Memory {
		return p.bookLoad(s, name, reason, now), true
	}
	victim := p.victim(s, limits.Memory)
	if victim == "" {
		return Order{}, false
	}
	return p.bookUnload(s, victim, reason, now), true
}

// victim returns the replica that makes room: an idle one that is not kept, least
// recently used. It returns none if the room would not suffice.
func (p *Plan) victim(s *server, memory azurehitch.ByteSize) string {
	best := ""
	free := s.free(p.limits)
	for _, name := range s.replicaNames() {
		if !p.isIdle(s, name) {
			continue
		}
		free += p.limits.Models[name].Memory
		if best == "" || s.replicas[name].lastUsed.Before(s.replicas[best].lastUsed) {
			best = name
		}
	}
	if free < memory {
		return ""
	}
	return best
}

// isIdle reports whether a replica may be unloaded: nobody uses it or waits for it.
func (p *Plan) isIdle(s *server, name string) bool {
	r := s.replicas[name]
	if r.state != stateReady || p.progress.replicas[Replica{Server: s.ID, Model: name}] > 0 || p.isKept(s.ID, name) {
		return false
	}
	return len(p.waiters.byModel[name]) == 0
}

// makeRoom unloads idle replicas ahead of need, so that the next swap on their server
// begins with a load.
func (p *Plan) makeRoom(now time.Time) []Order {
	var orders []Order
	largest := p.largestModel()
	for _, s := range p.list {
		if !s.takesOrders(now) || s.free(p.limits) >= largest {
			continue
		}
		name := p.victim(s, largest)
		if name == "" || now.Sub(s.replicas[name].lastUsed) < idleBeforeUnload {
			continue
		}
		orders = append(orders, p.bookUnload(s, name, "room ahead of need", now))
	}
	return orders
}

func (p *Plan) largestModel() azurehitch.ByteSize {
	var largest azurehitch.ByteSize
	for _, m := range p.limits.Models {
		largest = max(largest, m.Memory)
	}
	return largest
}
