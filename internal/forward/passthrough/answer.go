package passthrough

import (
	"azurehitch"
	"azurehitch/internal/forward/place"
	"azurehitch/internal/transport/connpool"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

// isRefusal reports whether a response states that its request was not run.
func isRefusal(status int, answer azurehitch.ServerAnswer) bool {
	return status == fasthttp.StatusMisdirectedRequest || answer.NotRun
}

// isPromise reports whether callers take a status for the promise that their request was not run.
func isPromise(status int) bool {
	switch status {
	case fasthttp.StatusRequestTimeout, fasthttp.StatusMisdirectedRequest, fasthttp.StatusTooManyRequests, fasthttp.StatusServiceUnavailable:
		return true
	}
	return false
}

// isOwn reports whether a response is surely one to the request. A server may write an earlier response
// again, so it must have the id of the request. A server that refuses a request before it has read the id
// can't echo it: that is accepted on a connection that had no earlier request.
func (r *request) isOwn(exchange *connpool.Exchange, answer azurehitch.ServerAnswer) bool {
	if answer.ID == "" && isRefusal(exchange.Header.StatusCode(), answer) && exchange.IsFirst() {
		return true
	}
	return answer.ID == r.ID
}

// checkAnswer returns a result with a cause if the response must not be passed to the caller.
func (r *request) checkAnswer(choice place.Choice, exchange *connpool.Exchange, answer azurehitch.ServerAnswer) result {
	status := exchange.Header.StatusCode()
	switch {
	case !r.isOwn(exchange, answer):
		return r.badAnswer(choice, errors.Errorf("answer to %q", answer.ID))
	case isRefusal(status, answer):
		return r.refusedBy(choice, status, answer)
	case isPromise(status):
		return r.badAnswer(choice, errors.Errorf("status %d without the statement that the request was not run", status))
	case answer.Encoded:
		return r.badAnswer(choice, errors.New("the body is not as the server made it"))
	case status < fasthttp.StatusMultipleChoices && !answer.Signed:
		return r.badAnswer(choice, errors.New("the answer is not signed"))
	}
	return result{}
}

// refusedBy returns the result of an attempt whose server refused the request without running it.
func (r *request) refusedBy(choice place.Choice, status int, answer azurehitch.ServerAnswer) result {
	isLoading := choice.Tier != "" && r.sends <= maxExtraSends
	if !isLoading {
		r.serversToAvoid = append(r.serversToAvoid, choice.Server.ID)
	}
	return result{
		run: azurehitch.RunStateNotRun, stillLoading: isLoading,
		cause: errors.Errorf("refused with %d, rest %v", status, answer.Backoff),
	}
}

// badAnswer returns the result of an attempt whose response can't be passed to the caller. It says nothing
// about whether the request was run.
func (r *request) badAnswer(choice place.Choice, cause error) result {
	r.recordBadAnswer(choice)
	return result{run: azurehitch.RunStateUnknown, cause: cause}
}
