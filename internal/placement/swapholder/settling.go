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
	minimum time.Duration
	// settled are the servers that may get orders.
	settled map[azurehitch.ServerIdentity]bool
	// answersSince is when a server that was silent answered its first report; zero if it is silent.
	answersSince map[azurehitch.ServerIdentity]time.Time
}

func newSettling(minimum time.Duration) settling {
	return settling{minimum: minimum, settled: map[azurehitch.ServerIdentity]bool{}, answersSince: map[azurehitch.ServerIdentity]time.Time{}}
}

// addReport records the outcome of a request for a report, and reports whether the server may get orders.
func (s settling) addReport(server azurehitch.ServerIdentity, requestedAt, answeredAt time.Time, err error) bool {
	if s.minimum == 0 || s.settled[server] {
		return true
	}
	since, wasSilent := s.answersSince[server]
	switch {
	case err != nil:
		s.answersSince[server] = time.Time{}
		return false
	case !wasSilent && answeredAt.Sub(requestedAt) <= promptReport:
	case since.IsZero():
		s.answersSince[server] = answeredAt
		return false
	case requestedAt.Before(since.Add(s.minimum)):
		return false
	}
	s.settled[server] = true
	return true
}
