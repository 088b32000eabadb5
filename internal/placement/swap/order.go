package swap

import (
	"time"

	"azurehitch"
)

// Order is a load or unload of a model, or of an adapter if Adapter is set, on a server.
type Order struct {
	Server  azurehitch.ServerIdentity
	Kind    azurehitch.OrderKind
	Model   string
	Adapter string
	// AfterOrders is the number of orders the server had accepted when the decision was made.
	AfterOrders int64
	// Tier is the cache tier that a load reads from, and Expected its expected duration.
	Tier     azurehitch.CacheTier
	Expected time.Duration
	// Reason names the cause of the order in a few words.
	Reason string
	// remoteConcurrency is the number of loads from the weight store in progress when this load was
	// decided, including this load. startedAt is the time of the decision.
	remoteConcurrency int
	startedAt         time.Time
	// listingID is the listingID of the server when the order was decided.
	listingID int64
}

// Outcome is the result of an order.
type Outcome string

// The outcomes. The values appear in logs and metrics.
const (
	OutcomeDone Outcome = "Done"
	// OutcomeRefused means that the order was not and will not be carried out.
	OutcomeRefused Outcome = "Refused"
	// OutcomeUnknown means that the server's state has to be read again.
	OutcomeUnknown Outcome = "Unknown"
)

// bookLoad books the load of a model: its memory counts as taken from now on.
func (p *Plan) bookLoad(s *server, name, reason string, now time.Time) Order {
	tier := s.tier(name)
	s.replicas[name] = &replica{state: stateLoading, lastUsed: now, adapters: map[string]*adapter{}}
	p.index.replicasStale = true
	if tier == azurehitch.CacheTierRemote {
		s.lastRemoteLoad = now
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

// bookUnload books the unload of a model. Its memory counts as free once the unload is done.
func (p *Plan) bookUnload(s *server, name, reason string, now time.Time) Order {
	s.replicas[name].state = stateUnloading
	return p.book(s, Order{Kind: azurehitch.OrderUnload, Model: name, Reason: reason}, now)
}

func (p *Plan) book(s *server, order Order, now time.Time) Order {
	order.Server = s.ServerIdentity
	order.AfterOrders = s.acceptedOrders
	order.listingID = s.listingID
	order.startedAt = now
	if order.isRemoteLoad() {
		order.remoteConcurrency = len(p.remainingRemoteLoads(now)) + 1
	}
	s.modelOrder = &order
	s.freeAt = now.Add(order.Expected)
	return order
}

// Finish applies the outcome of an order. After OutcomeUnknown the server counts as unknown until
// its next report.
func (p *Plan) Finish(order Order, outcome Outcome, now time.Time) {
	s, ok := p.serverOf(order)
	if !ok {
		return
	}
	if order.Adapter != "" {
		p.finishAdapter(s, order, outcome, now)
		return
	}
	if s.modelOrder == nil || s.modelOrder.Model != order.Model || s.modelOrder.Kind != order.Kind {
		return
	}
	s.modelOrder = nil
	s.freeAt = now
	if outcome == OutcomeUnknown {
		s.known = false
		s.lastFailure = now
		return
	}
	if outcome == OutcomeDone && order.isRemoteLoad() {
		p.adjustRemoteLimit(order, now)
	}
	p.applyOutcome(s, order, outcome, now)
}

func (p *Plan) applyOutcome(s *server, order Order, outcome Outcome, now time.Time) {
	r, ok := s.replicas[order.Model]
	if !ok {
		return
	}
	done := outcome == OutcomeDone
	if !done {
		s.lastFailure = now
	}
	switch isLoad := order.Kind == azurehitch.OrderLoad; {
	case isLoad && done:
		r.state = stateReady
		r.lastUsed = now
		s.cacheCheckpoint(order.Model, p.limits, now)
		p.index.checkpointsStale = true
	case isLoad, done:
		delete(s.replicas, order.Model)
		p.index.replicasStale = true
	default:
		r.state = stateReady
	}
}

// serverOf returns the server of an order. It returns false if the server has been removed from the
// list since the decision, even if it was listed again: the order is not booked on the new entry.
func (p *Plan) serverOf(order Order) (*server, bool) {
	s, ok := p.servers[order.Server.ID]
	return s, ok && s.ServerIdentity == order.Server && s.listingID == order.listingID
}

// AcceptedOrders returns the number of orders that the server of an order has accepted. It returns
// false if the order must no longer be sent because the server was removed from the list.
func (p *Plan) AcceptedOrders(order Order) (int64, bool) {
	s, ok := p.serverOf(order)
	if !ok {
		return 0, false
	}
	return s.acceptedOrders, true
}

// SetAcceptedOrders sets the number of orders that the server of an order has accepted.
func (p *Plan) SetAcceptedOrders(order Order, orders int64) {
	if s, ok := p.serverOf(order); ok {
		s.acceptedOrders = orders
	}
}
