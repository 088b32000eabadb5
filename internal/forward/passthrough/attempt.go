package passthrough

import (
	"context"
	"strconv"
	"strings"
	"syscall"
	"time"

	"azurehitch"
	"azurehitch/internal/forward/place"
	"azurehitch/internal/forward/priority"
	"azurehitch/internal/forward/rejectbudget"
	"azurehitch/internal/forward/streams"
	"azurehitch/internal/memory/admission"
	"azurehitch/internal/telemetry/metrics"
	"azurehitch/internal/transport/connpool"
	"azurehitch/internal/transport/serverpath"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

// eventStreamType is the content type of event streams.
const eventStreamType = "text/event-stream"

// result is the outcome of an attempt.
type result struct {
	// answered is true when the response of this attempt is passed to the caller.
	answered bool
	// run says whether the server may have run the request.
	run azurehitch.RunState
	// unsent is true when the connection failed before any byte of the request was sent.
	unsent bool
	// stillLoading is true when the server was ordered to load the model for the request and
	// rejected the request. The load then takes longer than expected, and the server may soon
	// accept the request.
	stillLoading bool
	// isBarred is true when the request was not sent and must not be: its prompt crashes servers, or the
	// server has not the software version of its stream.
	isBarred bool
	cause    error
}

// attemptLog lists the attempts of a request for its log line.
type attemptLog struct{ text strings.Builder }

// note adds a remark between the attempts.
func (l *attemptLog) note(text string) {
	if l.text.Len() > 0 {
		l.text.WriteString("; ")
	}
	l.text.WriteString(text)
}

// add adds an attempt.
func (l *attemptLog) add(choice place.Choice, outcome string) {
	l.note(choice.Server.ID + " (" + choice.Reason)
	if choice.Tier != "" {
		l.text.WriteString(", from " + string(choice.Tier))
	}
	if choice.SoftwareVersion != "" {
		l.text.WriteString(", software " + choice.SoftwareVersion)
	}
	if choice.RateLimit > 0 {
		l.text.WriteString(", limit " + strconv.FormatFloat(choice.RateLimit, 'g', 3, 64) + "/s")
	}
	l.text.WriteString(", age " + strconv.FormatInt(choice.ListAge.Milliseconds(), 10) + " ms): " + outcome)
}

// String returns the attempts in order.
func (l *attemptLog) String() string { return l.text.String() }

// attempt sends the request to a server and returns its response to the caller.
func (r *request) attempt(choice place.Choice) result {
	if r.mayHedge() {
		return r.hedgedAttempt(choice)
	}
	exchange, answer, res := r.exchange(r.ctx, choice, "")
	if exchange == nil {
		choice.End()
		r.attempts.add(choice, res.cause.Error())
		return res
	}
	if r.isEventStream(exchange) {
		return r.relay(choice, exchange)
	}
	exchange.SetKeepAlive(answer.KeepAlive)
	return r.passBody(choice, exchange)
}

// exchange sends the request once and checks the head of the response. On failure it returns a nil
// exchange and a result with the cause. If lastEventID is not empty, the server is asked to resume
// the stream after that event.
func (r *request) exchange(
	ctx context.Context, choice place.Choice, lastEventID string,
) (*connpool.Exchange, azurehitch.ServerAnswer, result) {
	out, err := r.prepare(choice, lastEventID)
	if err != nil {
		return nil, azurehitch.ServerAnswer{}, result{run: azurehitch.RunStateNotRun, isBarred: true, cause: err}
	}
	out.options.MaySend = func() bool {
		r.countSend()
		return true
	}
	exchange, err := r.server.Connections.Do(ctx, choice.Server.Address, out.message, out.options)
	return r.receive(ctx, out, exchange, err)
}

// outgoing is a request that is about to be sent to a server.
type outgoing struct {
	choice    place.Choice
	message   connpool.Request
	options   connpool.Options
	startedAt time.Time
}

// prepare returns the request as it is sent to a server now, and counts it as sent. The error is why the request
// must not be sent. What is prepared must be sent, which releases the body.
func (r *request) prepare(choice place.Choice, lastEventID string) (outgoing, error) {
	if err := r.checkSend(choice); err != nil {
		return outgoing{}, err
	}
	if !r.body.Retain() {
		return outgoing{}, errBodyReleased
	}
	out := outgoing{
		choice: choice, message: attemptRequest(&r.http.Request, r.body), startedAt: r.server.Clock.Now(),
		options: connpool.Options{
			Fresh: !r.route.MayRepeat(), MaxOpen: r.server.ConnectionShare(r.service), DialBy: r.dialDeadline(lastEventID),
		},
	}
	r.server.Protocol.WriteAttempt(attemptHeader{&out.message}, azurehitch.Attempt{
		Server: choice.Server, TimeLeft: r.deadline.Sub(r.server.Clock.Now()),
		Urgency: r.urgency(), LastEvent: lastEventID,
		HasAccounts: r.hasAccounts, Account: r.account.Name,
	})
	r.sends++
	if r.isNewStream() && lastEventID == "" {
		r.server.Streams.Began(r.ID, streams.Origin{Service: r.service.Name, Version: choice.SoftwareVersion}, r.sends)
	}
	if choice.RateLimit > 0 {
		r.server.Metrics.AddLabeled(metrics.RequestsToLimited, choice.Reason, 1)
	}
	return out, nil
}

// receive checks the head of the response to a request that was sent with the context, or records err. On
// failure it returns a nil exchange and a result with the cause.
func (r *request) receive(
	ctx context.Context, out outgoing, exchange *connpool.Exchange, err error,
) (*connpool.Exchange, azurehitch.ServerAnswer, result) {
	choice := out.choice
	if err != nil {
		return nil, azurehitch.ServerAnswer{}, r.exchangeFailed(ctx, choice, err)
	}
	r.noteTunnel(exchange.Through())
	r.server.Metrics.Observe(metrics.FirstByteTime, r.route.Name, r.server.Clock.Now().Sub(out.startedAt))
	answer := r.server.Protocol.ReadAnswer(responseHeader{&exchange.Header})
	if r.isOwn(exchange, answer) {
		r.applyNotice(choice, exchange.Header.StatusCode(), answer, out.startedAt)
		choice.Observe(place.Answer{Rejected: isRefusal(exchange.Header.StatusCode(), answer), Took: r.server.Clock.Now().Sub(out.startedAt)})
	}
	if res := r.checkAnswer(choice, exchange, answer); res.cause != nil {
		// The body is not read, so this closes the connection. A refusal that the server writes on it once
		// more is not taken for that of a later attempt, which has the same id.
		exchange.Close()
		return nil, answer, res
	}
	return exchange, answer, result{}
}

// noteTunnel records that the request was sent through another daemon; empty means directly.
func (r *request) noteTunnel(daemon string) {
	if daemon == "" {
		return
	}
	r.server.Metrics.Add(metrics.RequestsTunneled, 1)
	r.attempts.note("through " + daemon)
}

// checkSend returns an *azurehitch.ErrRefused if the request must not be sent to the chosen server.
func (r *request) checkSend(choice place.Choice) error {
	if !r.bound.Allows(choice.SoftwareVersion) {
		return azurehitch.Refuse(azurehitch.CodeNoCapacity, "%s has the software version %q, not %q",
			choice.Server.ID, choice.SoftwareVersion, r.bound.Version).WithRetryAfter(failureRetryAfter)
	}
	return r.server.Quarantine.Begin(r.quarantineRequest())
}

// applyNotice processes the server's notice in a response. A 421 comes from another server that got
// the same address, so its notice does not apply to the chosen server. A backoff counts only with a
// 503. A response without a rate limit to a request sent at sentAt ends the limit.
func (r *request) applyNotice(choice place.Choice, status int, answer azurehitch.ServerAnswer, sentAt time.Time) {
	if status == fasthttp.StatusMisdirectedRequest {
		return
	}
	notice := answer.ServerNotice
	if status != fasthttp.StatusServiceUnavailable {
		notice.Backoff = 0
	}
	r.server.OnNotice(choice.Server, notice)
	r.server.Rejections.Answered(choice.Server, rejectbudget.Answer{
		Notice: notice, Rejected: status == fasthttp.StatusServiceUnavailable && answer.NotRun, SentAt: sentAt,
	})
	if notice.Backoff == 0 {
		r.server.Backoffs.Accepted(choice.Server)
	}
	if notice.RateLimit == 0 {
		r.server.Limits.NotNamed(choice.Server, sentAt)
	}
}

// urgency returns the rank of the request at a model engine, or -1 for other services.
func (r *request) urgency() int {
	if r.service.Engine == nil {
		return -1
	}
	return r.rank()
}

// rank returns the priority rank of the request.
func (r *request) rank() int { return priority.Rank(r.account, r.route.Priority) }

// exchangeFailed records an exchange without a response, and returns the result of the attempt. A
// server whose exchange was canceled, or whose dial was cut short, is not to blame.
func (r *request) exchangeFailed(ctx context.Context, choice place.Choice, err error) result {
	var failed *connpool.ErrExchange
	res := result{run: azurehitch.RunStateUnknown, cause: err}
	if errors.As(err, &failed) && !failed.Sent {
		res.run = azurehitch.RunStateNotRun
		res.unsent = true
	}
	var noPath *serverpath.ErrNoPath
	if ctx.Err() == nil && !errors.Is(err, connpool.ErrDialDeadline) && !errors.As(err, &noPath) {
		r.recordError(choice, err, time.Time{})
	}
	return res
}

// recordError records that a server gave no complete response because of err. The first event of the
// response came at firstEventAt; zero means that none came. After the request was canceled or its
// deadline has passed, the server is not to blame for the error: its circuit breaker counts no failure.
func (r *request) recordError(choice place.Choice, err error, firstEventAt time.Time) {
	if !r.isOver() {
		choice.BrokeOff()
		r.recordBrokenOff(choice, err, firstEventAt)
		record := r.server.Breakers.Failed
		if errors.Is(err, syscall.ECONNREFUSED) {
			record = r.server.Breakers.ConnectionRefused
		}
		r.avoidServer(choice, record)
	}
	r.countTooLarge(err)
}

// countTooLarge adds to the metric AnswersTooLarge if err says that the response exceeded a size
// limit or the shared memory budget. Other errors are ignored.
func (r *request) countTooLarge(err error) {
	var tooLarge *connpool.ErrTooLarge
	var exhausted *admission.ErrExhausted
	switch {
	case errors.As(err, &tooLarge):
		r.server.Metrics.AddLabeled(metrics.AnswersTooLarge, string(tooLarge.Part), 1)
	case errors.As(err, &exhausted):
		r.server.Metrics.AddLabeled(metrics.AnswersTooLarge, "Memory", 1)
	}
}

// recordBadAnswer records that a server sent a response that can't be passed to the caller.
func (r *request) recordBadAnswer(choice place.Choice) {
	r.avoidServer(choice, r.server.Breakers.Failed)
}

// avoidServer makes further attempts of the request avoid a server. The function record counts the
// failure at the server's circuit breaker and returns true if this failure opened the breaker;
// while the breaker is open, other requests avoid the server too.
func (r *request) avoidServer(choice place.Choice, record func(address string) bool) {
	r.serversToAvoid = append(r.serversToAvoid, choice.Server.ID)
	if record(choice.Server.Address) {
		r.server.Metrics.Add(metrics.BreakersOpened, 1)
	}
}

// finalRefusal returns the refusal for a request whose last attempt failed.
func (r *request) finalRefusal(res result) error {
	if res.isBarred && r.unknownOutcomes == 0 {
		return res.cause
	}
	if res.run == azurehitch.RunStateNotRun && r.unknownOutcomes == 0 {
		return azurehitch.Refuse(azurehitch.CodeNoCapacity, "%v", res.cause).WithRetryAfter(failureRetryAfter)
	}
	return r.unknownOutcomeRefusal(res.cause.Error())
}

// unknownOutcomeRefusal returns the refusal for a request that a server may have run.
func (r *request) unknownOutcomeRefusal(reason string) error {
	code := azurehitch.CodeBackendFailed
	if r.isPastDeadline() || errors.Is(context.Cause(r.ctx), context.DeadlineExceeded) {
		code = azurehitch.CodeDeadlineExceeded
	}
	return &azurehitch.ErrRefused{Code: code, Run: azurehitch.RunStateUnknown, Reason: reason}
}

// isOver reports whether the request has been canceled or its deadline has passed.
func (r *request) isOver() bool { return r.ctx.Err() != nil || r.isPastDeadline() }

// isPastDeadline reports whether the deadline has passed. It does not rely on the context, because
// a read that times out at the deadline may return before the context ends.
func (r *request) isPastDeadline() bool { return !r.server.Clock.Now().Before(r.deadline) }
