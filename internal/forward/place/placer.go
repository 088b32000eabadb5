// Package place chooses the backend server of a request that is passed through.
//
// # Usage
//
//	placer := place.New(dependencies)
//	choice, err := placer.Place(ctx, request)
//	defer choice.End()
//
// Servers of a plain service are chosen by what this daemon knows. For a model engine, the
// holder of the service is asked, unless the model has replicas that stay.
package place

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"azurehitch"
	"azurehitch/internal/forward/breaker"
	"azurehitch/internal/forward/rest"
	"azurehitch/internal/membership/fleet"
	"azurehitch/internal/placement/swap"
	"azurehitch/internal/placement/swappeer"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

const (
	// fullPart is the part of a server's slots up to which requests are placed without asking
	// the holder.
	fullPart = 0.5
	// listPatience is how long a request waits for servers on the list, and listPause
	// how often it looks.
	listPatience = 400 * time.Millisecond
	listPause    = 20 * time.Millisecond
	// holderPatience is how long each request for a model that no listed server holds waits for a
	// holder to answer. Those that the next holder can serve in time wait for it; others are
	// told to come back then, or after holderRetry.
	holderPatience = 600 * time.Millisecond
	holderRetry    = 1500 * time.Millisecond
	// silenceGap is the longest time between two questions without an answer of one silence.
	silenceGap = 2 * time.Second
	// emptyRetry tells when to come back to a service without servers.
	emptyRetry = 500 * time.Millisecond
	// returnPatience is how long a request waits for servers that come back from a rest, and
	// returnRetry tells when to come back after it.
	returnPatience = 200 * time.Millisecond
	returnPause    = 20 * time.Millisecond
	returnRetry    = 150 * time.Millisecond
)

// Request is what a choice depends on.
type Request struct {
	azurehitch.CallerRequest
	Service azurehitch.BackendService
	// Tried are the servers that failed the request.
	Tried []string
	// Objective is until when an answer is on time, and Deadline until when it is of use.
	Objective time.Time
	Deadline  time.Time
	Urgency   int
}

// Choice is a server for one attempt.
type Choice struct {
	Server azurehitch.ServerIdentity
	// Tier is where the checkpoint lay when the request waited for a load.
	Tier azurehitch.CacheTier
	// Basis says in a few words what decided, and Age how old that knowledge is.
	Basis string
	Age   time.Duration
	// End ends the use of the server.
	End func()
}

// Dependencies are what a placer needs.
type Dependencies struct {
	Self          string
	FailureDomain string
	Fleet         func() *fleet.View
	Swaps         *swappeer.Client
	Breakers      *breaker.Breakers
	Rests         *rest.Rests
	// HolderAbsence is how long a service may be without a holder when it has lost one: another
	// claims its lease and learns what the engines hold.
	HolderAbsence time.Duration
	Clock         azurehitch.Clock
}

// Placer chooses servers.
type Placer struct {
	Dependencies
	mu         sync.Mutex
	inProgress map[string]int
}

// New returns a placer.
func New(dependencies Dependencies) *Placer {
	return &Placer{Dependencies: dependencies, inProgress: map[string]int{}}
}

// Place returns a server for the next attempt of a request. The error is an
// *azurehitch.ErrRefused, or that of the context.
func (p *Placer) Place(ctx context.Context, r Request) (Choice, error) {
	if err := p.awaitList(ctx, r.Service.Name); err != nil {
		return Choice{}, errors.Wrap(err, "wait for the list of servers")
	}
	if r.Service.Engine == nil || r.Model == "" {
		return p.placeCall(ctx, r)
	}
	return p.placeModel(ctx, r)
}

// awaitList waits, but not long, for servers of a service while the list may lack some, as
// after a start.
func (p *Placer) awaitList(ctx context.Context, service string) error {
	for waited := time.Duration(0); waited < listPatience; waited += listPause {
		view := p.Fleet()
		if !view.ReadAt.IsZero() && (view.Settled || len(view.Service(service)) > 0) {
			return nil
		}
		if err := p.Clock.Sleep(ctx, listPause); err != nil {
			return err
		}
	}
	return nil
}

// serving returns the servers that neither leave nor fail.
func (p *Placer) serving(service string) []azurehitch.FleetServer {
	return slices.DeleteFunc(slices.Clone(p.Fleet().Service(service)), func(s azurehitch.FleetServer) bool {
		return s.Leaving || s.Missing || p.Breakers.IsOpen(s.Address)
	})
}

// candidates returns the servers that take requests now, without those that were tried if
// others are left.
func (p *Placer) candidates(r Request) []azurehitch.FleetServer {
	resting := p.Rests.List()
	servers := slices.DeleteFunc(p.serving(r.Service.Name), func(s azurehitch.FleetServer) bool {
		return slices.ContainsFunc(resting, func(other azurehitch.ServerRest) bool { return other.Server == s.ServerIdentity })
	})
	fresh := slices.DeleteFunc(slices.Clone(servers), func(s azurehitch.FleetServer) bool {
		return slices.Contains(r.Tried, s.ID)
	})
	if len(fresh) > 0 {
		return fresh
	}
	return servers
}

// placeCall chooses by the counts of this daemon, and prefers the own failure domain.
func (p *Placer) placeCall(ctx context.Context, r Request) (Choice, error) {
	for waited := time.Duration(0); ; waited += returnPause {
		if choice, ok := p.placeOn(p.candidates(r), r, selection{basis: "own counts"}); ok {
			return choice, nil
		}
		if waited >= returnPatience || !p.isReturning(r.Service.Name) {
			return Choice{}, p.refusal(r)
		}
		if err := p.Clock.Sleep(ctx, returnPause); err != nil {
			return Choice{}, errors.Wrap(err, "wait for a server that comes back")
		}
	}
}

// selection is how this daemon chooses among servers by itself.
type selection struct {
	basis string
	// others is the number of requests of other daemons at a server; nil is unknown.
	others func(azurehitch.FleetServer) int
	// isReplica is true when the request is counted at a replica of its model.
	isReplica bool
}

// placeOn chooses among servers. It returns false if none takes the request.
func (p *Placer) placeOn(servers []azurehitch.FleetServer, r Request, how selection) (Choice, bool) {
	if how.others == nil {
		how.others = func(azurehitch.FleetServer) int { return 0 }
	}
	for len(servers) > 0 {
		best := p.best(servers, r, how.others)
		if choice, ok := p.choice(r, best.ServerIdentity, how.basis, how.isReplica); ok {
			return choice, true
		}
		servers = slices.DeleteFunc(servers, func(s azurehitch.FleetServer) bool { return s.ID == best.ID })
	}
	return Choice{}, false
}

// isReturning reports whether a server of a service comes back from a rest, and has as many requests
// as it takes for now.
func (p *Placer) isReturning(service string) bool {
	return slices.ContainsFunc(p.serving(service), func(s azurehitch.FleetServer) bool {
		return p.Rests.State(s.ServerIdentity) == rest.StateReturning
	})
}

// refusal is that of a request for a service whose servers take none now: where they rest, it
// tells when the first of them takes requests again.
func (p *Placer) refusal(r Request) error {
	shortest, found := time.Duration(0), false
	for _, s := range p.serving(r.Service.Name) {
		left := max(p.Rests.Left(s.ServerIdentity), returnRetry)
		if !found || left < shortest {
			shortest, found = left, true
		}
	}
	if !found {
		return azurehitch.Refuse(azurehitch.CodeNoCapacity, "no backend server of %s takes requests", r.Service.Name).
			WithRetryAfter(emptyRetry)
	}
	return azurehitch.Refuse(azurehitch.CodeNoCapacity, "the backend servers of %s turn requests away", r.Service.Name).
		WithRetryAfter(shortest)
}

// best returns the emptier of two servers that the request's id chooses: the counts of others
// are some time old, and daemons that all take the emptiest server would fill it together.
// The count of others adds to the requests of this daemon.
func (p *Placer) best(servers []azurehitch.FleetServer, r Request, others func(azurehitch.FleetServer) int) azurehitch.FleetServer {
	p.mu.Lock()
	defer p.mu.Unlock()
	cost := func(s azurehitch.FleetServer) float64 {
		return swap.Cost(p.inProgress[s.ID]+others(s), s.Slots, s.FailureDomain != p.FailureDomain)
	}
	slices.SortFunc(servers, func(a, b azurehitch.FleetServer) int {
		return cmp.Compare(weight(b.ID, r.ID), weight(a.ID, r.ID))
	})
	if len(servers) > 1 && cost(servers[1]) < cost(servers[0]) {
		return servers[1]
	}
	return servers[0]
}

// weight spreads requests over equal servers.
func weight(server, request string) uint64 { return xxhash.Sum64String(server + "\x00" + request) }

// choice books a request at a server, and at the replica of its model if there is one. It returns
// false if the server doesn't take it.
func (p *Placer) choice(r Request, server azurehitch.ServerIdentity, basis string, isReplica bool) (Choice, bool) {
	leave, ok := p.Rests.Begin(server)
	if !ok {
		return Choice{}, false
	}
	p.count(server.ID, 1)
	end := func() {}
	if isReplica {
		end = p.Swaps.Begin(r.Service.Name, swap.Replica{Server: server.ID, Model: r.Model})
	}
	return Choice{
		Server: server, Basis: basis, Age: p.Clock.Now().Sub(p.Fleet().ReadAt),
		End: sync.OnceFunc(func() {
			p.count(server.ID, -1)
			leave()
			end()
		}),
	}, true
}

func (p *Placer) count(server string, n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.inProgress[server] += n
	if p.inProgress[server] == 0 {
		delete(p.inProgress, server)
	}
}

// placeModel uses a replica that stays, or asks the holder of the service.
func (p *Placer) placeModel(ctx context.Context, r Request) (Choice, error) {
	if choice, ok := p.placeOnKept(r); ok {
		return choice, nil
	}
	need := p.need(r)
	silence := silence{clock: p.Clock}
	for {
		need.Resting = p.Rests.List()
		grant, err := p.Swaps.Find(ctx, r.Service.Name, need)
		if err == nil {
			choice, ok := p.takeGrant(r, grant, &need)
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
		if silence.lasts() >= holderPatience && !p.mayAwaitHolder(r) {
			return Choice{}, azurehitch.Refuse(azurehitch.CodeNoCapacity, "no holder answers, and no listed server has %s", r.Model).
				WithRetryAfter(max(p.holderWait(r.Service.Name), holderRetry))
		}
	}
}

// holderWait is how long it may still take until another daemon answers as the holder of a service;
// 0 if it should have done so by now.
func (p *Placer) holderWait(service string) time.Duration {
	return max(p.HolderAbsence-p.Swaps.SilentFor(service), 0)
}

// mayAwaitHolder reports whether the next holder can still have the model of a request loaded in time.
func (p *Placer) mayAwaitHolder(r Request) bool {
	wait := p.holderWait(r.Service.Name)
	loaded := p.Clock.Now().Add(wait + r.Service.Engine.Models[r.Model].DiskLoad)
	return wait > 0 && loaded.Before(r.Deadline)
}

// silence is how long no holder has answered the questions of a request.
type silence struct {
	clock  azurehitch.Clock
	began  time.Time
	seenAt time.Time
}

// lasts notes one more question without an answer, and returns how long the silence lasts. It
// begins anew when there was time for answers since the last one.
func (s *silence) lasts() time.Duration {
	now := s.clock.Now()
	if s.began.IsZero() || now.Sub(s.seenAt) > silenceGap {
		s.began = now
	}
	s.seenAt = now
	return now.Sub(s.began)
}

// takeGrant books a request at the server that the holder granted. It returns false, and has the
// need tell why, if this daemon knows better: the server leaves, fails, or rests.
func (p *Placer) takeGrant(r Request, grant swap.Grant, need *swap.Need) (Choice, bool) {
	if p.Fleet().HasLeft(grant.Server) {
		need.Left = append(need.Left, grant.Server)
		return Choice{}, false
	}
	if p.Breakers.IsOpen(grant.Server.Address) && !slices.Contains(need.Avoid, grant.Server.ID) {
		need.Avoid = append(slices.Clone(need.Avoid), grant.Server.ID)
		return Choice{}, false
	}
	choice, ok := p.choice(r, grant.Server, "granted by the holder", true)
	choice.Tier = grant.Tier
	return choice, ok
}

func (p *Placer) need(r Request) swap.Need {
	return swap.Need{
		ID: r.ID, Daemon: p.Self, FailureDomain: p.FailureDomain, Model: r.Model, Adapter: r.Adapter,
		PromptTokens: r.PromptTokens, Objective: r.Objective, Deadline: r.Deadline, Urgency: r.Urgency, Avoid: r.Tried,
	}
}

// placeOnListed chooses among the servers that hold the model by the platform's list, while
// no holder of the service answers: nobody loads or unloads then.
func (p *Placer) placeOnListed(r Request) (Choice, bool) {
	servers := slices.DeleteFunc(p.candidates(r), func(s azurehitch.FleetServer) bool {
		return slices.Contains(r.Tried, s.ID) || !holds(s, r.Model, r.Adapter)
	})
	return p.placeOn(servers, r, selection{basis: "listed, no holder answers", isReplica: true})
}

func holds(s azurehitch.FleetServer, model, adapter string) bool {
	return slices.ContainsFunc(s.Loaded, func(m azurehitch.LoadedModel) bool {
		return m.Name == model && (adapter == "" || slices.Contains(m.Adapters, adapter))
	})
}

// placeOnKept chooses among the replicas that stay and have free slots. Adapters come and go, and long
// prompts should not be read together: requests for one and with one ask the holder.
func (p *Placer) placeOnKept(r Request) (Choice, bool) {
	if r.Adapter != "" || swap.IsLong(r.PromptTokens) {
		return Choice{}, false
	}
	counts := map[string]int{}
	for _, k := range p.Swaps.Kept(r.Service.Name, r.Model) {
		counts[k.Server] = k.Requests
	}
	servers := slices.DeleteFunc(p.candidates(r), func(s azurehitch.FleetServer) bool {
		requests, kept := counts[s.ID]
		return !kept || slices.Contains(r.Tried, s.ID) || float64(requests) >= fullPart*float64(s.Slots)
	})
	choice, ok := p.placeOn(servers, r, selection{
		basis: "replica that stays", isReplica: true,
		others: func(s azurehitch.FleetServer) int { return max(counts[s.ID]-p.inProgress[s.ID], 0) },
	})
	if ok {
		p.Swaps.Arrived(r.Service.Name, r.Model)
	}
	return choice, ok
}
