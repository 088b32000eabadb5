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
