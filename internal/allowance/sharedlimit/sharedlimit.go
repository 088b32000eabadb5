// Package sharedlimit keeps rate limits that many daemons use together, without a message for each
// request. It is a distributed token bucket: each daemon lends its share of all limits to coordinators,
// which refill a bucket for each limit with the shares lent to them and grant units from it.
//
// # Usage
//
//	lender := sharedlimit.NewLender("daemon-1", process, now)
//	lender.SetFleet(now, sharedlimit.Fleet{Daemons: 66, Candidates: strong})
//	ticket := lender.Take(now, "account", limit, cost)
//	for _, message := range lender.Due(now) {
//		// Send message.Report to the daemon message.To, whose Coordinator answers it.
//		answer := coordinator.Handle(now, message.Report)
//		lender.Answered(now, message.To, message.Report.Sequence, answer)
//	}
//
// Both sides are pure: the current time is an argument, and the caller carries the messages. The clock
// of a daemon must advance while its machine is suspended. Neither side is safe for concurrent use.
//
// # Safety
//
// The sum that daemons use stays bounded whatever happens to messages and processes, because a share
// is in use at one place only. Each answer of a coordinator has a stamp of its clock, which the next
// report echoes. A coordinator uses the loan until LoanTime after that stamp; the lender received the
// stamp later, and uses the share itself only from LoanTime after that.
package sharedlimit

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// LoanTime is how long a coordinator uses a loan after the stamp that the report echoes. It
	// covers the loss of two reports.
	LoanTime = 900 * time.Millisecond
	// GrantTime is how long granted units are valid after the request for them was sent.
	GrantTime = 250 * time.Millisecond
	// ReportInterval is the time between two reports to a coordinator.
	ReportInterval = 200 * time.Millisecond
	// MinRequestInterval is the least time between two messages to the same coordinator.
	MinRequestInterval = 10 * time.Millisecond
	// MaxWait is how long a request waits for units.
	MaxWait = 100 * time.Millisecond
	// MaxSilence is how long a coordinator may leave messages unanswered before the next is used.
	MaxSilence = 600 * time.Millisecond
	// probeInterval is the time between two messages to a silent coordinator.
	probeInterval = 3 * time.Second
	// refillRatio is the rate at which buckets refill, as a multiple of that of the limit. It makes up for units
	// that expire or are on their way, which callers could not use otherwise. The rest of the allowed overage
	// covers GrantTime and LoanTime.
	refillRatio = 1.04
	// manyDaemons is the number of daemons from which on manyCoordinators share the limits. Fewer
	// daemons have one, so that a failure concerns one daemon only.
	manyDaemons      = 24
	manyCoordinators = 4
)

// Limit is a rate limit in units.
type Limit struct {
	// PerSecond is the rate, and Burst what may be used at once beyond it.
	PerSecond, Burst float64
}

// isValid reports whether the limit can be kept.
func (l Limit) isValid() bool { return isAmount(l.PerSecond) && isAmount(l.Burst) }

// capacity returns what a bucket with all shares holds.
func (l Limit) capacity() float64 { return l.Burst }

// refill returns the units per second with which a bucket with all shares refills.
func (l Limit) refill() float64 { return l.PerSecond * refillRatio }

// Stamp is a time of a coordinator's clock. Process identifies its process: stamps of different ones
// don't compare.
type Stamp struct {
	Process int64
	// Nanos is the time in nanoseconds; 0 in the zero Stamp, which is none.
	Nanos int64
}

// IsZero reports whether there is no stamp.
func (s Stamp) IsZero() bool { return s == Stamp{} }

// Return gives units back that were not used.
type Return struct {
	Key   string
	Units float64
	// Since is the stamp of the answer that granted the units, or the oldest of several.
	Since Stamp
}

// Want asks for units of a limit.
type Want struct {
	Key string
	// Slot is the slot of the key by the number of daemons that the lender knows.
	Slot Slot
	// Limit is the limit as the lender knows it, for coordinators that don't.
	Limit Limit
	// First is what the first waiting request lacks, Need what all lack, and Extra what the lender
	// expects to use before its next report beyond that.
	First, Need, Extra float64
}

// Report is a message from a lender to a coordinator.
type Report struct {
	Lender string
	// Process identifies the process of the lender, and a later one has a higher number. Sequence
	// numbers its reports.
	Process, Sequence int64
	// Echo is the newest stamp that the lender has from the coordinator.
	Echo Stamp
	// Share is the part of all limits that the lender lends, for the keys of Slots.
	Share    float64
	Slots    []Slot
	Returned []Return
	Wants    []Want
}

// Grant answers a Want.
type Grant struct {
	Key string
	// Units may be 0.
	Units float64
	// Retry is how long it takes until the first waiting request can get its units, given what
	// others wait for; 0 if Units suffice.
	Retry time.Duration
}

// Answer answers a Report.
type Answer struct {
	Stamp Stamp
	// LenderProcess is the highest process of the lender that the coordinator knows. If it is not that
	// of the report, the report had no effect.
	LenderProcess int64
	// IsStale is true if a later report of the same process has been handled before.
	IsStale bool
	// Grants has an entry for each Want.
	Grants []Grant
}

// Slot is a group of keys that have the same coordinator.
type Slot struct {
	// Count is the number of slots, and Index that of this one, from 0.
	Count, Index int
}

// slotCount returns the number of slots for a number of daemons.
func slotCount(daemons int) int {
	if daemons < manyDaemons {
		return 1
	}
	return manyCoordinators
}

// slotOf returns the slot of a key.
func slotOf(key string, count int) Slot {
	return Slot{Count: count, Index: int(xxhash.Sum64String(key) % uint64(count))}
}

// isValidSlot reports whether slotOf returns a slot for some number of daemons.
func isValidSlot(s Slot) bool {
	return (s.Count == 1 || s.Count == manyCoordinators) && s.Index >= 0 && s.Index < s.Count
}

// isAmount reports whether a number of units is positive and finite. Messages may have others.
func isAmount(units float64) bool { return units > 0 && !math.IsInf(units, 1) }

// seconds returns a number of seconds as a duration, at most maxRetry.
func seconds(s float64) time.Duration {
	return time.Duration(min(s, maxRetry.Seconds()) * float64(time.Second))
}

// maxRetry limits estimates of the time until units are available.
const maxRetry = 30 * time.Second
