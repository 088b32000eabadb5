// Package place chooses a backend server for each attempt of a request that is passed through.
//
// # Usage
//
//	placer := place.New(dependencies)
//	choice, err := placer.Place(ctx, request)
//	defer choice.End()
//
// For a plain service (a backend that is no model engine), the daemon chooses a server itself, by
// its own request counts. A request for a model goes to a pinned replica with free slots; daemons
// may use pinned replicas without asking. Otherwise the holder, the daemon that holds the lease of
// the service, chooses the server and answers with a grant.
package place

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"azurehitch"
	"azurehitch/internal/forward/backoff"
	"azurehitch/internal/forward/breaker"
	"azurehitch/internal/forward/rejectbudget"
	"azurehitch/internal/membership/fleet"
	"azurehitch/internal/membership/serverlimit"
	"azurehitch/internal/placement/swap"
	"azurehitch/internal/placement/swappeer"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

const (
	// A request whose service has no servers on the list polls the list every listPollInterval, for
	// at most listTimeout.
	listTimeout      = 400 * time.Millisecond
	listPollInterval = 20 * time.Millisecond
	// emptyRetryAfter is the retry delay for a service without available servers.
	emptyRetryAfter = 500 * time.Millisecond
	// A request waits for a server in slow start, polling every slowStartPollInterval, or for a unit of a
	// brittle server, polling every unitPollInterval, for at most slowStartTimeout. minRetryAfter is the shortest retry
	// delay when all servers are in backoff or in slow start.
	slowStartTimeout      = 200 * time.Millisecond
	slowStartPollInterval = 20 * time.Millisecond
	unitPollInterval      = 5 * time.Millisecond
	minRetryAfter         = 150 * time.Millisecond
)

// Request is a request that needs a server for its next attempt.
type Request struct {
	azurehitch.CallerRequest
	Service azurehitch.BackendService
	// Avoid holds the ids of the servers that failed or rejected the request. A plain
	// request goes to them only if there are no others. For a model, the holder decides.
	Avoid []string
	// Objective is when the answer should be there. After Deadline the caller no longer waits for
	// it.
	Objective time.Time
	Deadline  time.Time
	// Urgency is the rank of the request; 0 is the most urgent.
	Urgency int
	// Account is the name of the client account that sent the request; empty without accounts.
	Account string
	// SoftwareVersion restricts the request to the servers of a version.
	SoftwareVersion azurehitch.VersionBound
}

// Choice is the server chosen for one attempt.
type Choice struct {
	Server azurehitch.ServerIdentity
	// Tier is where the checkpoint was loaded from, if the request waited for a load.
	Tier azurehitch.CacheTier
	// Reason says in a few words why the server was chosen, and ListAge is the age of the server
	// list at that time. Both go into the log line of the request.
	Reason  string
	ListAge time.Duration
	// RateLimit is the rate limit of the server in requests per second; 0 if it has none.
	RateLimit float64
	// SoftwareVersion is that of the server; empty if this daemon has not read it yet.
	SoftwareVersion string
	// End stops counting the request as in progress at the server. Further calls have no effect.
	End func()
	// observe records the answer of the server, and brokeOff that it broke off the request; they may be nil.
	observe  func(answer Answer)
	brokeOff func()
}

// Dependencies holds the components that a Placer uses. Self and FailureDomain are the name and the
// failure domain of this daemon.
type Dependencies struct {
	Self          string
	FailureDomain string
	Fleet         func() *fleet.View
	Holders       *swappeer.Client
	Breakers      *breaker.Breakers
	Backoffs      *backoff.Tracker
	// Limits contains the rate limits of servers.
	Limits *serverlimit.Tracker
	// Rejections limits the rejections by brittle servers.
	Rejections *rejectbudget.Tracker
	// MaxHolderAbsence is the longest time from the loss of a holder until another daemon has
	// claimed the lease, has learned which models the engines have loaded, and answers requests.
	MaxHolderAbsence time.Duration
	Clock            azurehitch.Clock
}

// Placer chooses backend servers. It is safe for concurrent use.
type Placer struct {
	Dependencies
	mu sync.Mutex
	// inProgress counts the requests of this daemon in progress, by server id.
	inProgress map[string]int
	// paces are what this daemon has observed of the servers of plain services.
	paces *paces
	// waiting are the requests that wait for servers of plain services.
	waiting *waitlist
	doubts  *doubts
}

// New returns a Placer.
func New(dependencies Dependencies) *Placer {
	return &Placer{Dependencies: dependencies, inProgress: map[string]int{}, paces: newPaces(), waiting: newWaitlist(), doubts: newDoubts()}
}

// Place returns a server for the next attempt of a request. The error is or wraps an
// *azurehitch.ErrRefused or the error of the context.
func (p *Placer) Place(ctx context.Context, r Request) (Choice, error) {
	if err := p.awaitList(ctx, r.Service.Name); err != nil {
		return Choice{}, errors.Wrap(err, "wait for the list of servers")
	}
	if err := p.checkVersion(r); err != nil {
		return Choice{}, err
	}
	if r.Service.Engine == nil || r.Model == "" {
		return p.placePlain(ctx, r)
	}
	return p.placeModel(ctx, r)
}

// awaitList waits up to listTimeout until a service has servers on the list. It does not wait once
// the list is complete; right after the start of the daemon, the list may be incomplete.
func (p *Placer) awaitList(ctx context.Context, service string) error {
	for waited := time.Duration(0); waited < listTimeout; waited += listPollInterval {
		view := p.Fleet()
		if !view.ReadAt.IsZero() && (view.Complete || len(view.Service(service)) > 0) {
			return nil
		}
		if err := p.Clock.Sleep(ctx, listPollInterval); err != nil {
			return err
		}
	}
	return nil
}

// available returns the listed servers that are not shutting down and whose circuit breaker is not
// open.
func (p *Placer) available(service string) []azurehitch.FleetServer {
	return slices.DeleteFunc(slices.Clone(p.Fleet().Service(service)), func(s azurehitch.FleetServer) bool {
		return s.ShuttingDown || s.Missing || p.Breakers.IsOpen(s.Address)
	})
}

// checkVersion refuses a request at once if its stream can't go on, because no listed server has the
// software version that began it. While the list may lack servers, it refuses nothing.
func (p *Placer) checkVersion(r Request) error {
	view := p.Fleet()
	isServed := slices.ContainsFunc(view.Service(r.Service.Name), func(s azurehitch.FleetServer) bool {
		return r.SoftwareVersion.Allows(s.SoftwareVersion) && !s.ShuttingDown && !s.Missing
	})
	if isServed || !r.SoftwareVersion.IsSet || !view.Complete {
		return nil
	}
	return azurehitch.Refuse(azurehitch.CodeNoCapacity, "no server of %s has the software version %q", r.Service.Name, r.SoftwareVersion.Version).
		WithRetryAfter(emptyRetryAfter)
}

// candidates returns the available servers that are not in backoff. Servers that failed the request
// are included only if there are no others, and so are, for a stream that is bound to a software version, those that may
// have another one by now.
func (p *Placer) candidates(r Request) []azurehitch.FleetServer {
	backedOff := p.Backoffs.List()
	servers := slices.DeleteFunc(p.available(r.Service.Name), func(s azurehitch.FleetServer) bool {
		isOtherVersion := !r.SoftwareVersion.Allows(s.SoftwareVersion)
		return isOtherVersion || slices.ContainsFunc(backedOff, func(backoff azurehitch.ServerBackoff) bool { return backoff.Server == s.ServerIdentity })
	})
	if r.SoftwareVersion.IsSet {
		servers = p.doubts.without(servers, p.Clock.Now())
	}
	untried := slices.DeleteFunc(slices.Clone(servers), func(s azurehitch.FleetServer) bool {
		return slices.Contains(r.Avoid, s.ID)
	})
	if len(untried) > 0 {
		return untried
	}
	return servers
}

// placePlain places a request without a model, or for a service without model engines. It compares
// servers by the requests of this daemon in progress there and by what it has observed of them, and prefers
// servers in the failure domain of the daemon.
func (p *Placer) placePlain(ctx context.Context, r Request) (Choice, error) {
	for waited := time.Duration(0); ; {
		isFirst := p.waiting.mayTry(r, p.Clock.Now())
		if isFirst {
			if choice, ok := p.placeOn(p.candidates(r), r, selection{reason: "own counts", waited: waited}); ok {
				return choice, nil
			}
		}
		pause := p.pollInterval(r.Service.Name)
		if !isFirst && pause == 0 {
			// The servers have room, which the requests that go before this one take at their next poll.
			pause = unitPollInterval
		}
		if waited >= slowStartTimeout || pause == 0 {
			return Choice{}, p.refusal(r)
		}
		if waited == 0 {
			defer p.waiting.add(r)()
		}
		if err := p.Clock.Sleep(ctx, pause); err != nil {
			return Choice{}, errors.Wrap(err, "wait for a server that comes back")
		}
		waited += pause
	}
}

// selection says how a server is chosen.
type selection struct {
	// reason becomes Choice.Reason.
	reason string
	// otherRequests returns the number of requests that other daemons have at a server; nil means
	// unknown.
	otherRequests func(azurehitch.FleetServer) int
	// slowness is the slowness of servers by ID, as in swap.ServerLoad.
	slowness map[string]float64
	// isReplica is true for a request for a model: it counts at the replica as well as at the
	// server.
	isReplica bool
	// isGranted is true if the holder has chosen the server, and has counted the request in the rate
	// limit of the server if it has one.
	isGranted bool
	// waited is how long the request has waited for a server.
	waited time.Duration
	// softwareVersion is that of a granted server.
	softwareVersion string
}

// placeOn chooses one of the servers and counts the request there. It returns false if each server
// is in backoff, in slow start with as many requests as its limit allows, or has a rate limit or units of
// which this daemon may use no more now.
func (p *Placer) placeOn(servers []azurehitch.FleetServer, r Request, sel selection) (Choice, bool) {
	if sel.otherRequests == nil {
		sel.otherRequests = func(azurehitch.FleetServer) int { return 0 }
	}
	for len(servers) > 0 {
		picked := p.pickOfTwo(servers, r, sel)
		if choice, ok := p.book(r, picked.ServerIdentity, sel); ok {
			return choice, true
		}
		servers = slices.DeleteFunc(servers, func(s azurehitch.FleetServer) bool { return s.ID == picked.ID })
	}
	return Choice{}, false
}

// pollInterval returns the time after which a server of a service may take a further request; 0 if none will
// soon. It may be in slow start, with as many requests in progress as its limit allows, or this daemon has no
// unit of it now.
func (p *Placer) pollInterval(service string) time.Duration {
	interval := time.Duration(0)
	for _, s := range p.available(service) {
		switch state := p.Backoffs.State(s.ServerIdentity); {
		case state == backoff.StateAvailable && p.Rejections.IsHeld(s.ServerIdentity):
			return unitPollInterval
		case state == backoff.StateSlowStart:
			interval = slowStartPollInterval
		}
	}
	return interval
}

// refusal returns the error for a request when no server of its service takes requests. If servers
// are in backoff or have rate limits, the retry delay ends when the first of them takes requests.
func (p *Placer) refusal(r Request) error {
	shortest, found := time.Duration(0), false
	for _, s := range p.available(r.Service.Name) {
		wait := max(p.Backoffs.Remaining(s.ServerIdentity), p.Limits.Wait(s.ServerIdentity), minRetryAfter)
		if !found || wait < shortest {
			shortest, found = wait, true
		}
	}
	if !found {
		return azurehitch.Refuse(azurehitch.CodeNoCapacity, "no backend server of %s takes requests", r.Service.Name).
			WithRetryAfter(emptyRetryAfter)
	}
	return azurehitch.Refuse(azurehitch.CodeNoCapacity, "the backend servers of %s turn requests away", r.Service.Name).
		WithRetryAfter(shortest)
}

// pickOfTwo picks two servers by a hash of the request id, and returns the one with fewer requests
// from this daemon and others, by swap.Cost. It does not compare all servers: a daemon learns the
// counts of other daemons late, so all daemons would choose the same server and overload it.
func (p *Placer) pickOfTwo(servers []azurehitch.FleetServer, r Request, sel selection) azurehitch.FleetServer {
	penalties := p.paces.penalties(servers, p.Clock.Now())
	p.mu.Lock()
	defer p.mu.Unlock()
	cost := func(s azurehitch.FleetServer) float64 {
		return penalties[s.ServerIdentity] + swap.Cost(swap.ServerLoad{
			Requests: p.inProgress[s.ID] + sel.otherRequests(s), Slots: s.Slots, Slowness: sel.slowness[s.ID],
			IsCrossDomain: s.FailureDomain != p.FailureDomain,
		})
	}
	slices.SortFunc(servers, func(a, b azurehitch.FleetServer) int {
		return cmp.Compare(hashRank(b.ID, r.ID), hashRank(a.ID, r.ID))
	})
	if len(servers) > 1 && cost(servers[1]) < cost(servers[0]) {
		return servers[1]
	}
	return servers[0]
}

// hashRank returns the rank of a server for a request in rendezvous hashing, which spreads requests
// evenly over servers. A higher rank is preferred.
func hashRank(server, request string) uint64 { return xxhash.Sum64String(server + "\x00" + request) }

// book counts a request at a server, and at the replica of its model if isReplica is set. It
// returns false if the server is in backoff, in slow start with as many requests as its limit
// allows, or has a rate limit or units of which this daemon may use no more now.
func (p *Placer) book(r Request, server azurehitch.ServerIdentity, sel selection) (Choice, bool) {
	releaseServer, ok := p.Backoffs.Begin(server)
	if !ok {
		return Choice{}, false
	}
	releaseUnit, ok := p.beginUnit(server, sel)
	if !ok {
		releaseServer()
		return Choice{}, false
	}
	if !sel.isGranted && !p.Limits.Allow(server) {
		releaseUnit()
		releaseServer()
		return Choice{}, false
	}
	p.addInProgress(server.ID, 1)
	releaseReplica := func() {}
	if sel.isReplica {
		releaseReplica = p.Holders.Begin(r.Service.Name, swap.Replica{Server: server.ID, Model: r.Model})
	}
	limit, _ := p.Limits.Limit(server)
	return Choice{
		observe: p.observer(r, server, sel), brokeOff: func() { p.doubts.add(server, p.Clock.Now()) },
		Server: server, SoftwareVersion: p.softwareVersion(server, sel), Reason: sel.reason, RateLimit: limit,
		ListAge: p.Clock.Now().Sub(p.Fleet().ReadAt),
		End: sync.OnceFunc(func() {
			p.addInProgress(server.ID, -1)
			releaseServer()
			releaseUnit()
			releaseReplica()
		}),
	}, true
}

// beginUnit counts a request in the units of a server until release is called. It returns false if this
// daemon may use no more of them now. The holder counts the requests that it grants.
func (p *Placer) beginUnit(server azurehitch.ServerIdentity, sel selection) (release func(), ok bool) {
	if sel.isGranted {
		return p.Rejections.BeginGranted(server), true
	}
	return p.Rejections.Begin(server, sel.waited)
}

// softwareVersion returns the software version of a server as the holder has named it, or else as it is
// listed.
func (p *Placer) softwareVersion(server azurehitch.ServerIdentity, sel selection) string {
	if sel.isGranted {
		return sel.softwareVersion
	}
	if listed, ok := p.Fleet().Server(server.ID); ok && listed.ServerIdentity == server {
		return listed.SoftwareVersion
	}
	return ""
}

// addInProgress adds n to the requests of this daemon in progress at a server.
func (p *Placer) addInProgress(server string, n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.inProgress[server] += n
	if p.inProgress[server] == 0 {
		delete(p.inProgress, server)
	}
}
