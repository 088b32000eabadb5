package passthrough

import (
	"context"
	"strings"
	"sync/atomic"
	"time"

	"azurehitch"
	"azurehitch/internal/forward/place"
	"azurehitch/internal/forward/refusal"
	"azurehitch/internal/forward/router"
	"azurehitch/internal/forward/runtimes"
	"azurehitch/internal/forward/streams"
	"azurehitch/internal/memory/requestbody"
	"azurehitch/internal/telemetry/logging"
	"azurehitch/internal/telemetry/metrics"
	"azurehitch/internal/transport/callerconn"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

const (
	// Callers of a stream are expected to disconnect after the longest of these times without an
	// event: a fixed time, a multiple of the route's objective and a multiple of its longest pause.
	minStreamTimeout        = 2 * time.Second
	streamTimeoutObjectives = 4
	streamTimeoutPauses     = 8
	// drainingRetryAfter is the retry delay of a daemon that is shutting down; the retry reaches
	// another daemon.
	drainingRetryAfter = 50 * time.Millisecond
	// failureRetryAfter is the retry delay after failures without an estimate.
	failureRetryAfter = 300 * time.Millisecond
	// answeredReason is the reason that is logged for a request with a complete answer.
	answeredReason = "answered"
	// maxLoggedParts limits the parts of a prompt in the log line of a request.
	maxLoggedParts = 16
)

// request is one request in progress.
type request struct {
	server *Server
	http   *fasthttp.RequestCtx
	azurehitch.CallerRequest
	// hasAccounts is true if the configuration has accounts, and account is that of the request; it has no name
	// on public routes. refundAllowance returns what the request took from the allowance; nil if nothing.
	hasAccounts     bool
	account         azurehitch.ClientAccount
	refundAllowance func()
	// refusalCode is the code of the refusal; empty if a server has answered.
	refusalCode azurehitch.RefusalCode
	// body is released as soon as no further attempt can need it; nil for none.
	body       *requestbody.Body
	isReleased atomic.Bool
	// fingerprint identifies what the request asks for.
	fingerprint string
	// index is that of the configuration in force when the request came; its table has the configurationVersion.
	index                *router.PathIndex
	route                azurehitch.PathRoute
	service              azurehitch.BackendService
	configurationVersion int64
	startedAt            time.Time
	// deadline is when the timeout of the caller or that of the route ends, whichever is earlier.
	deadline time.Time
	// ctx ends at the deadline, when the caller disconnects, or when the server ends all requests.
	// searchCtx ends with it, and at searchDeadline.
	ctx       context.Context
	searchCtx context.Context
	cancel    context.CancelCauseFunc
	unwatch   func()
	// serversToAvoid holds the ids of the servers that failed or rejected the request; further
	// attempts avoid them. sends counts all attempts, and unknownOutcomes counts the attempts after
	// which the server may have run the request.
	serversToAvoid  []string
	sends           int
	unknownOutcomes int
	// charge is the last retry that was charged to the budget, at chargedAt; nil before.
	charge    azurehitch.RetryCharge
	chargedAt time.Time
	// unsent counts the attempts that failed before any byte can have reached the server.
	unsent   int
	attempts attemptLog
	// placementTime is the total wait for servers, timeToFirstEvent the time from the start of the
	// request to the first event of its stream, and longestPause the longest time between two
	// events.
	placementTime    time.Duration
	timeToFirstEvent time.Duration
	longestPause     time.Duration
	// bound restricts the attempts to the software version that began the stream.
	bound azurehitch.VersionBound
	// isKnownSound is true once an attempt has shown that the prompt does not crash servers.
	isKnownSound bool
	// run measures how long the request takes at servers; nil until it is placed.
	run *runtimes.Run
	// stopEffect is what a planned stop did to the request.
	stopEffect StopEffect
}

// errCallerDisconnected is the cancellation cause of a request whose caller closed the connection.
var errCallerDisconnected = errors.New("the caller has gone")

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	body, ok := s.receiveBody(ctx)
	if !ok {
		return
	}
	s.requestStarted()
	r := &request{
		server: s, http: ctx, body: body, startedAt: s.Clock.Now(),
		CallerRequest: s.Protocol.ReadRequest(requestHeader{&ctx.Request.Header}),
		unwatch:       func() {},
	}
	defer r.closeConnection()
	r.index = r.awaitConfiguration()
	r.configurationVersion = r.index.Table.Version
	if err := r.matchRoute(); err != nil {
		r.cancel = func(error) {}
		r.refuse(err)
		return
	}
	if err := r.authenticate(r.index); err != nil {
		r.cancel = func(error) {}
		r.refuse(err)
		return
	}
	r.fingerprint = fingerprint(&ctx.Request.Header, r.callerIdentity(), body)
	r.start()
	r.forward()
}

// closeConnection makes the response close its connection during a planned stop.
func (r *request) closeConnection() {
	if r.server.drain.hasBegun() {
		r.http.SetConnectionClose()
	}
}

// matchRoute sets the route and the service of the request. The error is an *azurehitch.ErrRefused.
func (r *request) matchRoute() error {
	if r.configurationVersion == 0 {
		return r.unconfiguredRefusal()
	}
	path, _, _ := strings.Cut(string(r.http.Request.Header.RequestURI()), "?")
	route, ok := r.index.Route(string(r.http.Request.Header.Host()), path)
	if !ok {
		return azurehitch.Refuse(azurehitch.CodeRouteNotFound, "no route leads to %s", path)
	}
	r.route = route
	r.setService(router.ChooseService(route, r.ID))
	return nil
}

// setService sets the service to which the request is sent.
func (r *request) setService(name string) {
	var ok bool
	if r.service, ok = r.index.Table.Services[name]; !ok {
		r.service = azurehitch.BackendService{Name: name}
	}
}

// start sets the deadline and watches the caller's connection.
func (r *request) start() {
	timeout := r.route.Timeout
	if r.TimeLeft > 0 && (timeout <= 0 || r.TimeLeft < timeout) {
		timeout = r.TimeLeft
	}
	r.deadline = r.startedAt.Add(timeout)
	deadlineCtx, cancelTimer := context.WithDeadline(r.server.lifeCtx, r.deadline)
	ctx, cancel := context.WithCancelCause(deadlineCtx)
	r.ctx = ctx
	var cancelSearch context.CancelFunc
	r.searchCtx, cancelSearch = context.WithDeadlineCause(ctx, r.searchDeadline(), errNoServerInTime)
	r.cancel = func(cause error) {
		cancel(cause)
		cancelSearch()
		cancelTimer()
	}
	r.unwatch = callerconn.Watch(r.http.Conn(), func() { cancel(errCallerDisconnected) })
}

func (r *request) isCallerDisconnected() bool {
	return errors.Is(context.Cause(r.ctx), errCallerDisconnected)
}

// placeRequest returns the request to the Placer for a server for the next attempt.
func (r *request) placeRequest() place.Request {
	return place.Request{
		CallerRequest: r.CallerRequest, Service: r.service, Avoid: r.serversToAvoid,
		Objective: r.startedAt.Add(r.route.Objective), Deadline: r.placeDeadline(r.startedAt), Urgency: r.rank(), Account: r.account.Name,
		SoftwareVersion: r.bound,
	}
}

// placeDeadline returns the latest time at which a server is still useful to the request. For a
// stream it may be earlier than the deadline, because callers disconnect when no event comes after
// lastEventAt, which is the start of the request before the first event.
func (r *request) placeDeadline(lastEventAt time.Time) time.Time {
	if r.route.Kind != azurehitch.RequestKindStream {
		return r.deadline
	}
	timeout := max(minStreamTimeout, streamTimeoutObjectives*r.route.Objective, streamTimeoutPauses*r.route.MaxPause)
	if streamDeadline := lastEventAt.Add(timeout); streamDeadline.Before(r.deadline) {
		return streamDeadline
	}
	return r.deadline
}

// forward sends the request until it has a response or may not be sent again.
func (r *request) forward() {
	if err := r.checkDrain(); err != nil {
		r.refuse(err)
		return
	}
	if err := r.bindToOrigin(); err != nil {
		r.refuse(err)
		return
	}
	if err := r.server.Quarantine.Check(r.quarantineRequest()); err != nil {
		r.refuse(err)
		return
	}
	if err := r.takeAllowance(); err != nil {
		r.refuse(err)
		return
	}
	for {
		choice, err := r.place()
		if err != nil {
			r.refuse(r.placementRefusal(err))
			return
		}
		result := r.attempt(choice)
		if result.answered {
			return
		}
		if !r.mayRetry(r.searchCtx, result) {
			r.refuse(r.finalRefusal(result))
			return
		}
		r.server.Metrics.Add(metrics.RequestsRetried, 1)
	}
}

// isNewStream reports whether the request asks for a stream from its first event on that its caller may
// take up again.
func (r *request) isNewStream() bool {
	return r.route.Kind == azurehitch.RequestKindStream && r.route.MayRepeat() && r.LastEvent == ""
}

// bindToOrigin binds a request that takes up a stream again to the service and the software version that began the
// stream. Then the service of the request is known, and its budgets count the request.
func (r *request) bindToOrigin() error {
	var err error
	if r.route.Kind == azurehitch.RequestKindStream && r.LastEvent != "" {
		var bound streams.Bound
		bound, err = r.server.Streams.Bound(r.searchCtx, streams.Resumption{
			ID: r.Resumes, Service: r.service.Name, Services: router.Services(r.route),
		})
		r.setService(bound.Service)
		r.bound = bound.VersionBound
		r.noteOrigin(bound)
	}
	r.server.Budget.Earn(r.service.Name)
	r.earnHedge()
	return err
}

// noteOrigin logs where a stream that is taken up again may go on, and who knew it.
func (r *request) noteOrigin(bound streams.Bound) {
	where := "anywhere"
	if bound.IsSet {
		where = bound.Service + " software " + bound.Version
	}
	r.attempts.note("origin " + string(bound.Source) + ": " + where)
}

// place chooses the server of the next attempt. The error may be errDraining or errNoServerInTime.
func (r *request) place() (place.Choice, error) {
	ctx, cancel := context.WithCancelCause(r.searchCtx)
	defer cancel(nil)
	if r.isSearchOver() {
		return place.Choice{}, errNoServerInTime
	}
	r.server.drain.addWaiting(r, cancel)
	defer r.server.drain.removeWaiting(r)
	if !r.mayStillStart() {
		return place.Choice{}, errDraining
	}
	choice, err := r.askPlacer(ctx, r.placeRequest())
	switch {
	case err != nil && isEndOfSearch(context.Cause(ctx)):
		return choice, context.Cause(ctx)
	case err == nil && !r.mayStillStart():
		choice.End()
		return place.Choice{}, errDraining
	case err == nil && r.run == nil:
		r.run = r.server.runTimes.Begin(r.route.Name)
	}
	return choice, err
}

// askPlacer asks the Placer for a server, and counts the wait.
func (r *request) askPlacer(ctx context.Context, request place.Request) (place.Choice, error) {
	startedAt := r.server.Clock.Now()
	choice, err := r.server.Placer.Place(ctx, request)
	r.placementTime += r.server.Clock.Now().Sub(startedAt)
	return choice, err
}

// mayStillStart reports whether no planned stop keeps the request from being sent to a server.
func (r *request) mayStillStart() bool {
	return !r.server.drain.hasBegun() || r.mayStart(r.server.drain.currentTiming())
}

// placementRefusal returns the refusal for a request that got no server because of err.
func (r *request) placementRefusal(err error) error {
	var refused *azurehitch.ErrRefused
	switch {
	case errors.As(err, &refused):
	case errors.Is(err, errDraining):
		r.stopEffect = StopEffectRefusedWaiting
		refused = drainingRefusal()
	default:
		refused = azurehitch.Refuse(azurehitch.CodeNoCapacity, "%v", err).WithRetryAfter(failureRetryAfter)
	}
	if r.unknownOutcomes > 0 {
		return r.unknownOutcomeRefusal(refused.Reason)
	}
	return refused
}

// refuse responds with a refusal and ends the request.
func (r *request) refuse(err error) {
	refused := &azurehitch.ErrRefused{Code: azurehitch.CodeBackendFailed, Run: azurehitch.RunStateUnknown, Reason: "internal"}
	errors.As(err, &refused)
	r.server.writeRefusal(&r.http.Response, r.CallerRequest, refused)
	r.recordRefusal(refused)
	r.server.Metrics.AddLabeled(metrics.RequestsRefused, string(refused.Code), 1)
	if r.ctx != nil && r.isCallerDisconnected() {
		r.server.Metrics.Add(metrics.RequestsAbandoned, 1)
	}
	r.end(refusal.Status(refused.Code), refused.Reason)
}

// end releases the resources of the request and logs its outcome. It is called once.
func (r *request) end(status int, reason string) {
	if r.ctx != nil && r.isCallerDisconnected() {
		reason = "the caller has gone: " + reason
	}
	r.unwatch()
	r.cancel(nil)
	r.releaseBody()
	r.refundCharge()
	r.server.requestEnded()
	took := r.server.Clock.Now().Sub(r.startedAt)
	r.recordRunTime(reason)
	r.recordServed(reason)
	r.recordStop(reason, took)
	r.server.Metrics.Observe(metrics.RequestTime, r.route.Name, took)
	r.logAccount(r.server.Logs.Layer(logging.LayerForward).Info()).Str("Request", r.ID).
		Str("Fingerprint", r.fingerprint).Str("Resumes", r.Resumes).Str("LastEvent", r.LastEvent).Str("Route", r.route.Name).
		Int64("Configuration", r.configurationVersion).Str("Model", r.Model).Str("Adapter", r.Adapter).
		Strs("SharedParts", r.SharedParts[:min(len(r.SharedParts), maxLoggedParts)]).Int("Status", status).
		Str("Reason", reason).Dur("Placed", r.placementTime).Dur("FirstEvent", r.timeToFirstEvent).
		Dur("LongestPause", r.longestPause).Dur("Took", took).Dur("Left", r.deadline.Sub(r.startedAt)-took).
		Dur("Objective", r.route.Objective).Dur("MaxPause", r.route.MaxPause).
		Str("Attempts", r.attempts.String()).Str("Stop", string(r.stopEffect)).Msg("request ended")
}

// recordRunTime records how long the request took at servers. What a caller takes up again is only a
// part of an answer.
func (r *request) recordRunTime(reason string) {
	if r.run == nil {
		return
	}
	outcome := runtimes.OutcomeFailed
	if reason == answeredReason && r.LastEvent == "" {
		outcome = runtimes.OutcomeComplete
	}
	r.run.End(outcome)
}
