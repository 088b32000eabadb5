package swap

import (
	"cmp"
	"maps"
	"math"
	"slices"
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

// Decide returns the orders that are due and books them.
func (p *Plan) Decide(now time.Time) []Order {
	p.expire(now)
	inProgress := p.inProgress(now)
	p.keep(now, inProgress)
	var orders []Order
	remote := p.settings.RemoteLoads - len(p.remoteEnds(now))
	if !p.settled {
		remote = 0
	}
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

// hasHome reports whether a server that takes orders has a copy of a model.
func (p *Plan) hasHome(name string) bool {
	for _, s := range p.servers {
		if s.hasCopy(name) && !s.leaving {
			return true
		}
	}
	return false
}

func (p *Plan) isLoading(name string) bool { return p.loading(name) > 0 }

// loading is the number of servers that load a model.
func (p *Plan) loading(name string) int {
	count := 0
	for _, s := range p.servers {
		if r, ok := s.replicas[name]; ok && r.state == stateLoading && !s.leaving {
			count++
		}
	}
	return count
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

// isCrowded reports whether the replicas of a model, with those that are being loaded, have
// so many requests that a further one is worth a load from the weight store.
func (p *Plan) isCrowded(name string, inProgress map[Replica]int) bool {
	replicas := len(p.replicas(name)) + p.loading(name)
	return replicas > 0 && p.requests(name, inProgress) > p.settings.RemoteReplicaLoad*float64(p.slots()*replicas)
}

// requests is the number of requests for a model that are in progress or wait.
func (p *Plan) requests(name string, inProgress map[Replica]int) float64 {
	count := 0
	for r, n := range inProgress {
		if r.Model == name {
			count += n
		}
	}
	for _, w := range p.waiters {
		if w.Model == name {
			count++
		}
	}
	return float64(count)
}

// bestHome returns the server with a copy from which the model is ready soonest.
func (p *Plan) bestHome(name string, now time.Time, inProgress map[Replica]int) *server {
	limits := p.limits.Models[name]
	var best *server
	var bestTime time.Duration
	for _, s := range p.list {
		if _, loaded := s.replicas[name]; loaded || !s.takesOrders(now) || !s.hasCopy(name) {
			continue
		}
		took := limits.LoadTime(s.tier(name))
		if s.free(p.limits) < limits.Memory {
			if p.victim(s, limits.Memory, inProgress) == "" {
				continue
			}
			took += p.settings.SwapTime
		}
		if best == nil || took < bestTime {
			best, bestTime = s, took
		}
	}
	return best
}

// bestForRemote returns the server for a load from the weight store: with room, with few
// copies that the load would hold up, and longest without such a load.
func (p *Plan) bestForRemote(name string, now time.Time, inProgress map[Replica]int) *server {
	memory := p.limits.Models[name].Memory
	var candidates []*server
	for _, s := range p.list {
		if _, loaded := s.replicas[name]; loaded || !s.takesOrders(now) {
			continue
		}
		if s.free(p.limits) >= memory || p.victim(s, memory, inProgress) != "" {
			candidates = append(candidates, s)
		}
	}
	if len(candidates) == 0 {
		return nil
	}
	return slices.MinFunc(candidates, func(a, b *server) int {
		return cmp.Or(
			compareBool(a.free(p.limits) < memory, b.free(p.limits) < memory),
			cmp.Compare(len(a.tiers), len(b.tiers)),
			a.remoteAt.Compare(b.remoteAt),
		)
	})
}

// loadOrMakeRoom books the load of a model, or first the unload that makes room for it.
func (p *Plan) loadOrMakeRoom(s *server, name, reason string, now time.Time, inProgress map[Replica]int) (Order, bool) {
	limits := p.limits.Models[name]
	if s.free(p.limits) >= limits.Memory {
		return p.bookLoad(s, name, reason, now), true
	}
	victim := p.victim(s, limits.Memory, inProgress)
	if victim == "" {
		return Order{}, false
	}
	return p.bookUnload(s, victim, reason, now), true
}

// victim returns the replica that makes room: an idle one that is not kept, least
// recently used. It returns none if the room would not suffice.
func (p *Plan) victim(s *server, memory azurehitch.ByteSize, inProgress map[Replica]int) string {
	best := ""
	free := s.free(p.limits)
	for _, name := range s.replicaNames() {
		if !p.isIdle(s, name, inProgress) {
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

// isIdle reports whether a replica may be unloaded: nobody uses it or waits for it.
func (p *Plan) isIdle(s *server, name string, inProgress map[Replica]int) bool {
	r := s.replicas[name]
	if r.state != stateReady || inProgress[Replica{Server: s.ID, Model: name}] > 0 || p.isKept(s.ID, name) {
		return false
	}
	for _, w := range p.waiters {
		if w.Model == name {
			return false
		}
	}
	return true
}

func (p *Plan) bookLoad(s *server, name, reason string, now time.Time) Order {
	tier := s.tier(name)
	s.replicas[name] = &replica{state: stateLoading, lastUsed: now, adapters: map[string]*adapter{}}
	if tier == azurehitch.CacheTierRemote {
		s.remoteAt = now
	}
	for _, w := range p.waiters {
		if w.Model == name && w.tier == "" {
			w.tier = tier
		}
	}
	return p.book(s, Order{
		Kind: azurehitch.OrderLoad, Model: name, Tier: tier, Expected: p.limits.Models[name].LoadTime(tier), Reason: reason,
	}, now)
}

func (p *Plan) bookUnload(s *server, name, reason string, now time.Time) Order {
	s.replicas[name].state = stateUnloading
	return p.book(s, Order{Kind: azurehitch.OrderUnload, Model: name, Reason: reason}, now)
}

func (p *Plan) book(s *server, order Order, now time.Time) Order {
	order.Server = s.ServerIdentity
	order.AfterOrders = s.orders
	order.listing = s.listing
	s.order = &order
	s.freeAt = now.Add(order.Expected)
	return order
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

// uncopied returns the models without a copy, the most asked for first.
func (p *Plan) uncopied() []string {
	var names []string
	for name := range p.limits.Models {
		if !p.hasHome(name) && !p.isLoading(name) {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(p.model(b).asks, p.model(a).asks), cmp.Compare(a, b))
	})
	return names
}

// makeRoom unloads idle replicas ahead of need, so that the next swap on their server
// begins with a load.
func (p *Plan) makeRoom(now time.Time, inProgress map[Replica]int) []Order {
	var orders []Order
	largest := p.largestModel()
	for _, s := range p.list {
		if !s.takesOrders(now) || s.free(p.limits) >= largest {
			continue
		}
		name := p.victim(s, largest, inProgress)
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
