package explain

import (
	"regexp"
	"strconv"
	"strings"
)

// Outcome is what a caller got.
type Outcome string

// The outcomes.
const (
	OutcomeOnTime    Outcome = "OnTime"
	OutcomeLate      Outcome = "Late"
	OutcomeRefused   Outcome = "Refused"
	OutcomeFailed    Outcome = "Failed"
	OutcomeAbandoned Outcome = "Abandoned"
)

const (
	statusTooMany     = 429
	statusServerError = 500
	statusUnavailable = 503
	statusFirstError  = 400
	// answered is the reason of requests that have the answer of a server.
	answered = "answered"
	gone     = "the caller has gone"
	// placedPart is the part of its objective from which on the wait for a server made a request late.
	placedPart = 0.5
)

// Cause is why requests ended as they did.
type Cause struct {
	Outcome Outcome
	// Text is in words that many requests share.
	Text string
}

// cause tells why a request ended as it did.
func (l Line) cause() Cause {
	switch {
	case strings.HasPrefix(l.Reason, gone):
		return Cause{OutcomeAbandoned, shared(l.Reason)}
	case l.Reason != answered && (l.Status == statusUnavailable || l.Status == statusTooMany):
		return Cause{OutcomeRefused, shared(l.Reason)}
	case l.Reason != answered:
		return Cause{OutcomeFailed, shared(l.Reason)}
	case l.Status >= statusServerError:
		return Cause{OutcomeFailed, "a server's own status " + strconv.Itoa(l.Status)}
	case l.Objective > 0 && l.answeredAfter() > l.Objective:
		return Cause{OutcomeLate, l.lateness()}
	case l.MaxPause > 0 && l.LongestPause > l.MaxPause:
		return Cause{OutcomeLate, "long pause between events"}
	}
	return Cause{OutcomeOnTime, answered}
}

// answeredAfter is when the answer, or its first event, came.
func (l Line) answeredAfter() float64 {
	if l.FirstEvent > 0 {
		return l.FirstEvent
	}
	return l.Took
}

// lateness tells what made an answer late.
func (l Line) lateness() string {
	if l.Placed < placedPart*l.Objective {
		if strings.Contains(l.Attempts, "; ") {
			return "several attempts"
		}
		return "slow at its server"
	}
	if found := basis.FindStringSubmatch(l.Attempts); found != nil {
		return "waited for a server: " + found[1]
	}
	return "waited for a server"
}

// basis finds why the first server of a request was chosen, and from where its model was loaded.
var basis = regexp.MustCompile(`\(([^)]*?), age`)

// particular is what differs between requests that ended for the same cause: names with digits,
// addresses, times and numbers.
var particular = regexp.MustCompile(`\S*\d\S*`)

// shared leaves out what differs between requests that ended for the same cause.
func shared(reason string) string {
	return strings.Join(strings.Fields(particular.ReplaceAllString(reason, "…")), " ")
}

// isOwed reports whether the request was one for a route: others get a 404 by right.
func (l Line) isOwed() bool {
	return l.Route != "" || l.Status < statusFirstError || l.Status >= statusServerError
}
