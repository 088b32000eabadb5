package swap

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"azurehitch"
)

// Decide returns the orders that are due and books them.
func (p *Plan) Decide(now time.Time) []Order {
	p.expire(now)
	p.keep(now)
	var orders []Order
	remote := p.remoteAllowance(now)
	for _, name := range p.needed(now) {
		for range p.missing(name, now) {
			order, ok := p.serve(name, now, &remote)
			if !ok {
				break
			}
			orders = append(orders, order)
		}
	}
	orders = append(orders, p.loadAdapters(now)...)
	orders = append(orders, p.invest(now, remote)...)
	orders = append(orders, p.makeRoom(now)...)
	return orders
}

// remoteAllowance is the number of loads from the weight store that may begin now: within
// the number at once, and within the rate over each window.
func (p *Plan) remoteAllowance(now time.Time) int {
	if !p.settled {
		return 0
	}
	p.remoteStarts = slices.DeleteFunc(p.remoteStarts, func(at time.Time) bool {
		return now.Sub(at) > p.settings.LoadWindow
	})
	allowance := p.remoteLoads(now) - len(p.remoteEnds(now))
	if p.limits.RemoteLoadsPerSecond > 0 {
		perWindow := int(p.limits.RemoteLoadsPerSecond * p.settings.LoadWindow.Seconds())
		allowance = min(allowance, perWindow-len(p.remoteStarts))
	}
	return max(allowance, 0)
}

// expire drops the waiters that their daemons no longer renew, and demand that is too old.
func (p *Plan) expire(now time.Time) {
	for id, w := range p.waiters.byID {
		if now.Sub(w.renewed) > waiterTTL {
			p.waiters.remove(id)
		}
	}
	p.expireDemand(now)
	p.expireReleased(now)
	for _, s := range p.list {
		s.notice(now)
		if lost := s.unknownFor(now) > lostTime; lost != s.lost {
			s.lost = lost
			p.index.invalidate()
		}
	}
}

// wanted returns the models that requests wait for, the most wanted first: those whose
// requests can still be on time, then by the number of requests that found it missing.
func (p *Plan) wanted(now time.Time) []string {
	type want struct {
		model  string
		busy   bool
		unmet  int
		onTime bool
		since  time.Time
	}
	var wants []want
	for model, waiters := range p.waiters.byModel {
		replicas := p.replicas(model)
		w := want{model: model, busy: p.isBusy(model, now), unmet: p.model(model).unmet}
		for _, waiter := range waiters {
			if waiter.Adapter != "" && len(replicas) > 0 && !p.isStuck(waiter.Need, replicas, now) {
				continue
			}
			w.onTime = w.onTime || now.Before(waiter.Objective)
			if w.since.IsZero() || waiter.since.Before(w.since) {
				w.since = waiter.since
			}
		}
		if !w.since.IsZero() {
			wants = append(wants, w)
		}
	}
	slices.SortFunc(wants, func(a, b want) int {
		return cmp.Or(
			-compareBool(a.busy, b.busy),
			cmp.Compare(b.unmet, a.unmet),
			-compareBool(a.onTime, b.onTime),
			a.since.Compare(b.since),
			cmp.Compare(a.model, b.model),
		)
	})
	names := make([]string, 0, len(wants))
	for _, w := range wants {
		names = append(names, w.model)
	}
	return names
}

// isBusy reports whether a model is asked for all the time.
func (p *Plan) isBusy(name string, now time.Time) bool {
	m, ok := p.models[name]
	return ok && m.rate.now(now) >= p.settings.BusyRate
}

// needed returns the models that a replica should be loaded of, the most urgent first.
func (p *Plan) needed(now time.Time) []string {
	needed := p.wanted(now)
	var busy []string
	for _, name := range slices.Sorted(maps.Keys(p.models)) {
		if p.isBusy(name, now) && !slices.Contains(needed, name) {
			busy = append(busy, name)
		}
	}
	pressures := map[string]float64{}
	for _, name := range busy {
		pressures[name] = p.pressure(name, now) / float64(1+len(p.replicas(name)))
	}
	slices.SortStableFunc(busy, func(a, b string) int { return cmp.Compare(pressures[b], pressures[a]) })
	return append(needed, busy...)
}

// missing is the number of replicas to be loaded of a model beside those that are ready or
// being loaded in time. One that requests wait for needs one at least.
func (p *Plan) missing(name string, now time.Time) int {
	needed := max(p.replicasNeeded(name, now), 1)
	replicas := p.replicas(name)
	isStuck := func(w *waiter) bool { return p.isStuck(w.Need, replicas, now) }
	if slices.ContainsFunc(p.waiters.byModel[name], isStuck) {
		needed = max(needed, len(replicas)+1)
	}
	inTime := slices.DeleteFunc(p.loaders(name), func(s *server) bool { return s.isOverdue(now) })
	return max(needed-len(replicas)-len(inTime), 0)
}

// replicasNeeded is the number of replicas that the demand for a model fills.
func (p *Plan) replicasNeeded(name string, now time.Time) int {
	perReplica := p.settings.ReplicaLoad * float64(p.slots())
	needed := int(math.Ceil(p.pressure(name, now) / max(perReplica, 1)))
	if p.isBusy(name, now) {
		// A second replica carries on when the server of the first is lost.
		needed = max(needed, 2)
	}
	return needed
}

func (p *Plan) slots() int {
	if p.limits.Slots > 0 {
		return p.limits.Slots
	}
	return 1
}

// serve returns the next order towards a replica of a model, if one is due.
func (p *Plan) serve(name string, now time.Time, remote *int) (Order, bool) {
	if s := p.bestHome(name, now); s != nil {
		return p.loadOrMakeRoom(s, name, "requests wait, a copy is near", now)
	}
	if p.hasHome(name) && len(p.replicas(name)) == 0 && !p.isLoading(name) {
		p.letGiveWay(name, now)
	}
	if *remote <= 0 || p.hasHome(name) && !p.isCrowded(name, now) && !p.isAlone(name, now) {
		return Order{}, false
	}
	s := p.bestForRemote(name, now)
	if s == nil {
		return Order{}, false
	}
	order, ok := p.loadOrMakeRoom(s, name, "requests wait, no copy is near", now)
	if ok && order.Kind == azurehitch.OrderLoad {
		*remote--
	}
	return order, ok
}

// invest loads models that no server has a copy of, while nobody waits for the weight
// store: those that were asked for most first.
func (p *Plan) invest(now time.Time, remote int) []Order {
	if remote <= 0 {
		return nil
	}
	var orders []Order
	for _, name := range p.uncopied() {
		if remote <= 0 {
			break
		}
		s := p.bestForRemote(name, now)
		if s == nil {
			break
		}
		order, ok := p.loadOrMakeRoom(s, name, "no copy is near", now)
		if !ok {
			continue
		}
		remote--
		orders = append(orders, order)
	}
	return orders
}
