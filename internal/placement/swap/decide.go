package swap

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"azurehitch"
	"azurehitch/internal/forward/priority"
)

// Decide returns the orders to send now, and books each of them. It also renews the pinned
// replicas.
func (p *Plan) Decide(now time.Time) []Order {
	p.dropExpired(now)
	p.pinReplicas(now)
	var orders []Order
	allowance := p.remoteAllowance(now)
	for _, name := range p.modelsToLoad(now) {
		version := p.neededVersion(name, now)
		for range p.missingReplicas(name, now) {
			order, ok := p.nextOrder(name, version, now, &allowance)
			if !ok {
				break
			}
			orders = append(orders, order)
		}
	}
	orders = append(orders, p.loadAdapters(now)...)
	orders = append(orders, p.preload(now, allowance)...)
	orders = append(orders, p.evictAhead(now)...)
	return orders
}

// remoteAllowance returns the number of loads from the weight store that may begin now, given the
// limits on concurrent loads and on loads per window. It is 0 while the server list is incomplete.
func (p *Plan) remoteAllowance(now time.Time) int {
	if !p.listComplete {
		return 0
	}
	p.remoteStarts = slices.DeleteFunc(p.remoteStarts, func(at time.Time) bool {
		return now.Sub(at) > p.settings.RemoteLoadWindow
	})
	allowance := p.maxRemoteLoads(now) - len(p.remainingRemoteLoads(now))
	if p.limits.RemoteLoadsPerSecond > 0 {
		perWindow := int(p.limits.RemoteLoadsPerSecond * p.settings.RemoteLoadWindow.Seconds())
		allowance = min(allowance, perWindow-len(p.remoteStarts))
	}
	return max(allowance, 0)
}

// dropExpired drops waiting requests that their daemons no longer repeat, expired demand reports
// and grants, and the expired marks of replicas draining for eviction. It also updates which
// servers count as lost.
func (p *Plan) dropExpired(now time.Time) {
	for id, w := range p.waiters.byID {
		if now.Sub(w.renewedAt) > waiterTTL {
			p.waiters.remove(id)
		}
	}
	p.expireDemand(now)
	p.expireDraining(now)
	for _, s := range p.sortedServers {
		s.trackUnknown(now)
		if lost := s.unknownFor(now) > lostAfter; lost != s.lost {
			s.lost = lost
			p.index.invalidate()
		}
	}
}

// awaitedModels returns the models with waiting requests, highest priority first: busy models, then
// the models most often requested while they had no ready replica, then those with requests that
// can still be on time, then those whose requests have waited longest. Requests that only wait for
// an adapter on a ready replica don't count.
func (p *Plan) awaitedModels(now time.Time) []string {
	type candidate struct {
		model  string
		busy   bool
		misses int
		onTime bool
		since  time.Time
	}
	var candidates []candidate
	for model, waiters := range p.waiters.byModel {
		ready := p.readyServers(model)
		c := candidate{model: model, busy: p.isBusy(model, now), misses: p.model(model).misses}
		for _, waiter := range waiters {
			if waiter.Adapter != "" && len(ready) > 0 && !p.hasNoUsableReplica(waiter.Request, ready, now) {
				continue
			}
			c.onTime = c.onTime || now.Before(waiter.Objective)
			if c.since.IsZero() || waiter.arrivedAt.Before(c.since) {
				c.since = waiter.arrivedAt
			}
		}
		if !c.since.IsZero() {
			candidates = append(candidates, c)
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(
			-priority.CompareBool(a.busy, b.busy),
			cmp.Compare(b.misses, a.misses),
			-priority.CompareBool(a.onTime, b.onTime),
			a.since.Compare(b.since),
			cmp.Compare(a.model, b.model),
		)
	})
	names := make([]string, 0, len(candidates))
	for _, c := range candidates {
		names = append(names, c.model)
	}
	return names
}

// isBusy reports whether the request rate of a model is high enough to pin replicas.
func (p *Plan) isBusy(name string, now time.Time) bool {
	m, ok := p.models[name]
	return ok && m.requestRate.perSecond(now) >= p.settings.BusyRate
}

// modelsToLoad returns the models that may need further replicas: first those of awaitedModels,
// then the other busy models, sorted by the offered load per replica if one more were ready,
// highest first.
func (p *Plan) modelsToLoad(now time.Time) []string {
	needed := p.awaitedModels(now)
	var busy []string
	for _, name := range slices.Sorted(maps.Keys(p.models)) {
		if p.isBusy(name, now) && !slices.Contains(needed, name) {
			busy = append(busy, name)
		}
	}
	loadPerReplica := map[string]float64{}
	for _, name := range busy {
		loadPerReplica[name] = p.offeredLoad(name, now) / float64(1+len(p.readyServers(name)))
	}
	slices.SortStableFunc(busy, func(a, b string) int { return cmp.Compare(loadPerReplica[b], loadPerReplica[a]) })
	return append(needed, busy...)
}

// missingReplicas returns the number of replicas to load beside those that are ready or loading on
// schedule. It counts at least one replica as needed, and one more than are ready if none of them
// can serve some waiting request soon. For a busy model, replicas on servers with a rate limit don't
// count as ready.
func (p *Plan) missingReplicas(name string, now time.Time) int {
	needed := max(p.replicasNeeded(name, now), 1)
	ready := p.readyServers(name)
	count := len(ready)
	if p.isBusy(name, now) {
		count = len(withoutRateLimit(ready))
	}
	lacksReplica := func(w *waiter) bool { return p.hasNoUsableReplica(w.Request, ready, now) }
	if slices.ContainsFunc(p.waiters.byModel[name], lacksReplica) {
		needed = max(needed, count+1)
	}
	inTime := slices.DeleteFunc(p.loadingServers(name), func(s *server) bool { return s.isOverdue(now) })
	return max(needed-count-len(inTime), 0)
}

// neededVersion returns the software version that a further replica of a model must have: that of the
// first waiting request that no replica can serve soon. The zero value means any.
func (p *Plan) neededVersion(name string, now time.Time) azurehitch.VersionBound {
	ready := p.readyServers(name)
	for _, w := range p.waiters.byModel[name] {
		if len(ready) == 0 || p.hasNoUsableReplica(w.Request, ready, now) {
			return w.SoftwareVersion
		}
	}
	return azurehitch.VersionBound{}
}

// replicasNeeded returns the number of replicas that the demand for a model requires.
func (p *Plan) replicasNeeded(name string, now time.Time) int {
	perReplica := p.settings.ReplicaLoad * float64(p.slotsPerServer())
	needed := int(math.Ceil(p.offeredLoad(name, now) / max(perReplica, 1)))
	if p.isBusy(name, now) {
		// The second replica takes over if the server of the first is lost.
		needed = max(needed, 2)
	}
	return needed
}

func (p *Plan) slotsPerServer() int {
	if p.limits.Slots > 0 {
		return p.limits.Slots
	}
	return 1
}

// nextOrder returns the next order on the way to a further replica of a model at a server of the right
// software version: its load, or an unload that frees memory for it. It returns false if no order is
// possible now. A load from the weight store reduces allowance by one.
func (p *Plan) nextOrder(name string, version azurehitch.VersionBound, now time.Time, allowance *int) (Order, bool) {
	if s := p.bestCachedServer(name, version, now); s != nil {
		return p.loadOrEvict(s, name, "requests wait, a copy is near", now)
	}
	if p.hasCachedServer(name) && len(p.readyServers(name)) == 0 && !p.isLoading(name) {
		p.drainForEviction(name, now)
	}
	// A model with cached servers is loaded from the weight store only if its replicas are
	// overloaded, or if its sole replica must be drained for another model.
	if *allowance <= 0 || p.hasCachedServer(name) && !p.isOverloaded(name, now) && !p.isSoleReplicaBlocking(name, now) {
		return Order{}, false
	}
	s := p.bestRemoteTarget(name, version, now)
	if s == nil {
		return Order{}, false
	}
	order, ok := p.loadOrEvict(s, name, "requests wait, no copy is near", now)
	if ok && order.Kind == azurehitch.OrderLoad {
		*allowance--
	}
	return order, ok
}

// preload loads models without a cached checkpoint, most requested first, while allowance permits
// further loads from the weight store. Unlike in nextOrder, an unload that frees memory for such a
// load also reduces the allowance.
func (p *Plan) preload(now time.Time, allowance int) []Order {
	if allowance <= 0 {
		return nil
	}
	var orders []Order
	for _, name := range p.uncachedModels() {
		if allowance <= 0 {
			break
		}
		s := p.bestRemoteTarget(name, azurehitch.VersionBound{}, now)
		if s == nil {
			break
		}
		order, ok := p.loadOrEvict(s, name, "no copy is near", now)
		if !ok {
			continue
		}
		allowance--
		orders = append(orders, order)
	}
	return orders
}
