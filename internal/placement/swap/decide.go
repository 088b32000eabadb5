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
	inProgress := p.inProgress(now)
	p.keep(now, inProgress)
	var orders []Order
	remote := p.remoteAllowance(now)
	for _, name := range p.needed(now) {
		for range p.missing(name, now, inProgress) {
			order, ok := p.serve(name, now, inProgress, &remote)
			if !ok {
				break
			}
			orders = append(orders, order)
		}
	}
	orders = append(orders, p.loadAdapters(now, inProgress)...)
	orders = append(orders, p.invest(now, inProgress, remote)...)
	orders = append(orders, p.makeRoom(now, inProgress)...)
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
	allowance := p.settings.RemoteLoads - len(p.remoteEnds(now))
	if p.limits.RemoteLoadsPerSecond > 0 {
		perWindow := int(p.limits.RemoteLoadsPerSecond * p.settings.LoadWindow.Seconds())
		allowance = min(allowance, perWindow-len(p.remoteStarts))
	}
	return max(allowance, 0)
}

// expire drops the waiters that their daemons no longer renew.
func (p *Plan) expire(now time.Time) {
	for id, w := range p.waiters {
		if now.Sub(w.renewed) > waiterTTL {
			delete(p.waiters, id)
		}
	}
}

// wanted returns the models that requests wait for, the most wanted first: those whose
// requests can still be on time, then by the number of requests that found it missing.
func (p *Plan) wanted(now time.Time) []string {
	type want struct {
		onTime  bool
		waiting int
		since   time.Time
	}
	wants := map[string]want{}
	for _, w := range p.waiters {
		if w.Adapter != "" && len(p.replicas(w.Model)) > 0 {
			continue
		}
		x, ok := wants[w.Model]
		x.onTime = x.onTime || now.Before(w.Objective)
		x.waiting++
		if !ok || w.since.Before(x.since) {
			x.since = w.since
		}
		wants[w.Model] = x
	}
	return slices.SortedFunc(maps.Keys(wants), func(a, b string) int {
		return cmp.Or(
			-compareBool(p.isBusy(a, now), p.isBusy(b, now)),
			cmp.Compare(p.model(b).unmet, p.model(a).unmet),
			-compareBool(wants[a].onTime, wants[b].onTime),
			wants[a].since.Compare(wants[b].since),
			cmp.Compare(a, b),
		)
	})
}

// isBusy reports whether a model is asked for all the time.
func (p *Plan) isBusy(name string, now time.Time) bool {
	m, ok := p.models[name]
	return ok && m.rate.now(now) >= p.settings.BusyRate
}

// needed returns the models that a replica should be loaded of, the most urgent first.
func (p *Plan) needed(now time.Time) []string {
	needed := p.wanted(now)
	for _, name := range slices.Sorted(maps.Keys(p.models)) {
		if p.isBusy(name, now) && !slices.Contains(needed, name) {
			needed = append(needed, name)
		}
	}
	return needed
}

// missing is the number of replicas to be loaded of a model beside those that are ready or
// being loaded. One that requests wait for needs one at least.
func (p *Plan) missing(name string, now time.Time, inProgress map[Replica]int) int {
	needed := max(p.replicasNeeded(name, now, inProgress), 1)
	return max(needed-len(p.replicas(name))-p.loading(name), 0)
}

// replicasNeeded is the number of replicas that the demand for a model fills.
func (p *Plan) replicasNeeded(name string, now time.Time, inProgress map[Replica]int) int {
	perReplica := p.settings.ReplicaLoad * float64(p.slots())
	needed := int(math.Ceil(p.requests(name, inProgress) / max(perReplica, 1)))
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
func (p *Plan) serve(name string, now time.Time, inProgress map[Replica]int, remote *int) (Order, bool) {
	if s := p.bestHome(name, now, inProgress); s != nil {
		return p.loadOrMakeRoom(s, name, "requests wait, a copy is near", now, inProgress)
	}
	if *remote <= 0 || p.hasHome(name) && !p.isCrowded(name, inProgress) {
		return Order{}, false
	}
	s := p.bestForRemote(name, now, inProgress)
	if s == nil {
		return Order{}, false
	}
	order, ok := p.loadOrMakeRoom(s, name, "requests wait, no copy is near", now, inProgress)
	if ok && order.Kind == azurehitch.OrderLoad {
		*remote--
	}
	return order, ok
}

// invest loads models that no server has a copy of, while nobody waits for the weight
// store: those that were asked for most first.
func (p *Plan) invest(now time.Time, inProgress map[Replica]int, remote int) []Order {
	var orders []Order
	for _, name := range p.uncopied() {
		if remote <= 0 {
			break
		}
		s := p.bestForRemote(name, now, inProgress)
		if s == nil {
			break
		}
		order, ok := p.loadOrMakeRoom(s, name, "no copy is near", now, inProgress)
		if !ok {
			continue
		}
		remote--
		orders = append(orders, order)
	}
	return orders
}
