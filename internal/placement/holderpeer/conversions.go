package holderpeer

import (
	"time"

	"azurehitch"
	"azurehitch/internal/configuration/tables"
	"azurehitch/internal/idempotency/claimlog"
	"azurehitch/internal/idempotency/outcomes"
	"azurehitch/internal/peer/peerpb"
	"azurehitch/internal/placement/enginepool"
	"azurehitch/internal/placement/planner"

	"github.com/pkg/errors"
)

func acquireToProto(r enginepool.Request) *peerpb.AcquireRequest {
	return &peerpb.AcquireRequest{
		Pool: r.Pool, Model: r.Artifact.Model, Version: r.Artifact.Version, Adapter: r.Artifact.Adapter,
		Waiters: int32(r.Demand.Waiting), InProgress: int32(r.Demand.InProgress),
	}
}

func acquireFromProto(daemon string, r *peerpb.AcquireRequest) enginepool.Request {
	return enginepool.Request{
		Pool:     r.GetPool(),
		Daemon:   daemon,
		Artifact: azurehitch.Artifact{Model: r.GetModel(), Version: r.GetVersion(), Adapter: r.GetAdapter()},
		Demand:   planner.Demand{Waiting: int(r.GetWaiters()), InProgress: int(r.GetInProgress())},
	}
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

// errorToProto makes a refusal of any error.
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
