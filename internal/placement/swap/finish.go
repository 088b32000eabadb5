package swap

import (
	"time"

	"azurehitch"
)

// Finish takes in how an order ended. With OutcomeUnknown, the server counts as unknown
// until it is observed again.
func (p *Plan) Finish(order Order, outcome Outcome, now time.Time) {
	s, ok := p.servers[order.Server.ID]
	if !ok || s.ServerIdentity != order.Server {
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

// Accepted counts an order that a server has accepted.
func (p *Plan) Accepted(order Order) {
	if s, ok := p.servers[order.Server.ID]; ok && s.ServerIdentity == order.Server {
		s.orders++
	}
}

// Orders returns the number of orders that a server has accepted, and false if the server
// is not known any more.
func (p *Plan) Orders(id azurehitch.ServerIdentity) (int64, bool) {
	s, ok := p.servers[id.ID]
	if !ok || s.ServerIdentity != id {
		return 0, false
	}
	return s.orders, true
}

// SetOrders corrects the number of orders that a server has accepted, from a report.
func (p *Plan) SetOrders(id azurehitch.ServerIdentity, orders int64) {
	if s, ok := p.servers[id.ID]; ok && s.ServerIdentity == id {
		s.orders = orders
	}
}
