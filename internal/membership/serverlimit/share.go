package serverlimit

import (
	"time"

	"azurehitch"
	"azurehitch/internal/membership/daemonrank"
)

const (
	// maxSharers is how many daemons share the limit of a server. Each may save up one request, so
	// that the sum exceeds the limit by at most maxSharers requests.
	maxSharers = 3
	// Each time that there was no news of a limit for silentRequests requests of a sharer, and for at
	// least minSilence, one more daemon uses it: the daemons that share it may no longer run.
	silentRequests = 3
	minSilence     = 15 * time.Second
)

// Allow reports whether this daemon may send a request to a server now without a grant by a holder,
// and counts the request if the server has a limit. A limit is shared by the first maxSharers
// daemons in the ranking of the server. All daemons rank in the same order, so that a daemon does
// not depend on others to know its share.
func (t *Tracker) Allow(server azurehitch.ServerIdentity) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.shareOf(server)
	return ok && (s == nil || s.Take(t.clock.Now()))
}

// Wait returns the time until a server may be sent a request without a grant by a holder. For a
// daemon without a share of the limit, it is the mean time between two requests of all daemons.
func (t *Tracker) Wait(server azurehitch.ServerIdentity) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.shareOf(server)
	switch {
	case !ok:
		return interval(t.limits[server].perSecond)
	case s == nil:
		return 0
	}
	return s.Wait(1, t.clock.Now())
}

// interval returns the time between two events at a rate.
func interval(perSecond float64) time.Duration {
	return time.Duration(float64(time.Second) / perSecond)
}

// shareOf returns the share of this daemon in the limit of a server; nil if the server has no
// limit. It returns false if this daemon has no share. The caller holds t.mu.
func (t *Tracker) shareOf(server azurehitch.ServerIdentity) (*Bucket, bool) {
	l, ok := t.limits[server]
	if !ok || l.perSecond == 0 {
		return nil, true
	}
	daemons := t.daemons()
	now := t.clock.Now()
	sharers := max(min(maxSharers, len(daemons)), 1)
	perSecond := l.perSecond / float64(sharers)
	pause := interval(perSecond)
	rank := daemonrank.Index(server.ID, t.self, daemons)
	if late := int(now.Sub(l.knownAt) / max(silentRequests*pause, minSilence)); rank >= sharers+late {
		return nil, false
	}
	if l.share == nil {
		// The sharers begin one after the other.
		l.share = NewBucket(perSecond, 1, now.Add(-pause*time.Duration(rank%sharers)/time.Duration(sharers)))
		t.limits[server] = l
	}
	l.share.SetRate(perSecond, 1, now)
	return l.share, true
}
