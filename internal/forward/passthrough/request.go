package passthrough

import (
	"context"
	"strings"
	"time"

	"azurehitch"
	"azurehitch/internal/forward/place"
	"azurehitch/internal/forward/refusal"
	"azurehitch/internal/forward/router"
	"azurehitch/internal/telemetry/logging"
	"azurehitch/internal/telemetry/metrics"
	"azurehitch/internal/transport/callerconn"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

const (
	// Callers of a stream leave after the longest of these without an event: a time, a number
	// of objectives and a number of longest pauses.
	shortestPatience   = 2 * time.Second
	patienceObjectives = 4
	patiencePauses     = 8
	// drainingRetry tells when to come back, to another daemon.
	drainingRetry = 50 * time.Millisecond
	// failureRetry tells when to come back after failures that no estimate covers.
	failureRetry = 300 * time.Millisecond
)

// request is one request in progress.
type request struct {
	server *Server
	http   *fasthttp.RequestCtx
	azurehitch.CallerRequest
	route   azurehitch.PathRoute
	service azurehitch.BackendService
	version int64
	began   time.Time
	// deadline is when the caller, or the route, gives up.
	deadline time.Time
	// ctx ends at the deadline, or when the caller has gone.
	ctx    context.Context
	cancel context.CancelCauseFunc
	unlink func()
	// tried are the servers that failed the request, with sends the number of times that
	// it was to be sent and unknown the number of those that may have run it.
	tried   []string
	sends   int
	unknown int
	// unsent is the number of sends of which no byte can have reached the server.
	unsent int
	trail  trail
	// placed is how long the request has waited for servers, firstEvent when the first event
	// of its stream came, and longestPause the longest time between two events.
	placed       time.Duration
	firstEvent   time.Duration
	longestPause time.Duration
}

// errCallerGone is why a request ends whose caller has closed the connection.
var errCallerGone = errors.New("the caller has gone")

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	s.enter()
	r := &request{
		server: s, http: ctx, began: s.Clock.Now(),
		CallerRequest: s.Protocol.ReadRequest(requestHeader{&ctx.Request.Header}),
		unlink:        func() {},
	}
	if s.isStopping() {
		ctx.SetConnectionClose()
	}
	index := r.awaitTable()
	r.version = index.Table.Version
	if err := r.match(index); err != nil {
		r.cancel = func(error) {}
		r.refuse(err)
		return
	}
	r.start()
	r.run()
}

// match finds the route and the service.
func (r *request) match(index *router.PathIndex) error {
	if r.server.isRefusing() {
		return azurehitch.Refuse(azurehitch.CodeDraining, "the daemon stops").WithRetryAfter(drainingRetry)
	}
	if r.version == 0 {
		return r.unconfigured()
	}
	path, _, _ := strings.Cut(string(r.http.Request.Header.RequestURI()), "?")
	route, ok := index.Route(string(r.http.Request.Header.Host()), path)
	if !ok {
		return azurehitch.Refuse(azurehitch.CodeRouteNotFound, "no route leads to %s", path)
	}
	r.route = route
	name := router.Service(route, r.ID)
	if r.service, ok = index.Table.Services[name]; !ok {
		r.service = azurehitch.BackendService{Name: name}
	}
	return nil
}

// start sets the deadline and watches the caller.
func (r *request) start() {
	timeout := r.route.Timeout
	if r.TimeLeft > 0 && (timeout <= 0 || r.TimeLeft < timeout) {
		timeout = r.TimeLeft
	}
	r.deadline = r.began.Add(timeout)
	limited, cancelTimer := context.WithDeadline(r.server.life, r.deadline)
	ctx, cancel := context.WithCancelCause(limited)
	r.ctx = ctx
	r.cancel = func(cause error) {
		cancel(cause)
		cancelTimer()
	}
	r.unlink = callerconn.Watch(r.http.Conn(), func() { cancel(errCallerGone) })
	r.server.Budget.Earn(r.service.Name)
}

func (r *request) hasCallerGone() bool { return errors.Is(context.Cause(r.ctx), errCallerGone) }

// placeRequest is what the choice of a server depends on.
func (r *request) placeRequest() place.Request {
	return place.Request{
		CallerRequest: r.CallerRequest, Service: r.service, Tried: r.tried,
		Objective: r.began.Add(r.route.Objective), Deadline: r.placeDeadline(), Urgency: r.route.Priority,
	}
}

// placeDeadline is until when a server is of use: callers of streams leave before the
// deadline when no event comes.
func (r *request) placeDeadline() time.Time {
	if r.route.Kind != azurehitch.RequestKindStream {
		return r.deadline
	}
	patience := max(shortestPatience, patienceObjectives*r.route.Objective, patiencePauses*r.route.MaxPause)
	if left := r.began.Add(patience); left.Before(r.deadline) {
		return left
	}
	return r.deadline
}

// run sends the request until it has an answer or may not be sent again.
func (r *request) run() {
	for {
		choice, err := r.place()
		if err != nil {
			r.refuse(r.placeRefusal(err))
			return
		}
		result := r.attempt(choice)
		if result.answered {
			return
		}
		if !r.mayRetry(result) {
			r.refuse(r.finalRefusal(result))
			return
		}
		r.server.Metrics.Add(metrics.RequestsRetried, 1)
	}
}

// place chooses the server of the next attempt.
func (r *request) place() (place.Choice, error) {
	began := r.server.Clock.Now()
	ctx, cancel := context.WithCancel(r.ctx)
	defer cancel()
	stop := context.AfterFunc(r.server.placing, cancel)
	defer stop()
	choice, err := r.server.Placer.Place(ctx, r.placeRequest())
	r.placed += r.server.Clock.Now().Sub(began)
	return choice, err
}

// placeRefusal makes a refusal of what kept a request from a server.
func (r *request) placeRefusal(err error) error {
	var refused *azurehitch.ErrRefused
	switch {
	case errors.As(err, &refused):
	case r.server.placing.Err() != nil:
		refused = azurehitch.Refuse(azurehitch.CodeDraining, "the daemon stops").WithRetryAfter(drainingRetry)
	default:
		refused = azurehitch.Refuse(azurehitch.CodeNoCapacity, "%v", err).WithRetryAfter(failureRetry)
	}
	if r.unknown > 0 {
		return r.unknownRefusal(refused.Reason)
	}
	return refused
}

// refuse answers with a refusal and ends the request.
func (r *request) refuse(err error) {
	refused := &azurehitch.ErrRefused{Code: azurehitch.CodeBackendFailed, Run: azurehitch.RunStateUnknown, Reason: "internal"}
	errors.As(err, &refused)
	response := &r.http.Response
	response.Reset()
	response.Header.SetNoDefaultContentType(true)
	response.SetStatusCode(refusal.Status(refused.Code))
	response.Header.SetContentType(refusal.ContentType)
	r.server.Protocol.WriteRefusal(responseHeader{&response.Header}, r.CallerRequest, refused.RetryAfter)
	response.SetBody(refusal.Encode(refused))
	if r.server.isStopping() {
		r.http.SetConnectionClose()
	}
	r.server.Metrics.AddLabeled(metrics.RequestsRefused, string(refused.Code), 1)
	if r.ctx != nil && r.hasCallerGone() {
		r.server.Metrics.Add(metrics.RequestsAbandoned, 1)
	}
	r.end(refusal.Status(refused.Code), refused.Reason)
}

// end frees the request and logs how it went. It is called once.
func (r *request) end(status int, reason string) {
	if r.ctx != nil && r.hasCallerGone() {
		reason = "the caller has gone: " + reason
	}
	r.unlink()
	r.cancel(nil)
	r.server.leave()
	took := r.server.Clock.Now().Sub(r.began)
	r.server.Metrics.Observe(metrics.RequestTime, r.route.Name, took)
	r.server.Logs.Layer(logging.LayerForward).Info().Str("Request", r.ID).Str("Route", r.route.Name).
		Int64("Configuration", r.version).Str("Model", r.Model).Str("Adapter", r.Adapter).Int("Status", status).
		Str("Reason", reason).Dur("Placed", r.placed).Dur("FirstEvent", r.firstEvent).
		Dur("LongestPause", r.longestPause).Dur("Took", took).Dur("Left", r.deadline.Sub(r.began)-took).
		Dur("Objective", r.route.Objective).Dur("MaxPause", r.route.MaxPause).
		Str("Attempts", r.trail.String()).Msg("request ended")
}

// handleProtocolError answers what is not a proper HTTP request.
func (s *Server) handleProtocolError(ctx *fasthttp.RequestCtx, err error) {
	status := fasthttp.StatusBadRequest
	var tooLarge *fasthttp.ErrSmallBuffer
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		status = fasthttp.StatusRequestEntityTooLarge
	case errors.As(err, &tooLarge):
		status = fasthttp.StatusRequestHeaderFieldsTooLarge
	}
	ctx.Response.Reset()
	ctx.SetStatusCode(status)
	ctx.SetConnectionClose()
	s.Metrics.Add(metrics.RequestsInvalid, 1)
}
