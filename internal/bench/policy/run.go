package policy

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"azurehitch"
	"azurehitch/internal/configuration/tables"
	"azurehitch/internal/placement/loadslots"
	"azurehitch/internal/placement/planner"
)

const (
	fixedKeep   = 10 * time.Minute
	longestKeep = 2 * time.Hour
	// busyReport and idleReport are how often engines are read, with and without
	// waiting requests.
	busyReport = 2 * time.Second
	idleReport = 10 * time.Second
	// slotRetry is how often the queue of loads is looked at.
	slotRetry   = 200 * time.Millisecond
	adapterLoad = 7 * time.Millisecond
	// memoryLoad is the time of a load from the memory of the host.
	memoryLoad = 2 * time.Second
)

// run is the state of one run.
type run struct {
	timeline
	scenario Scenario
	policy   Policy
	engines  map[string]*fakeEngine
	// names are the engines in a stable order.
	names   []string
	holders []*holder
	// replicas counts the loaded replicas of each model, and remote the loads from the
	// weight store.
	replicas map[string]int
	remote   int
	future   map[azurehitch.Artifact][]time.Duration
	result   Result
}

type waiter struct {
	arrival arrival
	done    bool
}

// Run runs a scenario under a policy.
func Run(s Scenario, p Policy, seed uint64) Result {
	r := &run{
		scenario: s, policy: p,
		engines:  map[string]*fakeEngine{},
		replicas: map[string]int{},
		future:   map[azurehitch.Artifact][]time.Duration{},
		result:   Result{Scenario: s.Name, Policy: p, Seed: seed},
	}
	r.startEngines(rand.New(rand.NewPCG(seed, 1)))
	holders := 1
	if p == Uncoordinated {
		holders = uncoordinatedDaemons
	}
	for i := range holders {
		r.holders = append(r.holders, newHolder(r, fmt.Sprintf("daemon-%d", i+1)))
	}
	r.schedule(s.arrivals(seed))
	r.at(0, r.report)
	r.timeline.run(r.passes)
	slices.Sort(r.result.ColdStarts)
	slices.Sort(r.result.TrialWaits)
	return r.result
}

// schedule makes the requests arrive, each at the next daemon.
func (r *run) schedule(arrivals []arrival) {
	for i, a := range arrivals {
		h := r.holders[i%len(r.holders)]
		r.at(a.at, func() { h.arrive(a) })
		for _, used := range []azurehitch.Artifact{a.artifact, a.artifact.WithoutAdapter()} {
			r.future[used] = append(r.future[used], a.at)
		}
		switch {
		case !r.counts(a):
		case a.tier == tables.TierTrial:
			r.result.TrialRequests++
		default:
			r.result.Requests++
			r.result.Waits = append(r.result.Waits, 0)
		}
	}
}

// counts reports whether a request belongs to the figures.
func (r *run) counts(a arrival) bool { return a.at >= r.scenario.WarmUp }

// passes adds up what is idle until the next event.
func (r *run) passes(length time.Duration) {
	if r.now < r.scenario.WarmUp {
		return
	}
	for _, name := range r.names {
		r.result.IdleHours += length.Hours() * r.engines[name].idleShare()
	}
}

// ended counts the end of a request.
func (r *run) ended(w *waiter, served bool) {
	a := w.arrival
	wait := r.now - a.at
	switch {
	case !r.counts(a):
	case a.tier == tables.TierTrial && served:
		r.result.TrialServed++
		r.result.TrialWaits = append(r.result.TrialWaits, wait)
	case a.tier == tables.TierTrial:
		r.result.TrialRefused++
	default:
		r.endedPaid(a, wait, served)
	}
}

func (r *run) endedPaid(a arrival, wait time.Duration, served bool) {
	r.result.Waits[a.number] = wait
	if !served {
		r.result.Refused++
		return
	}
	r.result.Served++
	if wait > 0 {
		r.result.ColdStarts = append(r.result.ColdStarts, wait)
	}
	if wait > r.scenario.Deadline {
		r.result.Late++
	}
}

// report lets all plans read the engines, as holders do.
func (r *run) report() {
	next := idleReport
	for _, h := range r.holders {
		h.observe()
		if r.policy == Offline {
			h.dropByKnowledge()
		}
		h.serveReady()
		h.decide()
		if h.isBusy() {
			next = busyReport
		}
	}
	if r.now < r.scenario.Length+time.Hour {
		r.at(r.now+next, r.report)
	}
}

// reserve takes the memory of a load at an engine, and reports whether it has that.
func (r *run) reserve(e *fakeEngine, action planner.Action) bool {
	if !e.reserve(action.Artifact, action.Memory) {
		r.result.RefusedLoads++
		return false
	}
	if action.Remote && action.Artifact.Adapter == "" {
		r.remote++
		r.result.PeakRemoteLoads = max(r.result.PeakRemoteLoads, r.remote)
	}
	if action.Artifact.Adapter == "" {
		r.replicas[action.Artifact.Model]++
		if r.replicas[action.Artifact.Model] > 1 && r.now >= r.scenario.WarmUp {
			r.result.ExcessReplicas++
		}
	}
	if r.now >= r.scenario.WarmUp {
		r.result.Loads++
		if action.Class == loadslots.ClassAhead {
			r.result.LoadsAhead++
		}
	}
	return true
}

// loaded notes the end of a load.
func (r *run) loaded(e *fakeEngine, action planner.Action) {
	if action.Remote && action.Artifact.Adapter == "" {
		r.remote--
	}
	e.ready(action.Artifact)
}

// loadTime returns how long a load takes. More loads from the weight store than it
// takes at full speed slow each other down.
func (r *run) loadTime(e *fakeEngine, action planner.Action) time.Duration {
	switch {
	case action.Artifact.Adapter != "":
		return adapterLoad
	case e.cached[action.Artifact] == azurehitch.CacheTierMemory:
		return memoryLoad
	case e.cached[action.Artifact] == azurehitch.CacheTierDisk:
		return r.scenario.DiskLoad
	}
	crowd := max(r.remote, r.scenario.ConcurrentLoads)
	return r.scenario.RemoteLoad * time.Duration(crowd) / time.Duration(r.scenario.ConcurrentLoads)
}

func (r *run) nextUse(artifact azurehitch.Artifact) (time.Duration, bool) {
	uses := r.future[artifact]
	i, _ := slices.BinarySearch(uses, r.now)
	if i == len(uses) {
		return 0, false
	}
	return uses[i], true
}
