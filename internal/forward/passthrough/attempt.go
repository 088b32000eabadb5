package passthrough

import (
	"context"
	"strconv"
	"strings"
	"syscall"
	"time"

	"azurehitch"
	"azurehitch/internal/forward/place"
	"azurehitch/internal/telemetry/metrics"
	"azurehitch/internal/transport/connpool"
	"azurehitch/internal/transport/membudget"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

// eventStream is the content type of streams.
const eventStream = "text/event-stream"

// result is how an attempt ended.
type result struct {
	// answered is true when the caller has an answer.
	answered bool
	// run says whether the server may have run the request.
	run azurehitch.RunState
	// unsent is true when no byte of the request can have reached the server.
	unsent bool
	// stillLoading is true when the server was told to load the model for this request and
	// refused it: it can take it a little later.
	stillLoading bool
	cause        error
}

// trail is the attempts of a request, for its log line.
type trail struct{ text strings.Builder }

func (t *trail) add(choice place.Choice, outcome string) {
	if t.text.Len() > 0 {
		t.text.WriteString("; ")
	}
	t.text.WriteString(choice.Server.ID + " (" + choice.Basis)
	if choice.Tier != "" {
		t.text.WriteString(", from " + string(choice.Tier))
	}
	t.text.WriteString(", age " + strconv.FormatInt(choice.Age.Milliseconds(), 10) + " ms): " + outcome)
}

// String returns the attempts in their order.
func (t *trail) String() string { return t.text.String() }

// attempt sends the request to a server and passes the answer on.
func (r *request) attempt(choice place.Choice) result {
	exchange, answer, res := r.exchange(choice, "")
	if exchange == nil {
		choice.End()
		r.trail.add(choice, res.cause.Error())
		return res
	}
	if exchange.Header.StatusCode() == fasthttp.StatusOK && r.isEventStream(exchange) {
		return r.relay(choice, exchange)
	}
	exchange.SetKeepAlive(answer.KeepAlive)
	return r.passBody(choice, exchange)
}

func (r *request) isEventStream(exchange *connpool.Exchange) bool {
	return r.route.Kind == azurehitch.RequestKindStream &&
		strings.HasPrefix(string(exchange.Header.ContentType()), eventStream)
}

// exchange sends the request once and checks the head of the answer. Without an exchange,
// the result says why.
func (r *request) exchange(choice place.Choice, lastEvent string) (*connpool.Exchange, azurehitch.ServerAnswer, result) {
	request := attemptRequest(&r.http.Request)
	r.server.Protocol.WriteAttempt(attemptHeader{&request}, azurehitch.Attempt{
		Server: choice.Server, TimeLeft: r.deadline.Sub(r.server.Clock.Now()),
		Urgency: r.urgency(), LastEvent: lastEvent,
	})
	began := r.server.Clock.Now()
	r.sends++
	exchange, err := r.server.Connections.Do(r.ctx, choice.Server.Address, request, connpool.Options{
		Fresh: !r.route.MayRepeat(), MaxOpen: r.server.ConnectionShare(r.service),
	})
	if err != nil {
		return nil, azurehitch.ServerAnswer{}, r.exchangeFailed(choice, err)
	}
	r.server.Metrics.Observe(metrics.FirstByteTime, r.route.Name, r.server.Clock.Now().Sub(began))
	answer := r.server.Protocol.ReadAnswer(responseHeader{&exchange.Header})
	r.notice(choice, exchange.Header.StatusCode(), answer)
	if res := r.checkAnswer(choice, exchange, answer); res.cause != nil {
		exchange.Close()
		return nil, answer, res
	}
	return exchange, answer, result{}
}

// notice takes in what the server says of itself. Another server that got its address speaks for
// itself only.
func (r *request) notice(choice place.Choice, status int, answer azurehitch.ServerAnswer) {
	if status == fasthttp.StatusMisdirectedRequest {
		return
	}
	notice := answer.ServerNotice
	if status != fasthttp.StatusServiceUnavailable {
		notice.Rest = 0
	}
	r.server.Noticed(choice.Server, notice)
	if notice.Rest == 0 {
		r.server.Rests.Taken(choice.Server)
	}
}

// urgency is the rank of the request at a model engine; negative at others.
func (r *request) urgency() int {
	if r.service.Engine == nil {
		return -1
	}
	return min(max(r.route.Priority, 0), maxUrgency)
}

// maxUrgency is the rank of the least urgent requests.
const maxUrgency = 9

func (r *request) exchangeFailed(choice place.Choice, err error) result {
	var failed *connpool.ErrExchange
	res := result{run: azurehitch.RunStateUnknown, cause: err}
	if errors.As(err, &failed) && !failed.Sent {
		res.run = azurehitch.RunStateNotRun
		res.unsent = true
	}
	r.failedBy(choice, err)
	return res
}

// failedBy notes why a server brought no whole answer. Once the request is over, that says nothing
// of the server.
func (r *request) failedBy(choice place.Choice, err error) {
	if !r.isOver() {
		opens := r.server.Breakers.Failed
		if errors.Is(err, syscall.ECONNREFUSED) {
			opens = r.server.Breakers.Refused
		}
		r.noteFailure(choice, opens)
	}
	r.noteTooLarge(err)
}

// noteTooLarge counts an answer that was given up because of its size.
func (r *request) noteTooLarge(err error) {
	var tooLarge *connpool.ErrTooLarge
	var exhausted *membudget.ErrExhausted
	switch {
	case errors.As(err, &tooLarge):
		r.server.Metrics.AddLabeled(metrics.AnswersTooLarge, string(tooLarge.Part), 1)
	case errors.As(err, &exhausted):
		r.server.Metrics.AddLabeled(metrics.AnswersTooLarge, "Memory", 1)
	}
}

// failed notes that a server brought no answer.
func (r *request) failed(choice place.Choice) { r.noteFailure(choice, r.server.Breakers.Failed) }

// noteFailure keeps the request, and others if its breaker opens, from a server.
func (r *request) noteFailure(choice place.Choice, opens func(address string) bool) {
	r.tried = append(r.tried, choice.Server.ID)
	if opens(choice.Server.Address) {
		r.server.Metrics.Add(metrics.BreakersOpened, 1)
	}
}

// checkAnswer returns a cause when the answer is not one for the caller.
func (r *request) checkAnswer(choice place.Choice, exchange *connpool.Exchange, answer azurehitch.ServerAnswer) result {
	status := exchange.Header.StatusCode()
	switch {
	case status == fasthttp.StatusMisdirectedRequest || answer.NotRun:
		res := result{run: azurehitch.RunStateNotRun, cause: errors.Errorf("refused with %d, rest %v", status, answer.Rest)}
		if res.stillLoading = choice.Tier != "" && r.sends <= maxUnrunSends; !res.stillLoading {
			r.tried = append(r.tried, choice.Server.ID)
		}
		return res
	case answer.ID != r.ID:
		r.failed(choice)
		return result{run: azurehitch.RunStateUnknown, cause: errors.Errorf("answer to %q", answer.ID)}
	case answer.Encoded:
		r.failed(choice)
		return result{run: azurehitch.RunStateUnknown, cause: errors.New("the body is not as the server made it")}
	case status < fasthttp.StatusMultipleChoices && !answer.Signed:
		r.failed(choice)
		return result{run: azurehitch.RunStateUnknown, cause: errors.New("the answer is not signed")}
	}
	return result{}
}

// mayRetry reports whether the request is sent once more.
func (r *request) mayRetry(res result) bool {
	if r.isOver() {
		return false
	}
	if res.run != azurehitch.RunStateNotRun {
		r.unknown++
		if !r.route.MayRepeat() || r.unknown >= r.route.MaxAttempts {
			return false
		}
	}
	if res.unsent {
		r.unsent++
	}
	if r.sends-r.unsent >= r.route.MaxAttempts+maxUnrunSends || r.unsent > maxUnsent {
		return false
	}
	// What never arrived at a server loads none, so that its repeat is none for them.
	if !res.unsent && !r.server.Budget.Spend(r.service.Name) {
		return false
	}
	return !res.stillLoading || r.server.Clock.Sleep(r.ctx, loadingPauses[min(r.sends, len(loadingPauses))-1]) == nil
}

// loadingPauses are how long a request waits for a load that was expected to be done, each time that
// its server refuses it.
var loadingPauses = []time.Duration{80 * time.Millisecond, 320 * time.Millisecond}

// maxUnrunSends is how often a request is sent beyond the attempts of its route when
// servers refuse to run it.
const maxUnrunSends = 2

// maxUnsent is how often a request is tried again that did not reach a server.
const maxUnsent = 4

// finalRefusal is the end of a request whose last attempt brought no answer.
func (r *request) finalRefusal(res result) error {
	if res.run == azurehitch.RunStateNotRun && r.unknown == 0 {
		return azurehitch.Refuse(azurehitch.CodeNoCapacity, "%v", res.cause).WithRetryAfter(failureRetry)
	}
	return r.unknownRefusal(res.cause.Error())
}

// unknownRefusal is the end of a request that may have been run.
func (r *request) unknownRefusal(reason string) error {
	code := azurehitch.CodeBackendFailed
	if r.isPastDeadline() || errors.Is(context.Cause(r.ctx), context.DeadlineExceeded) {
		code = azurehitch.CodeDeadlineExceeded
	}
	return &azurehitch.ErrRefused{Code: code, Run: azurehitch.RunStateUnknown, Reason: reason}
}

// isOver reports whether the request may not be worked on any more.
func (r *request) isOver() bool { return r.ctx.Err() != nil || r.isPastDeadline() }

// isPastDeadline reports whether the deadline has passed. A read that ends with it may return
// before the context has ended.
func (r *request) isPastDeadline() bool { return !r.server.Clock.Now().Before(r.deadline) }

// until returns the earlier of a span from now and the deadline.
func (r *request) until(span time.Duration) time.Time {
	end := r.server.Clock.Now().Add(span)
	if end.After(r.deadline) {
		return r.deadline
	}
	return end
}
