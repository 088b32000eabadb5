package swap

import (
	"cmp"
	"slices"
	"time"

	"azurehitch"
	"azurehitch/internal/forward/priority"
)

const (
	// adapterLoadTime is the approximate time to load an adapter.
	adapterLoadTime = 12 * time.Millisecond
	// maxAdapterOrders is the number of adapter orders in progress on a server beyond which no
	// further one is given.
	maxAdapterOrders = 3
	// adapterIdleTime is the idle time after which an adapter may be unloaded for another. It is
	// the usual run time of a request, because the unload of an adapter in use waits until its last
	// request ends. If no adapter has been idle that long, minAdapterIdleTime suffices.
	adapterIdleTime    = 2500 * time.Millisecond
	minAdapterIdleTime = time.Second
)

// loadAdapters returns the adapter orders on behalf of waiting requests.
func (p *Plan) loadAdapters(now time.Time) []Order {
	var orders []Order
	for _, w := range p.waiters.sorted() {
		if w.Adapter == "" || p.isAdapterLoading(w.Request) || p.chooseServer(w.Request, p.readyServers(w.Model), now) != nil {
			continue
		}
		if order, ok := p.loadAdapter(w.Request, now); ok {
			orders = append(orders, order)
		}
	}
	return orders
}

func (p *Plan) isAdapterLoading(request Request) bool {
	for _, s := range p.readyServers(request.Model) {
		if a, ok := s.replicas[request.Model].adapters[request.Adapter]; ok && a.state == stateLoading {
			return true
		}
	}
	return false
}

// loadAdapter books the load of an adapter at the replica ranked first, or the unload that frees an
// adapter slot for it. Servers with a rate limit rank last, pinned replicas first, then servers with
// a free adapter slot; rendezvous hashing ranks the rest.
func (p *Plan) loadAdapter(request Request, now time.Time) (Order, bool) {
	candidates := slices.DeleteFunc(p.readyServers(request.Model), func(s *server) bool {
		// An adapter being unloaded still occupies its slot.
		_, placed := s.replicas[request.Model].adapters[request.Adapter]
		return placed || !s.acceptsAdapterOrders(now) || s.adapterOrders >= maxAdapterOrders || !request.accepts(s)
	})
	slices.SortFunc(candidates, func(a, b *server) int {
		return cmp.Or(
			priority.CompareBool(a.hasRateLimit(), b.hasRateLimit()),
			priority.CompareBool(!p.isPinned(a.ID, request.Model), !p.isPinned(b.ID, request.Model)),
			priority.CompareBool(a.adapterCount() >= p.limits.AdapterSlots, b.adapterCount() >= p.limits.AdapterSlots),
			cmp.Compare(rendezvous(b.ID, request.Adapter), rendezvous(a.ID, request.Adapter)),
		)
	})
	for _, minIdle := range []time.Duration{adapterIdleTime, minAdapterIdleTime} {
		for _, s := range candidates {
			if order, ok := p.placeAdapter(s, request, minIdle, now); ok {
				return order, true
			}
		}
	}
	return Order{}, false
}

func (p *Plan) placeAdapter(s *server, request Request, minIdle time.Duration, now time.Time) (Order, bool) {
	order := Order{
		Server: s.ServerIdentity, Kind: azurehitch.OrderLoad, Model: request.Model, Adapter: request.Adapter,
		AfterOrders: s.acceptedOrders, listingID: s.listingID,
	}
	size := p.limits.Models[request.Model].AdapterMemory
	if s.adapterCount() < p.limits.AdapterSlots && p.limits.Memory-s.memoryInUse(p.limits) >= size {
		s.replicas[request.Model].adapters[request.Adapter] = &adapter{state: stateLoading, lastUsed: now}
		s.adapterOrders++
		order.Expected, order.Reason = adapterLoadTime, "requests wait for the adapter"
		return order, true
	}
	model, name := s.idleAdapter(minIdle, now)
	if name == "" {
		return Order{}, false
	}
	s.replicas[model].adapters[name].state = stateUnloading
	s.adapterOrders++
	order.Kind, order.Model, order.Adapter, order.Reason = azurehitch.OrderUnload, model, name, "room for another adapter"
	return order, true
}

// idleAdapter returns the least recently used adapter that has been idle for at least minIdle, and
// its model. Both are empty if there is none.
func (s *server) idleAdapter(minIdle time.Duration, now time.Time) (model, name string) {
	var oldest time.Time
	for _, m := range s.modelNames() {
		for a, state := range s.replicas[m].adapters {
			if state.state != stateReady || now.Sub(state.lastUsed) < minIdle {
				continue
			}
			if name == "" || state.lastUsed.Before(oldest) || state.lastUsed.Equal(oldest) && a < name {
				model, name, oldest = m, a, state.lastUsed
			}
		}
	}
	return model, name
}

func (p *Plan) finishAdapter(s *server, order Order, outcome Outcome, now time.Time) {
	s.adapterOrders--
	s.known = s.known && outcome != OutcomeUnknown
	if outcome != OutcomeDone {
		s.lastFailure = now
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
