// Package swap decides which models the model engines load and unload when many models share
// few servers, and which requests wait for a load.
//
// # Usage
//
//	plan := swap.New(limits, swap.DefaultSettings(), token)
//	plan.SetServers(servers)
//	plan.Observe(id, report)
//	verdict := plan.Submit(request, now)
//	for _, order := range plan.Decide(now) { ... }
//	plan.Finish(order, swap.OutcomeDone, now)
//
// A Plan is the state of the holder, the daemon that holds the lease of a service. It does no I/O:
// events and the current time are passed in, orders and verdicts are returned. An order tells a
// server to load or unload a model or an adapter. The plan books each order before returning it:
// the memory for a load counts as used at once, so that concurrent orders never exceed the memory
// of a server. A verdict is the decision on a request; a grant is the part of it that names the
// server to which the daemon may send the request.
//
// A replica is a model on a server. A cached server has the checkpoint of a model in its memory or
// on its disk. A server is known if it has reported its state and carries out no order unknown to
// the holder. Daemons use a pinned replica without asking the holder.
//
// # Cost of loads
//
// A load from the weight store takes seconds, and the store serves only a few at full speed for all
// servers together. It leaves a cached checkpoint on the server, from which the model loads in well
// under a second. Loads from the weight store therefore go to the most requested models first and,
// while no request waits for one, to models without a cached checkpoint. A server carries out one
// order at a time, so a load from the weight store also delays the quick swaps of its server.
package swap

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"azurehitch"
	"azurehitch/internal/forward/priority"
	"azurehitch/internal/placement/speed"
)

// Settings are the limits and thresholds of the decisions.
type Settings struct {
	// MaxRemoteLoads is the maximum number of concurrent loads from the weight store. Fewer run if
	// the loads are long or have been observed to slow each other down.
	MaxRemoteLoads int
	// RemoteLoadWindow is the time over which EngineLimits.RemoteLoadsPerSecond is averaged.
	RemoteLoadWindow time.Duration
	// SwapOverhead is the duration of a swap beside the load itself.
	SwapOverhead time.Duration
	// MaxWait is the longest estimated wait for a replica; requests with a longer estimate are
	// refused.
	MaxWait time.Duration
	// BusyRate is the number of requests per second from which replicas of a model are pinned.
	BusyRate float64
	// ReplicaLoad is the share of a server's slots that the requests for a model may take per
	// replica before a further replica is loaded.
	ReplicaLoad float64
	// RunTime is the approximate run time of a request on a server whose slots are all taken.
	RunTime time.Duration
	// AnswerTimeShare is the share of the time from a request's arrival to its deadline that is
	// reserved for the answer. A request is refused if its estimated wait leaves less.
	AnswerTimeShare float64
	// RemoteReplicaLoad is the share of the slots of its replicas that a model fills before a
	// further replica is loaded from the weight store.
	RemoteReplicaLoad float64
}

// DefaultSettings returns the settings for a service without special requirements.
func DefaultSettings() Settings {
	return Settings{
		MaxRemoteLoads:    4,
		RemoteLoadWindow:  5 * time.Second,
		SwapOverhead:      300 * time.Millisecond,
		MaxWait:           14 * time.Second,
		BusyRate:          0.8,
		ReplicaLoad:       0.15,
		RunTime:           2500 * time.Millisecond,
		AnswerTimeShare:   0.12,
		RemoteReplicaLoad: 0.6,
	}
}

const (
	// waiterTTL is how long a waiting request stays in the queue if its daemon does not repeat the
	// call.
	waiterTTL = 2500 * time.Millisecond
	// demandTTL is how long the requests in a daemon's demand report count as in progress if no
	// newer report arrives.
	demandTTL = 4 * time.Second
	// grantTTL is how long a grant counts as a request in progress if no demand report of its
	// daemon includes it.
	grantTTL = 3 * time.Second
	// grantsPerToken separates the grant numbers of consecutive fencing tokens. No holder issues
	// that many grants.
	grantsPerToken = 1 << 30
	// failureBackoff is how long a server gets no orders after a failure.
	failureBackoff = 500 * time.Millisecond
	// firstReportGrace is how long after a server became unknown the server list may still lack its
	// cached checkpoints.
	firstReportGrace = 2 * time.Second
	// lostAfter is how long a server may be unknown before its cached checkpoints no longer count.
	lostAfter = 6 * time.Second
	// idleBeforeUnload is how long a replica is idle before it is evicted ahead of demand.
	idleBeforeUnload = 400 * time.Millisecond
)

// Plan is the state of a lease holder. Servers are keyed by ID, models and daemons by name. A Plan
// is not safe for concurrent use.
type Plan struct {
	settings Settings
	limits   azurehitch.EngineLimits
	servers  map[string]*server
	// sortedServers are the servers sorted by ID.
	sortedServers []*server
	// listComplete is false while servers may be missing from the list.
	listComplete bool
	models       map[string]*model
	waiters      queue
	daemons      map[string]*daemon
	inProgress   requestCounts
	index        index
	// remoteStarts are the start times of loads from the weight store within the last
	// RemoteLoadWindow.
	remoteStarts []time.Time
	remoteLimit  remoteLimit
	// hasRateLimits is true if any rate limits were set by the last call of SetRateLimits.
	hasRateLimits bool
	// lastListingID is the ID of the last entry added to the server list.
	lastListingID int64
	// lastGrant is the number of the last grant.
	lastGrant int64
	// pinned are the replicas pinned by the last call of Decide; pinnedSet has the same for lookup.
	pinned    []PinnedReplica
	pinnedSet map[Replica]bool
	estimates estimates
	// speeds is how fast the servers are.
	speeds *speed.Table
	// awaited is as in AwaitedServers.
	awaited []string
	// draining maps each replica draining for eviction to the time at which the mark expires.
	draining map[Replica]time.Time
}

// model is the usage history of a model.
type model struct {
	// requests is the number of requests since this daemon acquired the lease.
	requests int
	// misses is the number of requests that found no ready replica.
	misses      int
	requestRate rate
	losses      losses
	// turns share the slots of its replicas between client accounts.
	turns *priority.Turns
	// startRate is the rate of requests started on its servers.
	startRate rate
	// refusalRate is the rate of requests refused for lack of capacity.
	refusalRate rate
	// lastBlockingAt is when a pinned replica of this model was last found to keep another model
	// off a cached server.
	lastBlockingAt time.Time
}

// New returns the plan of a new holder, to which all servers are unknown. Grants are numbered from
// the fencing token, so that their numbers exceed those of former holders.
func New(limits azurehitch.EngineLimits, settings Settings, token int64) *Plan {
	return &Plan{
		settings:     settings,
		listComplete: true,
		lastGrant:    token * grantsPerToken,
		limits:       limits,
		servers:      map[string]*server{},
		models:       map[string]*model{},
		waiters:      newQueue(),
		daemons:      map[string]*daemon{},
		inProgress:   newRequestCounts(),
		draining:     map[Replica]time.Time{},
		speeds:       speed.NewTable(),
		estimates:    estimates{},
	}
}

// SetLimits replaces the engine limits after a change of the configuration.
func (p *Plan) SetLimits(limits azurehitch.EngineLimits) { p.limits = limits }

// SetServers replaces the server list. The state of a server is kept as long as its incarnation and
// address stay the same.
func (p *Plan) SetServers(listed []azurehitch.FleetServer) {
	seen := map[string]bool{}
	for _, l := range listed {
		seen[l.ID] = true
		s, ok := p.servers[l.ID]
		if !ok || s.Incarnation != l.Incarnation || s.Address != l.Address {
			p.lastListingID++
			s = newServer(p.lastListingID)
			p.servers[l.ID] = s
		}
		s.applyListing(l)
	}
	for id := range p.servers {
		if !seen[id] {
			delete(p.servers, id)
		}
	}
	p.index.invalidate()
	p.sortedServers = slices.SortedFunc(maps.Values(p.servers), func(a, b *server) int { return cmp.Compare(a.ID, b.ID) })
}

// SetListComplete sets whether the server list is complete. While it is not, unlisted servers may
// have cached checkpoints, so nothing is loaded from the weight store.
func (p *Plan) SetListComplete(complete bool) { p.listComplete = complete }

// UnknownServers returns the servers whose state has to be read, sorted by ID.
func (p *Plan) UnknownServers() []azurehitch.ServerIdentity {
	var unknown []azurehitch.ServerIdentity
	for _, s := range p.sortedServers {
		if !s.known && !s.shuttingDown {
			unknown = append(unknown, s.ServerIdentity)
		}
	}
	return unknown
}

// Observe applies the report of a server. It ignores the report while orders of this holder are in
// progress on the server, since the report may predate their effects.
func (p *Plan) Observe(id azurehitch.ServerIdentity, report azurehitch.ServerReport) {
	s, ok := p.servers[id.ID]
	if !ok || s.ServerIdentity != id || s.modelOrder != nil || s.adapterOrders > 0 {
		return
	}
	s.applyReport(report)
	p.index.invalidate()
}

// MarkUnreachable records that a server could not be reached for a report.
func (p *Plan) MarkUnreachable(id azurehitch.ServerIdentity, now time.Time) {
	if s, ok := p.servers[id.ID]; ok && s.ServerIdentity == id {
		s.known = false
		s.lastFailure = now
	}
}

func (p *Plan) model(name string) *model {
	m, ok := p.models[name]
	if !ok {
		m = &model{losses: losses{}, turns: priority.NewTurns()}
		p.models[name] = m
	}
	return m
}

// readyServers returns the servers on which a model accepts new requests, sorted by ID.
func (p *Plan) readyServers(name string) []*server {
	var found []*server
	for _, s := range p.serversWith(name) {
		if s.replicas[name].state == stateReady && s.acceptsRequests() {
			found = append(found, s)
		}
	}
	return found
}
