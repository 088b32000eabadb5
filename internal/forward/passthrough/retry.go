package passthrough

import (
	"context"
	"time"

	"azurehitch"
	"azurehitch/internal/telemetry/metrics"

	"github.com/pkg/errors"
)

// The reasons why a request is not sent again.
var (
	errRequestOver  = errors.New("its time is over or it was canceled")
	errBarred       = errors.New("it must not be sent")
	errMayRunOnce   = errors.New("it may run only once")
	errAttemptsUsed = errors.New("no attempts are left")
	errBudgetSpent  = errors.New("the retry budget is spent")
)

// mayRetry reports whether the request is to be sent again, and charges the retry budget unless the
// request never reached the server. If the server still loads the model, mayRetry waits for one of
// the loadingRetryDelays first, at most until the context ends.
func (r *request) mayRetry(ctx context.Context, res result) bool {
	if err := r.chargeRetry(res); err != nil {
		r.attempts.note("not sent again: " + err.Error())
		return false
	}
	return !res.stillLoading || r.server.Clock.Sleep(ctx, loadingRetryDelays[min(r.sends, len(loadingRetryDelays))-1]) == nil
}

// chargeRetry counts the outcome of an attempt and charges another one to the retry budget, or
// returns why there must be none.
func (r *request) chargeRetry(res result) error {
	if r.isOver() {
		return errRequestOver
	}
	if res.isBarred {
		return errBarred
	}
	if res.run != azurehitch.RunStateNotRun {
		r.unknownOutcomes++
		if !r.route.MayRepeat() {
			return errMayRunOnce
		}
		if r.unknownOutcomes >= r.route.MaxAttempts {
			return errAttemptsUsed
		}
	}
	if res.unsent {
		r.unsent++
	}
	if r.isSentTooOften() {
		return errAttemptsUsed
	}
	// A request that did not reach a server put no load on it, so sending it again is not charged
	// to the retry budget.
	if !res.unsent && !r.spendRetry() {
		return errBudgetSpent
	}
	return nil
}

// countOutcome counts the outcome of an attempt beside which another one goes on.
func (r *request) countOutcome(res result) {
	if res.run != azurehitch.RunStateNotRun {
		r.unknownOutcomes++
	}
	if res.unsent {
		r.unsent++
	}
}

// spendRetry reports whether the retry budget allows to send the request again, and charges it if so.
func (r *request) spendRetry() bool {
	charge, ok := r.server.Budget.Spend(r.service.Name)
	if !ok {
		r.server.Metrics.AddLabeled(metrics.RetriesDenied, r.service.Name, 1)
		return false
	}
	r.charge, r.chargedAt = charge, r.server.Clock.Now()
	return true
}

// refundCharge takes back the last charge, unless the retry was sent.
func (r *request) refundCharge() {
	if r.charge != nil {
		r.charge.Refund()
	}
}

// countSend counts a charged retry that is sent now.
func (r *request) countSend() {
	if r.charge == nil {
		return
	}
	r.charge.Sent()
	r.server.Metrics.Observe(metrics.RetryWait, r.route.Name, r.server.Clock.Now().Sub(r.chargedAt))
	r.charge = nil
}

// isSentTooOften reports whether the request was sent so often that it must not be sent again.
func (r *request) isSentTooOften() bool {
	return r.sends-r.unsent >= r.route.MaxAttempts+maxExtraSends || r.unsent > maxUnsentRetries
}

// loadingRetryDelays are the delays before a request is sent again after a server rejected it while
// it still loads the model. The first one is used after the first attempt of the request.
var loadingRetryDelays = []time.Duration{80 * time.Millisecond, 320 * time.Millisecond}

// maxExtraSends is how often a request is sent beyond the MaxAttempts of its route when servers
// reject it without running it.
const maxExtraSends = 2

// maxUnsentRetries is how often a request is sent again after attempts that did not reach a server.
const maxUnsentRetries = 4
