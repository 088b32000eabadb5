package swappeer

import (
	"context"

	"azurehitch"
	"azurehitch/internal/membership/serverlimit"
	"azurehitch/internal/oplog/compacted"
	"azurehitch/internal/peer/peerpb"
	"azurehitch/internal/placement/swapholder"
)

// Server answers the requests and reports that other daemons send to this daemon as the holder of a
// service.
type Server struct {
	// Held contains the services that this daemon holds.
	Held  *swapholder.Set
	Clock azurehitch.Clock
	// ReadPositions returns how far this daemon has read the streams that all daemons follow.
	ReadPositions func() []compacted.Position
	// UnlistedShutdowns is as in Dependencies. RecordShutdowns records the servers that another
	// daemon reports as shutting down.
	UnlistedShutdowns func() []azurehitch.ServerIdentity
	RecordShutdowns   func(servers []azurehitch.ServerIdentity)
	// Limits contains the rate limits of servers, which this daemon exchanges with the others.
	Limits *serverlimit.Tracker
}

// Handle implements mux.Handler. It answers NotHeld if this daemon does not hold the service.
func (s *Server) Handle(ctx context.Context, request *peerpb.Request) *peerpb.Response {
	switch kind := request.Kind.(type) {
	case *peerpb.Request_SwapAsk:
		modelRequest := modelRequestFromProto(request.Daemon, kind.SwapAsk, s.Clock.Now())
		verdict, err := s.Held.RequestReplica(ctx, kind.SwapAsk.Service, modelRequest)
		if err == nil {
			return &peerpb.Response{Kind: &peerpb.Response_SwapAsk{SwapAsk: verdictToProto(verdict)}}
		}
	case *peerpb.Request_SwapReport:
		report := kind.SwapReport
		s.RecordShutdowns(serversFromProto(report.Leaving))
		s.Limits.Merge(rateLimitsFromProto(report.Limits), s.Clock.Now())
		answer, err := s.Held.Report(report.Service, request.Daemon, demandFromProto(report), report.Withdrawn)
		if err == nil {
			return &peerpb.Response{Kind: &peerpb.Response_SwapReport{
				SwapReport: &peerpb.SwapReportResponse{
					Kept: pinnedToProto(answer.Pinned), Read: positionsToProto(s.ReadPositions()), Leaving: serversToProto(s.UnlistedShutdowns()),
					Limits: rateLimitsToProto(s.Limits.Known()), Awaited: answer.Awaited,
				},
			}}
		}
	}
	return &peerpb.Response{Kind: &peerpb.Response_NotHeld{NotHeld: &peerpb.NotHeld{}}}
}
