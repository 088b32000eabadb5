package quarantine

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// firstTrialDelay is the time from the last crash until one request with a held part is sent, to
	// learn whether it still crashes servers. A part that was answered before is held by mistake more
	// often, and is tried after firstTrialDelayAnswered. After each trial, the delay is
	// trialDelayFactor times as long, up to maxTrialDelay.
	firstTrialDelay         = time.Minute
	firstTrialDelayAnswered = 3 * time.Second
	trialDelayFactor        = 5
	maxTrialDelay           = 6 * time.Hour
	// In each period of trialPeriod after that, one daemon may make the trial, which needs a request
	// that arrives there. It has trialWindow at the start of the period, so that daemons whose times
	// differ a little don't make a trial each.
	trialPeriod = 20 * time.Second
	trialWindow = 15 * time.Second
)

// nextTrialAt returns the time from which a request with the part may be sent as a trial.
func (h *hold) nextTrialAt() time.Time {
	delay := firstTrialDelay
	if h.wasAnswered {
		delay = firstTrialDelayAnswered
	}
	for range h.trials {
		delay = min(trialDelayFactor*delay, maxTrialDelay)
	}
	from := h.lastCrashAt
	if h.trialAt.After(from) {
		from = h.trialAt
	}
	return from.Add(delay)
}

// mayTry reports whether a daemon may send a request with the part as a trial now.
func (h *hold) mayTry(part Part, self string, daemons []string, now time.Time) bool {
	late := now.Sub(h.nextTrialAt())
	if late < 0 || late%trialPeriod >= trialWindow {
		return false
	}
	period := int64(late / trialPeriod)
	own := trialWeight(part, self, h.trials, period)
	for _, daemon := range daemons {
		if daemon != self && trialWeight(part, daemon, h.trials, period) > own {
			return false
		}
	}
	return true
}

// countTrial counts a trial.
func (h *hold) countTrial(now time.Time, version int64) {
	h.trials++
	h.trialAt, h.version = now, version
}

// trialWeight is the weight of a daemon in the rendezvous hashing that chooses who makes a trial.
func trialWeight(part Part, daemon string, trials int, period int64) uint64 {
	hash := xxhash.New()
	// A hash never returns an error.
	for _, field := range []string{part.Service, part.ID, daemon} {
		_, _ = hash.WriteString(field + "\x00")
	}
	_, _ = hash.Write([]byte{byte(trials), byte(period), byte(period >> 8), byte(period >> 16)})
	return hash.Sum64()
}
