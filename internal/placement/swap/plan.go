// Package swap decides which model engine loads and unloads what when many models share
// few servers, and which requests wait for a load.
//
// # Usage
//
//	plan := swap.New(limits, swap.DefaultSettings(), token)
//	plan.SetServers(servers, now)
//	plan.Observe(id, report)
//	verdict := plan.Ask(need, now)
//	for _, order := range plan.Decide(now) { ... }
//	plan.Finish(order, swap.OutcomeDone, now)
//
// A Plan is the state of the daemon that holds the lease of a service. It does no I/O:
// events and the time come in, orders and verdicts go out. Each order is booked before it
// is returned, so that no two orders together exceed the memory of a server.
//
// # What is scarce
//
// A load from the weight store takes seconds, and few run at full speed over all servers.
// It leaves a copy near the server, from which the model loads in well under a second. So
// a load from the weight store is an investment: it is spent on the models that are asked
// for most, and while nobody waits for one, on models that have no copy yet. A server
// carries out one order at a time, so a load from the weight store also holds up the quick
// swaps of its server.
package swap

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"azurehitch"
)

// Settings are the bounds and weights of the decisions.
type Settings struct {
	// RemoteLoads is the most loads from the weight store that run at once. Fewer run where
	// they are long, or were seen to slow each other.
	RemoteLoads int
	// LoadWindow is the span over which the rate of loads from the weight store is counted.
	LoadWindow time.Duration
	// SwapTime is what a swap takes beside the load itself.
	SwapTime time.Duration
	// QueueTime is the longest estimated wait for a load with which a request waits.
	QueueTime time.Duration
	// BusyRate is the number of requests a second from which a model keeps replicas.
	BusyRate float64
	// ReplicaLoad is the part of a server's slots up to which a replica is filled before
	// a further one is loaded.
	ReplicaLoad float64
	// RunTime is about how long a request runs on a server whose slots are all taken.
	RunTime time.Duration
	// AnswerPart is the part of the time of a request that is kept for the answer itself.
	AnswerPart float64
	// RemoteReplicaLoad is the part of the slots of its replicas that a model fills before a
	// further replica comes from the weight store.
	RemoteReplicaLoad float64
}

// DefaultSettings returns the settings of a service with nothing special.
func DefaultSettings() Settings {
	return Settings{
		RemoteLoads:       4,
		LoadWindow:        5 * time.Second,
		SwapTime:          300 * time.Millisecond,
		QueueTime:         14 * time.Second,
		BusyRate:          0.8,
		ReplicaLoad:       0.15,
		RunTime:           2500 * time.Millisecond,
		AnswerPart:        0.12,
		RemoteReplicaLoad: 0.6,
	}
}

const (
	// waiterTTL is how long a waiter counts that its daemon doesn't renew.
	waiterTTL = 2500 * time.Millisecond
	// demandTTL is how long the report of a daemon counts.
	demandTTL = 4 * time.Second
	// grantTTL is how long a grant counts that no report covers.
	grantTTL = 3 * time.Second
	// grantsPerToken is more than the grants under one token.
	grantsPerToken = 1 << 30
	// failurePause is how long a server gets no orders after one that failed.
	failurePause = 500 * time.Millisecond
	// listedTime is how long the copies of servers that were not reached yet may be missing from
	// the list.
	listedTime = 2 * time.Second
	// lostTime is how long a server may be unknown before its copies count no longer.
	lostTime = 6 * time.Second
	// idleBeforeUnload is how long a replica is idle before it makes room ahead of need.
	idleBeforeUnload = 400 * time.Millisecond
)

// Plan is the state of the holder. It is not safe for concurrent use.
type Plan struct {
	settings Settings
	limits   azurehitch.EngineLimits
	servers  map[string]*server
	// list is the servers by name.
	list []*server
	// settled is false while servers may be missing from the list.
	settled  bool
	models   map[string]*model
	waiters  queue
	daemons  map[string]*daemon
	progress progress
	index    index
	// remoteStarts are the starts of loads from the weight store in the last window.
	remoteStarts []time.Time
	share        remoteShare
	// listings counts the stays of servers on the list.
	listings int64
	// lastGrant is the number of the last grant.
	lastGrant int64
	// kept are the replicas of busy models that stay.
	kept    []Kept
	keptSet map[Replica]bool
	// released are the replicas that gave way to other models, and until when.
	released map[Replica]time.Time
}

// model is what is known of the use of a model.
type model struct {
	// asks is the number of requests that came for it since this daemon holds the lease.
	asks int
	// unmet is the number of them that found it loaded nowhere.
	unmet int
	rate  rate
	// starts are the requests that began at its servers.
	starts rate
	// turnedAway are the requests that were refused because its servers were full.
	turnedAway rate
	// aloneAt is when its only replica last kept others from their home.
	aloneAt time.Time
}

// New returns the plan of a new holder, which has reached no server yet. Its grants are
// numbered from its token on, so that they are above those of former holders.
func New(limits azurehitch.EngineLimits, settings Settings, token int64) *Plan {
	return &Plan{
		settings:  settings,
		settled:   true,
		lastGrant: token * grantsPerToken,
		limits:    limits,
		servers:   map[string]*server{},
		models:    map[string]*model{},
		waiters:   newQueue(),
		daemons:   map[string]*daemon{},
		progress:  newProgress(),
		released:  map[Replica]time.Time{},
	}
}

// SetLimits replaces the limits, as when the configuration changes.
func (p *Plan) SetLimits(limits azurehitch.EngineLimits) { p.limits = limits }

// SetServers replaces the list of servers. What is known of a server is kept while its
// incarnation stays.
func (p *Plan) SetServers(listed []azurehitch.FleetServer) {
	seen := map[string]bool{}
	for _, l := range listed {
		seen[l.ID] = true
		s, ok := p.servers[l.ID]
		if !ok || s.Incarnation != l.Incarnation || s.Address != l.Address {
			p.listings++
			s = newServer(p.listings)
			p.servers[l.ID] = s
		}
		s.list(l)
	}
	for id := range p.servers {
		if !seen[id] {
			delete(p.servers, id)
		}
	}
	p.index.invalidate()
	p.list = slices.SortedFunc(maps.Values(p.servers), func(a, b *server) int { return cmp.Compare(a.ID, b.ID) })
}

// SetSettled tells whether the list of servers is complete. While it is not, a model may have
// copies at servers that are not listed: nothing is loaded from the weight store.
func (p *Plan) SetSettled(settled bool) { p.settled = settled }

// Unknown returns the servers that were not reached yet, in order.
func (p *Plan) Unknown() []azurehitch.ServerIdentity {
	var unknown []azurehitch.ServerIdentity
	for _, s := range p.list {
		if !s.known && !s.leaving {
			unknown = append(unknown, s.ServerIdentity)
		}
	}
	return unknown
}

// Observe takes in the report of a server. While orders of this holder are under way there,
// the report may be older than what they have done, and is left out.
func (p *Plan) Observe(id azurehitch.ServerIdentity, report azurehitch.ServerReport) {
	s, ok := p.servers[id.ID]
	if !ok || s.ServerIdentity != id || s.order != nil || s.adapterOrders > 0 {
		return
	}
	s.observe(report)
	p.index.invalidate()
}

// Unreachable notes that a server gave no report.
func (p *Plan) Unreachable(id azurehitch.ServerIdentity, now time.Time) {
	if s, ok := p.servers[id.ID]; ok && s.ServerIdentity == id {
		s.known = false
		s.failedAt = now
	}
}

func (p *Plan) model(name string) *model {
	m, ok := p.models[name]
	if !ok {
		m = &model{}
		p.models[name] = m
	}
	return m
}

// replicas returns the servers on which a model takes new requests, by name.
func (p *Plan) replicas(name string) []*server {
	var found []*server
	for _, s := range p.holdersOf(name) {
		if s.replicas[name].state == stateReady && s.takesRequests() {
			found = append(found, s)
		}
	}
	return found
}
