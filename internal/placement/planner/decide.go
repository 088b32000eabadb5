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

// Budget is what the holder may do now.
type Budget struct {
	// Slots are the loads from the weight store that may begin now.
	Slots map[azurehitch.Artifact]bool
	// LeaseValid is whether the holder's lease has not expired.
	LeaseValid bool
	// LogWorks is whether intents can be recorded.
	LogWorks bool
}

// need is a load that callers need next.
type need struct {
	artifact azurehitch.Artifact
	memory   azurehitch.ByteSize
	class    loadslots.Class
	deadline time.Time
	since    time.Time
}

// Decide returns the actions that are due and books them.
func (p *Plan) Decide(now time.Time, budget Budget) []Action {
	p.decidedAt = now
	p.slotWants = nil
	var actions []Action
	actions = append(actions, p.repeatUncertain(budget)...)
	actions = append(actions, p.drainLeaving(budget)...)
	actions = append(actions, p.lowerReplicas(budget)...)
	actions = append(actions, p.unloadIdle(now, budget)...)
	for _, n := range p.needs(now) {
		if action, ok := p.serve(n, now, budget); ok {
			actions = append(actions, action)
		}
	}
	for _, n := range p.wake(now) {
		if action, ok := p.placeAhead(n, now, budget); ok {
			actions = append(actions, action)
		}
	}
	return actions
}

// SlotWants returns the loads that the last decision would have begun with a slot of
// the weight store.
func (p *Plan) SlotWants() []loadslots.Want { return p.slotWants }

// needs returns the loads that callers need, the most urgent first: those of paying
// callers, then by deadline, then by the longest wait.
func (p *Plan) needs(now time.Time) []need {
	var needs []need
	for artifact, w := range p.wants {
		demand, current := w.total(now)
		if !current {
			delete(p.wants, artifact)
			continue
		}
		memory, known := p.memory(artifact)
		if known && !p.enough(artifact, demand) {
			needs = append(needs, need{
				artifact: artifact, memory: memory, class: p.classOf(artifact, demand.Tier), deadline: demand.Deadline, since: w.since,
			})
		}
	}
	slices.SortFunc(needs, func(a, b need) int { return loadslots.Compare(p.slotWant(a), p.slotWant(b)) })
	return needs
}

func (p *Plan) slotWant(n need) loadslots.Want {
	return loadslots.Want{
		Key:   loadslots.Key{Pool: p.pool.Name, Artifact: n.artifact},
		Class: n.class, Deadline: n.deadline, Since: n.since,
	}
}

func (p *Plan) classOf(artifact azurehitch.Artifact, tier tables.Tier) loadslots.Class {
	isFirst := len(p.Ready(artifact)) == 0
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

// serve returns the next action towards a need, if one is due. An adapter needs its
// model first.
func (p *Plan) serve(n need, now time.Time, budget Budget) (Action, bool) {
	if p.underWay(n.artifact) {
		return Action{}, false
	}
	if n.artifact.Adapter == "" {
		return p.placeModel(n, now, budget)
	}
	base := n.artifact.WithoutAdapter()
	if len(p.Ready(base)) > 0 {
		return p.placeAdapter(n, now, budget)
	}
	memory, known := p.memory(base)
	if !known || p.underWay(base) {
		return Action{}, false
	}
	n.artifact, n.memory = base, memory
	return p.placeModel(n, now, budget)
}

func (p *Plan) underWay(artifact azurehitch.Artifact) bool {
	for _, s := range p.servers {
		b, ok := s.bookings[artifact]
		if ok && !s.isGone() && (b.State == azurehitch.PlacementIntended || b.State == azurehitch.PlacementLoading) {
			return true
		}
	}
	return false
}

// enough reports whether the ready replicas suffice for the demand.
func (p *Plan) enough(artifact azurehitch.Artifact, demand Demand) bool {
	ready := len(p.Ready(artifact))
	if ready == 0 {
		return false
	}
	needed := (demand.Waiting + demand.InProgress + requestsPerReplica - 1) / requestsPerReplica
	return ready >= min(needed, p.maxReplicas[artifact.Model])
}

// replicas counts what may be loaded of a model, in all versions.
func (p *Plan) replicas(model string) int {
	count := 0
	for _, s := range p.servers {
		if s.isGone() {
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

// allReached reports whether this holder has reached each server once. Until
// then a former holder may have loaded, or still load, any model on the others,
// in several versions, so no replica is added.
func (p *Plan) allReached() bool {
	for _, s := range p.servers {
		if s.incarnation == "" && !s.isGone() && !sabotage.Active(sabotage.SkipUnreachedCount) {
			return false
		}
	}
	return true
}

// replicas returns the bookings of a model, without adapters.
func (s *server) replicas(model string) []*booking {
	var bookings []*booking
	for _, artifact := range sortedArtifacts(s.bookings) {
		if artifact.Model == model && artifact.Adapter == "" {
			bookings = append(bookings, s.bookings[artifact])
		}
	}
	return bookings
}

func (p *Plan) placeModel(n need, now time.Time, budget Budget) (Action, bool) {
	if !p.allReached() {
		return Action{}, false
	}
	if p.replicas(n.artifact.Model) >= p.maxReplicas[n.artifact.Model] {
		return p.evictOtherVersion(n, now, budget)
	}
	candidates := p.candidates(budget, func(s *server) bool { return s.bookings[n.artifact] == nil && s.AcceleratorMemory >= n.memory })
	return p.placeOnBest(candidates, n, now, budget)
}

func (p *Plan) placeAdapter(n need, now time.Time, budget Budget) (Action, bool) {
	base := n.artifact.WithoutAdapter()
	candidates := p.candidates(budget, func(s *server) bool { return s.bookings[n.artifact] == nil && s.isReady(base) })
	return p.placeOnBest(candidates, n, now, budget)
}

// candidates returns the servers that take orders and suit, in a stable order.
func (p *Plan) candidates(budget Budget, suits func(*server) bool) []*server {
	var candidates []*server
	for _, name := range p.names {
		s := p.servers[name]
		if s.accepts() && !s.foreign && p.mayOrder(s, budget) && suits(s) {
			candidates = append(candidates, s)
		}
	}
	return candidates
}

// mayOrder reports whether the holder may order loads and unloads now. An engine
// that keeps the token refuses this holder as soon as it has seen a later one, so
// it takes orders whatever the lease. One that forgets it at a restart would obey
// a superseded holder again, and one that ignores it always does.
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
	return budget.LeaseValid && budget.LogWorks
}

// placeOnBest loads where the checkpoint is nearest and room is largest; with no
// room anywhere, it evicts what was idle longest. What is lent to trials counts as
// room for a paying caller. A load from the weight store waits for a slot.
func (p *Plan) placeOnBest(candidates []*server, n need, now time.Time, budget Budget) (Action, bool) {
	slices.SortStableFunc(candidates, p.byPreference(n.artifact))
	paid := n.class.IsPaid()
	if !paid && p.lendable(now) < n.memory {
		return p.evictFor(candidates, n, now)
	}
	for _, s := range candidates {
		if s.free() >= n.memory {
			return p.loadOn(s, n, now, budget)
		}
		if !paid {
			continue
		}
		if action, due := p.takeBack(s, n, now); due {
			return action, action.Kind != ""
		}
	}
	return p.evictFor(candidates, n, now)
}

// byPreference orders servers by how near a checkpoint lies, by how few replicas of the
// model their failure domain has, and by free memory.
func (p *Plan) byPreference(artifact azurehitch.Artifact) func(a, b *server) int {
	replicas := p.replicasByDomain(artifact.Model)
	return func(a, b *server) int {
		return cmp.Or(
			cmp.Compare(a.distance(artifact), b.distance(artifact)),
			cmp.Compare(replicas[a.FailureDomain], replicas[b.FailureDomain]),
			cmp.Compare(b.free(), a.free()),
		)
	}
}

func (p *Plan) replicasByDomain(model string) map[string]int {
	count := map[string]int{}
	for _, s := range p.servers {
		count[s.FailureDomain] += len(s.replicas(model))
	}
	return count
}

// loadOn begins a load, or wants a slot for it.
func (p *Plan) loadOn(s *server, n need, now time.Time, budget Budget) (Action, bool) {
	remote := s.distance(n.artifact) == distanceRemote
	if remote && !budget.Slots[n.artifact] {
		p.slotWants = append(p.slotWants, p.slotWant(n))
		return Action{}, false
	}
	return p.bookLoad(s, n, remote, now), true
}

const (
	distanceMemory = iota
	distanceDisk
	distanceRemote
)

// tier returns where the checkpoint of an artifact lies as seen from the server.
func (s *server) tier(artifact azurehitch.Artifact) azurehitch.CacheTier {
	return cmp.Or(s.cached[artifact], azurehitch.CacheTierRemote)
}

func (s *server) distance(artifact azurehitch.Artifact) int {
	switch s.cached[artifact] {
	case azurehitch.CacheTierMemory:
		return distanceMemory
	case azurehitch.CacheTierDisk:
		return distanceDisk
	}
	return distanceRemote
}

func (p *Plan) bookLoad(s *server, n need, remote bool, now time.Time) Action {
	s.bookings[n.artifact] = &booking{
		Placement: azurehitch.Placement{Artifact: n.artifact, State: azurehitch.PlacementIntended, Memory: n.memory},
		ordered:   true,
		changedAt: now,
		lastUsed:  now,
	}
	return Action{
		Kind: ActionLoad, Server: s.Name, Incarnation: s.incarnation, Artifact: n.artifact, Memory: n.memory,
		Remote: remote, Class: n.class, Tier: s.tier(n.artifact),
	}
}

func (p *Plan) bookUnload(s *server, b *booking) Action {
	b.State = azurehitch.PlacementUnloading
	b.ordered = true
	return Action{Kind: ActionUnload, Server: s.Name, Incarnation: s.incarnation, Artifact: b.Artifact, Memory: b.Memory}
}

// repeatUncertain orders again what may or may not have arrived, so that it
// becomes known. A load of what is loaded changes nothing.
func (p *Plan) repeatUncertain(budget Budget) []Action {
	var actions []Action
	for _, name := range p.names {
		s := p.servers[name]
		if !s.accepts() || !p.mayOrder(s, budget) {
			continue
		}
		for _, artifact := range sortedArtifacts(s.bookings) {
			b := s.bookings[artifact]
			if !p.needsRepeat(s, b) {
				continue
			}
			b.ordered = true
			b.repeated = true
			actions = append(actions, Action{
				Kind: ActionLoad, Server: name, Incarnation: s.incarnation, Artifact: artifact, Memory: b.Memory,
			})
		}
	}
	return actions
}

// needsRepeat reports whether a load is due again. It must fit without the order
// that may still arrive: an intent may have been left open although its order had
// arrived and its room was used for others since.
func (p *Plan) needsRepeat(s *server, b *booking) bool {
	if b.ordered || b.State != azurehitch.PlacementIntended {
		return false
	}
	_, wanted := p.wants[b.Artifact]
	fits := s.free() >= 0 && p.replicas(b.Artifact.Model) <= p.maxReplicas[b.Artifact.Model]
	return fits && (b.uncertain || len(b.intents) > 0 && wanted)
}

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

func sortedArtifacts[V any](m map[azurehitch.Artifact]V) []azurehitch.Artifact {
	return slices.SortedFunc(maps.Keys(m), compareArtifacts)
}

func compareArtifacts(a, b azurehitch.Artifact) int {
	return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.Version, b.Version), cmp.Compare(a.Adapter, b.Adapter))
}
