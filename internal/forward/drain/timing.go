// Package drain decides which requests a daemon still accepts during a planned stop, and when the
// steps of the stop are due.
//
// # Usage
//
//	timing := drain.Timing{PendingSince: signaledAt, StopTimeout: 8 * time.Second}
//	if !timing.Accepts(now, request) { refuse }
//	waitUntil(timing.LatestStart(request))
//
// A request is accepted only if it can be expected to end in time. The process that is stopped does
// not know when the signal came, only when it noticed it; the earliest possible time counts.
package drain

import "time"

const (
	// acceptDuration is the time after which the load balancer has noticed that the daemon is not
	// ready, so that a retry reaches another daemon.
	acceptDuration = 2700 * time.Millisecond
	// cancelMargin is the time before the end of a planned stop at which all requests are canceled.
	// If the process runs late, it is latePauses times the lateness and exitDuration, up to 1/cancelDivisor
	// of the stop timeout: it may be held up again at the cancellation and at the exit.
	cancelMargin  = 500 * time.Millisecond
	cancelDivisor = 8
	latePauses    = 2
	// exitDuration is how long the cancellation and the exit of the process take, and exitFraction the
	// part of the cancel margin that is left for the exit.
	exitDuration = 200 * time.Millisecond
	exitFraction = 0.8
	// catchUpTime is how long a process that was held up reads the answers that have come meanwhile.
	catchUpTime = 60 * time.Millisecond
	// unrepeatableFactor is how many times its estimate a request has to fit in if it may not be
	// repeated. Its caller loses more by a cut than by a refusal.
	unrepeatableFactor = 1.2
	// maxPendingDivisor is the divisor of the stop timeout that gives the longest time for which a
	// signal is taken to have been pending.
	maxPendingDivisor = 2
)

// Timing says when a planned stop began and when it has to end.
type Timing struct {
	// PendingSince is the earliest time at which the signal to stop may have come.
	PendingSince time.Time
	// StopTimeout is the time from then until the process is killed.
	StopTimeout time.Duration
	// Lateness is by how much the process runs late at worst.
	Lateness time.Duration
}

// Request is a request that is to be accepted, or that waits for a server.
type Request struct {
	// Estimate is how long it takes at a server.
	Estimate time.Duration
	// Deadline is when its caller or its route gives up.
	Deadline time.Time
	// MayRepeat is true if it may run more than once.
	MayRepeat bool
}

// PendingSince returns the earliest time at which the signal to stop may have come to a process that noticed it at
// a given time, and ran on time until another. After a long pause, that may be any time; a process for
// which half of the stop timeout is left still ends most of what it has begun.
func PendingSince(noticedAt, onTimeUntil time.Time, stopTimeout time.Duration) time.Time {
	if earliest := noticedAt.Add(-stopTimeout / maxPendingDivisor); onTimeUntil.Before(earliest) {
		return earliest
	}
	return onTimeUntil
}

// End returns the time at which the process may be killed.
func (t Timing) End() time.Time { return t.PendingSince.Add(t.StopTimeout) }

// AcceptUntil returns the time after which only those requests are accepted that end in time in any
// case.
func (t Timing) AcceptUntil() time.Time { return t.PendingSince.Add(acceptDuration) }

// CancelAt returns the time at which all requests are canceled.
func (t Timing) CancelAt() time.Time { return t.End().Add(-t.margin()) }

// IsCancelDue reports whether all requests are to be canceled now, by a process that was last held up
// until the given time.
func (t Timing) IsCancelDue(now, heldUpUntil time.Time) bool {
	hasCaughtUp := !now.Before(heldUpUntil.Add(catchUpTime))
	return !now.Before(t.CancelAt()) && (hasCaughtUp || !now.Before(t.ExitAt()))
}

// ExitAt returns the time at which the daemon ends, whatever is in progress.
func (t Timing) ExitAt() time.Time {
	return t.End().Add(-time.Duration(exitFraction * float64(t.margin())))
}

func (t Timing) margin() time.Duration {
	return min(max(cancelMargin, latePauses*t.Lateness+exitDuration), t.StopTimeout/cancelDivisor)
}

// LatestStart returns the latest time at which a request may be sent to a server.
func (t Timing) LatestStart(r Request) time.Time {
	if !r.Deadline.After(t.CancelAt()) {
		return r.Deadline
	}
	needed := r.Estimate
	if !r.MayRepeat {
		needed = time.Duration(unrepeatableFactor * float64(needed))
	}
	return t.CancelAt().Add(-t.Lateness - needed)
}

// MayStart reports whether a request may be sent to a server now.
func (t Timing) MayStart(now time.Time, r Request) bool { return !now.After(t.LatestStart(r)) }

// Accepts reports whether a request that arrives now is accepted.
func (t Timing) Accepts(now time.Time, r Request) bool {
	if now.After(t.AcceptUntil()) && r.Deadline.After(t.CancelAt()) {
		return false
	}
	return now.Before(t.CancelAt()) && t.MayStart(now, r)
}
