// Package planner decides which engines of a pool load and unload which artifacts.
//
// # Usage
//
//	plan := planner.New(planner.Scope{Pool: pool}, intents, now)
//	plan.Observe(server, report, now)
//	plan.SetDemand(daemon, artifact, demand, now)
//	for _, action := range plan.Decide(now, budget) { ... }
//	slots.SetRequests(pool, plan.SlotRequests())
//	plan.Finish(action, result, now)
//
// A Plan is the state of a pool's lease holder. It does no I/O: its input is events
// and the time, its output is actions. Each action is booked before it is returned,
// so that actions together never exceed a limit.
//
// # Terms
//
// The holder is the daemon that holds the lease of the pool. A booking is memory that
// the plan reserves on a server for an artifact, from before the load order until the
// engine no longer has the artifact. An intent is a log record that precedes a load on an
// engine that ignores fencing tokens. It shows later holders that the load may still
// arrive, and it is open until a resolution is recorded in the log. A cached server has the
// checkpoint of the model in memory or on disk. Trials are requests of free-trial callers.
// Borrowed memory holds artifacts that only trials use, until a paying caller needs it.
//
// sabotage.Active always returns false, except in test builds with the tag sabotage. These
// switch off one mechanism to check that its tests then fail.
//
// # What counts towards limits
//
// A replica and its memory count from before its load is ordered until the engine is
// known not to have it. A server that this holder has not reached may hold any
// replica, because a former holder's load may still be in progress there. So no
// replica is added until each server has been reached once or is removed.
package planner

import (
	"time"

	"azurehitch"
	"azurehitch/internal/configuration/tables"
	"azurehitch/internal/lease/leaselog"
	"azurehitch/internal/placement/keepalive"
	"azurehitch/internal/placement/loadslots"
	"azurehitch/internal/proof/sabotage"
)

const (
	// minKeepTime is how long an artifact stays loaded at least after its last use, so that two
	// models don't evict each other in turn.
	minKeepTime = 2 * time.Second
	// minUseGap is the pause after which a use counts as a new one. Daemons report a continuous
	// use once a second.
	minUseGap = 2 * time.Second
	// requestsPerReplica is the number of waiting and running requests that one replica covers. A
	// demand above this number per ready replica loads another one.
	requestsPerReplica = 16
	// orderBackoff is how long a server gets no orders after a failed one. Without it, an order
	// that fails at once is repeated without end.
	orderBackoff = 500 * time.Millisecond
	// recordRetryInterval is how often recording a resolution or an emptied server is retried.
	recordRetryInterval = time.Second
	// uncertainTimeout is how long the outcome of an order may be unknown before the holder needs
	// a new token.
	uncertainTimeout = 3 * time.Second
	// demandTTL is how long a reported demand counts.
	demandTTL = 3 * time.Second
)

// ActionKind is the kind of an action.
type ActionKind string

// The kinds of actions.
const (
	ActionLoad   ActionKind = "Load"
	ActionUnload ActionKind = "Unload"
)

// Action is a load or unload order to a server.
type Action struct {
	Kind   ActionKind
	Server string
	// Incarnation is the engine incarnation that the decision was made for. The order must not
	// reach a later one, which may have forgotten the tokens that it saw.
	Incarnation string
	Artifact    azurehitch.Artifact
	Memory      azurehitch.ByteSize
	// Remote is true for a load from the weight store, which uses the slot granted for it.
	Remote bool
	// Class is the priority of a load, by who waits for it. Tier is where the server gets the
	// checkpoint from; empty for unloads and repeated loads.
	Class loadslots.Class
	Tier  azurehitch.CacheTier
	// Preempt is true if an unload cancels the requests of trials in progress instead of waiting
	// for their end.
	Preempt bool
}

// Outcome is how an action ended.
type Outcome string

// The outcomes.
const (
	// OutcomeDone means that the engine has carried out the order.
	OutcomeDone Outcome = "Done"
	// OutcomeRefused means that the order was not and will not be carried out.
	OutcomeRefused Outcome = "Refused"
	// OutcomeUnknown means that the order may have been carried out, or still may be.
	OutcomeUnknown Outcome = "Unknown"
)

// Result is the outcome of an action and the order sent for it.
type Result struct {
	Outcome Outcome
	// Incarnation is the engine incarnation that the order was sent to.
	Incarnation string
	// Intent is the log offset of the intent recorded before the order; 0 means none.
	Intent int64
}

// Plan is the state of a pool's holder. It is not safe for concurrent use.
type Plan struct {
	pool tables.Pool
	// memories is the accelerator memory that each artifact of the pool needs.
	memories map[azurehitch.Artifact]azurehitch.ByteSize
	// maxReplicas is the replica limit of each model of the pool, over all its versions.
	maxReplicas map[string]int
	servers     map[string]*server
	// serverNames holds the sorted names of the servers.
	serverNames []string
	demands     map[azurehitch.Artifact]*artifactDemand
	// lastUsed, lastPaidUse and histories survive the unloading of an artifact. lastPaidUse is
	// when a paying caller last used it.
	lastUsed    map[azurehitch.Artifact]time.Time
	lastPaidUse map[azurehitch.Artifact]time.Time
	histories   map[azurehitch.Artifact]keepalive.History
	// profiles holds the times of day at which models are used. preloads holds the models to load
	// ahead of demand, with the time until which they stay loaded without a use.
	profiles          map[azurehitch.Artifact]keepalive.Profile
	preloads          map[azurehitch.Artifact]time.Time
	preloadsPlannedAt time.Time
	// poolHistory holds the gaps between uses of all artifacts of the pool.
	poolHistory keepalive.History
	// emptiedTriedAt is when recording that a retired server is empty was last tried.
	emptiedTriedAt map[string]time.Time
	// loadTimes holds the average load times of models by cache tier.
	loadTimes loadTimes
	// resolvable holds the intents whose order has arrived or can no longer arrive, with the time
	// at which recording their resolution was last tried.
	resolvable map[int64]time.Time
	// decidedAt is the time of the decision in progress.
	decidedAt time.Time
	// slotRequests holds the loads that the last decision could not start without a slot.
	slotRequests []loadslots.LoadRequest
}

// New returns the plan of a new holder, which has reached no server yet. It adopts the intents of
// the pool that are open at this time.
func New(scope Scope, intents []leaselog.Intent, now time.Time) *Plan {
	p := &Plan{
		servers:        map[string]*server{},
		demands:        map[azurehitch.Artifact]*artifactDemand{},
		lastUsed:       map[azurehitch.Artifact]time.Time{},
		lastPaidUse:    map[azurehitch.Artifact]time.Time{},
		histories:      map[azurehitch.Artifact]keepalive.History{},
		profiles:       map[azurehitch.Artifact]keepalive.Profile{},
		preloads:       map[azurehitch.Artifact]time.Time{},
		emptiedTriedAt: map[string]time.Time{},
		loadTimes:      loadTimes{},
		resolvable:     map[int64]time.Time{},
	}
	p.SetScope(scope)
	for _, intent := range intents {
		p.adopt(intent, now)
	}
	return p
}

// adopt books the load of an intent that a former holder recorded, since its order may have arrived
// or may still arrive. Intents for servers out of the scope are ignored.
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
	b.openIntents = append(b.openIntents, intent.Offset)
}
