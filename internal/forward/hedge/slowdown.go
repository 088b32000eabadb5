package hedge

import (
	"maps"
	"math"
	"time"

	"azurehitch/internal/forward/runtimes"
)

const (
	// typicalQuantile is the fraction of the calls of a service that take no longer than a typical one. It is
	// below one half, so that one slow server of two doesn't make it longer.
	typicalQuantile = 0.4
	typicalWindow   = 10 * time.Second
	minTypicalTimes = 5
	maxTypicalTimes = 64
	// slowFactor is the multiple of the normal time of a call from which a service counts as slowed down.
	slowFactor = 2
	// doublingTime is the time in which the normal time doubles while calls take longer. After a slowdown that
	// lasts, the new times are normal ones some minutes later.
	doublingTime = 70 * time.Second
)

// typicalSettings say which calls count as typical ones now.
func typicalSettings() runtimes.Settings {
	return runtimes.Settings{
		Quantile: typicalQuantile, Window: typicalWindow, MaxSamples: maxTypicalTimes, MinSamples: minTypicalTimes,
	}
}

// pace is a normal time. It falls at once when calls are faster, and rises slowly: a server that turns slow is
// late for minutes, not only until its slow calls are the usual ones.
type pace struct {
	normal    time.Duration
	updatedAt time.Time
}

// update returns the pace after calls have taken some time lately.
func (p pace) update(lately time.Duration, now time.Time) pace {
	lately = max(lately, minDelay)
	growth := math.Exp2(now.Sub(p.updatedAt).Seconds() / doublingTime.Seconds())
	if grown := float64(p.normal) * growth; !p.updatedAt.IsZero() && grown < float64(lately) {
		return pace{normal: time.Duration(grown), updatedAt: now}
	}
	return pace{normal: lately, updatedAt: now}
}

// normal returns the normal time of calls that have taken some time lately.
func (t *Tracker) normal(key string, lately time.Duration) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	former, ok := t.paces[key]
	if !ok {
		maps.DeleteFunc(t.paces, func(_ string, p pace) bool { return now.Sub(p.updatedAt) >= timeWindow })
	}
	t.paces[key] = former.update(lately, now)
	return t.paces[key].normal
}

// isSlowed reports whether typical calls take much longer than before: most servers are slower.
func (t *Tracker) isSlowed(service, route string) bool {
	key := serviceKey(service, route)
	typical, _, ok := t.typicalTimes.Learnt(key)
	return ok && typical > slowFactor*t.normal("typical\x00"+key, typical)
}
