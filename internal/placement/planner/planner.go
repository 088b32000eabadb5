// Package planner decides which engine loads and unloads what in one pool.
//
// # Usage
//
//	plan := planner.New(planner.Scope{Pool: pool}, intents, now)
//	plan.Observe(server, report, now)
//	plan.Want(daemon, artifact, demand, now)
//	for _, action := range plan.Decide(now, budget) { ... }
//	slots.Want(pool, plan.SlotWants())
//	plan.Finished(action, result, now)
//
// A Plan is the state of a pool's lease holder. It does no I/O: events and the
// time come in, actions go out. Each action is booked before it is returned, so
// that no two actions together exceed a limit.
//
// # What counts
//
// A replica or a byte of memory counts from before the order for it until the
// engine is known to be without it. A server that this holder has not reached
// may hold any replica, because a former holder may still load there: until each
// server has been reached once or is gone, no replica is added.
package planner

import (
	"cmp"
	"time"

	"azurehitch"
	"azurehitch/internal/configuration/tables"
	"azurehitch/internal/lease/leaselog"
	"azurehitch/internal/placement/keepalive"
	"azurehitch/internal/placement/loadslots"
	"azurehitch/internal/proof/sabotage"
)

const (
	// minimumKeep is how long a replica is kept after its last use, so that two
	// models do not evict each other in turn.
	minimumKeep = 2 * time.Second
	// shortestGap is the pause from which a use counts as a new one: daemons report
	// a continuous use each second.
	shortestGap = 2 * time.Second
	// requestsPerReplica is the number of requests in progress above which a
	// further replica is loaded.
	requestsPerReplica = 16
	// orderBackoff is how long a server gets no orders after one that failed.
	orderBackoff = 500 * time.Millisecond
	// settleRetry is how often the resolution of an intent is tried.
	settleRetry = time.Second
	// uncertainLimit is how long an order may be uncertain before a new token is
	// due.
	uncertainLimit = 3 * time.Second
	// demandTTL is how long a reported demand counts.
	demandTTL = 3 * time.Second
)

// ActionKind is what an action does.
type ActionKind string

// The kinds of actions.
const (
	ActionLoad   ActionKind = "Load"
	ActionUnload ActionKind = "Unload"
)

// Action is one order to a server.
type Action struct {
	Kind   ActionKind
	Server string
	// Incarnation is the start of the engine that the decision was made for. The
	// order must reach no other: a later one has forgotten the tokens that it saw.
	Incarnation string
	Artifact    azurehitch.Artifact
	Memory      azurehitch.ByteSize
	// Remote tells that a load comes from the weight store, and uses the slot that was
	// granted for it.
	Remote bool
	// Class tells who waits for a load, and Tier where the checkpoint lies.
	Class loadslots.Class
	Tier  azurehitch.CacheTier
	// Preempt tells that an unload cancels requests of trials instead of ending them.
	Preempt bool
}

// Outcome is how an action ended.
type Outcome string

// The outcomes.
const (
	OutcomeDone Outcome = "Done"
	// OutcomeRefused means that the order was not and will not be carried out.
	OutcomeRefused Outcome = "Refused"
	// OutcomeUnknown means that it may have been, or may still be.
	OutcomeUnknown Outcome = "Unknown"
)

// Result is how an action ended.
type Result struct {
	Outcome Outcome
	// Incarnation is the start of the engine that the order was sent to.
	Incarnation string
	// Intent is the offset of the intent that preceded the order; 0 is none.
	Intent int64
}

// Demand is what the callers of one tier want of an artifact.
type Demand struct {
	Tier tables.Tier
	// Waiting is the number of requests that wait for the first replica.
	Waiting int
	// InProgress is the number of requests that run.
	InProgress int
	// Deadline is when the first of the waiting requests has to be refused; zero if
	// that is not known.
	Deadline time.Time
}

// booking is an artifact on a server as the holder counts it.
type booking struct {
	azurehitch.Placement
	// draining is true from the decision to unload it: it gets no new work, and no
	// adapter is loaded on it.
	draining bool
	// preempt is true when requests of trials on it are cancelled.
	preempt bool
	// ordered is true while an own order is under way.
	ordered bool
	// uncertain is true when an order to this incarnation may still arrive. The
	// artifact then counts until the engine starts anew.
	uncertain      bool
	uncertainSince time.Time
	incarnation    string
	// intents are the offsets of open intents, of former holders and of this one.
	// While one is open, a successor counts its order as one that may arrive, so
	// the artifact must not be unloaded.
	intents []int64
	// repeated is true when this holder ordered the load of an adopted intent
	// itself, so that seeing it loaded does not show that the first order arrived.
	repeated  bool
	changedAt time.Time
	lastUsed  time.Time
}

type server struct {
	tables.BackendServer
	reached     bool
	incarnation string
	// retired means that the table no longer names the server. It is drained.
	retired bool
	// foreign means that another pool has not yet given the server up. It gets no
	// loads.
	foreign bool
	// unlisted means that the platform's list doesn't show the server.
	unlisted bool
	// listedLeaving and saysLeaving are the two signals that the server leaves.
	listedLeaving bool
	saysLeaving   bool
	// failedAt is when an order last failed.
	failedAt time.Time
	bookings map[azurehitch.Artifact]*booking
	cached   map[azurehitch.Artifact]azurehitch.CacheTier
}

// want is the demand for one artifact, by the daemon and tier that reported it.
type want struct {
	since   time.Time
	demands map[demandSource]reportedDemand
}

type demandSource struct {
	daemon string
	tier   tables.Tier
}

type reportedDemand struct {
	Demand
	at time.Time
}

// total returns the sum of the demands that still count. Its tier is Paid if there is
// a paying caller among them; its deadline is the first of that tier.
func (w *want) total(now time.Time) (sum Demand, current bool) {
	sum.Tier = tables.TierTrial
	for source, d := range w.demands {
		if now.Sub(d.at) > demandTTL {
			continue
		}
		current = true
		sum.Waiting += d.Waiting
		sum.InProgress += d.InProgress
		if source.tier != tables.TierTrial && sum.Tier == tables.TierTrial {
			sum.Tier, sum.Deadline = tables.TierPaid, time.Time{}
		}
		if sum.Tier == source.tier {
			sum.Deadline = earlier(sum.Deadline, d.Deadline)
		}
	}
	return sum, current
}

// earlier returns the earlier of two times, of which zero is none.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

// Plan is the state of a pool's holder. It is not safe for concurrent use.
type Plan struct {
	pool tables.Pool
	// memories is the memory of each artifact of the pool.
	memories map[azurehitch.Artifact]azurehitch.ByteSize
	// maxReplicas is the limit of each model of the pool.
	maxReplicas map[string]int
	servers     map[string]*server
	// names are the names of the servers in order.
	names []string
	wants map[azurehitch.Artifact]*want
	// lastUsed, paidAt and histories survive the unloading of an artifact. paidAt is
	// when a paying caller last used it.
	lastUsed  map[azurehitch.Artifact]time.Time
	paidAt    map[azurehitch.Artifact]time.Time
	histories map[azurehitch.Artifact]keepalive.History
	// profiles are the times of day at which models are used, wakes the models that
	// should be awake, and until when they wait for a use.
	profiles map[azurehitch.Artifact]keepalive.Profile
	wakes    map[azurehitch.Artifact]time.Time
	wokenAt  time.Time
	// poolHistory is the gaps of all artifacts of the pool.
	poolHistory keepalive.History
	// emptied is when the record that a retired server is empty was last tried.
	emptied map[string]time.Time
	// loadTimes are the load times of models by where their checkpoints lay.
	loadTimes loadTimes
	// settling are the intents whose order has arrived or never will, with the
	// time of the last try to record that.
	settling map[int64]time.Time
	// decidedAt is the time of the decision that is under way.
	decidedAt time.Time
	// slotWants are the loads that the last decision would have begun with a slot.
	slotWants []loadslots.Want
}

// Scope is what a plan decides on.
type Scope struct {
	Pool tables.Pool
	// Retired are the servers that the table no longer names and that may still
	// hold what was loaded there.
	Retired []tables.BackendServer
	// Foreign names the servers that another pool has not yet given up.
	Foreign map[string]bool
}

// New returns the plan of a new holder, which has reached no server yet. The
// open intents of the pool at that moment are adopted.
func New(scope Scope, intents []leaselog.Intent, now time.Time) *Plan {
	p := &Plan{
		servers:   map[string]*server{},
		wants:     map[azurehitch.Artifact]*want{},
		lastUsed:  map[azurehitch.Artifact]time.Time{},
		paidAt:    map[azurehitch.Artifact]time.Time{},
		histories: map[azurehitch.Artifact]keepalive.History{},
		profiles:  map[azurehitch.Artifact]keepalive.Profile{},
		wakes:     map[azurehitch.Artifact]time.Time{},
		emptied:   map[string]time.Time{},
		loadTimes: loadTimes{},
		settling:  map[int64]time.Time{},
	}
	p.SetScope(scope)
	for _, intent := range intents {
		p.adopt(intent, now)
	}
	return p
}

// SetScope applies a new version of the table. Retired servers are drained, and
// count until the scope no longer has them.
func (p *Plan) SetScope(scope Scope) {
	p.pool = scope.Pool
	p.memories = scope.Pool.Memories()
	p.maxReplicas = map[string]int{}
	for _, model := range scope.Pool.Models {
		p.maxReplicas[model.Name] = model.MaxReplicas
	}
	kept := map[string]bool{}
	for _, s := range scope.Pool.BackendServers {
		kept[s.Name] = true
		p.keep(s, false)
	}
	for _, s := range scope.Retired {
		if !kept[s.Name] {
			kept[s.Name] = true
			p.keep(s, true)
		}
	}
	for name, s := range p.servers {
		s.foreign = scope.Foreign[name]
		if !kept[name] {
			delete(p.servers, name)
			delete(p.emptied, name)
		}
	}
	p.names = sortedKeys(p.servers)
}

// memory returns the memory that an artifact needs by itself, and false if the pool
// doesn't have it.
func (p *Plan) memory(artifact azurehitch.Artifact) (azurehitch.ByteSize, bool) {
	memory, known := p.memories[artifact]
	return memory, known
}

func (p *Plan) keep(s tables.BackendServer, retired bool) {
	existing, ok := p.servers[s.Name]
	if !ok {
		existing = newServer(s)
		p.servers[s.Name] = existing
	}
	existing.BackendServer = s
	existing.retired = retired
}

func newServer(s tables.BackendServer) *server {
	return &server{
		BackendServer: s,
		bookings:      map[azurehitch.Artifact]*booking{},
		cached:        map[azurehitch.Artifact]azurehitch.CacheTier{},
	}
}

func (p *Plan) adopt(intent leaselog.Intent, now time.Time) {
	s, ok := p.servers[intent.Server]
	if !ok || sabotage.Active(sabotage.SkipAdoption) {
		return
	}
	b, ok := s.bookings[intent.Artifact]
	if !ok {
		b = &booking{changedAt: now, lastUsed: now}
		b.Placement = azurehitch.Placement{Artifact: intent.Artifact, State: azurehitch.PlacementIntended, Memory: intent.Memory}
		s.bookings[intent.Artifact] = b
	}
	b.intents = append(b.intents, intent.Offset)
}

// Servers returns the servers with their addresses that the plan counts.
func (p *Plan) Servers() []tables.BackendServer {
	var servers []tables.BackendServer
	for _, name := range p.names {
		servers = append(servers, p.servers[name].BackendServer)
	}
	return servers
}

// SetHosts tells which servers the platform's list shows, and which of them leave.
// With nil, the list was not read yet, and no server counts as gone.
func (p *Plan) SetHosts(states map[string]azurehitch.HostState) {
	if states == nil {
		return
	}
	for name, s := range p.servers {
		state, listed := states[name]
		s.unlisted = !listed
		s.listedLeaving = state == azurehitch.HostStateLeaving
	}
}

// Want tells what the callers of one daemon want of an artifact.
func (p *Plan) Want(daemon string, artifact azurehitch.Artifact, demand Demand, now time.Time) {
	w, ok := p.wants[artifact]
	if !ok {
		w = &want{since: now, demands: map[demandSource]reportedDemand{}}
		p.wants[artifact] = w
	}
	demand.Tier = cmp.Or(demand.Tier, tables.TierPaid)
	w.demands[demandSource{daemon: daemon, tier: demand.Tier}] = reportedDemand{Demand: demand, at: now}
	p.touch(artifact, demand.Tier, now)
}

func (p *Plan) touch(artifact azurehitch.Artifact, tier tables.Tier, now time.Time) {
	for _, used := range []azurehitch.Artifact{artifact, artifact.WithoutAdapter()} {
		p.lastUsed[used] = now
		if tier == tables.TierPaid || sabotage.Active(sabotage.TrialsLikePaid) {
			p.noteGap(used, now)
			p.noteStart(used, now)
			p.paidAt[used] = now
			delete(p.wakes, used)
		}
		for _, s := range p.servers {
			if b, ok := s.bookings[used]; ok {
				b.lastUsed = now
			}
		}
	}
}

// noteGap learns from a paying caller's use after a pause.
func (p *Plan) noteGap(artifact azurehitch.Artifact, now time.Time) {
	last, used := p.paidAt[artifact]
	if gap := now.Sub(last); used && gap > shortestGap {
		p.histories[artifact] = p.histories[artifact].WithGap(gap)
		p.poolHistory = p.poolHistory.WithPoolGap(gap)
	}
}

// keepTime returns how long an artifact is kept after its last use.
func (p *Plan) keepTime(artifact azurehitch.Artifact) time.Duration {
	return p.keepTimeAt(artifact, p.pool.ColdStartPrice.Std())
}

// keepTimeOn returns how long an artifact is kept on a server. Where its checkpoint lies
// near, a cold start takes less time and costs less.
func (p *Plan) keepTimeOn(s *server, artifact azurehitch.Artifact) time.Duration {
	price := p.pool.ColdStartPrice.Std()
	return p.keepTimeAt(artifact, time.Duration(float64(price)*p.loadTimes.share(s.tier(artifact))))
}

func (p *Plan) keepTimeAt(artifact azurehitch.Artifact, price time.Duration) time.Duration {
	limit := p.pool.IdleTimeout.Std()
	if p.pool.ColdStartPrice == 0 {
		return limit
	}
	return max(p.histories[artifact].WithPrior(p.poolHistory).KeepTime(price, limit), minimumKeep)
}

// Ready returns the servers on which an artifact is ready for new requests.
func (p *Plan) Ready(artifact azurehitch.Artifact) []tables.BackendServer {
	var ready []tables.BackendServer
	for _, name := range p.names {
		s := p.servers[name]
		if s.accepts() && s.isReady(artifact) && s.isReady(artifact.WithoutAdapter()) {
			ready = append(ready, s.BackendServer)
		}
	}
	return ready
}

// accepts reports whether new work may go to the server.
func (s *server) accepts() bool { return s.reached && !s.isLeaving() && !s.unlisted && !s.retired }

func (s *server) isLeaving() bool {
	return (s.listedLeaving || s.saysLeaving) && !sabotage.Active(sabotage.IgnoreLeaving)
}

// isGone reports whether the server is gone: the list doesn't show it, and it
// doesn't answer.
func (s *server) isGone() bool { return s.unlisted && !s.reached }

func (s *server) isReady(artifact azurehitch.Artifact) bool {
	b, ok := s.bookings[artifact]
	return ok && b.State == azurehitch.PlacementReady && !b.draining
}

func (s *server) memoryInUse() azurehitch.ByteSize {
	var sum azurehitch.ByteSize
	for _, b := range s.bookings {
		if b.State == azurehitch.PlacementIntended && sabotage.Active(sabotage.SkipMemoryBooking) {
			continue
		}
		sum += b.Memory
	}
	return sum
}

func (s *server) free() azurehitch.ByteSize { return s.AcceleratorMemory - s.memoryInUse() }

// Usage is what a plan counts, for operators and for checks.
type Usage struct {
	Server  string
	Reached bool
	Leaving bool
	// Retired means that the table no longer names the server.
	Retired     bool
	Memory      azurehitch.ByteSize
	MemoryInUse azurehitch.ByteSize
	Placements  []azurehitch.Placement
}

// Usage returns what the plan counts on each server.
func (p *Plan) Usage() []Usage {
	var usage []Usage
	for _, name := range p.names {
		s := p.servers[name]
		u := Usage{
			Server: name, Reached: s.reached, Leaving: s.isLeaving(), Retired: s.retired,
			Memory: s.AcceleratorMemory, MemoryInUse: s.memoryInUse(),
		}
		for _, artifact := range sortedArtifacts(s.bookings) {
			u.Placements = append(u.Placements, s.bookings[artifact].Placement)
		}
		usage = append(usage, u)
	}
	return usage
}

// Waiting returns the number of requests that wait.
func (p *Plan) Waiting(now time.Time) int {
	sum := 0
	for _, w := range p.wants {
		demand, _ := w.total(now)
		sum += demand.Waiting
	}
	return sum
}
