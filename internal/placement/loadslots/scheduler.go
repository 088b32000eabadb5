// Package loadslots shares the weight store's speed between the holders of all
// pools: it decides which loads may be under way, the most urgent first.
//
// # Usage
//
//	scheduler := loadslots.NewScheduler(limits, now)
//	scheduler.Report(daemon, report, now)
//	scheduler.Decide(now)
//	answer := scheduler.Answer(daemon)
//
// One daemon, the holder of the lease Lease, runs the Scheduler behind a Server.
// Each daemon has a Client, which reports all that its pools want and load, and
// learns what was granted. A report replaces the one before it, so a lost message
// costs nothing but time, and a new holder knows all after one round of reports.
//
// The limits are those at which the store runs at full speed. To exceed them makes
// loads slower and breaks nothing, so grants need no fencing: while no scheduler
// answers, each daemon loads one model at a time.
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

// Lease is the name of the lease whose holder schedules the loads. Names of pools
// can't contain its first letter.
const Lease = "@weight-store"

const (
	// reportValidity is how long a daemon's report counts without a new one.
	reportValidity = 3 * time.Second
	// unlimitedRate stands for a store without a limit of loads that may start.
	unlimitedRate = rate.Inf
)

// Lane is a kind of load that the store limits by itself.
type Lane string

// The lanes.
const (
	LaneModel   Lane = "Model"
	LaneAdapter Lane = "Adapter"
)

// LaneOf returns the lane of an artifact.
func LaneOf(artifact azurehitch.Artifact) Lane {
	if artifact.Adapter != "" {
		return LaneAdapter
	}
	return LaneModel
}

// Class is who waits for a load. Loads of a class go before all of the later ones.
type Class string

// The classes, the most urgent first.
const (
	// ClassPaid is a paying caller that waits for the first replica.
	ClassPaid Class = "Paid"
	// ClassPaidMore is a further replica for paying callers.
	ClassPaidMore Class = "PaidMore"
	// ClassTrial is a trial that waits for the first replica.
	ClassTrial Class = "Trial"
	// ClassTrialMore is a further replica for trials.
	ClassTrialMore Class = "TrialMore"
	// ClassAhead is a replica that nobody waits for yet.
	ClassAhead Class = "Ahead"
)

var classOrder = []Class{ClassPaid, ClassPaidMore, ClassTrial, ClassTrialMore, ClassAhead}

// IsPaid reports whether paying callers gain by the load.
func (c Class) IsPaid() bool {
	return c == ClassPaid || c == ClassPaidMore || sabotage.Active(sabotage.TrialsLikePaid)
}

func (c Class) rank() int {
	if sabotage.Active(sabotage.TrialsLikePaid) {
		return 0
	}
	return slices.Index(classOrder, c)
}

// Key names a load.
type Key struct {
	Pool     string
	Artifact azurehitch.Artifact
}

// Want is a load that a pool would begin now.
type Want struct {
	Key
	Class Class
	// Deadline is when the first of the waiting requests has to be refused; zero if
	// nobody waits.
	Deadline time.Time
	Since    time.Time
}

// Compare orders wants by urgency, and names them apart.
func Compare(a, b Want) int {
	return cmp.Or(
		cmp.Compare(a.Class.rank(), b.Class.rank()),
		compareDeadlines(a.Deadline, b.Deadline),
		a.Since.Compare(b.Since),
		CompareKeys(a.Key, b.Key),
	)
}

// CompareKeys orders loads by name.
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

// Loading is a load that is under way.
type Loading struct {
	Key
	Class Class
}

// Report is all that the pools of one daemon want and load.
type Report struct {
	// Sequence grows with each report of a daemon; an older one is passed over.
	Sequence int64
	Wants    []Want
	// Granted are the wants that the daemon knows to be granted.
	Granted []Key
	Loading []Loading
}

// Answer is what the scheduler tells a daemon.
type Answer struct {
	// Granted are the wants that may begin.
	Granted []Key
	// Ahead is how many loads end or begin before each other want, by key.
	Ahead map[Key]int
}

// Limits are the limits of the store.
type Limits struct {
	// Concurrent is the number of loads at full speed.
	Concurrent map[Lane]int
	// ModelsPerSecond is the rate of model loads that may begin; 0 is unlimited.
	ModelsPerSecond float64
}

// NewLimits returns the limits that a store tells.
func NewLimits(store azurehitch.WeightStoreLimits) Limits {
	return Limits{
		Concurrent: map[Lane]int{
			LaneModel:   max(store.ConcurrentLoads, 1),
			LaneAdapter: max(store.ConcurrentAdapterLoads, 1),
		},
		ModelsPerSecond: store.LoadsPerSecond,
	}
}

// trialShare is how many loads of a lane trials may have under way, so that a
// paying caller finds a free place.
func (l Limits) trialShare(lane Lane) int { return l.Concurrent[lane] / 2 }

// daemonState is what a daemon reported and was granted.
type daemonState struct {
	sequence   int64
	reportedAt time.Time
	wants      map[Key]Want
	// granted are the loads that may be under way, with their class.
	granted map[Key]Class
}

// Scheduler is the state of the lease's holder. It does no I/O and is not safe for
// concurrent use.
type Scheduler struct {
	limits  Limits
	starts  *rate.Limiter
	daemons map[string]*daemonState
	// holdUntil is when the first grant may be made.
	holdUntil time.Time
}

// NewScheduler returns a scheduler that makes no grant before a time, by which the
// loads that an earlier one granted have been reported.
func NewScheduler(limits Limits, holdUntil time.Time) *Scheduler {
	s := &Scheduler{starts: rate.NewLimiter(unlimitedRate, 1), daemons: map[string]*daemonState{}, holdUntil: holdUntil}
	s.SetLimits(limits)
	return s
}

// SetLimits applies new limits of the store.
func (s *Scheduler) SetLimits(limits Limits) {
	s.limits = limits
	perSecond := unlimitedRate
	if limits.ModelsPerSecond > 0 {
		perSecond = rate.Limit(limits.ModelsPerSecond)
	}
	if s.starts.Limit() != perSecond {
		s.starts.SetLimit(perSecond)
	}
}

// Report takes in the report of a daemon. What was granted and is neither wanted nor
// under way any more is free again.
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
	wants := map[Key]Want{}
	for _, want := range report.Wants {
		wants[want.Key] = want
		if _, already := state.granted[want.Key]; already {
			granted[want.Key] = want.Class
		}
	}
	*state = daemonState{sequence: report.Sequence, reportedAt: now, wants: wants, granted: granted}
}

// Decide grants what is free to the most urgent wants.
func (s *Scheduler) Decide(now time.Time) {
	s.expire(now)
	if now.Before(s.holdUntil) {
		return
	}
	for _, w := range s.queue() {
		if s.mayGrant(w.Want) && s.mayStart(w.Want, now) {
			s.daemons[w.daemon].granted[w.Key] = w.Class
		}
	}
}

// expire forgets daemons that report no more.
func (s *Scheduler) expire(now time.Time) {
	maps.DeleteFunc(s.daemons, func(_ string, state *daemonState) bool {
		return now.Sub(state.reportedAt) > reportValidity
	})
}

type queuedWant struct {
	Want
	daemon string
}

// queue returns the wants that were not granted, the most urgent first.
func (s *Scheduler) queue() []queuedWant {
	var queue []queuedWant
	for daemon, state := range s.daemons {
		for key, want := range state.wants {
			if _, granted := state.granted[key]; !granted {
				queue = append(queue, queuedWant{Want: want, daemon: daemon})
			}
		}
	}
	slices.SortFunc(queue, func(a, b queuedWant) int {
		return cmp.Or(Compare(a.Want, b.Want), cmp.Compare(a.daemon, b.daemon))
	})
	return queue
}

// mayGrant reports whether a load keeps within the limits. Loads that serve no paying
// caller leave places free.
func (s *Scheduler) mayGrant(want Want) bool {
	lane := LaneOf(want.Artifact)
	all, unpaid := s.underWay(lane)
	if !want.Class.IsPaid() && unpaid >= s.limits.trialShare(lane) {
		return false
	}
	return all < s.limits.Concurrent[lane]
}

func (s *Scheduler) mayStart(want Want, now time.Time) bool {
	return LaneOf(want.Artifact) != LaneModel || s.starts.AllowN(now, 1)
}

// underWay counts the granted loads of a lane.
func (s *Scheduler) underWay(lane Lane) (all, unpaid int) {
	for _, state := range s.daemons {
		for key, class := range state.granted {
			if LaneOf(key.Artifact) != lane {
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

// all grants whatever a daemon wants.
func (s *Scheduler) all(daemon string) Answer {
	var answer Answer
	if state, ok := s.daemons[daemon]; ok {
		answer.Granted = slices.Collect(maps.Keys(state.wants))
	}
	return answer
}

// Answer returns what a daemon may begin, and how long its other wants have to wait.
func (s *Scheduler) Answer(daemon string) Answer {
	answer := Answer{Ahead: map[Key]int{}}
	state, ok := s.daemons[daemon]
	if !ok {
		return answer
	}
	for key := range state.wants {
		if _, granted := state.granted[key]; granted {
			answer.Granted = append(answer.Granted, key)
		}
	}
	slices.SortFunc(answer.Granted, CompareKeys)
	ahead := map[Lane]int{}
	for _, lane := range []Lane{LaneModel, LaneAdapter} {
		ahead[lane], _ = s.underWay(lane)
	}
	for _, w := range s.queue() {
		lane := LaneOf(w.Artifact)
		if w.daemon == daemon {
			answer.Ahead[w.Key] = ahead[lane]
		}
		ahead[lane]++
	}
	return answer
}
