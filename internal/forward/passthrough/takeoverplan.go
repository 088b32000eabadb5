package passthrough

import "time"

const (
	// maxEventGap is how long a resumable stream may be without an event before another server is asked
	// to take it over.
	maxEventGap = 1200 * time.Millisecond
	// firstTakeoverPause is the time from one attempt to the next in the same silence. Each further
	// pause is twice as long.
	firstTakeoverPause = 600 * time.Millisecond
	// maxTimerDelay is the delay of a timer from which the daemon counts as held up. Events may then
	// have arrived that it has had no time to read.
	maxTimerDelay = 200 * time.Millisecond
)

// takeoverPlan decides when other servers are asked to take over a stream.
type takeoverPlan struct {
	// silentSince is since when the stream has had no event, due when the next server is asked, and
	// pause the time from that attempt to the next.
	silentSince time.Time
	due         time.Time
	pause       time.Duration
}

func newTakeoverPlan(now time.Time) takeoverPlan {
	return takeoverPlan{due: now.Add(maxEventGap), pause: firstTakeoverPause}
}

// isDue reports whether a server is to be asked now. The stream has had no event since silentSince;
// zero means that no event is awaited. isDue is called at the due time, and sets the next one if it
// returns false.
func (p *takeoverPlan) isDue(silentSince, now time.Time) bool {
	delay := now.Sub(p.due)
	if silentSince.IsZero() {
		*p = newTakeoverPlan(now)
	} else if !silentSince.Equal(p.silentSince) {
		*p = newTakeoverPlan(silentSince)
		p.silentSince = silentSince
	}
	if now.Before(p.due) {
		return false
	}
	if delay > maxTimerDelay {
		p.due = now.Add(maxTimerDelay)
		return false
	}
	return true
}

// failed records that the server which was asked did not take the stream over.
func (p *takeoverPlan) failed(now time.Time) {
	p.due = now.Add(p.pause)
	p.pause *= 2
}
