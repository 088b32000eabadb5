package swap

import (
	"time"

	"azurehitch"
)

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
		s.tiers[order.Model] = azurehitch.CacheTierMemory
	case isLoad, done:
		delete(s.replicas, order.Model)
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
