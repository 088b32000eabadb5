package caller

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"strings"
	"time"

	"azurehitch"
	"azurehitch/internal/configuration/tables"
	"azurehitch/internal/forward/router"
	"azurehitch/internal/telemetry/metrics"
	"azurehitch/internal/telemetry/tracing"

	"github.com/valyala/fasthttp"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"
)

// The headers that this API adds to the headers of common model APIs.
const (
	// HeaderTimeout is the timeout of a request as a Go duration, such as 30s.
	HeaderTimeout = "Azurehitch-Timeout"
	// HeaderRequestID identifies a request in responses, traces and journals.
	HeaderRequestID = "X-Request-Id"
	// HeaderIdempotencyKey is a key chosen by the caller. Calls of one caller with the same key are
	// run at most once.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderColdStart is how long the request waited for a replica, in milliseconds.
	HeaderColdStart = "Azurehitch-Cold-Start"
	// HeaderDaemon names the daemon that accepted the request.
	HeaderDaemon = "Azurehitch-Daemon"
	// HeaderServer names the backend server that sent the response.
	HeaderServer = "Azurehitch-Backend-Server"
	// HeaderRunState says in an error response whether the request was run.
	HeaderRunState = "Azurehitch-Run"
)

const (
	apiPrefix              = "/v1/"
	requestIDBytes         = 16
	maxIdempotencyKeyBytes = 256
)

// request is a request that has been accepted and counted as in progress.
type request struct {
	server *Server
	http   *fasthttp.RequestCtx
	// ctx ends at the deadline. cancel releases its timer when the request has ended.
	ctx       context.Context
	cancel    context.CancelFunc
	span      trace.Span
	id        string
	index     *router.Index
	caller    tables.Caller
	coldStart time.Duration
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	if !s.tryBeginRequest() {
		s.Metrics.AddLabeled(metrics.RequestsRefused, string(azurehitch.CodeDraining), 1)
		writeRefusal(ctx, azurehitch.Refuse(azurehitch.CodeDraining, "this daemon stops").WithRetryAfter(drainRetryAfter))
		ctx.SetConnectionClose()
		return
	}
	s.Metrics.Add(metrics.RequestsAccepted, 1)
	r := s.newRequest(ctx)
	if err := r.prepare(); err != nil {
		r.refuse(err)
		return
	}
	switch path := string(ctx.Path()); {
	case path == apiPrefix+"models":
		r.serveModels()
	case path == apiPrefix+"chat/completions", path == apiPrefix+"completions":
		r.serveCompletion()
	case strings.HasPrefix(path, apiPrefix):
		r.refuse(azurehitch.Refuse(azurehitch.CodeRouteNotFound, "the API has no %s", path))
	default:
		r.serveService()
	}
}

func (s *Server) newRequest(ctx *fasthttp.RequestCtx) *request {
	id := newRequestID()
	parent := tracing.Extract(context.Background(), string(ctx.Request.Header.Peek(tracing.HeaderTraceparent)))
	traced, span := s.Tracer.Start(parent, "accept",
		attribute.String("request", id), attribute.String("path", string(ctx.Path())), attribute.String("daemon", s.Self.Daemon))
	ctx.Response.Header.Set(HeaderRequestID, id)
	ctx.Response.Header.Set(HeaderDaemon, s.Self.Daemon)
	if traceparent := tracing.Traceparent(traced); traceparent != "" {
		ctx.Response.Header.Set(tracing.HeaderTraceparent, traceparent)
	}
	return &request{server: s, http: ctx, ctx: traced, cancel: func() {}, span: span, id: id}
}

func newRequestID() string {
	var random [requestIDBytes]byte
	// crypto/rand.Read never fails.
	_, _ = rand.Read(random[:])
	return hex.EncodeToString(random[:])
}

// prepare authenticates the caller, checks its rate limit and sets the deadline. The error is an
// *azurehitch.ErrRefused.
func (r *request) prepare() error {
	r.index = r.server.routes()
	if r.index.Configuration.Version == 0 {
		return azurehitch.Refuse(azurehitch.CodeNotConfigured, "no configuration is in force").WithRetryAfter(time.Second)
	}
	key, ok := strings.CutPrefix(string(r.http.Request.Header.Peek(fasthttp.HeaderAuthorization)), "Bearer ")
	if !ok {
		return azurehitch.Refuse(azurehitch.CodeInvalidCredentials, "the Authorization header holds no Bearer key")
	}
	if r.caller, ok = r.index.Caller(key); !ok {
		return azurehitch.Refuse(azurehitch.CodeInvalidCredentials, "the key belongs to no caller")
	}
	if !r.server.isWithinRate(r.caller) {
		retry := time.Duration(float64(time.Second) / r.caller.RequestsPerSecond)
		return azurehitch.Refuse(azurehitch.CodeRateLimited, "caller %s has a rate of %v requests a second", r.caller.Name, r.caller.RequestsPerSecond).WithRetryAfter(retry)
	}
	timeout, err := r.timeout()
	if err != nil {
		return err
	}
	deadline := r.server.Clock.Now().Add(timeout)
	r.ctx, r.cancel = context.WithDeadline(r.ctx, deadline)
	return nil
}

func (r *request) timeout() (time.Duration, error) {
	text := string(r.http.Request.Header.Peek(HeaderTimeout))
	if text == "" {
		return r.server.settings.DefaultTimeout, nil
	}
	timeout, err := time.ParseDuration(text)
	if err != nil || timeout <= 0 || timeout > r.server.settings.MaxTimeout {
		return 0, azurehitch.Refuse(azurehitch.CodeInvalidRequest, "%s %q is not a duration above 0 and up to %v",
			HeaderTimeout, text, r.server.settings.MaxTimeout)
	}
	return timeout, nil
}

// end counts the request in a metric and releases its resources. It is called once.
func (r *request) end(counter metrics.Name) {
	r.server.Metrics.Add(counter, 1)
	r.finish()
}

func (r *request) finish() {
	r.cancel()
	r.span.End()
	r.server.endRequest()
}

// refuse sends the error to the caller as a refusal and ends the request.
func (r *request) refuse(err error) {
	refused := r.toRefusal(err)
	r.span.SetAttributes(attribute.String("refused", string(refused.Code)), attribute.String("run", string(refused.Run)))
	writeRefusal(r.http, refused)
	if refused.Run == azurehitch.RunStateUnknown {
		r.server.Metrics.Add(metrics.RequestsUnknown, 1)
	}
	r.server.Metrics.AddLabeled(metrics.RequestsRefused, string(refused.Code), 1)
	r.finish()
}
