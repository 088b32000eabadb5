package holderpeer

import (
	"context"

	"azurehitch"
	"azurehitch/internal/idempotency/outcomes"
	"azurehitch/internal/oplog/control"
	"azurehitch/internal/peer/mux"
	"azurehitch/internal/peer/peerpb"
	"azurehitch/internal/placement/enginepool"
	"azurehitch/internal/placement/loadslots"
	"azurehitch/internal/telemetry/tracing"

	"github.com/pkg/errors"
	"go.opentelemetry.io/otel/attribute"
)

// Server serves the requests of other daemons: for grants, load slots, outcomes of calls, the control
// state and the status of this daemon.
type Server struct {
	Store    *control.Store
	Pools    *enginepool.Set
	Outcomes *outcomes.Store
	Slots    *loadslots.Server
	Clock    azurehitch.Clock
	Tracer   *tracing.Tracer
	// Status returns the status of this daemon.
	Status func() *peerpb.StatusResponse
}

// Handler returns the handler of peer requests.
func (s *Server) Handler() mux.Handler {
	return func(ctx context.Context, request *peerpb.Request) *peerpb.Response {
		ctx, span := s.Tracer.Start(tracing.Extract(ctx, request.GetTraceparent()), "peer",
			attribute.String("asking", request.GetDaemon()))
		defer span.End()
		switch kind := request.Kind.(type) {
		case *peerpb.Request_Acquire:
			return s.acquire(ctx, acquireFromProto(request.GetDaemon(), kind.Acquire))
		case *peerpb.Request_Outcome:
			return s.outcome(ctx, kind.Outcome)
		case *peerpb.Request_State:
			return s.state()
		case *peerpb.Request_Slots:
			return s.slots(ctx, request.GetDaemon(), kind.Slots)
		case *peerpb.Request_Status:
			return &peerpb.Response{Kind: &peerpb.Response_Status{Status: s.Status()}}
		}
		return refusalToProto(azurehitch.Refuse(azurehitch.CodeInvalidRequest, "unknown kind of request"))
	}
}

// notHeld returns the answer of a daemon that holds neither the requested lease nor the outcome of the
// requested call.
func notHeld() *peerpb.Response {
	return &peerpb.Response{Kind: &peerpb.Response_NotHeld{NotHeld: &peerpb.NotHeld{}}}
}

func (s *Server) acquire(ctx context.Context, request enginepool.Request) *peerpb.Response {
	grant, err := s.Pools.Acquire(ctx, request)
	var notHolder *enginepool.ErrNotHeld
	switch {
	case err == nil:
		return grantToProto(grant)
	case errors.As(err, &notHolder):
		return notHeld()
	}
	return errorToProto(err)
}

func (s *Server) slots(ctx context.Context, daemon string, request *peerpb.SlotsRequest) *peerpb.Response {
	answer, err := s.Slots.Exchange(ctx, daemon, slotsFromProto(request, s.Clock.Now()))
	if err != nil {
		return notHeld()
	}
	return slotsAnswerToProto(answer)
}

func (s *Server) outcome(ctx context.Context, request *peerpb.OutcomeRequest) *peerpb.Response {
	run, ok := s.Outcomes.Find(keyFromProto(request))
	if !ok {
		return notHeld()
	}
	outcome, err := run.Wait(ctx)
	if err != nil {
		return notHeld()
	}
	return outcomeToProto(outcome)
}

// state returns a snapshot of the control state, for a daemon that can't read the log.
func (s *Server) state() *peerpb.Response {
	snapshot := s.Store.Snapshot()
	encoded, err := control.Encode(control.Record{Snapshot: &snapshot})
	if err != nil {
		return errorToProto(err)
	}
	return &peerpb.Response{Kind: &peerpb.Response_State{State: &peerpb.StateResponse{Snapshot: encoded}}}
}
