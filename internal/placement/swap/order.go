package swap

import (
	"time"

	"azurehitch"
)

// Order is an order to a server.
type Order struct {
	Server  azurehitch.ServerIdentity
	Kind    azurehitch.OrderKind
	Model   string
	Adapter string
	// AfterOrders is the number of accepted orders that the decision was made at.
	AfterOrders int64
	// Tier is where the checkpoint of a load lies, and Expected how long it should take.
	Tier     azurehitch.CacheTier
	Expected time.Duration
	// Reason says in a few words what decided.
	Reason string
	// among is the number of loads from the weight store that run with this one, and beganAt
	// when it was decided.
	among   int
	beganAt time.Time
	// listing is the stay of the server on the list that the order was decided in.
	listing int64
}

// Outcome is how an order ended.
type Outcome string

// The outcomes.
const (
	OutcomeDone Outcome = "Done"
	// OutcomeRefused means that the order was not and will not be carried out.
	OutcomeRefused Outcome = "Refused"
	// OutcomeUnknown means that the state of the server has to be read again.
	OutcomeUnknown Outcome = "Unknown"
)

// bookLoad books the load of a model.
func (p *Plan) bookLoad(s *server, name, reason string, now time.Time) Order {
	tier := s.tier(name)
	s.replicas[name] = &replica{state: stateLoading, lastUsed: now, adapters: map[string]*adapter{}}
	p.index.holdingStale = true
	if tier == azurehitch.CacheTierRemote {
		s.remoteAt = now
		p.remoteStarts = append(p.remoteStarts, now)
	}
	for _, w := range p.waiters.byModel[name] {
		if w.tier == "" {
			w.tier = tier
		}
	}
	return p.book(s, Order{
		Kind: azurehitch.OrderLoad, Model: name, Tier: tier, Expected: p.limits.Models[name].LoadTime(tier), Reason: reason,
	}, now)
}

// bookUnload books the unload of a model.
func (p *Plan) bookUnload(s *server, name, reason string, now time.Time) Order {
	s.replicas[name].state = stateUnloading
	return p.book(s, Order{Kind: azurehitch.OrderUnload, Model: name, Reason: reason}, now)
}

func (p *Plan) book(s *server, order Order, now time.Time) Order {
	order.Server = s.ServerIdentity
	order.AfterOrders = s.orders
	order.listing = s.listing
	order.beganAt = now
	if order.isRemoteLoad() {
		order.among = len(p.remoteEnds(now)) + 1
	}
	s.order = &order
	s.freeAt = now.Add(order.Expected)
	return order
}

// Finish takes in how an order ended. With OutcomeUnknown, the server counts as unknown
// until it is observed again.
func (p *Plan) Finish(order Order, outcome Outcome, now time.Time) {
	s, ok := p.serverOf(order)
	if !ok {
		return
	}
	if order.Adapter != "" {
		p.finishAdapter(s, order, outcome, now)
		return
	}
	if s.order == nil || s.order.Model != order.Model || s.order.Kind != order.Kind {
		return
	}
	s.order = nil
	s.freeAt = now
	if outcome == OutcomeUnknown {
		s.known = false
		s.failedAt = now
		return
	}
	if outcome == OutcomeDone && order.isRemoteLoad() {
		p.finished(order, now)
	}
	p.apply(s, order, outcome, now)
}

func (p *Plan) apply(s *server, order Order, outcome Outcome, now time.Time) {
	r, ok := s.replicas[order.Model]
	if !ok {
		return
	}
	done := outcome == OutcomeDone
	if !done {
		s.failedAt = now
	}
	switch isLoad := order.Kind == azurehitch.OrderLoad; {
	case isLoad && done:
		r.state = stateReady
		r.lastUsed = now
		s.loaded(order.Model, p.limits, now)
		p.index.copiesStale = true
	case isLoad, done:
		delete(s.replicas, order.Model)
		p.index.holdingStale = true
	default:
		r.state = stateReady
	}
}

// serverOf returns the server of an order, and false if it has left the list since: what came
// back under its id was booked anew.
func (p *Plan) serverOf(order Order) (*server, bool) {
	s, ok := p.servers[order.Server.ID]
	return s, ok && s.ServerIdentity == order.Server && s.listing == order.listing
}

// Orders returns the number of orders that the server of an order has accepted, and false if
// the order must not be sent any more.
func (p *Plan) Orders(order Order) (int64, bool) {
	s, ok := p.serverOf(order)
	if !ok {
		return 0, false
	}
	return s.orders, true
}

// SetOrders sets the number of orders that the server of an order has accepted.
func (p *Plan) SetOrders(order Order, orders int64) {
	if s, ok := p.serverOf(order); ok {
		s.orders = orders
	}
}
