// Package serverlimit tracks the rate limits of backend servers. A server in need names a limit in
// its responses: the requests per second that it accepts from all daemons together.
//
// # Usage
//
//	limits := serverlimit.New("daemon-1", daemons, clock, observer)
//	limits.Named(server, 1.5)
//	limits.NotNamed(server, sentAt)
//	limits.Merge(limitsOfAnotherDaemon, reportedAt)
//	if limits.Allow(server) { ... }
//
// A limit is in force until the server responds to a later request without naming it. Daemons
// exchange what they know, and the newest knowledge wins.
//
// The sum over all daemons has to stay within the limit. For a service with a holder, the holder
// grants the requests to limited servers one by one. Otherwise, a few daemons share the limit, and
// the others send the server no requests; see Tracker.Allow.
package serverlimit

import (
	"sync"
	"time"

	"azurehitch"
)

const (
	// limitTTL is how long a limit is kept after the last news of it. By then the server is gone, since
	// requests within the limit reach a limited server as well.
	limitTTL = 5 * time.Minute
	// relayTime is how long the end of a limit is passed on to other daemons.
	relayTime = 10 * time.Second
)

// Observer receives the changes of limits.
type Observer interface {
	// LimitChanged is called with the new limit of a server in requests per second; 0 means that
	// its limit has ended. It must not call the tracker.
	LimitChanged(server azurehitch.ServerIdentity, perSecond float64)
}

// limit is what is known of the rate limit of one incarnation of a server.
type limit struct {
	// perSecond is 0 once the limit has ended.
	perSecond float64
	// knownAt is when a response of the server last confirmed this.
	knownAt time.Time
	// share is the part of the limit that this daemon may use; nil until it is first used.
	share *Bucket
}

// Tracker holds the limits of servers. It is safe for concurrent use.
type Tracker struct {
	self     string
	daemons  func() []string
	clock    azurehitch.Clock
	observer Observer

	mu     sync.Mutex
	limits map[azurehitch.ServerIdentity]limit
}

// New returns a tracker without limits for the daemon self. The function daemons returns the names
// of all known daemons.
func New(self string, daemons func() []string, clock azurehitch.Clock, observer Observer) *Tracker {
	return &Tracker{
		self: self, daemons: daemons, clock: clock, observer: observer, limits: map[azurehitch.ServerIdentity]limit{},
	}
}

// Named records that a server has named a limit.
func (t *Tracker) Named(server azurehitch.ServerIdentity, perSecond float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.set(server, perSecond, t.clock.Now())
}

// NotNamed records that a server has responded without a limit to a request sent at sentAt. This
// ends its limit, unless the server has named it since sentAt: responses may overtake each other.
func (t *Tracker) NotNamed(server azurehitch.ServerIdentity, sentAt time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if known, ok := t.limits[server]; ok && known.perSecond > 0 && sentAt.After(known.knownAt) {
		t.set(server, 0, t.clock.Now())
	}
}

// Merge records what another daemon knows. The ages count back from reportedAt.
func (t *Tracker) Merge(limits []azurehitch.ServerRateLimit, reportedAt time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, l := range limits {
		if knownAt := reportedAt.Add(-l.Age); knownAt.After(t.limits[l.Server].knownAt) {
			t.set(l.Server, l.PerSecond, knownAt)
		}
	}
}

// Known returns the limits in force, and those that ended within relayTime.
func (t *Tracker) Known() []azurehitch.ServerRateLimit {
	t.mu.Lock()
	defer t.mu.Unlock()
	var known []azurehitch.ServerRateLimit
	for server, l := range t.limits {
		if age := t.clock.Now().Sub(l.knownAt); l.perSecond > 0 || age < relayTime {
			known = append(known, azurehitch.ServerRateLimit{Server: server, PerSecond: l.perSecond, Age: age})
		}
	}
	return known
}

// InForce returns the limits in force, in requests per second.
func (t *Tracker) InForce() map[azurehitch.ServerIdentity]float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	inForce := map[azurehitch.ServerIdentity]float64{}
	for server, l := range t.limits {
		if l.perSecond > 0 {
			inForce[server] = l.perSecond
		}
	}
	return inForce
}

// Limit returns the limit of a server in requests per second, and false if it has none.
func (t *Tracker) Limit(server azurehitch.ServerIdentity) (perSecond float64, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.limits[server]
	return known.perSecond, known.perSecond > 0
}

// set replaces what is known of a server. The caller holds t.mu.
func (t *Tracker) set(server azurehitch.ServerIdentity, perSecond float64, knownAt time.Time) {
	t.removeExpired()
	l := t.limits[server]
	before := l.perSecond
	l.perSecond, l.knownAt = perSecond, knownAt
	t.limits[server] = l
	if before != perSecond {
		t.observer.LimitChanged(server, perSecond)
	}
}

// removeExpired removes the limits without news for limitTTL. The caller holds t.mu.
func (t *Tracker) removeExpired() {
	for server, l := range t.limits {
		if t.clock.Now().Sub(l.knownAt) >= limitTTL {
			delete(t.limits, server)
		}
	}
}
