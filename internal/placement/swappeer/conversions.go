package swappeer

import (
	"math"
	"time"

	"azurehitch"
	"azurehitch/internal/oplog/compacted"
	"azurehitch/internal/peer/peerpb"
	"azurehitch/internal/placement/speed"
	"azurehitch/internal/placement/swap"
)

// modelRequestToProto encodes times as the time remaining until them, because clocks differ between
// hosts.
func modelRequestToProto(service string, request swap.Request, now time.Time) *peerpb.SwapAskRequest {
	var version *string
	if request.SoftwareVersion.IsSet {
		version = &request.SoftwareVersion.Version
	}
	return &peerpb.SwapAskRequest{
		SoftwareVersion: version, Service: service, Id: request.ID, FailureDomain: request.FailureDomain, Model: request.Model, Adapter: request.Adapter,
		ObjectiveMs: request.Objective.Sub(now).Milliseconds(), DeadlineMs: request.Deadline.Sub(now).Milliseconds(),
		Urgency: int32(request.Urgency), Avoid: request.Avoid, Left: serversToProto(request.ShuttingDown),
		Account: request.Account, Resting: backoffsToProto(request.Backoffs), PromptTokens: int32(min(request.PromptTokens, math.MaxInt32)),
	}
}

func serversToProto(servers []azurehitch.ServerIdentity) []*peerpb.ServerStart {
	var list []*peerpb.ServerStart
	for _, s := range servers {
		list = append(list, serverToProto(s))
	}
	return list
}

func serverToProto(s azurehitch.ServerIdentity) *peerpb.ServerStart {
	return &peerpb.ServerStart{Id: s.ID, Address: s.Address, Incarnation: s.Incarnation}
}

// serverFromProto returns the empty identity for nil.
func serverFromProto(s *peerpb.ServerStart) azurehitch.ServerIdentity {
	return azurehitch.ServerIdentity{ID: s.GetId(), Address: s.GetAddress(), Incarnation: s.GetIncarnation()}
}

func serversFromProto(list []*peerpb.ServerStart) []azurehitch.ServerIdentity {
	var servers []azurehitch.ServerIdentity
	for _, s := range list {
		servers = append(servers, serverFromProto(s))
	}
	return servers
}

func rateLimitsToProto(limits []azurehitch.ServerRateLimit) []*peerpb.ServerLimit {
	var list []*peerpb.ServerLimit
	for _, l := range limits {
		list = append(list, &peerpb.ServerLimit{Server: serverToProto(l.Server), PerSecond: l.PerSecond, AgeMs: l.Age.Milliseconds()})
	}
	return list
}

// rateLimitsFromProto leaves out limits that are not a number of at least 0.
func rateLimitsFromProto(list []*peerpb.ServerLimit) []azurehitch.ServerRateLimit {
	var limits []azurehitch.ServerRateLimit
	for _, l := range list {
		if !(l.PerSecond >= 0) || math.IsInf(l.PerSecond, 1) {
			continue
		}
		limits = append(limits, azurehitch.ServerRateLimit{
			Server: serverFromProto(l.Server), PerSecond: l.PerSecond, Age: time.Duration(l.AgeMs) * time.Millisecond,
		})
	}
	return limits
}

func backoffsToProto(backoffs []azurehitch.ServerBackoff) []*peerpb.ServerRest {
	var list []*peerpb.ServerRest
	for _, b := range backoffs {
		list = append(list, &peerpb.ServerRest{Server: b.Server.ID, LeftMs: b.Remaining.Milliseconds()})
	}
	return list
}

func backoffsFromProto(list []*peerpb.ServerRest) []azurehitch.ServerBackoff {
	var backoffs []azurehitch.ServerBackoff
	for _, b := range list {
		remaining := time.Duration(b.LeftMs) * time.Millisecond
		backoffs = append(backoffs, azurehitch.ServerBackoff{Server: azurehitch.ServerIdentity{ID: b.Server}, Remaining: remaining})
	}
	return backoffs
}

func modelRequestFromProto(daemon string, r *peerpb.SwapAskRequest, now time.Time) swap.Request {
	return swap.Request{
		ID: r.Id, Daemon: daemon, FailureDomain: r.FailureDomain, Model: r.Model, Adapter: r.Adapter,
		Objective: now.Add(time.Duration(r.ObjectiveMs) * time.Millisecond),
		Deadline:  now.Add(time.Duration(r.DeadlineMs) * time.Millisecond),
		Urgency:   int(r.Urgency), Account: r.Account, Avoid: r.Avoid, ShuttingDown: serversFromProto(r.Left),
		Backoffs: backoffsFromProto(r.Resting), PromptTokens: int(r.PromptTokens),
		SoftwareVersion: azurehitch.VersionBound{IsSet: r.SoftwareVersion != nil, Version: r.GetSoftwareVersion()},
	}
}

func verdictToProto(v swap.Verdict) *peerpb.SwapAskResponse {
	return &peerpb.SwapAskResponse{
		Kind: string(v.Kind), Server: v.Grant.Server.ID, Address: v.Grant.Server.Address,
		Incarnation: v.Grant.Server.Incarnation, Grant: v.Grant.Number, Tier: string(v.Grant.Tier),
		EstimateMs: v.Estimate.Milliseconds(), Reason: v.Reason, Limited: v.Grant.RateLimited,
		SoftwareVersion: v.Grant.SoftwareVersion,
	}
}

func verdictFromProto(r *peerpb.SwapAskResponse) swap.Verdict {
	return swap.Verdict{
		Kind: swap.VerdictKind(r.Kind),
		Grant: swap.Grant{
			Server: azurehitch.ServerIdentity{ID: r.Server, Address: r.Address, Incarnation: r.Incarnation},
			Number: r.Grant, Tier: azurehitch.CacheTier(r.Tier), RateLimited: r.Limited,
			SoftwareVersion: r.SoftwareVersion,
		},
		Estimate: time.Duration(r.EstimateMs) * time.Millisecond,
		Reason:   r.Reason,
	}
}

// maxPauseUS bounds the pauses in a report to what a duration can hold.
const maxPauseUS = int64(time.Hour / time.Microsecond)

func demandToProto(service string, demand swap.Demand, withdrawn []string) *peerpb.SwapReportRequest {
	request := &peerpb.SwapReportRequest{Service: service, LastGrant: demand.LastGrant, Withdrawn: withdrawn}
	for r, n := range demand.InProgress {
		request.InProgress = append(request.InProgress, &peerpb.SwapCount{Server: r.Server, Model: r.Model, Count: int32(n)})
	}
	for model, n := range demand.Arrivals {
		request.Arrived = append(request.Arrived, &peerpb.SwapCount{Model: model, Count: int32(n)})
	}
	for _, o := range demand.Pauses {
		request.Pauses = append(request.Pauses, &peerpb.SwapPause{Server: o.Server, Model: o.Model, PauseUs: o.Pause.Microseconds()})
	}
	return request
}

func demandFromProto(r *peerpb.SwapReportRequest) swap.Demand {
	demand := swap.Demand{InProgress: map[swap.Replica]int{}, Arrivals: map[string]int{}, LastGrant: r.LastGrant}
	for _, c := range r.InProgress {
		demand.InProgress[swap.Replica{Server: c.Server, Model: c.Model}] = int(c.Count)
	}
	for _, c := range r.Arrived {
		demand.Arrivals[c.Model] = int(c.Count)
	}
	for _, o := range r.Pauses {
		pause := time.Duration(min(max(o.PauseUs, 0), maxPauseUS)) * time.Microsecond
		demand.Pauses = append(demand.Pauses, speed.Observation{Server: o.Server, Model: o.Model, Pause: pause})
	}
	return demand
}

func pinnedToProto(pinned []swap.PinnedReplica) []*peerpb.SwapCount {
	var counts []*peerpb.SwapCount
	for _, k := range pinned {
		counts = append(counts, &peerpb.SwapCount{Server: k.Server, Model: k.Model, Count: int32(k.Requests), Slowness: k.Slowness})
	}
	return counts
}

func pinnedFromProto(counts []*peerpb.SwapCount) []swap.PinnedReplica {
	var pinned []swap.PinnedReplica
	for _, c := range counts {
		pinned = append(pinned, swap.PinnedReplica{Replica: swap.Replica{Server: c.Server, Model: c.Model}, Requests: int(c.Count), Slowness: c.Slowness})
	}
	return pinned
}

func positionsToProto(positions []compacted.Position) []*peerpb.StreamPosition {
	var list []*peerpb.StreamPosition
	for _, p := range positions {
		list = append(list, &peerpb.StreamPosition{Stream: p.Stream, Next: p.Next, AgeMs: p.Age.Milliseconds(), Era: p.Era})
	}
	return list
}

func positionsFromProto(list []*peerpb.StreamPosition) []compacted.Position {
	var positions []compacted.Position
	for _, p := range list {
		// The sender truncates ages to milliseconds, so one is added.
		age := time.Duration(p.AgeMs+1) * time.Millisecond
		positions = append(positions, compacted.Position{Stream: p.Stream, Next: p.Next, Era: p.GetEra(), Age: age})
	}
	return positions
}
