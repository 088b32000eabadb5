package place

import (
	"context"
	"slices"
	"time"

	"azurehitch"
	"azurehitch/internal/placement/swap"
	"azurehitch/internal/placement/swappeer"

	"github.com/pkg/errors"
)

const (
	// maxPinnedLoad is a fraction of the slots of a server. Once this fraction is in use, the
	// daemon asks the holder instead of placing further requests on the pinned replicas there.
	maxPinnedLoad = 0.5
	// holderTimeout limits the wait for a holder to answer, for a request whose model no listed
	// server has loaded. The request waits longer only if a new holder could still load the model
	// before the deadline. Otherwise it is refused, with a retry delay until a new holder is
	// expected, of at least holderRetryAfter.
	holderTimeout    = 600 * time.Millisecond
	holderRetryAfter = 1500 * time.Millisecond
	// Unanswered requests to the holder that are more than outageGap apart count as separate
	// outages.
	outageGap = 2 * time.Second
)

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
		if choice, ok := p.placeOnListed(r, outage.lasted()); ok {
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
// requests in slow start, has another software version than the request needs (a holder of an earlier
// release does not heed it), or names a rate limit of which the holder does not know yet. placeModel
// then asks the holder again. But for a backoff or a slow start, bookGrant adds the
// server to holderRequest, so that the holder can grant another one. If the holder grants a server
// that is already in Avoid, the open breaker is ignored.
func (p *Placer) bookGrant(r Request, grant swap.Grant, holderRequest *swap.Request) (Choice, bool) {
	if p.Fleet().HasDeparted(grant.Server) {
		holderRequest.ShuttingDown = append(holderRequest.ShuttingDown, grant.Server)
		return Choice{}, false
	}
	_, hasLimit := p.Limits.Limit(grant.Server)
	isUncounted := hasLimit && !grant.RateLimited
	isOtherVersion := !r.SoftwareVersion.Allows(grant.SoftwareVersion)
	isBroken := p.Breakers.IsOpen(grant.Server.Address) && !slices.Contains(holderRequest.Avoid, grant.Server.ID)
	if isUncounted || isBroken || isOtherVersion {
		holderRequest.Avoid = append(slices.Clone(holderRequest.Avoid), grant.Server.ID)
		return Choice{}, false
	}
	choice, ok := p.book(r, grant.Server, selection{reason: "granted by the holder", isReplica: true, isGranted: true, softwareVersion: grant.SoftwareVersion})
	choice.Tier = grant.Tier
	return choice, ok
}

// lasted returns how long the outage had lasted at the last unanswered request; 0 before the first one.
func (o *holderOutage) lasted() time.Duration { return o.lastUnansweredAt.Sub(o.startedAt) }

// holderRequest returns the message that asks the holder for a server.
func (p *Placer) holderRequest(r Request) swap.Request {
	return swap.Request{
		ID: r.ID, Daemon: p.Self, FailureDomain: p.FailureDomain, Model: r.Model, Adapter: r.Adapter,
		PromptTokens: r.PromptTokens, Objective: r.Objective, Deadline: r.Deadline, Urgency: r.Urgency, Account: r.Account, Avoid: r.Avoid,
		SoftwareVersion: r.SoftwareVersion,
	}
}

// placeOnListed places a request on a server that has its model loaded according to the platform's
// list. It is used while no holder of the service answers: without a holder, no model is loaded or
// unloaded, so the list stays correct. The request has waited for a holder for some time.
func (p *Placer) placeOnListed(r Request, waited time.Duration) (Choice, bool) {
	servers := slices.DeleteFunc(p.candidates(r), func(s azurehitch.FleetServer) bool {
		return slices.Contains(r.Avoid, s.ID) || !hasLoaded(s, r.Model, r.Adapter)
	})
	return p.placeOn(servers, r, selection{reason: "listed, no holder answers", isReplica: true, waited: waited})
}

// hasLoaded reports whether a server has a model loaded, and the adapter if one is given.
func hasLoaded(s azurehitch.FleetServer, model, adapter string) bool {
	return slices.ContainsFunc(s.Loaded, func(m azurehitch.LoadedModel) bool {
		return m.Name == model && (adapter == "" || slices.Contains(m.Adapters, adapter))
	})
}

// placeOnPinned places a request on a pinned replica with free slots, on a server that has no rate
// limit and is not brittle: requests to such servers have to be counted by the holder. Requests with an adapter or a
// long prompt go to the holder instead: adapters are loaded and unloaded while a replica is pinned,
// and a server should process one long prompt at a time, which only the holder can ensure.
func (p *Placer) placeOnPinned(r Request) (Choice, bool) {
	if r.Adapter != "" || swap.IsLongPrompt(r.PromptTokens) {
		return Choice{}, false
	}
	counts, slowness := map[string]int{}, map[string]float64{}
	for _, replica := range p.Holders.PinnedReplicas(r.Service.Name, r.Model) {
		counts[replica.Server], slowness[replica.Server] = replica.Requests, replica.Slowness
	}
	servers := slices.DeleteFunc(p.candidates(r), func(s azurehitch.FleetServer) bool {
		requests, pinned := counts[s.ID]
		_, hasLimit := p.Limits.Limit(s.ServerIdentity)
		isCounted := hasLimit || p.Rejections.IsBrittle(s.ServerIdentity)
		return !pinned || isCounted || slices.Contains(r.Avoid, s.ID) || float64(requests) >= maxPinnedLoad*float64(s.Slots)
	})
	choice, ok := p.placeOn(servers, r, selection{
		reason: "replica that stays", isReplica: true, slowness: slowness,
		otherRequests: func(s azurehitch.FleetServer) int { return max(counts[s.ID]-p.inProgress[s.ID], 0) },
	})
	if ok {
		p.Holders.CountArrival(r.Service.Name, r.Model)
	}
	return choice, ok
}
