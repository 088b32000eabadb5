package passthrough

import (
	"net"
	"time"

	"azurehitch"
	"azurehitch/internal/forward/refusal"
	"azurehitch/internal/memory/admission"
	"azurehitch/internal/memory/requestbody"
	"azurehitch/internal/telemetry/logging"
	"azurehitch/internal/telemetry/metrics"
	"azurehitch/internal/transport/lingerconn"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

const (
	// prefetchedBytes is the size up to which the HTTP library has read an announced body with its head.
	prefetchedBytes = 8 << 10
	// memoryRetryAfter is the retry delay of a request for whose body there is no memory. Bodies are released
	// when the answers to their requests begin.
	memoryRetryAfter = 500 * time.Millisecond
	// causeTooLarge is the label of the metric BodiesRefused for a body beyond the limit of the configuration.
	causeTooLarge = "TooLarge"
)

// refusedLinger bounds how long a connection stays open for a caller that still sends a refused body, so that it can
// read the answer.
var refusedLinger = lingerconn.Limits{Bytes: 1 << 20, Time: 500 * time.Millisecond}

// errBodyReleased is why a request can't be sent again whose body is not held any more.
var errBodyReleased = errors.New("the body of the request is held no longer")

// maxBodyBytes returns the largest body that is accepted: that of the configuration, within the settings.
func (s *Server) maxBodyBytes() int {
	limit := s.settings.MaxBodyBytes
	if configured := s.Routing().Table.Limits.MaxBodyBytes; configured > 0 {
		limit = min(limit, configured)
	}
	return limit
}

// receiveBody reads the body of a request within the memory budget. It returns false after it has answered a
// request whose body was not received.
func (s *Server) receiveBody(ctx *fasthttp.RequestCtx) (*requestbody.Body, bool) {
	stream := ctx.RequestBodyStream()
	length := ctx.Request.Header.ContentLength()
	if stream == nil || length == 0 {
		return nil, true
	}
	limits := requestbody.Limits{Length: max(length, requestbody.UnknownLength), Max: s.maxBodyBytes()}
	body, err := requestbody.Read(s.lifeCtx, stream, limits, s.newReservation(ctx, length))
	if err != nil {
		s.refuseBody(ctx, err)
		return nil, false
	}
	return body, true
}

// newReservation returns the reservation for the body of a request. A short body that was read with its head
// can't stall.
func (s *Server) newReservation(ctx *fasthttp.RequestCtx, length int) *admission.Reservation {
	caller := callerAddress(ctx)
	if length > 0 && length <= prefetchedBytes {
		return s.Connections.Memory().NewRequest(caller, nil)
	}
	conn := ctx.Conn()
	return s.Connections.Memory().NewRequest(caller, func() {
		// A connection that can't take a deadline is closed already.
		_ = conn.SetReadDeadline(time.Unix(1, 0))
	})
}

// callerAddress returns the address of a caller without its port.
func callerAddress(ctx *fasthttp.RequestCtx) string {
	if tcp, ok := ctx.RemoteAddr().(*net.TCPAddr); ok {
		return tcp.IP.String()
	}
	return ctx.RemoteAddr().String()
}

// releaseBody releases the body of the request, which no further attempt can need. Further calls do nothing.
func (r *request) releaseBody() {
	if !r.isReleased.Swap(true) {
		r.body.Release()
	}
}

// expectBody answers "Expect: 100-continue": with another status than 100, the body is not sent.
func (s *Server) expectBody(ctx *fasthttp.RequestCtx) int {
	length := ctx.Request.Header.ContentLength()
	switch limit := s.maxBodyBytes(); {
	case length > limit:
		s.refuseBody(ctx, &requestbody.ErrTooLarge{Max: limit})
	case length > 0 && !s.Connections.Memory().HasRoom(length):
		s.refuseBody(ctx, s.Connections.Memory().ExhaustedError())
	default:
		return fasthttp.StatusContinue
	}
	return ctx.Response.StatusCode()
}

// refuseBody answers a request whose body was not received, and closes its connection.
func (s *Server) refuseBody(ctx *fasthttp.RequestCtx, err error) {
	var exhausted *admission.ErrExhausted
	var tooLarge *requestbody.ErrTooLarge
	switch {
	case errors.As(err, &exhausted) && exhausted.Cause == admission.CauseStalled:
		s.respondInvalid(ctx, fasthttp.StatusRequestTimeout)
		s.recordRefusedBody(ctx, string(exhausted.Cause))
	case errors.As(err, &exhausted):
		s.respondNoMemory(ctx, exhausted)
		s.recordRefusedBody(ctx, string(exhausted.Cause))
	case errors.As(err, &tooLarge):
		s.respondInvalid(ctx, fasthttp.StatusRequestEntityTooLarge)
		s.recordRefusedBody(ctx, causeTooLarge)
	default:
		s.respondInvalid(ctx, protocolErrorStatus(err))
	}
	lingerconn.Linger(ctx.Conn())
}

// respondNoMemory refuses a request as not run because the memory budget is exhausted.
func (s *Server) respondNoMemory(ctx *fasthttp.RequestCtx, cause *admission.ErrExhausted) {
	refused := azurehitch.Refuse(azurehitch.CodeNoCapacity, "%v", cause).WithRetryAfter(memoryRetryAfter)
	response := &ctx.Response
	response.Reset()
	response.Header.SetNoDefaultContentType(true)
	response.SetStatusCode(refusal.Status(refused.Code))
	response.Header.SetContentType(refusal.ContentType)
	request := s.Protocol.ReadRequest(requestHeader{&ctx.Request.Header})
	s.Protocol.WriteRefusal(responseHeader{&response.Header}, request, refused.RetryAfter)
	response.SetBody(refusal.Encode(refused))
	ctx.SetConnectionClose()
	s.Metrics.AddLabeled(metrics.RequestsRefused, string(refused.Code), 1)
}

// recordRefusedBody counts a request whose body was not received, and logs it with its caller. The log drops
// lines when they come faster than it writes them.
func (s *Server) recordRefusedBody(ctx *fasthttp.RequestCtx, cause string) {
	s.Metrics.AddLabeled(metrics.BodiesRefused, cause, 1)
	s.Logs.Layer(logging.LayerForward).Info().Str("Cause", cause).Str("Caller", callerAddress(ctx)).
		Int("Announced", ctx.Request.Header.ContentLength()).Int64("Taken", int64(s.Connections.Memory().Taken())).
		Msg("body refused")
}
