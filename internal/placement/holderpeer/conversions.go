package holderpeer

import (
	"time"

	"azurehitch"
	"azurehitch/internal/configuration/tables"
	"azurehitch/internal/idempotency/claimlog"
	"azurehitch/internal/idempotency/outcomes"
	"azurehitch/internal/peer/peerpb"
	"azurehitch/internal/placement/enginepool"
	"azurehitch/internal/placement/loadslots"
	"azurehitch/internal/placement/planner"

	"github.com/pkg/errors"
)

func acquireToProto(r enginepool.Request) *peerpb.AcquireRequest {
	return &peerpb.AcquireRequest{
		Pool: r.Pool, Model: r.Artifact.Model, Version: r.Artifact.Version, Adapter: r.Artifact.Adapter,
		Waiters: int32(r.Demand.Waiting), InProgress: int32(r.Demand.InProgress), Tier: string(r.Demand.Tier),
	}
}

func acquireFromProto(daemon string, r *peerpb.AcquireRequest) enginepool.Request {
	return enginepool.Request{
		Pool:     r.GetPool(),
		Daemon:   daemon,
		Artifact: azurehitch.Artifact{Model: r.GetModel(), Version: r.GetVersion(), Adapter: r.GetAdapter()},
		Demand: planner.Demand{
			Tier: tables.Tier(r.GetTier()), Waiting: int(r.GetWaiters()), InProgress: int(r.GetInProgress()),
		},
	}
}

func loadToProto(key loadslots.Key) *peerpb.Load {
	return &peerpb.Load{Pool: key.Pool, Model: key.Artifact.Model, Version: key.Artifact.Version, Adapter: key.Artifact.Adapter}
}

func loadFromProto(m *peerpb.Load) loadslots.Key {
	return loadslots.Key{
		Pool:     m.GetPool(),
		Artifact: azurehitch.Artifact{Model: m.GetModel(), Version: m.GetVersion(), Adapter: m.GetAdapter()},
	}
}

// slotsToProto converts a report to its message. It encodes times as durations relative to now, since
// the clocks of daemons differ. A deadline of 0 means none, so passed deadlines are sent as 1 ms.
func slotsToProto(r loadslots.Report, now time.Time) *peerpb.SlotsRequest {
	message := &peerpb.SlotsRequest{Sequence: r.Sequence}
	for _, request := range r.Requests {
		encoded := &peerpb.SlotWant{Load: loadToProto(request.Key), Class: string(request.Class), WaitedMs: now.Sub(request.WaitingSince).Milliseconds()}
		if !request.Deadline.IsZero() {
			encoded.DeadlineMs = max(request.Deadline.Sub(now).Milliseconds(), 1)
		}
		message.Wants = append(message.Wants, encoded)
	}
	for _, key := range r.Granted {
		message.Granted = append(message.Granted, loadToProto(key))
	}
	for _, l := range r.Loading {
		message.Loading = append(message.Loading, &peerpb.SlotLoading{Load: loadToProto(l.Key), Class: string(l.Class)})
	}
	return message
}

func slotsFromProto(m *peerpb.SlotsRequest, now time.Time) loadslots.Report {
	report := loadslots.Report{Sequence: m.GetSequence()}
	for _, want := range m.GetWants() {
		request := loadslots.LoadRequest{Key: loadFromProto(want.GetLoad()), Class: loadslots.Class(want.GetClass()), WaitingSince: now.Add(-milliseconds(want.GetWaitedMs()))}
		if want.GetDeadlineMs() > 0 {
			request.Deadline = now.Add(milliseconds(want.GetDeadlineMs()))
		}
		report.Requests = append(report.Requests, request)
	}
	for _, l := range m.GetGranted() {
		report.Granted = append(report.Granted, loadFromProto(l))
	}
	for _, l := range m.GetLoading() {
		report.Loading = append(report.Loading, loadslots.Loading{Key: loadFromProto(l.GetLoad()), Class: loadslots.Class(l.GetClass())})
	}
	return report
}

func slotsAnswerToProto(a loadslots.Answer) *peerpb.Response {
	message := &peerpb.SlotsResponse{}
	for _, key := range a.Granted {
		message.Granted = append(message.Granted, loadToProto(key))
	}
	for key, ahead := range a.Ahead {
		message.Queued = append(message.Queued, &peerpb.SlotQueued{Load: loadToProto(key), Ahead: int32(ahead)})
	}
	return &peerpb.Response{Kind: &peerpb.Response_Slots{Slots: message}}
}

func slotsAnswerFromProto(m *peerpb.SlotsResponse) loadslots.Answer {
	answer := loadslots.Answer{Ahead: map[loadslots.Key]int{}}
	for _, l := range m.GetGranted() {
		answer.Granted = append(answer.Granted, loadFromProto(l))
	}
	for _, q := range m.GetQueued() {
		answer.Ahead[loadFromProto(q.GetLoad())] = int(q.GetAhead())
	}
	return answer
}

func grantToProto(g enginepool.Grant) *peerpb.Response {
	message := &peerpb.AcquireResponse{
		Token: g.Token, ValidMs: g.ValidFor.Milliseconds(), ColdStartMs: g.Waited.Milliseconds(),
	}
	for _, s := range g.Servers {
		message.Replicas = append(message.Replicas, &peerpb.Replica{Server: s.Name, Address: s.Address})
	}
	return &peerpb.Response{Kind: &peerpb.Response_Acquire{Acquire: message}}
}

func grantFromProto(m *peerpb.AcquireResponse) enginepool.Grant {
	grant := enginepool.Grant{
		Token: m.GetToken(), ValidFor: milliseconds(m.GetValidMs()), Waited: milliseconds(m.GetColdStartMs()),
	}
	for _, r := range m.GetReplicas() {
		grant.Servers = append(grant.Servers, tables.BackendServer{Name: r.GetServer(), Address: r.GetAddress()})
	}
	return grant
}

func outcomeToProto(o outcomes.Outcome) *peerpb.Response {
	if o.Refusal != nil {
		return refusalToProto(o.Refusal)
	}
	return &peerpb.Response{Kind: &peerpb.Response_Outcome{Outcome: &peerpb.OutcomeResponse{
		Status: int32(o.Status), ContentType: o.ContentType, Body: o.Body,
	}}}
}

func outcomeFromProto(m *peerpb.OutcomeResponse) outcomes.Outcome {
	return outcomes.Outcome{Status: int(m.GetStatus()), ContentType: m.GetContentType(), Body: m.GetBody()}
}

func keyToProto(key claimlog.Key) *peerpb.OutcomeRequest {
	return &peerpb.OutcomeRequest{KeyHigh: key.High, KeyLow: key.Low}
}

func keyFromProto(m *peerpb.OutcomeRequest) claimlog.Key {
	return claimlog.Key{High: m.GetKeyHigh(), Low: m.GetKeyLow()}
}

func refusalToProto(r *azurehitch.ErrRefused) *peerpb.Response {
	return &peerpb.Response{Kind: &peerpb.Response_Refusal{Refusal: &peerpb.Refusal{
		Code: string(r.Code), Run: string(r.Run), RetryAfterMs: r.RetryAfter.Milliseconds(), Reason: r.Reason,
	}}}
}

// errorToProto converts an error to a refusal, with code CodeNoCapacity if it is not a refusal
// already.
func errorToProto(err error) *peerpb.Response {
	var refused *azurehitch.ErrRefused
	if errors.As(err, &refused) {
		return refusalToProto(refused)
	}
	return refusalToProto(azurehitch.Refuse(azurehitch.CodeNoCapacity, "%v", err))
}

func refusalFromProto(m *peerpb.Refusal) *azurehitch.ErrRefused {
	return &azurehitch.ErrRefused{
		Code: azurehitch.RefusalCode(m.GetCode()), Run: azurehitch.RunState(m.GetRun()),
		RetryAfter: milliseconds(m.GetRetryAfterMs()), Reason: m.GetReason(),
	}
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
