package quarantine

import (
	"fmt"
	"time"

	"azurehitch/internal/membership/daemonrank"
)

const (
	// firstTrialDelay is the time from the last crash until one request of a held subject is sent, to
	// learn whether it still crashes servers. A subject that was answered before is held by mistake more
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

// nextTrialAt returns the time from which a request of the subject may be sent as a trial.
func (h *hold) nextTrialAt() time.Time {
	delay := firstTrialDelay
	if h.wasAnswered {
		delay = firstTrialDelayAnswered
	}
	for trial := 0; trial < h.trials && delay < maxTrialDelay; trial++ {
		delay = min(trialDelayFactor*delay, maxTrialDelay)
	}
	from := h.lastCrashAt
	if h.trialAt.After(from) {
		from = h.trialAt
	}
	return from.Add(delay)
}

// mayTry reports whether a daemon may send a request of the subject as a trial now.
func (h *hold) mayTry(subject Subject, self string, daemons []string, now time.Time) bool {
	late := now.Sub(h.nextTrialAt())
	if late < 0 || late%trialPeriod >= trialWindow {
		return false
	}
	key := fmt.Sprintf("%s\x00%s\x00%s\x00%d\x00%d", subject.Kind, subject.Service, subject.ID, h.trials, late/trialPeriod)
	return daemonrank.Index(key, self, daemons) == 0
}

// countTrial counts a trial.
func (h *hold) countTrial(now time.Time, version int64) {
	h.trials++
	h.trialAt, h.version = now, version
}
