package swapholder

import (
	"time"

	"azurehitch"
)

// SettleTime is the value of Dependencies.SettleTime where servers don't check tokens.
const SettleTime = 500 * time.Millisecond

// promptReport is the longest time to a report of a server that was not silent.
const promptReport = 50 * time.Millisecond

// settling decides, for each server, from which report on a holder may send orders. A server that was silent
// may have received orders of the former holder that it has not read yet, while it answers reports already.
type settling struct {
	// settled are the servers that may get orders.
	settled map[azurehitch.ServerIdentity]bool
	// answersSince is when a server that was silent answered its first report; zero if it is silent.
	answersSince map[azurehitch.ServerIdentity]time.Time
}

// reportCall is a request for a report.
type reportCall struct {
	server                  azurehitch.ServerIdentity
	requestedAt, answeredAt time.Time
	err                     error
	// wasSilent is true if the server counts as silent even if it answers at once.
	wasSilent bool
}

func newSettling() settling {
	return settling{settled: map[azurehitch.ServerIdentity]bool{}, answersSince: map[azurehitch.ServerIdentity]time.Time{}}
}

// addReport records a request for a report, and reports whether the server may get orders. A server that was
// silent must have answered reports for the given time.
func (s settling) addReport(call reportCall, minimum time.Duration) bool {
	if minimum == 0 || s.settled[call.server] {
		return true
	}
	since, wasSilent := s.answersSince[call.server]
	wasSilent = wasSilent || call.wasSilent
	switch {
	case call.err != nil:
		s.answersSince[call.server] = time.Time{}
		return false
	case !wasSilent && call.answeredAt.Sub(call.requestedAt) <= promptReport:
	case since.IsZero():
		s.answersSince[call.server] = call.answeredAt
		return false
	case call.requestedAt.Before(since.Add(minimum)):
		return false
	}
	s.settled[call.server] = true
	return true
}

// settles records a request for a report, and reports whether this holder may send orders to the server. The
// caller holds h.mu.
func (h *holder) settles(call reportCall) bool {
	minimum := h.SettleTime
	if call.wasSilent = h.unanswered.hasFormer(call.server, h.token); call.wasSilent {
		minimum = max(minimum, h.ReturnDelay)
	}
	isSettled := h.settling.addReport(call, minimum)
	if isSettled && call.err == nil {
		h.unanswered.remove(call.server)
	}
	return isSettled
}
