package policy

import (
	"maps"
	"slices"
	"time"

	"azurehitch"
	"azurehitch/internal/configuration/tables"
	"azurehitch/internal/placement/loadslots"
	"azurehitch/internal/placement/planner"
)

// holder is one decision maker with the requests of its daemon.
type holder struct {
	*run
	name string
	plan *planner.Plan
	// slots schedules the loads of this holder.
	slots   *loadslots.Scheduler
	granted map[azurehitch.Artifact]bool
	loading map[loadslots.Key]loadslots.Class
	// retrying is true while a look at the queue of loads is due.
	retrying bool
	waiting  map[use][]*waiter
	active   map[use]int
}

// use is an artifact as the callers of one tier use it.
type use struct {
	artifact azurehitch.Artifact
	tier     tables.Tier
}

func compareUses(a, b use) int {
	if order := compareArtifacts(a.artifact, b.artifact); order != 0 {
		return order
	}
	if a.tier == b.tier {
		return 0
	}
	if a.tier == tables.TierPaid {
		return -1
	}
	return 1
}

func sortedUses[V any](m map[use]V) []use { return slices.SortedFunc(maps.Keys(m), compareUses) }

func newHolder(r *run, name string) *holder {
	pool := r.scenario.pool(keepOf(r.scenario, r.policy))
	pool.WakeAhead = r.policy == Learned
	h := &holder{
		run: r, name: name,
		plan:    planner.New(planner.Scope{Pool: pool}, nil, r.clock()),
		slots:   loadslots.NewScheduler(r.scenario.limits(), r.clock()),
		loading: map[loadslots.Key]loadslots.Class{},
		waiting: map[use][]*waiter{},
		active:  map[use]int{},
	}
	states := map[string]azurehitch.HostState{}
	for _, server := range h.plan.Servers() {
		states[server.Name] = azurehitch.HostStateLive
	}
	h.plan.SetHosts(states)
	return h
}

func (h *holder) arrive(a arrival) {
	w := &waiter{arrival: a}
	k := use{artifact: a.artifact, tier: a.tier}
	h.waiting[k] = append(h.waiting[k], w)
	h.at(a.at+h.scenario.Deadline, func() { h.expire(w) })
	h.want(k)
	h.serveReady()
	h.decide()
}

// expire refuses a request at its deadline.
func (h *holder) expire(w *waiter) {
	if w.done {
		return
	}
	w.done = true
	h.ended(w, false)
	h.want(use{artifact: w.arrival.artifact, tier: w.arrival.tier})
}

func (h *holder) want(k use) {
	demand := planner.Demand{Tier: k.tier, InProgress: h.active[k]}
	for _, w := range h.waiting[k] {
		if w.done {
			continue
		}
		demand.Waiting++
		if deadline := time.Unix(0, 0).UTC().Add(w.arrival.at + h.scenario.Deadline); demand.Deadline.IsZero() || deadline.Before(demand.Deadline) {
			demand.Deadline = deadline
		}
	}
	if demand.Waiting+demand.InProgress > 0 {
		h.plan.Want(h.name, k.artifact, demand, h.clock())
	}
}

// serveReady starts the requests whose artifact is ready.
func (h *holder) serveReady() {
	for _, k := range sortedUses(h.waiting) {
		servers := h.plan.Ready(k.artifact)
		if len(servers) == 0 {
			continue
		}
		for _, w := range h.waiting[k] {
			if !w.done {
				h.start(w, servers[0].Name)
			}
		}
		delete(h.waiting, k)
	}
}

func (h *holder) start(w *waiter, server string) {
	w.done = true
	h.ended(w, true)
	k := use{artifact: w.arrival.artifact, tier: w.arrival.tier}
	h.active[k]++
	e := h.engines[server]
	e.begin(k.artifact)
	h.at(h.now+w.arrival.runTime, func() {
		if h.active[k]--; h.active[k] == 0 {
			delete(h.active, k)
		}
		e.end(k.artifact)
	})
}

// observe lets the plan read all engines, and renews what callers want.
func (h *holder) observe() {
	for _, name := range h.names {
		h.plan.Observe(name, planner.Report{State: h.engines[name].state(), StartedAt: h.clock()}, h.clock())
	}
	for _, k := range sortedUses(h.active) {
		h.want(k)
	}
	for _, k := range sortedUses(h.waiting) {
		h.waiting[k] = slices.DeleteFunc(h.waiting[k], func(w *waiter) bool { return w.done })
		if len(h.waiting[k]) == 0 {
			delete(h.waiting, k)
			continue
		}
		h.want(k)
	}
}

// isBusy reports whether requests wait or loads are under way.
func (h *holder) isBusy() bool { return len(h.waiting) > 0 || len(h.loading) > 0 }

// decide carries out what the plan decides.
func (h *holder) decide() {
	for again := true; again; {
		budget := planner.Budget{Slots: h.granted, LeaseValid: true, LogWorks: true}
		for _, action := range h.plan.Decide(h.clock(), budget) {
			h.execute(action)
		}
		again = h.schedule()
	}
}

// schedule reports to the scheduler of loads, and returns whether it granted any.
func (h *holder) schedule() bool {
	h.sequence++
	report := loadslots.Report{Sequence: int64(h.sequence), Wants: h.plan.SlotWants()}
	for _, key := range slices.SortedFunc(maps.Keys(h.loading), loadslots.CompareKeys) {
		report.Loading = append(report.Loading, loadslots.Loading{Key: key, Class: h.loading[key]})
	}
	h.slots.Report(h.name, report, h.clock())
	h.slots.Decide(h.clock())
	answer := h.slots.Answer(h.name)
	h.granted = map[azurehitch.Artifact]bool{}
	for _, key := range answer.Granted {
		h.granted[key.Artifact] = true
	}
	if len(answer.Ahead) > 0 && !h.retrying {
		h.retrying = true
		h.at(h.now+slotRetry, func() {
			h.retrying = false
			h.decide()
		})
	}
	return len(h.granted) > 0
}

func (h *holder) execute(action planner.Action) {
	if action.Kind == planner.ActionUnload {
		h.unload(action)
		return
	}
	e := h.engines[action.Server]
	key := loadslots.Key{Pool: h.scenario.Name, Artifact: action.Artifact}
	if action.Remote {
		h.loading[key] = action.Class
		delete(h.granted, action.Artifact)
	}
	outcome := planner.OutcomeRefused
	took := time.Duration(0)
	if h.reserve(e, action) {
		outcome, took = planner.OutcomeDone, h.loadTime(e, action)
	}
	h.at(h.now+took, func() {
		delete(h.loading, key)
		if outcome == planner.OutcomeDone {
			h.loaded(e, action)
		}
		h.plan.Finished(action, planner.Result{Outcome: outcome, Incarnation: action.Incarnation}, h.clock())
		h.serveReady()
		h.decide()
	})
}

func (h *holder) unload(action planner.Action) {
	e := h.engines[action.Server]
	p, ok := e.placements[action.Artifact]
	if ok && p.Active > 0 && action.Preempt {
		// The streams go on elsewhere; their waits are not modelled.
		h.result.TrialsMoved += p.Active
		p.Active = 0
	}
	if ok && p.Active > 0 {
		h.at(h.now+time.Second, func() { h.unload(action) })
		return
	}
	e.remove(action.Artifact)
	h.plan.Finished(action, planner.Result{Outcome: planner.OutcomeDone, Incarnation: action.Incarnation}, h.clock())
	h.at(h.now, h.decide)
}

// dropByKnowledge unloads what is not used again soon enough to be worth its idle
// time. It acts beside the plan, which sees the outcome in the next report.
func (h *holder) dropByKnowledge() {
	for _, name := range h.names {
		e := h.engines[name]
		for _, artifact := range sortedArtifacts(e.placements) {
			p := e.placements[artifact]
			if p.State != azurehitch.PlacementReady || p.Active > 0 || h.isAwaited(artifact) || e.hasAdapters(artifact) {
				continue
			}
			if next, ok := h.nextUse(artifact); !ok || next-h.now > h.scenario.ColdStartPrice {
				e.remove(artifact)
			}
		}
		h.plan.Observe(name, planner.Report{State: e.state(), StartedAt: h.clock().Add(time.Nanosecond)}, h.clock())
	}
}

func (h *holder) isAwaited(artifact azurehitch.Artifact) bool {
	for _, tier := range []tables.Tier{tables.TierPaid, tables.TierTrial} {
		if len(h.waiting[use{artifact: artifact, tier: tier}]) > 0 {
			return true
		}
	}
	return false
}
