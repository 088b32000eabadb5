package soak_test

import (
	"slices"
	"testing"
	"time"

	"azurehitch/internal/proof/limitbound"
)

// rateLimit is the rate limit that a server names, and the requests that count toward it.
type rateLimit struct {
	perSecond float64
	namedAt   time.Time
	// noticedAt is when each daemon received the first answer with the limit since its last
	// interruption, by daemon number.
	noticedAt map[int]time.Time
	// arrivals are the times at which requests arrived from daemons that knew the limit, within the
	// last limitbound.Window.
	arrivals []time.Time
	// most is the highest number of arrivals that was reported as a violation.
	most int
}

// addNotice records that a daemon received an answer with the limit.
func (l *rateLimit) addNotice(daemon int, isUninterrupted func(daemon int, from, to time.Time) bool) {
	now := time.Now()
	if at, ok := l.noticedAt[daemon]; !ok || !isUninterrupted(daemon, at, now) {
		l.noticedAt[daemon] = now
	}
}

// beginRateLimit records that a server is about to name a rate limit. It returns false if the
// server already names one.
func (c *checker) beginRateLimit(server string, perSecond float64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.rateLimits[server]; ok {
		return false
	}
	c.rateLimits[server] = &rateLimit{perSecond: perSecond, namedAt: time.Now(), noticedAt: map[int]time.Time{}}
	return true
}

// endRateLimit records that a server no longer names a rate limit.
func (c *checker) endRateLimit(server string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.rateLimits, server)
}

// checkRateLimit counts a request that arrived at a server, and checks the rate limit of the server.
// The caller holds the mutex.
func (c *checker) checkRateLimit(daemon int, server string) {
	l, ok := c.rateLimits[server]
	if !ok {
		return
	}
	now := time.Now()
	noticedAt, ok := l.noticedAt[daemon]
	if !ok || now.Sub(noticedAt) < limitbound.NoticeTime || !c.isUninterrupted(daemon, noticedAt, now) {
		return
	}
	l.arrivals = slices.DeleteFunc(append(l.arrivals, now), func(at time.Time) bool { return now.Sub(at) > limitbound.Window })
	if now.Sub(l.namedAt) >= rateLimitSettle && float64(len(l.arrivals)) > max(limitbound.Allowed(l.perSecond), float64(l.most)) {
		l.most = len(l.arrivals)
		c.addViolation(ruleRateLimit, "%s, which had named a limit of %g a second, received %d requests in %v from daemons that knew it; %.1f are allowed",
			server, l.perSecond, len(l.arrivals), limitbound.Window, limitbound.Allowed(l.perSecond))
	}
}

// TestRateLimitExceededByAllDaemons runs callers while an engine and a desk name rate limits, without other faults.
func TestRateLimitExceededByAllDaemons(t *testing.T) {
	var plan []action
	for _, target := range []int{0, engineCount} {
		plan = append(plan, action{fault: rateLimitFault, startsAt: time.Second, duration: limitedTime, target: target, variant: variantCount / 5})
	}
	runPlan(t, shortSeed, plan)
}
