package swapholder

import (
	"time"

	"azurehitch"
)

const (
	// initialUnloadWait is the wait after an unload was accepted until the next order is sent, before anything
	// is learnt: about how long an unload takes on a model without requests.
	initialUnloadWait = expectedUnloadTime + completionMargin
	// minUnloadWait and maxUnloadWait bound the learnt wait. A server whose unloads take longer rejects the
	// next order, which is then sent again.
	minUnloadWait = completionMargin
	maxUnloadWait = 150 * time.Millisecond
	// unloadWaitStep is by how much the wait becomes shorter after the next order was accepted. After a
	// rejection it becomes longer by conflictSteps steps, so that one order in conflictSteps + 1 is rejected
	// if the wait hovers around what the servers need.
	unloadWaitStep = 500 * time.Microsecond
	conflictSteps  = 15
	// promptOrder is the longest time from the end of the wait to the next order for which the answer to that
	// order says something about the wait.
	promptOrder = 20 * time.Millisecond
)

// unloadTime learns how long the servers of a service reject orders after they have accepted an unload. It
// is not safe for concurrent use.
type unloadTime struct {
	wait time.Duration
	// ended is when the wait ended at the servers that have got no order since, by ID.
	ended map[string]time.Time
}

func newUnloadTime() *unloadTime {
	return &unloadTime{wait: initialUnloadWait, ended: map[string]time.Time{}}
}

// waitEnded records that the wait after an unload has ended at a server.
func (u *unloadTime) waitEnded(server string, now time.Time) { u.ended[server] = now }

// ordered records the answer to an order that was sent at the given time. A conflict after an unload probably means
// that the server still carries it out.
func (u *unloadTime) ordered(server string, sentAt time.Time, answer azurehitch.OrderAnswer) {
	ended, follows := u.ended[server]
	delete(u.ended, server)
	switch {
	case !follows || sentAt.Sub(ended) > promptOrder:
	case answer == azurehitch.OrderConflict:
		u.wait = min(u.wait+conflictSteps*unloadWaitStep, maxUnloadWait)
	case answer == azurehitch.OrderAccepted:
		u.wait = max(u.wait-unloadWaitStep, minUnloadWait)
	}
}
