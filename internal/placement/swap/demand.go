package swap

import (
	"math"
	"slices"
	"time"

	"azurehitch"
)

// rateWindow is the time constant of the moving average of arrivals.
const rateWindow = 3 * time.Second

// rate is a moving average of arrivals a second.
type rate struct {
	value float64
	at    time.Time
}

// add counts arrivals.
func (r *rate) add(n int, now time.Time) {
	r.value = r.now(now) + float64(n)/rateWindow.Seconds()
	r.at = now
}

// now returns the average, decayed to a time.
func (r *rate) now(now time.Time) float64 {
	if r.at.IsZero() {
		return 0
	}
	return r.value * math.Exp(-now.Sub(r.at).Seconds()/rateWindow.Seconds())
}

// Need is a request that needs a model.
type Need struct {
	// ID names the request.
	ID     string
	Daemon string
	// FailureDomain is that of the daemon.
	FailureDomain string
	Model         string
	Adapter       string
	// PromptTokens is the length of the prompt; 0 is unknown.
	PromptTokens int
	// Objective is until when an answer is on time, and Deadline until when it is of use.
	Objective time.Time
	Deadline  time.Time
	// Urgency is the rank of its route; 0 is the most urgent.
	Urgency int
	// Avoid are the servers that failed the request.
	Avoid []string
	// Left are the servers that leave or are gone by what the daemon knows, which may be newer
	// than what the holder does.
	Left []azurehitch.ServerIdentity
	// Resting are the servers that take no requests of the daemon now.
	Resting []azurehitch.ServerRest
}

// rest returns how long a server takes no requests of the daemon, and false if it takes some.
func (n Need) rest(server *server) (time.Duration, bool) {
	for _, r := range n.Resting {
		if r.Server.ID == server.ID {
			return r.Left, true
		}
	}
	return 0, false
}

// withoutResting returns the servers that take requests of the daemon.
func (n Need) withoutResting(servers []*server) []*server {
	if len(n.Resting) == 0 {
		return servers
	}
	return slices.DeleteFunc(slices.Clone(servers), func(s *server) bool {
		_, rests := n.rest(s)
		return rests
	})
}

// restOf returns how long it takes until the first of some servers takes requests of the daemon
// again, and false unless there are some and all of them rest.
func (n Need) restOf(servers []*server) (time.Duration, bool) {
	first := time.Duration(math.MaxInt64)
	for _, s := range servers {
		left, rests := n.rest(s)
		if !rests {
			return 0, false
		}
		first = min(first, left)
	}
	return first, len(servers) > 0
}

// Replica names a model on a server.
type Replica struct {
	Server string
	Model  string
}

// Demand is what a daemon reports of its requests.
type Demand struct {
	// InProgress is the number of requests at each replica.
	InProgress map[Replica]int
	// Arrived is the number of requests for each model, since the last report, that the
	// daemon placed by itself.
	Arrived map[string]int
	// LastGrant is the number of the last grant that InProgress covers.
	LastGrant int64
}

// daemon is the last report of a daemon, and the grants that it doesn't cover.
type daemon struct {
	demand Demand
	at     time.Time
	grants []issuedGrant
}

type issuedGrant struct {
	number  int64
	replica Replica
	at      time.Time
}

// Report takes in the demand of a daemon.
func (p *Plan) Report(name string, demand Demand, now time.Time) {
	d := p.daemon(name)
	p.replaceDemand(d, demand)
	d.at = now
	p.dropGrants(d, func(g issuedGrant) bool { return g.number <= demand.LastGrant })
	for name, n := range demand.Arrived {
		m := p.model(name)
		m.asks += n
		m.rate.add(n, now)
		m.starts.add(n, now)
	}
	for r, n := range demand.InProgress {
		if n > 0 {
			p.touch(r, now)
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

func (p *Plan) touch(r Replica, now time.Time) {
	s, ok := p.servers[r.Server]
	if !ok {
		return
	}
	if loaded, ok := s.replicas[r.Model]; ok {
		loaded.lastUsed = now
	}
}

// replaceDemand counts what a daemon reports in place of its last report.
func (p *Plan) replaceDemand(d *daemon, demand Demand) {
	for r, n := range d.demand.InProgress {
		p.progress.add(r, -n)
	}
	for r, n := range demand.InProgress {
		p.progress.add(r, n)
	}
	d.demand = demand
}

// dropGrants ends the count of grants that are covered by a report, or too old.
func (p *Plan) dropGrants(d *daemon, isOver func(g issuedGrant) bool) {
	d.grants = slices.DeleteFunc(d.grants, func(g issuedGrant) bool {
		if !isOver(g) {
			return false
		}
		p.progress.add(g.replica, -1)
		return true
	})
}

// expireDemand forgets reports and grants that are too old.
func (p *Plan) expireDemand(now time.Time) {
	for _, d := range p.daemons {
		if now.Sub(d.at) >= demandTTL {
			p.replaceDemand(d, Demand{})
		}
		p.dropGrants(d, func(g issuedGrant) bool { return now.Sub(g.at) >= grantTTL })
	}
}

// Grant tells where a request may go.
type Grant struct {
	Server azurehitch.ServerIdentity
	// Number identifies the grant in reports of demand.
	Number int64
	// Tier is where the checkpoint lay when the request waited for a load; empty if the
	// model was loaded.
	Tier azurehitch.CacheTier
}

// isCrowded reports whether the replicas of a model, with those that are being loaded, have
// so many requests that a further one is worth a load from the weight store.
func (p *Plan) isCrowded(name string, now time.Time) bool {
	replicas := len(p.replicas(name)) + len(p.loaders(name))
	return replicas > 0 && p.pressure(name, now) > p.settings.RemoteReplicaLoad*float64(p.slots()*replicas)
}

// pressure is the number of requests for a model that would be in progress if none had been
// turned away.
func (p *Plan) pressure(name string, now time.Time) float64 {
	pressure := float64(p.requests(name))
	if m, ok := p.models[name]; ok {
		pressure += m.turnedAway.now(now) * p.settings.RunTime.Seconds()
	}
	return pressure
}

// requests is the number of requests for a model that are in progress or wait.
func (p *Plan) requests(name string) int {
	return p.progress.models[name] + len(p.waiters.byModel[name])
}

const (
	// knownStarts is the rate of starts, a second, from which on the run time of a model is known.
	knownStarts = 4
	// shortestRun and longestRun bound what is learnt of run times.
	shortestRun = 100 * time.Millisecond
	longestRun  = 10 * time.Second
)

// runTime is about how long a request for a model runs: as many are in progress as begin within it. It
// follows the last seconds.
func (p *Plan) runTime(name string, now time.Time) time.Duration {
	starts := p.model(name).starts.now(now)
	if starts < knownStarts {
		return p.settings.RunTime
	}
	took := time.Duration(float64(p.progress.models[name]) / starts * float64(time.Second))
	return min(max(took, shortestRun), longestRun)
}
