package sharedlimit

import (
	"math"
	"time"
)

const (
	// backlogTime is the time over which a lender averages what it grants and refuses.
	backlogTime = 2 * time.Second
	// minBacklog is the number of refused requests from which on the average is used. With fewer, the
	// estimate of the coordinator is better.
	minBacklog = 3
	// maxBacklogWait limits the retry time that follows from the backlog.
	maxBacklogWait = 10 * time.Second
	// spreadStep is the golden ratio: its multiples, without the integer part, spread evenly.
	spreadStep = 0.6180339887498949
)

// backlog estimates how long refused requests of a key would have to wait. An account with lasting excess
// leaves more behind each second than the limit lets pass. Callers that return as soon as the bucket has a few units
// would be refused once more, and take the units of others.
type backlog struct {
	// granted and refused are units, and requests is the number of refused requests, in the last backlogTime.
	granted, refused, requests float64
	at                         time.Time
	spread                     float64
}

// decay forgets what is older than backlogTime.
func (b *backlog) decay(now time.Time) {
	if elapsed := now.Sub(b.at); elapsed > 0 {
		factor := math.Exp(-elapsed.Seconds() / backlogTime.Seconds())
		b.granted, b.refused, b.requests = b.granted*factor, b.refused*factor, b.requests*factor
	}
	b.at = now
}

func (b *backlog) grant(now time.Time, units float64) {
	b.decay(now)
	b.granted += units
}

// refuse counts a refused request, and returns the time after which it should come back: until the units that were
// refused before it can have been granted, spread so that the requests don't return together.
func (b *backlog) refuse(now time.Time, units float64) time.Duration {
	b.decay(now)
	b.refused += units
	if b.requests++; b.requests < minBacklog {
		return 0
	}
	_, b.spread = math.Modf(b.spread + spreadStep)
	const minPart, spreadPart = 0.7, 0.6
	wait := backlogTime.Seconds() * b.refused / (b.granted + units) * (minPart + spreadPart*b.spread)
	return min(seconds(wait), maxBacklogWait)
}
