package swap

import (
	"time"

	"azurehitch"
)

// loadOrEvict books the load of a model, or an unload that frees memory for it. It returns false if
// unloading all evictable replicas would not free enough memory.
func (p *Plan) loadOrEvict(s *server, name, reason string, now time.Time) (Order, bool) {
	limits := p.limits.Models[name]
	if s.freeMemory(p.limits) >= limits.Memory {
		return p.bookLoad(s, name, reason, now), true
	}
	victim := p.victim(s, limits.Memory)
	if victim == "" {
		return Order{}, false
	}
	return p.bookUnload(s, victim, reason, now), true
}

// victim returns the model of the least recently used evictable replica on a server. It returns ""
// if evicting all evictable replicas would leave less than the given memory free.
func (p *Plan) victim(s *server, memory azurehitch.ByteSize) string {
	best := ""
	free := s.freeMemory(p.limits)
	for _, name := range s.modelNames() {
		if !p.isEvictable(s, name) {
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

// isEvictable reports whether a replica may be unloaded: it is ready and not pinned, and no request
// uses it or waits for its model.
func (p *Plan) isEvictable(s *server, name string) bool {
	r := s.replicas[name]
	if r.state != stateReady || p.inProgress.replicas[Replica{Server: s.ID, Model: name}] > 0 || p.isPinned(s.ID, name) {
		return false
	}
	return len(p.waiters.byModel[name]) == 0
}

// evictAhead unloads idle replicas before a request needs their memory, so that the next swap on
// their server begins with the load.
func (p *Plan) evictAhead(now time.Time) []Order {
	var orders []Order
	largest := p.largestModel()
	for _, s := range p.sortedServers {
		if !s.acceptsModelOrders(now) || s.freeMemory(p.limits) >= largest {
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
