package planner

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"azurehitch"
	"azurehitch/internal/configuration/tables"
	"azurehitch/internal/placement/loadslots"
	"azurehitch/internal/proof/sabotage"
)

// Budget says which resources and permissions the holder has for one decision. Decide plans only
// orders that these allow.
type Budget struct {
	// Slots holds the artifacts that may be loaded from the weight store now. Other loads from the
	// store wait and are listed by SlotRequests.
	Slots map[azurehitch.Artifact]bool
	// LeaseValid is true until the holder's lease expires. Without it, only engines that persist
	// tokens get orders.
	LeaseValid bool
	// LogWritable is true while intents can be recorded in the log. Without it, engines that
	// ignore tokens get no orders.
	LogWritable bool
}

// loadRequest is a load required by current demand or by a preload. memory is the accelerator memory
// that the artifact needs, deadline is when the first waiting request must be refused (zero if none
// has a deadline), and since is when the demand began.
type loadRequest struct {
	artifact azurehitch.Artifact
	memory   azurehitch.ByteSize
	class    loadslots.Class
	deadline time.Time
	since    time.Time
}

// Decide returns the load and unload orders to send now, and books their memory and replicas. The
// result of each order must be passed to Finish.
func (p *Plan) Decide(now time.Time, budget Budget) []Action {
	p.decidedAt = now
	p.slotRequests = nil
	var actions []Action
	actions = append(actions, p.repeatUncertain(budget)...)
	actions = append(actions, p.unloadDraining(budget)...)
	actions = append(actions, p.unloadExcess(budget)...)
	actions = append(actions, p.unloadIdle(now, budget)...)
	for _, req := range p.loadRequests(now) {
		if action, ok := p.planLoad(req, now, budget); ok {
			actions = append(actions, action)
		}
	}
	for _, req := range p.preloadRequests(now) {
		if action, ok := p.placePreload(req, now, budget); ok {
			actions = append(actions, action)
		}
	}
	return actions
}

// SlotRequests returns the loads that the last decision could not start because Budget.Slots did not
// allow them to load from the weight store.
func (p *Plan) SlotRequests() []loadslots.LoadRequest { return p.slotRequests }

// loadRequests returns the loads that current demand requires, in order of class (paying callers
// first), deadline and time waited.
func (p *Plan) loadRequests(now time.Time) []loadRequest {
	var requests []loadRequest
	for artifact, d := range p.demands {
		demand, current := d.total(now)
		if !current {
			delete(p.demands, artifact)
			continue
		}
		memory, known := p.memory(artifact)
		if known && !p.hasEnoughReplicas(artifact, demand) {
			requests = append(requests, loadRequest{
				artifact: artifact, memory: memory, class: p.classOf(artifact, demand.Tier), deadline: demand.Deadline, since: d.since,
			})
		}
	}
	slices.SortFunc(requests, func(a, b loadRequest) int { return loadslots.Compare(p.slotRequest(a), p.slotRequest(b)) })
	return requests
}

func (p *Plan) slotRequest(req loadRequest) loadslots.LoadRequest {
	return loadslots.LoadRequest{
		Key:   loadslots.Key{Pool: p.pool.Name, Artifact: req.artifact},
		Class: req.class, Deadline: req.deadline, WaitingSince: req.since,
	}
}

// classOf returns the priority class of a load: paying callers come before trials, and the first
// ready replica of an artifact (ClassPaid, ClassTrial) before additional ones (ClassPaidMore,
// ClassTrialMore).
func (p *Plan) classOf(artifact azurehitch.Artifact, tier tables.Tier) loadslots.Class {
	isFirst := len(p.ReadyServers(artifact)) == 0
	switch {
	case tier == tables.TierPaid || sabotage.Active(sabotage.TrialsLikePaid):
		if isFirst {
			return loadslots.ClassPaid
		}
		return loadslots.ClassPaidMore
	case isFirst:
		return loadslots.ClassTrial
	}
	return loadslots.ClassTrialMore
}

// planLoad returns the next order needed for a requested load: to load the artifact, to load the base
// model of an adapter first, or to unload another artifact. It returns false if there is nothing to
// order now.
func (p *Plan) planLoad(req loadRequest, now time.Time, budget Budget) (Action, bool) {
	if p.isLoading(req.artifact) {
		return Action{}, false
	}
	if req.artifact.Adapter == "" {
		return p.placeModel(req, now, budget)
	}
	base := req.artifact.WithoutAdapter()
	if len(p.ReadyServers(base)) > 0 {
		return p.placeAdapter(req, now, budget)
	}
	memory, known := p.memory(base)
	if !known || p.isLoading(base) {
		return Action{}, false
	}
	req.artifact, req.memory = base, memory
	return p.placeModel(req, now, budget)
}

// isLoading reports whether any server that is not removed is loading an artifact or has a load of it
// planned.
func (p *Plan) isLoading(artifact azurehitch.Artifact) bool {
	for _, s := range p.servers {
		b, ok := s.bookings[artifact]
		if ok && !s.isRemoved() && (b.State == azurehitch.PlacementIntended || b.State == azurehitch.PlacementLoading) {
			return true
		}
	}
	return false
}

// hasEnoughReplicas reports whether the ready replicas cover the demand, up to the replica limit.
func (p *Plan) hasEnoughReplicas(artifact azurehitch.Artifact, demand Demand) bool {
	ready := len(p.ReadyServers(artifact))
	if ready == 0 {
		return false
	}
	needed := (demand.Waiting + demand.InProgress + requestsPerReplica - 1) / requestsPerReplica
	return ready >= min(needed, p.maxReplicas[artifact.Model])
}

// countReplicas counts the booked replicas of all versions of a model, except on removed servers.
func (p *Plan) countReplicas(model string) int {
	count := 0
	for _, s := range p.servers {
		if s.isRemoved() {
			continue
		}
		for artifact := range s.bookings {
			if artifact.Model == model && artifact.Adapter == "" {
				count++
			}
		}
	}
	return count
}

// allReached reports whether this holder has reached every server at least once, except removed ones.
// No replica is added before, since a former holder may have loaded, or may still be loading, any
// version of any model on the servers that were not reached.
func (p *Plan) allReached() bool {
	for _, s := range p.servers {
		if s.incarnation == "" && !s.isRemoved() && !sabotage.Active(sabotage.SkipUnreachedCount) {
			return false
		}
	}
	return true
}

// replicasOf returns the bookings of a model in all versions, without adapters.
func (s *server) replicasOf(model string) []*booking {
	var bookings []*booking
	for _, artifact := range sortedArtifacts(s.bookings) {
		if artifact.Model == model && artifact.Adapter == "" {
			bookings = append(bookings, s.bookings[artifact])
		}
	}
	return bookings
}

// placeModel returns an order to load a base model on a suitable server, or to unload something for it.
// If the replica limit of the model is reached, it unloads a replica of another version.
func (p *Plan) placeModel(req loadRequest, now time.Time, budget Budget) (Action, bool) {
	if !p.allReached() {
		return Action{}, false
	}
	if p.countReplicas(req.artifact.Model) >= p.maxReplicas[req.artifact.Model] {
		return p.evictOtherVersion(req, now, budget)
	}
	candidates := p.candidates(budget, func(s *server) bool { return s.bookings[req.artifact] == nil && s.AcceleratorMemory >= req.memory })
	return p.placeOnBest(candidates, req, now, budget)
}

// placeAdapter returns an order to load an adapter on a server where its base model is ready, or to
// unload something for it.
func (p *Plan) placeAdapter(req loadRequest, now time.Time, budget Budget) (Action, bool) {
	base := req.artifact.WithoutAdapter()
	candidates := p.candidates(budget, func(s *server) bool { return s.bookings[req.artifact] == nil && s.isReady(base) })
	return p.placeOnBest(candidates, req, now, budget)
}

// candidates returns the servers on which a load may be ordered now and for which suits is true, sorted
// by name.
func (p *Plan) candidates(budget Budget, suits func(*server) bool) []*server {
	var candidates []*server
	for _, name := range p.serverNames {
		s := p.servers[name]
		if s.acceptsWork() && !s.heldByOtherPool && p.mayOrder(s, budget) && suits(s) {
			candidates = append(candidates, s)
		}
	}
	return candidates
}

// mayOrder reports whether the holder may send load and unload orders to a server now. It may not
// while the server is unreachable, or within orderBackoff of a failed order.
//
// What else is required depends on the engine's handling of fencing tokens. An engine that persists
// the highest token rejects this holder once a later holder has registered, so it gets orders even
// after the lease has expired. An engine that forgets tokens when it restarts could then obey this
// holder although it has been superseded, so the lease must be valid. An engine that ignores tokens
// always obeys, so the lease must be valid and an intent must be recorded in the log first.
func (p *Plan) mayOrder(s *server, budget Budget) bool {
	if !s.reached || p.decidedAt.Sub(s.failedAt) < orderBackoff {
		return false
	}
	switch s.FencingToken {
	case tables.TokenKept:
		return true
	case tables.TokenChecked:
		return budget.LeaseValid
	}
	return budget.LeaseValid && budget.LogWritable
}

// placeOnBest returns an order to load on the first server, by preference, that has enough free
// memory. If no server has enough, it returns an order to unload the least valuable artifact. For
// paying callers, a server also qualifies if unloading artifacts that trials use frees enough. It
// returns false if nothing may be unloaded, while unloads in progress must finish first, or while a
// load from the weight store waits for a slot.
func (p *Plan) placeOnBest(candidates []*server, req loadRequest, now time.Time, budget Budget) (Action, bool) {
	slices.SortStableFunc(candidates, p.byPreference(req.artifact))
	paid := req.class.IsPaid()
	if !paid && p.trialMemoryAvailable(now) < req.memory {
		return p.evictFor(candidates, req, now)
	}
	for _, s := range candidates {
		if s.freeMemory() >= req.memory {
			return p.loadOn(s, req, now, budget)
		}
		if !paid {
			continue
		}
		if action, sufficient := p.reclaimBorrowed(s, req, now); sufficient {
			return action, action.Kind != ""
		}
	}
	return p.evictFor(candidates, req, now)
}

// byPreference orders servers by the cache tier of the checkpoint, then by the number of replicas
// of the model in their failure domain (fewest first), then by free memory.
func (p *Plan) byPreference(artifact azurehitch.Artifact) func(a, b *server) int {
	replicas := p.replicasByDomain(artifact.Model)
	return func(a, b *server) int {
		return cmp.Or(
			cmp.Compare(a.cacheRank(artifact), b.cacheRank(artifact)),
			cmp.Compare(replicas[a.FailureDomain], replicas[b.FailureDomain]),
			cmp.Compare(b.freeMemory(), a.freeMemory()),
		)
	}
}

// replicasByDomain returns the number of replicas of a model in each failure domain.
func (p *Plan) replicasByDomain(model string) map[string]int {
	count := map[string]int{}
	for _, s := range p.servers {
		count[s.FailureDomain] += len(s.replicasOf(model))
	}
	return count
}

// loadOn returns the order to load on a server. If the checkpoint must come from the weight store and
// no slot has been granted, it requests a slot and returns false.
func (p *Plan) loadOn(s *server, req loadRequest, now time.Time, budget Budget) (Action, bool) {
	remote := s.cacheRank(req.artifact) == cacheRankRemote
	if remote && !budget.Slots[req.artifact] {
		p.slotRequests = append(p.slotRequests, p.slotRequest(req))
		return Action{}, false
	}
	return p.bookLoad(s, req, remote, now), true
}

// Cache ranks order servers by how fast they can load an artifact, the fastest first: checkpoint in
// the server's memory, on its disk, or only in the weight store.
const (
	cacheRankMemory = iota
	cacheRankDisk
	cacheRankRemote
)

// tier returns the nearest storage tier that has the checkpoint of an artifact for this server.
func (s *server) tier(artifact azurehitch.Artifact) azurehitch.CacheTier {
	return cmp.Or(s.cached[artifact], azurehitch.CacheTierRemote)
}

// cacheRank returns the cache rank of a server for loading an artifact.
func (s *server) cacheRank(artifact azurehitch.Artifact) int {
	switch s.cached[artifact] {
	case azurehitch.CacheTierMemory:
		return cacheRankMemory
	case azurehitch.CacheTierDisk:
		return cacheRankDisk
	}
	return cacheRankRemote
}

// bookLoad reserves the memory for a load and returns the order for it.
func (p *Plan) bookLoad(s *server, req loadRequest, remote bool, now time.Time) Action {
	s.bookings[req.artifact] = &booking{
		Placement:     azurehitch.Placement{Artifact: req.artifact, State: azurehitch.PlacementIntended, Memory: req.memory},
		orderInFlight: true,
		changedAt:     now,
		lastUsed:      now,
	}
	return Action{
		Kind: ActionLoad, Server: s.Name, Incarnation: s.incarnation, Artifact: req.artifact, Memory: req.memory,
		Remote: remote, Class: req.class, Tier: s.tier(req.artifact),
	}
}

// bookUnload returns the order to unload an artifact. The booking stays until the engine has carried out
// the order.
func (p *Plan) bookUnload(s *server, b *booking) Action {
	b.State = azurehitch.PlacementUnloading
	b.orderInFlight = true
	return Action{Kind: ActionUnload, Server: s.Name, Incarnation: s.incarnation, Artifact: b.Artifact, Memory: b.Memory}
}

// repeatUncertain repeats load orders whose outcome is unknown, so that it becomes known. Loading
// an artifact that is already loaded has no effect.
func (p *Plan) repeatUncertain(budget Budget) []Action {
	var actions []Action
	for _, name := range p.serverNames {
		s := p.servers[name]
		if !s.acceptsWork() || !p.mayOrder(s, budget) {
			continue
		}
		for _, artifact := range sortedArtifacts(s.bookings) {
			b := s.bookings[artifact]
			if !p.needsRepeat(s, b) {
				continue
			}
			b.orderInFlight = true
			b.loadRepeated = true
			actions = append(actions, Action{
				Kind: ActionLoad, Server: name, Incarnation: s.incarnation, Artifact: artifact, Memory: b.Memory,
			})
		}
	}
	return actions
}

// needsRepeat reports whether a load order must be repeated: its outcome is unknown, or a former
// holder left its intent open and the artifact has demand. The artifact must still fit within the
// memory and replica limits: the intent may still be open although its load order arrived long ago,
// and other artifacts may have taken the memory since.
func (p *Plan) needsRepeat(s *server, b *booking) bool {
	if b.orderInFlight || b.State != azurehitch.PlacementIntended {
		return false
	}
	_, hasDemand := p.demands[b.Artifact]
	fits := s.freeMemory() >= 0 && p.countReplicas(b.Artifact.Model) <= p.maxReplicas[b.Artifact.Model]
	return fits && (b.uncertain || len(b.openIntents) > 0 && hasDemand)
}

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

func sortedArtifacts[V any](m map[azurehitch.Artifact]V) []azurehitch.Artifact {
	return slices.SortedFunc(maps.Keys(m), compareArtifacts)
}

func compareArtifacts(a, b azurehitch.Artifact) int {
	return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.Version, b.Version), cmp.Compare(a.Adapter, b.Adapter))
}
