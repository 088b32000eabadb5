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
	"azurehitch/internal/membership/fleet"
	"azurehitch/internal/membership/serverlimit"
	"azurehitch/internal/placement/swap"
	"azurehitch/internal/placement/swappeer"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

const (
	// maxPinnedLoad is a fraction of the slots of a server. Once this fraction is in use, the
	// daemon asks the holder instead of placing further requests on the pinned replicas there.
	maxPinnedLoad = 0.5
	// A request whose service has no servers on the list polls the list every listPollInterval, for
	// at most listTimeout.
	listTimeout      = 400 * time.Millisecond
	listPollInterval = 20 * time.Millisecond
	// holderTimeout limits the wait for a holder to answer, for a request whose model no listed
	// server has loaded. The request waits longer only if a new holder could still load the model
	// before the deadline. Otherwise it is refused, with a retry delay until a new holder is
	// expected, of at least holderRetryAfter.
	holderTimeout    = 600 * time.Millisecond
	holderRetryAfter = 1500 * time.Millisecond
	// Unanswered requests to the holder that are more than outageGap apart count as separate
	// outages.
	outageGap = 2 * time.Second
	// emptyRetryAfter is the retry delay for a service without available servers.
	emptyRetryAfter = 500 * time.Millisecond
	// A request waits for a server in slow start to take another request, polling every
	// slowStartPollInterval, for at most slowStartTimeout. minRetryAfter is the shortest retry
	// delay when all servers are in backoff or in slow start.
	slowStartTimeout      = 200 * time.Millisecond
	slowStartPollInterval = 20 * time.Millisecond
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
	// Urgency is the rank of the request's route; 0 is the most urgent.
	Urgency int
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
	// End stops counting the request as in progress at the server. Further calls have no effect.
	End func()
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
}

// New returns a Placer.
func New(dependencies Dependencies) *Placer {
	return &Placer{Dependencies: dependencies, inProgress: map[string]int{}}
}

// Place returns a server for the next attempt of a request. The error is or wraps an
// *azurehitch.ErrRefused or the error of the context.
func (p *Placer) Place(ctx context.Context, r Request) (Choice, error) {
	if err := p.awaitList(ctx, r.Service.Name); err != nil {
		return Choice{}, errors.Wrap(err, "wait for the list of servers")
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

// candidates returns the available servers that are not in backoff. Servers that failed the request
// are included only if there are no others.
func (p *Placer) candidates(r Request) []azurehitch.FleetServer {
	backedOff := p.Backoffs.List()
	servers := slices.DeleteFunc(p.available(r.Service.Name), func(s azurehitch.FleetServer) bool {
		return slices.ContainsFunc(backedOff, func(backoff azurehitch.ServerBackoff) bool { return backoff.Server == s.ServerIdentity })
	})
	untried := slices.DeleteFunc(slices.Clone(servers), func(s azurehitch.FleetServer) bool {
		return slices.Contains(r.Avoid, s.ID)
	})
	if len(untried) > 0 {
		return untried
	}
	return servers
}

// placePlain places a request without a model, or for a service without model engines. It compares
// servers by the requests of this daemon in progress there, and prefers servers in the failure
// domain of the daemon.
func (p *Placer) placePlain(ctx context.Context, r Request) (Choice, error) {
	for waited := time.Duration(0); ; waited += slowStartPollInterval {
		if choice, ok := p.placeOn(p.candidates(r), r, selection{reason: "own counts"}); ok {
			return choice, nil
		}
		if waited >= slowStartTimeout || !p.isInSlowStart(r.Service.Name) {
			return Choice{}, p.refusal(r)
		}
		if err := p.Clock.Sleep(ctx, slowStartPollInterval); err != nil {
			return Choice{}, errors.Wrap(err, "wait for a server that comes back")
		}
	}
}

// selection says how placeOn chooses among servers.
type selection struct {
	// reason becomes Choice.Reason.
	reason string
	// otherRequests returns the number of requests that other daemons have at a server; nil means
	// unknown.
	otherRequests func(azurehitch.FleetServer) int
	// isReplica is true for a request for a model: it counts at the replica as well as at the
	// server.
	isReplica bool
}

// placeOn chooses one of the servers and counts the request there. It returns false if each server
// is in backoff, in slow start with as many requests as its limit allows, or has a rate limit of
// which this daemon may use no more now.
func (p *Placer) placeOn(servers []azurehitch.FleetServer, r Request, sel selection) (Choice, bool) {
	if sel.otherRequests == nil {
		sel.otherRequests = func(azurehitch.FleetServer) int { return 0 }
	}
	for len(servers) > 0 {
		picked := p.pickOfTwo(servers, r, sel.otherRequests)
		if choice, ok := p.book(r, picked.ServerIdentity, sel.reason, sel.isReplica); ok {
			if p.Limits.Allow(picked.ServerIdentity) {
				return choice, true
			}
			choice.End()
		}
		servers = slices.DeleteFunc(servers, func(s azurehitch.FleetServer) bool { return s.ID == picked.ID })
	}
	return Choice{}, false
}

// isInSlowStart reports whether a server of a service is in slow start, with as many requests in
// progress as its limit allows.
func (p *Placer) isInSlowStart(service string) bool {
	return slices.ContainsFunc(p.available(service), func(s azurehitch.FleetServer) bool {
		return p.Backoffs.State(s.ServerIdentity) == backoff.StateSlowStart
	})
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
func (p *Placer) pickOfTwo(servers []azurehitch.FleetServer, r Request, otherRequests func(azurehitch.FleetServer) int) azurehitch.FleetServer {
	p.mu.Lock()
	defer p.mu.Unlock()
	cost := func(s azurehitch.FleetServer) float64 {
		return swap.Cost(p.inProgress[s.ID]+otherRequests(s), s.Slots, s.FailureDomain != p.FailureDomain)
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
// returns false if the server is in backoff, or in slow start with as many requests as its limit
// allows.
func (p *Placer) book(r Request, server azurehitch.ServerIdentity, reason string, isReplica bool) (Choice, bool) {
	releaseServer, ok := p.Backoffs.Begin(server)
	if !ok {
		return Choice{}, false
	}
	p.addInProgress(server.ID, 1)
	releaseReplica := func() {}
	if isReplica {
		releaseReplica = p.Holders.Begin(r.Service.Name, swap.Replica{Server: server.ID, Model: r.Model})
	}
	limit, _ := p.Limits.Limit(server)
	return Choice{
		Server: server, Reason: reason, RateLimit: limit, ListAge: p.Clock.Now().Sub(p.Fleet().ReadAt),
		End: sync.OnceFunc(func() {
			p.addInProgress(server.ID, -1)
			releaseServer()
			releaseReplica()
		}),
	}, true
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

// placeModel places a request on a pinned replica of its model, or else on the server that the
// holder grants. While no holder answers, it uses listed servers that have the model loaded.
func (p *Placer) placeModel(ctx context.Context, r Request) (Choice, error) {
	if choice, ok := p.placeOnPinned(r); ok {
		return choice, nil
	}
	holderRequest := p.holderRequest(r)
	outage := holderOutage{clock: p.Clock}
	for {
		holderRequest.Backoffs = p.Backoffs.List()
		grant, err := p.Holders.Find(ctx, r.Service.Name, holderRequest)
		if err == nil {
			choice, ok := p.bookGrant(r, grant, &holderRequest)
			if !ok {
				continue
			}
			return choice, nil
		}
		if !errors.Is(err, swappeer.ErrNoHolder) {
			return Choice{}, errors.Wrap(err, "wait for a model")
		}
		if choice, ok := p.placeOnListed(r); ok {
			return choice, nil
		}
		if outage.extend() >= holderTimeout && !p.mayAwaitHolder(r) {
			return Choice{}, azurehitch.Refuse(azurehitch.CodeNoCapacity, "no holder answers, and no listed server has %s", r.Model).
				WithRetryAfter(max(p.nextHolderWait(r.Service.Name), holderRetryAfter))
		}
	}
}

// nextHolderWait returns the time until another daemon is expected to answer as the holder of a
// service; 0 if that time has passed.
func (p *Placer) nextHolderWait(service string) time.Duration {
	return max(p.MaxHolderAbsence-p.Holders.UnansweredFor(service), 0)
}

// mayAwaitHolder reports whether the next holder can still have the model loaded before the
// deadline of the request.
func (p *Placer) mayAwaitHolder(r Request) bool {
	wait := p.nextHolderWait(r.Service.Name)
	loadedAt := p.Clock.Now().Add(wait + r.Service.Engine.Models[r.Model].DiskLoad)
	return wait > 0 && loadedAt.Before(r.Deadline)
}

// holderOutage measures how long no holder has answered a request.
type holderOutage struct {
	clock            azurehitch.Clock
	startedAt        time.Time
	lastUnansweredAt time.Time
}

// extend records an unanswered request to the holder, and returns how long the outage has lasted. A
// new outage begins if the previous unanswered request is more than outageGap ago.
func (o *holderOutage) extend() time.Duration {
	now := o.clock.Now()
	if o.startedAt.IsZero() || now.Sub(o.lastUnansweredAt) > outageGap {
		o.startedAt = now
	}
	o.lastUnansweredAt = now
	return now.Sub(o.startedAt)
}

// bookGrant counts a request at the server that the holder granted. It returns false if this daemon
// knows that the server is shutting down, has an open breaker, is in backoff, or takes no more
// requests in slow start, or names a rate limit of which the holder does not know yet. placeModel
// then asks the holder again. For a shutdown, a rate limit or an open breaker, bookGrant adds the
// server to holderRequest, so that the holder can grant another one. If the holder grants a server
// that is already in Avoid, the open breaker is ignored.
func (p *Placer) bookGrant(r Request, grant swap.Grant, holderRequest *swap.Request) (Choice, bool) {
	if p.Fleet().HasDeparted(grant.Server) {
		holderRequest.ShuttingDown = append(holderRequest.ShuttingDown, grant.Server)
		return Choice{}, false
	}
	if _, hasLimit := p.Limits.Limit(grant.Server); hasLimit && !grant.RateLimited {
		holderRequest.Avoid = append(slices.Clone(holderRequest.Avoid), grant.Server.ID)
		return Choice{}, false
	}
	if p.Breakers.IsOpen(grant.Server.Address) && !slices.Contains(holderRequest.Avoid, grant.Server.ID) {
		holderRequest.Avoid = append(slices.Clone(holderRequest.Avoid), grant.Server.ID)
		return Choice{}, false
	}
	choice, ok := p.book(r, grant.Server, "granted by the holder", true)
	choice.Tier = grant.Tier
	return choice, ok
}

// holderRequest returns the message that asks the holder for a server.
func (p *Placer) holderRequest(r Request) swap.Request {
	return swap.Request{
		ID: r.ID, Daemon: p.Self, FailureDomain: p.FailureDomain, Model: r.Model, Adapter: r.Adapter,
		PromptTokens: r.PromptTokens, Objective: r.Objective, Deadline: r.Deadline, Urgency: r.Urgency, Avoid: r.Avoid,
	}
}

// placeOnListed places a request on a server that has its model loaded according to the platform's
// list. It is used while no holder of the service answers: without a holder, no model is loaded or
// unloaded, so the list stays correct.
func (p *Placer) placeOnListed(r Request) (Choice, bool) {
	servers := slices.DeleteFunc(p.candidates(r), func(s azurehitch.FleetServer) bool {
		return slices.Contains(r.Avoid, s.ID) || !hasLoaded(s, r.Model, r.Adapter)
	})
	return p.placeOn(servers, r, selection{reason: "listed, no holder answers", isReplica: true})
}

// hasLoaded reports whether a server has a model loaded, and the adapter if one is given.
func hasLoaded(s azurehitch.FleetServer, model, adapter string) bool {
	return slices.ContainsFunc(s.Loaded, func(m azurehitch.LoadedModel) bool {
		return m.Name == model && (adapter == "" || slices.Contains(m.Adapters, adapter))
	})
}

// placeOnPinned places a request on a pinned replica with free slots, on a server without a rate
// limit: requests to limited servers have to be counted by the holder. Requests with an adapter or a
// long prompt go to the holder instead: adapters are loaded and unloaded while a replica is pinned,
// and a server should process one long prompt at a time, which only the holder can ensure.
func (p *Placer) placeOnPinned(r Request) (Choice, bool) {
	if r.Adapter != "" || swap.IsLongPrompt(r.PromptTokens) {
		return Choice{}, false
	}
	counts := map[string]int{}
	for _, replica := range p.Holders.PinnedReplicas(r.Service.Name, r.Model) {
		counts[replica.Server] = replica.Requests
	}
	servers := slices.DeleteFunc(p.candidates(r), func(s azurehitch.FleetServer) bool {
		requests, pinned := counts[s.ID]
		_, hasLimit := p.Limits.Limit(s.ServerIdentity)
		return !pinned || hasLimit || slices.Contains(r.Avoid, s.ID) || float64(requests) >= maxPinnedLoad*float64(s.Slots)
	})
	choice, ok := p.placeOn(servers, r, selection{
		reason: "replica that stays", isReplica: true,
		otherRequests: func(s azurehitch.FleetServer) int { return max(counts[s.ID]-p.inProgress[s.ID], 0) },
	})
	if ok {
		p.Holders.CountArrival(r.Service.Name, r.Model)
	}
	return choice, ok
}
