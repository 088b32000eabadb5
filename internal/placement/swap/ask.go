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

// The reasons of verdicts on requests for models whose servers take no more: they have no free
// slot, or turn the requests of the asking daemon away.
const (
	reasonFull    = "the servers are full"
	reasonResting = "the servers turn requests away"
	reasonStuck   = "no replica can serve it soon"
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
	// late is true once it can't be on time any more.
	late bool
	// tier is where the checkpoint lay that is loaded for it.
	tier azurehitch.CacheTier
}

// Ask answers a need: with a replica that is ready, with the advice to wait, or with a
// refusal when no load can serve it in time. A daemon asks again while it waits.
func (p *Plan) Ask(need Need, now time.Time) Verdict {
	p.learnLeft(need.Left)
	w, waiting := p.waiters.byID[need.ID]
	if !waiting {
		p.countAsk(need, now)
		w = &waiter{since: now}
	}
	w.Need = need
	w.renewed = now
	verdict := p.judge(w, p.outlook(need.Model, now), now)
	if verdict.Kind == VerdictWaiting {
		p.waiters.add(w)
	}
	return verdict
}

// Settlement is the verdict on a request that has waited.
type Settlement struct {
	ID      string
	Verdict Verdict
}

// Settle goes once through the requests that wait and whose daemons are asking, and returns
// the verdicts that end their wait.
func (p *Plan) Settle(now time.Time, isAsking func(id string) bool) []Settlement {
	p.waiters.demoteLate(now)
	var settled []Settlement
	for _, name := range p.waiters.models() {
		outlook := p.outlook(name, now)
		for _, w := range slices.Clone(p.waiters.byModel[name]) {
			if !isAsking(w.ID) {
				continue
			}
			if verdict := p.judge(w, outlook, now); verdict.Kind != VerdictWaiting {
				settled = append(settled, Settlement{ID: w.ID, Verdict: verdict})
			}
		}
	}
	return settled
}

// judge decides about a request. One that need not wait any more leaves the queue.
func (p *Plan) judge(w *waiter, o outlook, now time.Time) Verdict {
	if left, ok := w.restOf(o.replicas); ok {
		return p.turnAway(w, left, reasonResting, now)
	}
	o.replicas = w.withoutResting(o.replicas)
	if len(o.replicas) > 0 && p.waiters.ahead(w) < p.freeSlots(o.replicas) {
		if s := p.choose(w.Need, o.replicas, now); s != nil {
			p.waiters.remove(w.ID)
			return Verdict{Kind: VerdictGranted, Grant: p.grant(w.Need, s, w.tier, now), Reason: "replica is ready"}
		}
	}
	estimate, reason := p.estimate(w, o, now)
	margin := time.Duration(p.settings.AnswerPart * float64(w.Deadline.Sub(w.since)))
	if estimate > p.settings.QueueTime || now.Add(estimate+margin).After(w.Deadline) {
		return p.turnAway(w, estimate, reason, now)
	}
	return Verdict{Kind: VerdictWaiting, Estimate: estimate, Reason: reason}
}

// turnAway refuses a request. One that the servers had no room for counts as demand.
func (p *Plan) turnAway(w *waiter, estimate time.Duration, reason string, now time.Time) Verdict {
	p.waiters.remove(w.ID)
	if reason == reasonFull || reason == reasonResting {
		p.model(w.Model).turnedAway.add(1, now)
	}
	return Verdict{Kind: VerdictRefused, Estimate: estimate, Reason: reason}
}

// learnLeft takes in what a daemon knows of servers that leave. None of them comes back in the
// same incarnation.
func (p *Plan) learnLeft(servers []azurehitch.ServerIdentity) {
	for _, left := range servers {
		if s, ok := p.servers[left.ID]; ok && s.Incarnation <= left.Incarnation {
			s.left = true
			s.leaving = true
			p.index.invalidate()
		}
	}
}

// Withdraw ends the wait of a request, as when its caller has gone.
func (p *Plan) Withdraw(id string) { p.waiters.remove(id) }

func (p *Plan) countAsk(need Need, now time.Time) {
	m := p.model(need.Model)
	m.asks++
	m.rate.add(1, now)
	if len(p.replicas(need.Model)) == 0 {
		m.unmet++
	}
}

func (p *Plan) grant(need Need, s *server, tier azurehitch.CacheTier, now time.Time) Grant {
	p.lastGrant++
	d := p.daemon(need.Daemon)
	replica := Replica{Server: s.ID, Model: need.Model}
	d.grants = append(d.grants, issuedGrant{number: p.lastGrant, replica: replica, at: now})
	p.progress.add(replica, 1)
	p.model(need.Model).starts.add(1, now)
	s.read(need, now)
	r := s.replicas[need.Model]
	r.lastUsed = now
	if a, ok := r.adapters[need.Adapter]; ok {
		a.lastUsed = now
	}
	return Grant{Server: s.ServerIdentity, Number: p.lastGrant, Tier: tier}
}

// choose returns the best of the replicas of a model on which the adapter, if any, takes
// requests, and whose slots are not all taken.
func (p *Plan) choose(need Need, replicas []*server, now time.Time) *server {
	var candidates []*server
	for _, s := range replicas {
		isFull := p.progress.servers[s.ID] >= s.slots
		isFit := need.Adapter == "" || s.replicas[need.Model].hasAdapter(need.Adapter)
		if !isFull && isFit && !slices.Contains(need.Avoid, s.ID) {
			candidates = append(candidates, s)
		}
	}
	if len(candidates) == 0 {
		return nil
	}
	return slices.MinFunc(candidates, func(a, b *server) int {
		return cmp.Compare(p.cost(a, need.FailureDomain, now), p.cost(b, need.FailureDomain, now))
	})
}

func (p *Plan) cost(s *server, domain string, now time.Time) float64 {
	return Cost(p.progress.servers[s.ID], s.slots, s.domain != domain) + readingLoad*float64(s.reading(now))
}

// foreignPenalty is the part of a server's slots by which servers in the failure domain of the
// asking daemon may be fuller than others.
const foreignPenalty = 0.1

// Cost is how full a server is, with a penalty where it is in another failure domain. Of two
// servers, that with the lower cost takes the next request.
func Cost(requests, slots int, isForeign bool) float64 {
	cost := float64(requests) / float64(max(slots, 1))
	if isForeign {
		cost += foreignPenalty
	}
	return cost
}

// freeSlots is the number of further requests that replicas take at once.
func (p *Plan) freeSlots(replicas []*server) int {
	free := 0
	for _, s := range replicas {
		free += max(s.slots-p.progress.servers[s.ID], 0)
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

// outlook is what requests for a model have to expect.
type outlook struct {
	// replicas are the servers on which the model takes requests.
	replicas []*server
	// wait is how long it takes until there is one, and reason why.
	wait   time.Duration
	reason string
}

// outlook looks at a model once for all its requests.
func (p *Plan) outlook(name string, now time.Time) outlook {
	limits, known := p.limits.Models[name]
	if !known {
		return outlook{wait: p.settings.QueueTime * 2, reason: "the model is not configured"}
	}
	if replicas := p.replicas(name); len(replicas) > 0 {
		return outlook{replicas: replicas}
	}
	if loaders := p.loaders(name); len(loaders) > 0 {
		return outlook{wait: loaders[0].loadLeft(now), reason: "the model is being loaded"}
	}
	best, found := time.Duration(0), false
	for _, s := range p.homesOf(name) {
		// A server that is unknown is expected to be so as long again.
		wait := max(s.freeAt.Sub(now), s.unknownFor(now)) + limits.LoadTime(s.tier(name)) + p.settings.SwapTime
		if !found || wait < best {
			best, found = wait, true
		}
	}
	switch {
	case found:
		return outlook{wait: best, reason: "a server has a copy"}
	case !p.settled || p.hasNewcomers(now):
		return outlook{wait: limits.DiskLoad + p.settings.SwapTime, reason: "not all servers are known yet"}
	}
	return outlook{wait: p.remoteEstimate(name, limits, now), reason: "the model comes from the weight store"}
}

// hasNewcomers reports whether a server was not reached yet that was listed a short time ago.
func (p *Plan) hasNewcomers(now time.Time) bool {
	return slices.ContainsFunc(p.list, func(s *server) bool {
		return !s.known && !s.leaving && s.unknownFor(now) < listedTime
	})
}

// estimate returns how long a request will wait, and why.
func (p *Plan) estimate(w *waiter, o outlook, now time.Time) (time.Duration, string) {
	if len(o.replicas) == 0 {
		return o.wait, o.reason
	}
	if behind := p.waiters.ahead(w) - p.freeSlots(o.replicas); behind >= 0 {
		rate := float64(len(o.replicas)*p.slots()) / p.runTime(w.Model, now).Seconds()
		return time.Duration(float64(behind+1) / rate * float64(time.Second)), reasonFull
	}
	if p.isStuck(w.Need, p.replicas(w.Model), now) {
		return p.stuckWait(w, o, now), reasonStuck
	}
	// An adapter that was not loaded in time waits for a place: as long again as it has waited.
	return max(p.settings.SwapTime, now.Sub(w.since)), "the adapter is loaded"
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
	atOnce := p.remoteLoads(now)
	free := max(atOnce-len(ends), 0)
	if position < free {
		return limits.RemoteLoad
	}
	rounds := (position - free) / atOnce
	first := time.Duration(0)
	if i := (position - free) % atOnce; i < len(ends) {
		first = ends[i]
	}
	return first + time.Duration(rounds+1)*limits.RemoteLoad
}

// remoteEnds returns how long the loads from the weight store will still take, the
// shortest first.
func (p *Plan) remoteEnds(now time.Time) []time.Duration {
	var ends []time.Duration
	for _, s := range p.servers {
		if s.order != nil && s.order.isRemoteLoad() {
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
