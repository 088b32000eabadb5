package swap

import (
	"cmp"
	"slices"
	"time"

	"azurehitch"

	"github.com/cespare/xxhash/v2"
)

// VerdictKind is what becomes of a request that needs a model.
type VerdictKind string

// The verdicts.
const (
	VerdictGranted VerdictKind = "Granted"
	VerdictWaiting VerdictKind = "Waiting"
	VerdictRefused VerdictKind = "Refused"
)

// Verdict is the answer to a Need.
type Verdict struct {
	Kind  VerdictKind
	Grant Grant
	// Estimate is how long the request will wait. For a refused one, it is when to come
	// back.
	Estimate time.Duration
	// Reason says in a few words what decided.
	Reason string
}

// waiter is a request that waits for a load.
type waiter struct {
	Need
	since   time.Time
	renewed time.Time
	// tier is where the checkpoint lay that is loaded for it.
	tier azurehitch.CacheTier
}

// Ask answers a need: with a replica that is ready, with the advice to wait, or with a
// refusal when no load can serve it in time. A daemon asks again while it waits.
func (p *Plan) Ask(need Need, now time.Time) Verdict {
	p.learnLeft(need.Left)
	w, waiting := p.waiters[need.ID]
	if !waiting {
		p.countAsk(need, now)
		w = &waiter{Need: need, since: now}
	}
	inProgress := p.inProgress(now)
	if s := p.choose(need, inProgress); s != nil && p.isNext(w, inProgress) {
		delete(p.waiters, need.ID)
		return Verdict{Kind: VerdictGranted, Grant: p.grant(need, s, w.tier, now), Reason: "replica is ready"}
	}
	w.renewed = now
	w.Need = need
	p.waiters[need.ID] = w
	estimate, reason := p.estimate(w, inProgress, now)
	margin := time.Duration(p.settings.AnswerPart * float64(need.Deadline.Sub(w.since)))
	if estimate > p.settings.QueueTime || now.Add(estimate+margin).After(need.Deadline) {
		delete(p.waiters, need.ID)
		return Verdict{Kind: VerdictRefused, Estimate: estimate, Reason: reason}
	}
	return Verdict{Kind: VerdictWaiting, Estimate: estimate, Reason: reason}
}

// learnLeft takes in what a daemon knows of servers that leave. None of them comes back in the
// same incarnation.
func (p *Plan) learnLeft(servers []string) {
	for _, id := range servers {
		if s, ok := p.servers[id]; ok {
			s.left = true
			s.leaving = true
		}
	}
}

// Withdraw ends the wait of a request, as when its caller has gone.
func (p *Plan) Withdraw(id string) { delete(p.waiters, id) }

func (p *Plan) countAsk(need Need, now time.Time) {
	m := p.model(need.Model)
	m.asks++
	m.lastAsked = now
	m.rate.add(1, now)
	if len(p.replicas(need.Model)) == 0 {
		m.unmet++
	}
}

func (p *Plan) grant(need Need, s *server, tier azurehitch.CacheTier, now time.Time) Grant {
	p.lastGrant++
	d := p.daemon(need.Daemon)
	d.grants = append(d.grants, issuedGrant{
		number: p.lastGrant, replica: Replica{Server: s.ID, Model: need.Model}, at: now,
	})
	r := s.replicas[need.Model]
	r.lastUsed = now
	if a, ok := r.adapters[need.Adapter]; ok {
		a.lastUsed = now
	}
	return Grant{Server: s.ServerIdentity, Number: p.lastGrant, Tier: tier}
}

// choose returns the best server on which the model, and the adapter, take requests, and
// whose slots are not all taken.
func (p *Plan) choose(need Need, inProgress map[Replica]int) *server {
	candidates := slices.DeleteFunc(p.replicas(need.Model), func(s *server) bool {
		if slices.Contains(need.Avoid, s.ID) || load(inProgress, s.ID) >= s.slots {
			return true
		}
		return need.Adapter != "" && !s.replicas[need.Model].hasAdapter(need.Adapter)
	})
	if len(candidates) == 0 {
		return nil
	}
	return slices.MinFunc(candidates, func(a, b *server) int {
		return cmp.Or(
			compareBool(p.isFull(a, inProgress), p.isFull(b, inProgress)),
			compareBool(a.domain != need.FailureDomain, b.domain != need.FailureDomain),
			cmp.Compare(load(inProgress, a.ID), load(inProgress, b.ID)),
		)
	})
}

// isFull reports whether a server has as many requests as it serves without delay.
func (p *Plan) isFull(s *server, inProgress map[Replica]int) bool {
	return float64(load(inProgress, s.ID)) >= p.settings.ReplicaLoad*2*float64(s.slots)
}

// isNext reports whether the free slots at the replicas of a model suffice for those of its
// waiters that go first, and this one.
func (p *Plan) isNext(w *waiter, inProgress map[Replica]int) bool {
	return p.ahead(w) < p.freeSlots(w.Model, inProgress)
}

// ahead is the number of waiters for the same model that go first: those of more urgent
// routes, then those that wait longer.
func (p *Plan) ahead(w *waiter) int {
	ahead := 0
	for _, other := range p.waiters {
		if other.Model == w.Model && other.ID != w.ID && compareWaiters(other, w) < 0 {
			ahead++
		}
	}
	return ahead
}

func compareWaiters(a, b *waiter) int {
	return cmp.Or(cmp.Compare(a.Urgency, b.Urgency), a.since.Compare(b.since), cmp.Compare(a.ID, b.ID))
}

// freeSlots is the number of further requests that the replicas of a model take at once.
func (p *Plan) freeSlots(name string, inProgress map[Replica]int) int {
	free := 0
	for _, s := range p.replicas(name) {
		free += max(s.slots-load(inProgress, s.ID), 0)
	}
	return free
}

func (r *replica) hasAdapter(name string) bool {
	a, ok := r.adapters[name]
	return ok && a.state == stateReady
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// estimate returns how long a request for a model will wait, and why.
func (p *Plan) estimate(w *waiter, inProgress map[Replica]int, now time.Time) (time.Duration, string) {
	need := w.Need
	limits, known := p.limits.Models[need.Model]
	if !known {
		return p.settings.QueueTime * 2, "the model is not configured"
	}
	if replicas := len(p.replicas(need.Model)); replicas > 0 {
		if behind := p.ahead(w) - p.freeSlots(need.Model, inProgress); behind >= 0 {
			rate := float64(replicas*p.slots()) / p.settings.RunTime.Seconds()
			return time.Duration(float64(behind+1) / rate * float64(time.Second)), "the servers are full"
		}
		return p.settings.SwapTime, "the adapter is loaded"
	}
	for _, s := range p.list {
		if r, ok := s.replicas[need.Model]; ok && r.state == stateLoading && !s.leaving {
			return max(s.freeAt.Sub(now), 0), "the model is being loaded"
		}
	}
	best, found := time.Duration(0), false
	for _, s := range p.list {
		if !s.hasCopy(need.Model) || s.leaving || !s.known {
			continue
		}
		wait := max(s.freeAt.Sub(now), 0) + limits.LoadTime(s.tier(need.Model)) + p.settings.SwapTime
		if !found || wait < best {
			best, found = wait, true
		}
	}
	if found {
		return best, "a server has a copy"
	}
	if len(p.Unknown()) > 0 || !p.settled {
		return limits.DiskLoad + p.settings.SwapTime, "not all servers are known yet"
	}
	return p.remoteEstimate(need.Model, limits, now), "the model comes from the weight store"
}

// remoteEstimate is the wait for a load from the weight store, behind the loads under way
// and those that go first.
func (p *Plan) remoteEstimate(name string, limits azurehitch.ModelLimits, now time.Time) time.Duration {
	queue := p.remoteQueue(now)
	position := slices.Index(queue, name)
	if position < 0 {
		position = len(queue)
	}
	ends := p.remoteEnds(now)
	free := p.settings.RemoteLoads - len(ends)
	if position < free {
		return limits.RemoteLoad
	}
	rounds := (position - free) / max(p.settings.RemoteLoads, 1)
	first := time.Duration(0)
	if i := (position - free) % max(p.settings.RemoteLoads, 1); i < len(ends) {
		first = ends[i]
	}
	return first + time.Duration(rounds+1)*limits.RemoteLoad
}

// remoteEnds returns how long the loads from the weight store will still take, the
// shortest first.
func (p *Plan) remoteEnds(now time.Time) []time.Duration {
	var ends []time.Duration
	for _, s := range p.servers {
		if s.order != nil && s.order.Tier == azurehitch.CacheTierRemote && s.order.Kind == azurehitch.OrderLoad {
			ends = append(ends, max(s.freeAt.Sub(now), 0))
		}
	}
	slices.Sort(ends)
	return ends
}

// remoteQueue returns the models that requests wait for and no server has a copy of, the
// most wanted first.
func (p *Plan) remoteQueue(now time.Time) []string {
	var queue []string
	for _, name := range p.wanted(now) {
		if !p.hasHome(name) && !p.isLoading(name) {
			queue = append(queue, name)
		}
	}
	return queue
}

// rendezvous is the weight of a server for a key: all daemons come to the same order.
func rendezvous(server, key string) uint64 { return xxhash.Sum64String(server + "\x00" + key) }
