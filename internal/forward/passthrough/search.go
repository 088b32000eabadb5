package passthrough

import (
	"time"

	"github.com/pkg/errors"
)

const (
	// A refusal leaves the daemon before its caller does: by a fraction of the time in which the caller
	// expects an answer, up to maxRefusalMargin.
	refusalMarginFraction = 0.125
	maxRefusalMargin      = 200 * time.Millisecond
)

// errNoServerInTime is the cancellation cause of the search for a server that has taken too long: the caller
// is about to leave.
var errNoServerInTime = errors.New("no server could take the request in time")

// searchDeadline returns the time from which the request is refused unless it is being sent to a server.
func (r *request) searchDeadline() time.Time {
	end := r.placeDeadline(r.startedAt)
	margin := time.Duration(refusalMarginFraction * float64(end.Sub(r.startedAt)))
	return end.Add(-min(margin, maxRefusalMargin))
}

// isSearchOver reports whether the request must not be sent to its first server any more.
func (r *request) isSearchOver() bool { return !r.server.Clock.Now().Before(r.searchDeadline()) }

// dialDeadline returns until when a new connection for an attempt is dialed. A stream that goes on after an
// event has begun, so that its caller stays; zero means that only its context ends the attempt.
func (r *request) dialDeadline(lastEventID string) time.Time {
	if lastEventID != "" {
		return time.Time{}
	}
	return r.searchDeadline()
}

// isEndOfSearch reports whether a cancellation cause ended the wait for a server, and nothing else of the
// request.
func isEndOfSearch(cause error) bool {
	return errors.Is(cause, errDraining) || errors.Is(cause, errNoServerInTime)
}
