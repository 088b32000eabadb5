package swap

import (
	"math"
	"slices"
	"time"

	"azurehitch"
	"azurehitch/internal/placement/speed"
)

// rateWindow is the time constant of the moving averages.
const rateWindow = 3 * time.Second

// rate is an exponential moving average of events per second.
type rate struct {
	value     float64
	updatedAt time.Time
}

// add counts n events.
func (r *rate) add(n int, now time.Time) {
	r.value = r.perSecond(now) + float64(n)/rateWindow.Seconds()
	r.updatedAt = now
}

// perSecond returns the average, decayed to now.
func (r *rate) perSecond(now time.Time) float64 {
	if r.updatedAt.IsZero() {
		return 0
	}
	return r.value * math.Exp(-now.Sub(r.updatedAt).Seconds()/rateWindow.Seconds())
}

// Request is a request for a replica of a model.
type Request struct {
	// ID identifies the request.
	ID     string
	Daemon string
	// FailureDomain is the failure domain of the daemon.
	FailureDomain string
	Model         string
	Adapter       string
	// PromptTokens is the length of the prompt; 0 if unknown.
	PromptTokens int
	// Objective is the time by which the answer should begin, and Deadline the time after which an
	// answer is useless.
	Objective time.Time
	Deadline  time.Time
	// Urgency is the rank of the request; 0 is the most urgent.
	Urgency int
	// Account is the name of the client account that sent the request; empty without accounts.
	Account string
	// Avoid are the servers on which the request has failed.
	Avoid []string
	// SoftwareVersion restricts the request to the servers of a version.
	SoftwareVersion azurehitch.VersionBound
	// ShuttingDown are the servers that the daemon knows to be shutting down or removed. The daemon
	// may know this before the holder does.
	ShuttingDown []azurehitch.ServerIdentity
	// Backoffs are the servers that reject requests from the daemon, with the remaining backoff.
	Backoffs []azurehitch.ServerBackoff
}

// accepts reports whether the request may be granted a server: it has not failed there, and the server
// has the right software version.
func (n Request) accepts(s *server) bool {
	return n.SoftwareVersion.Allows(s.softwareVersion) && !slices.Contains(n.Avoid, s.ID)
}

// backoffAt returns the remaining backoff of the daemon at a server, and false if there is none.
func (n Request) backoffAt(server *server) (time.Duration, bool) {
	for _, b := range n.Backoffs {
		if b.Server.ID == server.ID {
			return b.Remaining, true
		}
	}
	return 0, false
}

// withoutBackoff returns the servers at which the daemon is not in backoff.
func (n Request) withoutBackoff(servers []*server) []*server {
	if len(n.Backoffs) == 0 {
		return servers
	}
	return slices.DeleteFunc(slices.Clone(servers), func(s *server) bool {
		_, backsOff := n.backoffAt(s)
		return backsOff
	})
}

// minBackoff returns the shortest remaining backoff of the daemon at the given servers. It returns
// false if there are no servers or the daemon may use at least one of them.
func (n Request) minBackoff(servers []*server) (time.Duration, bool) {
	shortest := time.Duration(math.MaxInt64)
	for _, s := range servers {
		remaining, backsOff := n.backoffAt(s)
		if !backsOff {
			return 0, false
		}
		shortest = min(shortest, remaining)
	}
	return shortest, len(servers) > 0
}

// Replica identifies a model on a server.
type Replica struct {
	Server string
	Model  string
}

// Demand is a daemon's report on its requests.
type Demand struct {
	// InProgress is the number of requests in progress at each replica.
	InProgress map[Replica]int
	// Arrivals counts, by model, the requests that the daemon placed without asking the holder
	// since its last report.
	Arrivals map[string]int
	// LastGrant is the number of the last grant included in InProgress.
	LastGrant int64
	// Pauses are the pauses in streams that the daemon observed since its last report.
	Pauses []speed.Observation
}

// DemandAnswer is the answer to a daemon's report: the pinned replicas, and the servers of AwaitedServers.
type DemandAnswer struct {
	Pinned  []PinnedReplica
	Awaited []string
}

// daemon is the last demand report of a daemon, and the grants issued to the daemon that the report
// does not include yet.
type daemon struct {
	demand     Demand
	reportedAt time.Time
	grants     []issuedGrant
}

type issuedGrant struct {
	number   int64
	replica  Replica
	issuedAt time.Time
}

// SetDemand applies the demand report of a daemon.
func (p *Plan) SetDemand(name string, demand Demand, now time.Time) {
	d := p.daemon(name)
	p.replaceDemand(d, demand)
	d.reportedAt = now
	p.dropGrants(d, func(g issuedGrant) bool { return g.number <= demand.LastGrant })
	p.addPauses(demand.Pauses, now)
	for name, n := range demand.Arrivals {
		m := p.model(name)
		m.requests += n
		m.requestRate.add(n, now)
		m.startRate.add(n, now)
	}
	for r, n := range demand.InProgress {
		if n > 0 {
			p.markUsed(r, now)
		}
	}
}

func (p *Plan) daemon(name string) *daemon {
	d, ok := p.daemons[name]
	if !ok {
		d = &daemon{}
		p.daemons[name] = d
	}
	return d
}

func (p *Plan) markUsed(r Replica, now time.Time) {
	s, ok := p.servers[r.Server]
	if !ok {
		return
	}
	if loaded, ok := s.replicas[r.Model]; ok {
		loaded.lastUsed = now
	}
}

// replaceDemand replaces the last demand report of a daemon, and updates the counts of requests in
// progress.
func (p *Plan) replaceDemand(d *daemon, demand Demand) {
	for r, n := range d.demand.InProgress {
		p.inProgress.add(r, -n)
	}
	for r, n := range demand.InProgress {
		p.inProgress.add(r, n)
	}
	d.demand = demand
}

// dropGrants removes the grants of a daemon for which shouldDrop returns true, and no longer counts
// them as requests in progress. Grants are dropped once a demand report includes them or they have
// expired.
func (p *Plan) dropGrants(d *daemon, shouldDrop func(g issuedGrant) bool) {
	d.grants = slices.DeleteFunc(d.grants, func(g issuedGrant) bool {
		if !shouldDrop(g) {
			return false
		}
		p.inProgress.add(g.replica, -1)
		return true
	})
}

// expireDemand drops demand reports older than demandTTL and grants older than grantTTL.
func (p *Plan) expireDemand(now time.Time) {
	for _, d := range p.daemons {
		if now.Sub(d.reportedAt) >= demandTTL {
			p.replaceDemand(d, Demand{})
		}
		p.dropGrants(d, func(g issuedGrant) bool { return now.Sub(g.issuedAt) >= grantTTL })
	}
}

// Grant permits a daemon to send a request to a server.
type Grant struct {
	Server azurehitch.ServerIdentity
	// SoftwareVersion is that of the server.
	SoftwareVersion string
	// Number identifies the grant in demand reports.
	Number int64
	// Tier is the cache tier from which the model was loaded while the request waited; empty if it
	// was loaded already.
	Tier azurehitch.CacheTier
	// RateLimited is true if the grant is counted in the rate limit of the server.
	RateLimited bool
}

// isOverloaded reports whether the requests for a model take more than RemoteReplicaLoad of the
// slots of its replicas, including those being loaded. This justifies another load from the weight
// store.
func (p *Plan) isOverloaded(name string, now time.Time) bool {
	servers := append(p.readyServers(name), p.loadingServers(name)...)
	return len(servers) > 0 && p.offeredLoad(name, now) > p.settings.RemoteReplicaLoad*p.usableSlots(servers, name, now)
}

// offeredLoad estimates how many requests for a model would be in progress or waiting if none had
// been refused for lack of capacity.
func (p *Plan) offeredLoad(name string, now time.Time) float64 {
	load := float64(p.requestCount(name))
	if m, ok := p.models[name]; ok {
		load += m.refusalRate.perSecond(now) * p.settings.RunTime.Seconds()
	}
	return load
}

// requestCount returns the number of requests for a model that are in progress or waiting.
func (p *Plan) requestCount(name string) int {
	return p.inProgress.models[name] + len(p.waiters.byModel[name])
}

const (
	// minStartRate is the number of request starts per second from which the run time of a model
	// can be estimated.
	minStartRate = 4
	// minRunTime and maxRunTime bound the estimated run time.
	minRunTime = 100 * time.Millisecond
	maxRunTime = 10 * time.Second
)

// runTime estimates how long a request for a model runs: by Little's law, the requests in progress
// divided by their start rate. It follows the load within a few seconds.
func (p *Plan) runTime(name string, now time.Time) time.Duration {
	starts := p.model(name).startRate.perSecond(now)
	if starts < minStartRate {
		return p.settings.RunTime
	}
	took := time.Duration(float64(p.inProgress.models[name]) / starts * float64(time.Second))
	return min(max(took, minRunTime), maxRunTime)
}
