package policy

import (
	"container/heap"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"azurehitch"
	"azurehitch/internal/placement/loadslots"
	"azurehitch/internal/placement/planner"
)

// Policy is how long replicas are kept.
type Policy string

// The policies.
const (
	// Learned keeps each artifact as its own arrivals suggest.
	Learned Policy = "Learned"
	// Fixed keeps all for 10 minutes.
	Fixed Policy = "Fixed"
	// Never unloads only for room.
	Never Policy = "Never"
	// Offline knows the next arrival: it keeps a replica exactly if the price of a
	// cold start is higher than the idle time until then. It is the bound for
	// policies that load on demand.
	Offline Policy = "Offline"
)

// Policies lists all.
func Policies() []Policy { return []Policy{Learned, Fixed, Never, Offline} }

const (
	fixedKeep   = 10 * time.Minute
	longestKeep = 2 * time.Hour
	reportEvery = 2 * time.Second
	// slotRetry is how often the queue of loads is looked at.
	slotRetry   = 200 * time.Millisecond
	adapterLoad = 7 * time.Millisecond
	caller      = "daemon"
)

// Result is the figures of one run.
type Result struct {
	Scenario string
	Policy   Policy
	Seed     uint64
	Requests int
	// Served and Refused are the requests by their end; Late were neither by
	// their deadline.
	Served  int
	Refused int
	Late    int
	// ColdStarts are the waits of requests that found no replica ready, sorted.
	ColdStarts []time.Duration
	// IdleHours is the hours of whole servers that loaded replicas were idle.
	IdleHours float64
	Loads     int
}

// Quantile returns a quantile of the waits of all requests, those without a wait
// included.
func (r Result) Quantile(q float64) time.Duration {
	warm := r.Requests - len(r.ColdStarts)
	index := int(q*float64(r.Requests)) - warm
	if index < 0 || len(r.ColdStarts) == 0 {
		return 0
	}
	return r.ColdStarts[min(index, len(r.ColdStarts)-1)]
}

// event is something that happens at a time.
type event struct {
	at       time.Duration
	sequence int
	run      func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// run is the state of one run.
type run struct {
	scenario Scenario
	policy   Policy
	plan     *planner.Plan
	now      time.Duration
	events   eventQueue
	sequence int
	engines  map[string]*fakeEngine
	// names are the engines in a stable order.
	names   []string
	waiting map[azurehitch.Artifact][]*waiter
	active  map[azurehitch.Artifact]int
	future  map[azurehitch.Artifact][]time.Duration
	slots   *loadslots.Scheduler
	loading map[loadslots.Key]loadslots.Class
	granted map[azurehitch.Artifact]bool
	// retrying is true while a look at the queue of loads is due.
	retrying bool
	result   Result
}

type waiter struct {
	arrival arrival
	done    bool
}

// Run runs a scenario under a policy.
func Run(s Scenario, p Policy, seed uint64) Result {
	arrivals := s.arrivals(rand.New(rand.NewPCG(seed, 0)))
	r := &run{
		scenario: s, policy: p,
		engines: map[string]*fakeEngine{},
		waiting: map[azurehitch.Artifact][]*waiter{},
		active:  map[azurehitch.Artifact]int{},
		future:  map[azurehitch.Artifact][]time.Duration{},
		loading: map[loadslots.Key]loadslots.Class{},
		result:  Result{Scenario: s.Name, Policy: p, Seed: seed, Requests: len(arrivals)},
	}
	r.plan = planner.New(planner.Scope{Pool: s.pool(keepOf(s, p))}, nil, r.clock())
	r.slots = loadslots.NewScheduler(s.limits(), r.clock())
	r.startEngines(rand.New(rand.NewPCG(seed, 1)))
	for _, a := range arrivals {
		r.at(a.at, func() { r.arrive(a) })
		for _, used := range []azurehitch.Artifact{a.artifact, a.artifact.WithoutAdapter()} {
			r.future[used] = append(r.future[used], a.at)
		}
	}
	r.at(0, r.report)
	for len(r.events) > 0 {
		e := heap.Pop(&r.events).(event)
		r.advance(e.at)
		e.run()
	}
	slices.Sort(r.result.ColdStarts)
	return r.result
}

func keepOf(s Scenario, p Policy) (keep, price time.Duration) {
	switch p {
	case Learned:
		return longestKeep, s.ColdStartPrice
	case Fixed:
		return fixedKeep, 0
	}
	return 365 * day, 0
}

// clock returns the virtual time for the plan.
func (r *run) clock() time.Time { return time.Unix(0, 0).Add(r.now) }

func (r *run) at(t time.Duration, f func()) {
	r.sequence++
	heap.Push(&r.events, event{at: t, sequence: r.sequence, run: f})
}

// advance moves the time on and adds up what was idle.
func (r *run) advance(to time.Duration) {
	step := to - r.now
	for _, name := range r.names {
		r.result.IdleHours += step.Hours() * r.engines[name].idleShare()
	}
	r.now = to
}

func (r *run) arrive(a arrival) {
	w := &waiter{arrival: a}
	r.waiting[a.artifact] = append(r.waiting[a.artifact], w)
	r.at(a.at+r.scenario.Deadline, func() { r.expire(w) })
	r.want(a.artifact)
	r.serveReady()
	r.decide()
}

// expire refuses a request at its deadline.
func (r *run) expire(w *waiter) {
	if w.done {
		return
	}
	w.done = true
	r.result.Refused++
	r.want(w.arrival.artifact)
}

func (r *run) want(artifact azurehitch.Artifact) {
	waiting := 0
	for _, w := range r.waiting[artifact] {
		if !w.done {
			waiting++
		}
	}
	if demand := (planner.Demand{Waiting: waiting, InProgress: r.active[artifact]}); demand != (planner.Demand{}) {
		r.plan.Want(caller, artifact, demand, r.clock())
	}
}

// serveReady starts the requests whose artifact is ready.
func (r *run) serveReady() {
	for _, artifact := range sortedArtifacts(r.waiting) {
		servers := r.plan.Ready(artifact)
		if len(servers) == 0 {
			continue
		}
		for _, w := range r.waiting[artifact] {
			if !w.done {
				r.start(w, servers[0].Name)
			}
		}
		delete(r.waiting, artifact)
	}
}

func (r *run) start(w *waiter, server string) {
	w.done = true
	r.result.Served++
	if wait := r.now - w.arrival.at; wait > 0 {
		r.result.ColdStarts = append(r.result.ColdStarts, wait)
		if wait > r.scenario.Deadline {
			r.result.Late++
		}
	}
	artifact := w.arrival.artifact
	r.active[artifact]++
	r.engines[server].begin(artifact)
	r.at(r.now+w.arrival.runTime, func() {
		r.active[artifact]--
		r.engines[server].end(artifact)
	})
}

// report lets the plan read all engines, as a holder does.
func (r *run) report() {
	for _, name := range r.names {
		r.plan.Observe(name, planner.Report{State: r.engines[name].state(), StartedAt: r.clock()}, r.clock())
	}
	for _, artifact := range sortedArtifacts(r.active) {
		r.want(artifact)
	}
	for _, artifact := range sortedArtifacts(r.waiting) {
		r.want(artifact)
	}
	if r.policy == Offline {
		r.dropByKnowledge()
	}
	r.serveReady()
	r.decide()
	if r.now < r.scenario.Length+time.Hour {
		r.at(r.now+reportEvery, r.report)
	}
}

// decide carries out what the plan decides.
func (r *run) decide() {
	for again := true; again; {
		budget := planner.Budget{Slots: r.granted, LeaseValid: true, LogWorks: true}
		for _, action := range r.plan.Decide(r.clock(), budget) {
			r.execute(action)
		}
		again = r.schedule()
	}
}

// schedule reports to the scheduler of loads, and returns whether it granted any.
func (r *run) schedule() bool {
	r.sequence++
	report := loadslots.Report{Sequence: int64(r.sequence), Wants: r.plan.SlotWants()}
	for _, key := range slices.SortedFunc(maps.Keys(r.loading), loadslots.CompareKeys) {
		report.Loading = append(report.Loading, loadslots.Loading{Key: key, Class: r.loading[key]})
	}
	r.slots.Report(caller, report, r.clock())
	r.slots.Decide(r.clock())
	answer := r.slots.Answer(caller)
	r.granted = map[azurehitch.Artifact]bool{}
	for _, key := range answer.Granted {
		r.granted[key.Artifact] = true
	}
	if len(answer.Ahead) > 0 && !r.retrying {
		r.retrying = true
		r.at(r.now+slotRetry, func() {
			r.retrying = false
			r.decide()
		})
	}
	return len(r.granted) > 0
}

func (r *run) execute(action planner.Action) {
	e := r.engines[action.Server]
	if action.Kind == planner.ActionUnload {
		r.unload(action)
		return
	}
	r.result.Loads++
	e.reserve(action.Artifact, action.Memory)
	key := loadslots.Key{Pool: r.scenario.Name, Artifact: action.Artifact}
	if action.Remote {
		r.loading[key] = loadslots.ClassPaid
		delete(r.granted, action.Artifact)
	}
	r.at(r.now+r.loadTime(e, action), func() {
		delete(r.loading, key)
		e.ready(action.Artifact)
		r.plan.Finished(action, planner.Result{Outcome: planner.OutcomeDone, Incarnation: action.Incarnation}, r.clock())
		r.serveReady()
		r.decide()
	})
}

func (r *run) unload(action planner.Action) {
	e := r.engines[action.Server]
	if e.placements[action.Artifact].Active > 0 {
		r.at(r.now+time.Second, func() { r.unload(action) })
		return
	}
	delete(e.placements, action.Artifact)
	r.plan.Finished(action, planner.Result{Outcome: planner.OutcomeDone, Incarnation: action.Incarnation}, r.clock())
	r.at(r.now, r.decide)
}

func (r *run) loadTime(e *fakeEngine, action planner.Action) time.Duration {
	switch {
	case action.Artifact.Adapter != "":
		return adapterLoad
	case e.cached[action.Artifact] == azurehitch.CacheTierDisk:
		return r.scenario.DiskLoad
	}
	return r.scenario.RemoteLoad
}

// dropByKnowledge unloads what is not used again soon enough to be worth its idle
// time. It acts beside the plan, which sees the outcome in the next report.
func (r *run) dropByKnowledge() {
	for _, name := range r.names {
		e := r.engines[name]
		for _, artifact := range sortedArtifacts(e.placements) {
			p := e.placements[artifact]
			if p.State != azurehitch.PlacementReady || p.Active > 0 || len(r.waiting[artifact]) > 0 || e.hasAdapters(artifact) {
				continue
			}
			if next, ok := r.nextUse(artifact); !ok || next-r.now > r.scenario.ColdStartPrice {
				delete(e.placements, artifact)
			}
		}
		r.plan.Observe(name, planner.Report{State: e.state(), StartedAt: r.clock().Add(time.Nanosecond)}, r.clock())
	}
}

func (r *run) nextUse(artifact azurehitch.Artifact) (time.Duration, bool) {
	uses := r.future[artifact]
	i, _ := slices.BinarySearch(uses, r.now)
	if i == len(uses) {
		return 0, false
	}
	return uses[i], true
}
