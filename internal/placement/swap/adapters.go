package swap

import (
	"cmp"
	"slices"
	"time"

	"azurehitch"
)

const (
	// adapterLoadTime is about what the load of an adapter takes.
	adapterLoadTime = 12 * time.Millisecond
	// adaptersInTransit is the number of adapters that are loaded to a server at once.
	adaptersInTransit = 3
	// adapterStay is how long the last request for an adapter usually runs: the unload of
	// an adapter in use waits for its end. Where no adapter was idle for as long, one that
	// was idle for adapterMinimumStay makes room.
	adapterStay        = 2500 * time.Millisecond
	adapterMinimumStay = time.Second
)

// loadAdapters returns the orders for adapters that requests wait for.
func (p *Plan) loadAdapters(now time.Time) []Order {
	var orders []Order
	for _, w := range p.waiters.sorted() {
		if w.Adapter == "" || p.adapterUnderWay(w.Need) || p.choose(w.Need, p.replicas(w.Model), now) != nil {
			continue
		}
		if order, ok := p.loadAdapter(w.Need, now); ok {
			orders = append(orders, order)
		}
	}
	return orders
}

func (p *Plan) adapterUnderWay(need Need) bool {
	for _, s := range p.replicas(need.Model) {
		if a, ok := s.replicas[need.Model].adapters[need.Adapter]; ok && a.state == stateLoading {
			return true
		}
	}
	return false
}

// loadAdapter books the load of an adapter at the replica that rendezvous hashing puts
// first, or the unload that makes a place for it.
func (p *Plan) loadAdapter(need Need, now time.Time) (Order, bool) {
	candidates := slices.DeleteFunc(p.replicas(need.Model), func(s *server) bool {
		// An adapter that is being unloaded still takes its place.
		_, placed := s.replicas[need.Model].adapters[need.Adapter]
		return placed || !s.takesAdapters(now) || s.adapterOrders >= adaptersInTransit || slices.Contains(need.Avoid, s.ID)
	})
	slices.SortFunc(candidates, func(a, b *server) int {
		return cmp.Or(
			compareBool(!p.isKept(a.ID, need.Model), !p.isKept(b.ID, need.Model)),
			compareBool(a.adapterCount() >= p.limits.AdapterSlots, b.adapterCount() >= p.limits.AdapterSlots),
			cmp.Compare(rendezvous(b.ID, need.Adapter), rendezvous(a.ID, need.Adapter)),
		)
	})
	for _, stay := range []time.Duration{adapterStay, adapterMinimumStay} {
		for _, s := range candidates {
			if order, ok := p.placeAdapter(s, need, stay, now); ok {
				return order, true
			}
		}
	}
	return Order{}, false
}

func (p *Plan) placeAdapter(s *server, need Need, stay time.Duration, now time.Time) (Order, bool) {
	order := Order{
		Server: s.ServerIdentity, Kind: azurehitch.OrderLoad, Model: need.Model, Adapter: need.Adapter,
		AfterOrders: s.orders, listing: s.listing,
	}
	size := p.limits.Models[need.Model].AdapterMemory
	if s.adapterCount() < p.limits.AdapterSlots && p.limits.Memory-s.memoryInUse(p.limits) >= size {
		s.replicas[need.Model].adapters[need.Adapter] = &adapter{state: stateLoading, lastUsed: now}
		s.adapterOrders++
		order.Expected, order.Reason = adapterLoadTime, "requests wait for the adapter"
		return order, true
	}
	owner, name := s.idleAdapter(stay, now)
	if name == "" {
		return Order{}, false
	}
	s.replicas[owner].adapters[name].state = stateUnloading
	s.adapterOrders++
	order.Kind, order.Model, order.Adapter, order.Reason = azurehitch.OrderUnload, owner, name, "room for another adapter"
	return order, true
}

// idleAdapter returns the adapter that was not used for longest, and for some time at least.
func (s *server) idleAdapter(stay time.Duration, now time.Time) (owner, name string) {
	var oldest time.Time
	for _, m := range s.replicaNames() {
		for a, state := range s.replicas[m].adapters {
			if state.state != stateReady || now.Sub(state.lastUsed) < stay {
				continue
			}
			if name == "" || state.lastUsed.Before(oldest) || state.lastUsed.Equal(oldest) && a < name {
				owner, name, oldest = m, a, state.lastUsed
			}
		}
	}
	return owner, name
}

func (p *Plan) finishAdapter(s *server, order Order, outcome Outcome, now time.Time) {
	s.adapterOrders--
	if outcome == OutcomeUnknown {
		s.known = false
		s.failedAt = now
	}
	r, ok := s.replicas[order.Model]
	if !ok {
		return
	}
	a, ok := r.adapters[order.Adapter]
	if !ok {
		a = &adapter{}
		r.adapters[order.Adapter] = a
	}
	switch isLoad := order.Kind == azurehitch.OrderLoad; {
	case isLoad && outcome == OutcomeDone:
		a.state = stateReady
		a.lastUsed = now
	case isLoad && outcome == OutcomeRefused, !isLoad && outcome == OutcomeDone:
		delete(r.adapters, order.Adapter)
	case !isLoad && outcome == OutcomeRefused:
		a.state = stateReady
		a.lastUsed = now
	}
}
