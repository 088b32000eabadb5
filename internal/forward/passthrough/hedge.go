package passthrough

import (
	"context"
	"slices"
	"time"

	"azurehitch"
	"azurehitch/internal/forward/backoff"
	"azurehitch/internal/forward/hedge"
	"azurehitch/internal/forward/place"
	"azurehitch/internal/telemetry/metrics"
)

const (
	// hedgePlaceTimeout limits the wait for the server of a hedge. The servers that may get it take requests, so
	// that no wait is expected; the answer of the first one is not read meanwhile.
	hedgePlaceTimeout = 5 * time.Millisecond
	// maxHedgeTimerDelay is the delay of a timer from which the daemon counts as held up. Heads may then have
	// arrived that it has had no time to read, so it waits for as long again.
	maxHedgeTimerDelay = 20 * time.Millisecond
)

// Hedges decides which calls are sent to a second server.
type Hedges interface {
	// IsOn reports whether the calls of a service may be hedged at all.
	IsOn(service azurehitch.BackendService) bool
	// Earn counts a request of a service.
	Earn(service azurehitch.BackendService)
	// Begin records that a call is about to be sent to a server.
	Begin(service, route string, server azurehitch.ServerIdentity) *hedge.Exchange
	Decide(request hedge.Request) (*hedge.Permit, hedge.Denial)
}

// mayHedge reports whether the request may be sent to a second server while a first one has it. Requests for
// models are placed by the holder, which may have a model loaded for them.
func (r *request) mayHedge() bool {
	return r.route.Kind == azurehitch.RequestKindIdempotent && r.route.MaxAttempts >= 2 &&
		(r.service.Engine == nil || r.Model == "") && r.server.Hedges != nil && r.server.Hedges.IsOn(r.service)
}

// earnHedge counts the request as one of which a share may be hedged.
func (r *request) earnHedge() {
	if r.server.Hedges != nil {
		r.server.Hedges.Earn(r.service)
	}
}

// permitHedge returns the permit for a hedge beside a late exchange, or why there is none.
func (r *request) permitHedge(late *callAttempt) (*hedge.Permit, hedge.Denial) {
	switch {
	case r.isSearchOver() || !r.mayStillStart() || r.server.drain.hasBegun():
		return nil, hedge.DenialDraining
	case r.server.Quarantine.Check(r.quarantineRequest()) != nil:
		return nil, hedge.DenialQuarantined
	case r.unknownOutcomes+1 >= r.route.MaxAttempts || r.isSentTooOften():
		return nil, hedge.DenialAttemptsUsed
	}
	return r.server.Hedges.Decide(hedge.Request{
		Service: r.service, Route: r.route.Name, First: late.choice.Server, Avoid: r.serversToAvoid, Servers: r.hedgeServers(),
	})
}

// hedgeServers returns the listed servers of the service.
func (r *request) hedgeServers() []hedge.Server {
	var servers []hedge.Server
	for _, listed := range r.server.ListedServers(r.service.Name) {
		if !listed.ShuttingDown && !listed.Missing {
			servers = append(servers, hedge.Server{
				ServerIdentity: listed.ServerIdentity, FailureDomain: listed.FailureDomain, Denial: r.server.hedgeDenial(listed.ServerIdentity),
			})
		}
	}
	return servers
}

// hedgeDenial returns why a server gets no hedges now; empty if it may.
func (s *Server) hedgeDenial(id azurehitch.ServerIdentity) hedge.Denial {
	_, isLimited := s.Limits.Limit(id)
	switch {
	case s.Rejections.IsBrittle(id):
		return hedge.DenialBrittle
	case isLimited:
		return hedge.DenialRateLimited
	case s.Breakers.IsOpen(id.Address):
		return hedge.DenialFailing
	case s.Backoffs.State(id) != backoff.StateAvailable || s.Rejections.IsHeld(id):
		return hedge.DenialServiceFull
	}
	return ""
}

// placeHedge chooses the server of a hedge, or returns why there is none.
func (r *request) placeHedge(late *callAttempt) (*hedge.Permit, place.Choice, hedge.Denial) {
	permit, denial := r.permitHedge(late)
	if denial != "" {
		return nil, place.Choice{}, denial
	}
	ctx, cancel := context.WithTimeout(r.searchCtx, hedgePlaceTimeout)
	defer cancel()
	request := r.placeRequest()
	request.Avoid = permit.Avoid
	choice, err := r.askPlacer(ctx, request)
	if err != nil {
		permit.Refund()
		return nil, choice, hedge.DenialServiceFull
	}
	// A placer falls back to servers to avoid when no others are left.
	if slices.Contains(permit.Avoid, choice.Server.ID) {
		choice.End()
		permit.Refund()
		return nil, choice, hedge.DenialNoOtherServer
	}
	return permit, choice, ""
}

// denyHedge counts a denial.
func (r *request) denyHedge(denial hedge.Denial) {
	r.server.Metrics.AddLabeled(metrics.HedgesDenied, string(denial), 1)
}
