// Package loadslots schedules loads from the weight store for the holders of all pools: it
// limits how many run concurrently, and grants the most urgent first.
//
// # Usage
//
//	scheduler := loadslots.NewScheduler(limits, now)
//	scheduler.Report(daemon, report, now)
//	scheduler.Decide(now)
//	answer := scheduler.Answer(daemon)
//
// A load reads the checkpoint of an artifact from the weight store into an engine. A grant, or
// load slot, is the permission to start one load. The holder of a pool is the daemon that
// holds its lease. One daemon, the holder of the lease Lease, runs the Scheduler behind a Server.
// Each daemon has a Client, which reports all requested and running loads of its pools and
// receives the grants. Each report replaces the previous one, so a lost message only costs
// time, and a new holder has the complete state after one round of reports.
//
// The limits are the numbers of loads that the store serves at full speed. Exceeding them
// only makes loads slower, so grants need no fencing: while no scheduler answers, each
// daemon loads one model at a time.
package loadslots

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"azurehitch"
	"azurehitch/internal/proof/sabotage"

	"golang.org/x/time/rate"
)

// Lease is the name of the lease whose holder schedules the loads. Pool names can't contain
// its first character, so it never collides with the lease of a pool.
const Lease = "@weight-store"

const (
	// reportValidity is how long a daemon's report counts without a new one. The scheduler then
	// drops the load requests and grants of the daemon.
	reportValidity = 3 * time.Second
	// unlimitedRate is the rate for a store that does not limit how often loads start.
	unlimitedRate = rate.Inf
)

// LoadKind is a kind of load that has its own limit at the store.
type LoadKind string

// The kinds of loads: base models and adapters.
const (
	LoadKindModel   LoadKind = "Model"
	LoadKindAdapter LoadKind = "Adapter"
)

// LoadKindOf returns the kind of load of an artifact.
func LoadKindOf(artifact azurehitch.Artifact) LoadKind {
	if artifact.Adapter != "" {
		return LoadKindAdapter
	}
	return LoadKindModel
}

// Class is the priority class of a load, by who waits for it. All loads of a class precede
// those of later classes.
type Class string

// The classes, most urgent first.
const (
	// ClassPaid is the first replica for paying callers that wait.
	ClassPaid Class = "Paid"
	// ClassPaidMore is an additional replica for paying callers.
	ClassPaidMore Class = "PaidMore"
	// ClassTrial is the first replica for trial callers that wait.
	ClassTrial Class = "Trial"
	// ClassTrialMore is an additional replica for trial callers.
	ClassTrialMore Class = "TrialMore"
	// ClassAhead is a preloaded replica that no caller waits for yet.
	ClassAhead Class = "Ahead"
)

var classOrder = []Class{ClassPaid, ClassPaidMore, ClassTrial, ClassTrialMore, ClassAhead}

// IsPaid reports whether the load serves paying callers.
func (c Class) IsPaid() bool {
	return c == ClassPaid || c == ClassPaidMore || sabotage.Active(sabotage.TrialsLikePaid)
}

func (c Class) rank() int {
	if sabotage.Active(sabotage.TrialsLikePaid) {
		return 0
	}
	return slices.Index(classOrder, c)
}

// Key identifies a load from the weight store. A pool has at most one such load of an artifact at a
// time.
type Key struct {
	Pool     string
	Artifact azurehitch.Artifact
}

// LoadRequest is a request of a pool to start a load.
type LoadRequest struct {
	Key
	Class Class
	// Deadline is when the first of the waiting callers must be refused; zero if no caller waits or
	// none has a deadline.
	Deadline time.Time
	// WaitingSince is when the demand for the artifact began, or when the preload was planned.
	WaitingSince time.Time
}

// Compare orders load requests by class, then by deadline (requests without one come last), then by
// waiting time, then by key.
func Compare(a, b LoadRequest) int {
	return cmp.Or(
		cmp.Compare(a.Class.rank(), b.Class.rank()),
		compareDeadlines(a.Deadline, b.Deadline),
		a.WaitingSince.Compare(b.WaitingSince),
		CompareKeys(a.Key, b.Key),
	)
}

// CompareKeys orders loads by pool and artifact name.
func CompareKeys(a, b Key) int {
	return cmp.Or(cmp.Compare(a.Pool, b.Pool), cmp.Compare(a.Artifact.String(), b.Artifact.String()))
}

func compareDeadlines(a, b time.Time) int {
	switch {
	case a.IsZero() && b.IsZero():
		return 0
	case a.IsZero():
		return 1
	case b.IsZero():
		return -1
	}
	return a.Compare(b)
}

// Loading is a load in progress. Class is the class that it was requested with.
type Loading struct {
	Key
	Class Class
}

// Report is the complete list of requested and running loads of the pools of one daemon.
type Report struct {
	// Sequence grows with each report of a daemon. Reports older than the latest are ignored.
	Sequence int64
	Requests []LoadRequest
	// Granted are the loads in Requests that the daemon knows to be granted. The scheduler answers
	// at once when it has a grant that is not among them.
	Granted []Key
	Loading []Loading
}

// Answer is the scheduler's answer to the report of a daemon.
type Answer struct {
	// Granted are the requested loads that may start.
	Granted []Key
	// Ahead is, for each requested load without a grant, the number of loads of its kind before it:
	// all granted loads, and the more urgent requests.
	Ahead map[Key]int
}

// Limits are the limits of the weight store.
type Limits struct {
	// Concurrent is the number of concurrent loads of each kind at full speed.
	Concurrent map[LoadKind]int
	// ModelsPerSecond is the rate at which model loads may start; 0 is unlimited.
	ModelsPerSecond float64
}

// NewLimits converts the limits that a store reports. At least one load of each kind is
// allowed.
func NewLimits(store azurehitch.WeightStoreLimits) Limits {
	return Limits{
		Concurrent: map[LoadKind]int{
			LoadKindModel:   max(store.ConcurrentLoads, 1),
			LoadKindAdapter: max(store.ConcurrentAdapterLoads, 1),
		},
		ModelsPerSecond: store.LoadsPerSecond,
	}
}

// unpaidLimit is the limit of concurrent loads of a kind for trial callers and preloads: half of all
// slots, so that the others stay free for paying callers.
func (l Limits) unpaidLimit(kind LoadKind) int { return l.Concurrent[kind] / 2 }

// daemonState is the last report of a daemon and its grants.
type daemonState struct {
	sequence   int64
	reportedAt time.Time
	requests   map[Key]LoadRequest
	// granted are the loads that have been granted or are running, with their class. Each occupies
	// a slot.
	granted map[Key]Class
}

// Scheduler decides which loads the daemons may start. It runs at the holder of Lease. It
// does no I/O and is not safe for concurrent use.
type Scheduler struct {
	limits       Limits
	startLimiter *rate.Limiter
	daemons      map[string]*daemonState
	// firstGrantAt is the earliest time of a grant.
	firstGrantAt time.Time
}

// NewScheduler returns a scheduler that makes no grant before firstGrantAt. It knows nothing of the
// loads that an earlier scheduler granted until the daemons report them, so they must do so by then.
func NewScheduler(limits Limits, firstGrantAt time.Time) *Scheduler {
	s := &Scheduler{startLimiter: rate.NewLimiter(unlimitedRate, 1), daemons: map[string]*daemonState{}, firstGrantAt: firstGrantAt}
	s.SetLimits(limits)
	return s
}

// SetLimits replaces the limits of the store. Loads that are granted already are not affected.
func (s *Scheduler) SetLimits(limits Limits) {
	s.limits = limits
	perSecond := unlimitedRate
	if limits.ModelsPerSecond > 0 {
		perSecond = rate.Limit(limits.ModelsPerSecond)
	}
	if s.startLimiter.Limit() != perSecond {
		s.startLimiter.SetLimit(perSecond)
	}
}

// Report replaces the state of a daemon by its report. A granted load frees its slot once the daemon
// reports it neither as requested nor as running.
func (s *Scheduler) Report(daemon string, report Report, now time.Time) {
	state, ok := s.daemons[daemon]
	if !ok {
		state = &daemonState{}
		s.daemons[daemon] = state
	}
	if report.Sequence < state.sequence {
		return
	}
	granted := map[Key]Class{}
	for _, loading := range report.Loading {
		granted[loading.Key] = loading.Class
	}
	requests := map[Key]LoadRequest{}
	for _, request := range report.Requests {
		requests[request.Key] = request
		if _, already := state.granted[request.Key]; already {
			granted[request.Key] = request.Class
		}
	}
	*state = daemonState{sequence: report.Sequence, reportedAt: now, requests: requests, granted: granted}
}

// Decide grants free slots to the most urgent load requests.
func (s *Scheduler) Decide(now time.Time) {
	s.expire(now)
	if now.Before(s.firstGrantAt) {
		return
	}
	for _, queued := range s.queue() {
		if s.isWithinLimits(queued.LoadRequest) && s.takeStart(queued.LoadRequest, now) {
			s.daemons[queued.daemon].granted[queued.Key] = queued.Class
		}
	}
}

// expire removes daemons whose last report has expired.
func (s *Scheduler) expire(now time.Time) {
	maps.DeleteFunc(s.daemons, func(_ string, state *daemonState) bool {
		return now.Sub(state.reportedAt) > reportValidity
	})
}

// queuedRequest is a load request without a grant, and the daemon that reported it.
type queuedRequest struct {
	LoadRequest
	daemon string
}

// queue returns the load requests without a grant, most urgent first.
func (s *Scheduler) queue() []queuedRequest {
	var queue []queuedRequest
	for daemon, state := range s.daemons {
		for key, request := range state.requests {
			if _, granted := state.granted[key]; !granted {
				queue = append(queue, queuedRequest{LoadRequest: request, daemon: daemon})
			}
		}
	}
	slices.SortFunc(queue, func(a, b queuedRequest) int {
		return cmp.Or(Compare(a.LoadRequest, b.LoadRequest), cmp.Compare(a.daemon, b.daemon))
	})
	return queue
}

// isWithinLimits reports whether one more load stays within the limit of its kind, and
// within unpaidLimit if it serves no paying caller.
func (s *Scheduler) isWithinLimits(request LoadRequest) bool {
	kind := LoadKindOf(request.Artifact)
	all, unpaid := s.countGranted(kind)
	if !request.Class.IsPaid() && unpaid >= s.limits.unpaidLimit(kind) {
		return false
	}
	return all < s.limits.Concurrent[kind]
}

// takeStart reports whether the rate limit ModelsPerSecond allows a load to start now. If it does, it
// counts the start. Adapters are not limited.
func (s *Scheduler) takeStart(request LoadRequest, now time.Time) bool {
	return LoadKindOf(request.Artifact) != LoadKindModel || s.startLimiter.AllowN(now, 1)
}

// countGranted counts the granted loads of a kind: all of them, and those for trial callers and
// preloads (unpaid).
func (s *Scheduler) countGranted(kind LoadKind) (all, unpaid int) {
	for _, state := range s.daemons {
		for key, class := range state.granted {
			if LoadKindOf(key.Artifact) != kind {
				continue
			}
			all++
			if !class.IsPaid() {
				unpaid++
			}
		}
	}
	return all, unpaid
}

// answerAll returns an answer that grants all load requests of a daemon. Only test builds use it, to
// check that tests notice the missing limits.
func (s *Scheduler) answerAll(daemon string) Answer {
	var answer Answer
	if state, ok := s.daemons[daemon]; ok {
		answer.Granted = slices.Collect(maps.Keys(state.requests))
	}
	return answer
}

// Answer returns which requested loads of a daemon are granted, and how many loads precede each of the
// others. It is empty for a daemon without a valid report.
func (s *Scheduler) Answer(daemon string) Answer {
	answer := Answer{Ahead: map[Key]int{}}
	state, ok := s.daemons[daemon]
	if !ok {
		return answer
	}
	for key := range state.requests {
		if _, granted := state.granted[key]; granted {
			answer.Granted = append(answer.Granted, key)
		}
	}
	slices.SortFunc(answer.Granted, CompareKeys)
	ahead := map[LoadKind]int{}
	for _, kind := range []LoadKind{LoadKindModel, LoadKindAdapter} {
		ahead[kind], _ = s.countGranted(kind)
	}
	for _, queued := range s.queue() {
		kind := LoadKindOf(queued.Artifact)
		if queued.daemon == daemon {
			answer.Ahead[queued.Key] = ahead[kind]
		}
		ahead[kind]++
	}
	return answer
}
