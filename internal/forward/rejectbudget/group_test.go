package rejectbudget_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"azurehitch"
	"azurehitch/internal/forward/rejectbudget"
	"azurehitch/internal/standin/manualclock"
)

const (
	// tick is the step of the simulated time. It is also the time that a request or an answer is on its way.
	tick = time.Millisecond
	// pollInterval is how often a request that waits at a daemon tries to be sent, and maxWait how long it waits.
	pollInterval = 5 * time.Millisecond
	maxWait      = 200 * time.Millisecond
	// maxTries is how many servers may reject a request.
	maxTries = 3
	// downtime is how long a server that fell over is down.
	downtime = 2 * time.Second
	// stableTime is the earliest time at which brittle servers let fewer requests wait.
	stableTime = 3 * time.Second
)

// scenario is a simulated deployment.
type scenario struct {
	daemons, servers, slots int
	// queue is the number of requests that wait at a server. Brittle servers lower it to 0.
	queue     int
	isBrittle bool
	allowance int
	// load is the mean work offered, in slots of all servers.
	load float64
	// work is the mean time of a request at a server.
	work time.Duration
	// busyShare is the part of the daemons that gets busyTraffic of all requests.
	busyShare, busyTraffic float64
	duration               time.Duration
	seed                   uint64
	// unaware is true if the daemons ignore the notices of servers.
	unaware bool
	// knownDaemons returns the names of the daemons that a daemon knows; nil means all.
	knownDaemons func(self int, all []string) []string
}

// result counts the requests of a simulation, and how often servers fell over.
type result struct {
	sent, answered, rejected, falls int
}

func (r result) share() float64 { return float64(r.answered) / float64(r.sent) }

// daemon is a simulated daemon.
type daemon struct {
	tracker *rejectbudget.Tracker
	waiting []*request
}

// request is a simulated request.
type request struct {
	daemon    int
	arrivedAt time.Time
	tries     int
	tried     []string
	work      time.Duration
	end       func()
	sentAt    time.Time
}

// simulatedServer is a simulated server. Its requests are on their way, run, or wait.
type simulatedServer struct {
	azurehitch.FleetServer
	arriving, waiting []*request
	running           map[*request]time.Time
	lowerAt           time.Time
	rejectedAt        []time.Time
	downUntil         time.Time
}

// group is a deployment while it is simulated. It is also a rejectbudget.Observer that ignores all events.
type group struct {
	scenario
	*manualclock.Clock
	random  *rand.Rand
	daemons []*daemon
	servers []*simulatedServer
	// list are the entries of the servers, and byID the same by server ID.
	list []azurehitch.FleetServer
	byID map[string]azurehitch.FleetServer
	result
}

// BrittlenessChanged implements rejectbudget.Observer.
func (*group) BrittlenessChanged(azurehitch.ServerIdentity, rejectbudget.Brittleness) {}

// BrittleServerRejected implements rejectbudget.Observer.
func (*group) BrittleServerRejected(azurehitch.ServerIdentity) {}

func newGroup(s scenario) *group {
	g := &group{scenario: s, Clock: manualclock.New(), random: rand.New(rand.NewPCG(s.seed, 1)), byID: map[string]azurehitch.FleetServer{}}
	for i := range s.servers {
		id := fmt.Sprintf("server-%d", i)
		listed := azurehitch.FleetServer{
			ServerIdentity: azurehitch.ServerIdentity{ID: id, Address: id, Incarnation: 1}, Service: "desk", Slots: s.slots,
		}
		g.list = append(g.list, listed)
		g.byID[id] = listed
		g.servers = append(g.servers, &simulatedServer{
			FleetServer: listed,
			running:     map[*request]time.Time{}, lowerAt: g.Time.Add(stableTime + time.Duration(g.random.Int64N(int64(stableTime)))),
		})
	}
	for i := range s.daemons {
		g.addDaemon(i)
	}
	return g
}

func (g *group) addDaemon(i int) {
	var names []string
	for k := range g.scenario.daemons {
		names = append(names, fmt.Sprintf("daemon-%d", k))
	}
	if g.knownDaemons != nil {
		names = g.knownDaemons(i, names)
	}
	g.daemons = append(g.daemons, &daemon{tracker: rejectbudget.New(rejectbudget.Dependencies{
		Self: fmt.Sprintf("daemon-%d", i), Daemons: func() []string { return names },
		Server: g.listed, Service: func(string) []azurehitch.FleetServer { return g.list },
		Clock: g.Clock, Observer: g,
	})})
}

func (g *group) listed(id string) (azurehitch.FleetServer, bool) {
	listed, ok := g.byID[id]
	return listed, ok && !g.unaware
}

// run simulates the deployment.
func (g *group) run() result {
	for end := g.Time.Add(g.duration); g.Time.Before(end); g.Time = g.Time.Add(tick) {
		g.arrive()
		for _, d := range g.daemons {
			g.sendWaiting(d)
		}
		for _, s := range g.servers {
			g.serve(s)
		}
	}
	return g.result
}

// arrive lets new requests arrive at the daemons.
func (g *group) arrive() {
	perTick := g.load * float64(g.scenario.servers*g.slots) * float64(tick) / float64(g.work)
	for range g.poisson(perTick) {
		r := &request{daemon: g.pickDaemon(), arrivedAt: g.Time, work: time.Duration(g.random.ExpFloat64() * float64(g.work))}
		g.sent++
		d := g.daemons[r.daemon]
		if !g.send(d, r) {
			d.waiting = append(d.waiting, r)
		}
	}
}

// poisson returns a Poisson variate.
func (g *group) poisson(mean float64) int {
	count := 0
	for sum := g.random.ExpFloat64(); sum < mean; sum += g.random.ExpFloat64() {
		count++
	}
	return count
}

func (g *group) pickDaemon() int {
	busy := max(int(g.busyShare*float64(len(g.daemons))), 1)
	if g.random.Float64() < g.busyTraffic {
		return g.random.IntN(busy)
	}
	return g.random.IntN(len(g.daemons))
}

// sendWaiting tries to send the requests that wait at a daemon, and refuses those that have waited too long.
func (g *group) sendWaiting(d *daemon) {
	d.waiting = slices.DeleteFunc(d.waiting, func(r *request) bool {
		waited := g.Time.Sub(r.arrivedAt)
		if waited > maxWait {
			return true
		}
		return waited%pollInterval == 0 && g.send(d, r)
	})
}

// send sends a request to a random server that takes it, and returns false if there is none.
func (g *group) send(d *daemon, r *request) bool {
	first := g.random.IntN(len(g.servers))
	for i := range g.servers {
		s := g.servers[(first+i)%len(g.servers)]
		if slices.Contains(r.tried, s.ID) || g.Time.Before(s.downUntil) {
			continue
		}
		if end, ok := d.tracker.Begin(s.ServerIdentity, g.Time.Sub(r.arrivedAt)); ok {
			r.end, r.sentAt = end, g.Time
			s.arriving = append(s.arriving, r)
			return true
		}
	}
	return false
}

// serve lets a server end requests, begin others and reject what it has no room for.
func (g *group) serve(s *simulatedServer) {
	for r, endsAt := range s.running {
		if !g.Time.Before(endsAt) {
			delete(s.running, r)
			g.answered++
			g.answer(s, r, false)
		}
	}
	for len(s.waiting) > 0 && len(s.running) < s.Slots {
		s.running[s.waiting[0]] = g.Time.Add(s.waiting[0].work)
		s.waiting = s.waiting[1:]
	}
	arriving := s.arriving
	s.arriving = nil
	for _, r := range arriving {
		g.admit(s, r)
	}
}

// admit lets a server run a request, let it wait, or reject it.
func (g *group) admit(s *simulatedServer, r *request) {
	queue := g.queue
	if g.isBrittle && !g.Time.Before(s.lowerAt) {
		queue = 0
	}
	switch {
	case g.Time.Before(s.downUntil):
		r.end()
	case len(s.running) < s.Slots:
		s.running[r] = g.Time.Add(r.work)
	case len(s.waiting) < queue:
		s.waiting = append(s.waiting, r)
	default:
		g.reject(s, r)
	}
}

// reject lets a server reject a request, which may be one too many. The daemon sends it elsewhere.
func (g *group) reject(s *simulatedServer, r *request) {
	g.rejected++
	s.rejectedAt = slices.DeleteFunc(append(s.rejectedAt, g.Time), func(at time.Time) bool { return g.Time.Sub(at) > time.Second })
	g.answer(s, r, true)
	if r.tries++; r.tries < maxTries {
		r.tried = append(r.tried, s.ID)
		d := g.daemons[r.daemon]
		d.waiting = append(d.waiting, r)
	}
	if g.isBrittle && len(s.rejectedAt) > g.allowance {
		g.fall(s)
	}
}

// answer lets the daemon of a request receive the head of its answer.
func (g *group) answer(s *simulatedServer, r *request, isRejection bool) {
	g.daemons[r.daemon].tracker.Answered(s.ServerIdentity, rejectbudget.Answer{
		Notice:   azurehitch.ServerNotice{Brittle: g.isBrittle, MaxRejections: g.allowance},
		Rejected: isRejection, SentAt: r.sentAt,
	})
	r.end()
}

// fall lets a server fall over: its requests end without an answer.
func (g *group) fall(s *simulatedServer) {
	g.falls++
	s.rejectedAt, s.downUntil = nil, g.Time.Add(downtime)
	for r := range s.running {
		r.end()
	}
	for _, r := range s.waiting {
		r.end()
	}
	clear(s.running)
	s.waiting = nil
}
