package explain

import (
	"regexp"
	"strconv"
	"strings"
)

// Outcome classifies how a request ended for its caller.
type Outcome string

// The outcomes. Each request has exactly one.
const (
	OutcomeOnTime Outcome = "OnTime"
	// OutcomeLate means that the response, or an event of a stream, came later than the objective of
	// the route allows.
	OutcomeLate Outcome = "Late"
	// OutcomeRefused means that the daemon refused the request with status 401, 429 or 503.
	OutcomeRefused Outcome = "Refused"
	// OutcomeFailed means any other request without a response from a server, or a response with a 5xx
	// status.
	OutcomeFailed Outcome = "Failed"
	// OutcomeAbandoned means that the caller disconnected before the end.
	OutcomeAbandoned Outcome = "Abandoned"
)

const (
	statusUnauthorized = 401
	statusTooMany      = 429
	statusServerError  = 500
	statusUnavailable  = 503
	statusClientError  = 400
	// reasonAnswered is the logged reason of a request that got a response from a server.
	reasonAnswered = "answered"
	// reasonCallerGone begins the logged reason of a request whose caller disconnected.
	reasonCallerGone = "the caller has gone"
	// placedShare is the share of the objective from which on the wait for a server counts as the
	// cause of a late response.
	placedShare = 0.5
)

// Cause is the outcome of one or more requests and the reason for the outcome.
type Cause struct {
	Outcome Outcome
	// Text describes the reason. Parts that differ between requests, such as addresses and times, are
	// replaced by an ellipsis.
	Text string
}

// cause derives the cause from the log line of the end of a request.
func (l Line) cause() Cause {
	switch {
	case strings.HasPrefix(l.Reason, reasonCallerGone):
		return Cause{OutcomeAbandoned, generalize(l.Reason)}
	case l.Reason != reasonAnswered && l.Status == statusTooMany && l.Account != "":
		return Cause{OutcomeRefused, "account " + l.Account + ": " + generalize(l.Reason)}
	case l.Reason != reasonAnswered && (l.Status == statusUnavailable || l.Status == statusTooMany || l.Status == statusUnauthorized):
		return Cause{OutcomeRefused, generalize(l.Reason)}
	case l.Reason != reasonAnswered:
		return Cause{OutcomeFailed, generalize(l.Reason)}
	case l.Status >= statusServerError:
		return Cause{OutcomeFailed, "a server's own status " + strconv.Itoa(l.Status)}
	case l.Objective > 0 && l.responseTime() > l.Objective:
		return Cause{OutcomeLate, l.lateCause()}
	case l.MaxPause > 0 && l.LongestPause > l.MaxPause:
		return Cause{OutcomeLate, "long pause between events"}
	}
	return Cause{OutcomeOnTime, reasonAnswered}
}

// responseTime returns the time in milliseconds until the first event of a stream, or else until
// the end of the response.
func (l Line) responseTime() float64 {
	if l.FirstEvent > 0 {
		return l.FirstEvent
	}
	return l.Took
}

// lateCause returns the text of the cause of a late response.
func (l Line) lateCause() string {
	if l.Placed < placedShare*l.Objective {
		if strings.Contains(l.Attempts, "; ") {
			return "several attempts"
		}
		return "slow at its server"
	}
	if found := placementBasis.FindStringSubmatch(l.Attempts); found != nil {
		return "waited for a server: " + found[1]
	}
	return "waited for a server"
}

// placementBasis matches, in Line.Attempts, why the first server of a request was chosen and from
// where the model was loaded.
var placementBasis = regexp.MustCompile(`\(([^)]*?), age`)

// variablePart matches what differs between the reasons of requests with the same cause: names with
// digits, addresses, times and numbers.
var variablePart = regexp.MustCompile(`\S*\d\S*`)

// generalize replaces the variable parts of a reason, so that requests with the same cause have the
// same text.
func generalize(reason string) string {
	return strings.Join(strings.Fields(variablePart.ReplaceAllString(reason, "…")), " ")
}

// isCounted reports whether the request is included in the counts. A request that matches no route is
// correctly rejected with a 4xx status, such as 404, and is not counted.
func (l Line) isCounted() bool {
	return l.Route != "" || l.Status < statusClientError || l.Status >= statusServerError
}
