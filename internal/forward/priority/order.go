package priority

import (
	"cmp"
	"time"
)

// Standing is what the order of service considers of a waiting request.
type Standing struct {
	// ID identifies the request.
	ID string
	// Rank is the urgency; 0 is the most urgent.
	Rank int
	// Objective is when the answer should begin, and TimeToAnswer the expected time from the start of the
	// request at a server until then.
	Objective    time.Time
	TimeToAnswer time.Duration
	// Credit is by how much the request goes before others, because many requests of its kind have been
	// late or refused; see LossCredit. Excess is by how much it goes behind them, because its account has
	// used more than its share; see Turns.
	Credit time.Duration
	Excess time.Duration
	// IsLate is true once the request can no longer be answered by its Objective.
	IsLate bool
}

// rankLead is how much closer to its objective a request must be to go before one that is a rank more
// urgent. With LossCredit, a kind loses about 2 in 100 requests more than one that is a rank more urgent, where
// there are too few slots for both.
const rankLead = 20 * time.Millisecond

// lossCredit is the credit of a kind of which all requests have been late or refused.
const lossCredit = time.Second

// LossCredit returns the credit of the requests of a kind, of which the given share has been late or refused
// of late. Without it, the order by latest start is all or nothing in a lasting overload: of two kinds, the
// one that is due a few milliseconds earlier gets all slots.
func LossCredit(lost float64) time.Duration {
	return time.Duration(min(max(lost, 0), 1) * float64(lossCredit))
}

// LatestStart returns when the request has to start to be answered by its objective.
func (s Standing) LatestStart() time.Time { return s.Objective.Add(-s.TimeToAnswer) }

// MustBeLate reports whether a request that starts now is answered after its objective.
func (s Standing) MustBeLate(now time.Time) bool { return now.After(s.LatestStart()) }

// Compare orders waiting requests by when they are served: first those that can still be on time, each by
// its latest start. A request with a distant objective can wait without a loss, so it goes after those that
// can't; it goes before them once it is due itself, so it does not starve. Ranks decide between requests
// that are due at about the same time.
func Compare(a, b Standing) int {
	return cmp.Or(
		CompareBool(a.IsLate, b.IsLate), a.due().Compare(b.due()), cmp.Compare(a.Rank, b.Rank), cmp.Compare(a.ID, b.ID),
	)
}

// due returns the time by which requests are ordered.
func (s Standing) due() time.Time {
	return s.LatestStart().Add(time.Duration(s.Rank)*rankLead - s.Credit + s.Excess)
}

// CompareBool orders false before true.
func CompareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}
