// Package serverlimit tracks the rate limits of backend servers. A server in need names a limit in
// its responses: the requests per second that it accepts from all daemons together.
//
// # Usage
//
//	limits := serverlimit.New(clock, observer)
//	limits.Named(server, 1.5)
//	limits.NotNamed(server, sentAt)
//	if perSecond, ok := limits.Limit(server); ok { ... }
//
// A limit is in force until the server responds to a later request without naming it.
package serverlimit

import (
	"sync"
	"time"

	"azurehitch"
)

// limitTTL is how long a limit is kept after the last news of it. By then the server is gone, since
// requests within the limit reach a limited server as well.
const limitTTL = 5 * time.Minute

// Observer receives the changes of limits.
type Observer interface {
	// LimitChanged is called with the new limit of a server in requests per second; 0 means that
	// its limit has ended.
	LimitChanged(server azurehitch.ServerIdentity, perSecond float64)
}

// limit is what is known of the rate limit of one incarnation of a server.
type limit struct {
	// perSecond is 0 once the limit has ended.
	perSecond float64
	// knownAt is the time of the last news.
	knownAt time.Time
}

// Tracker holds the limits of servers. It is safe for concurrent use.
type Tracker struct {
	clock    azurehitch.Clock
	observer Observer

	mu     sync.Mutex
	limits map[azurehitch.ServerIdentity]limit
}

// New returns a tracker without limits.
func New(clock azurehitch.Clock, observer Observer) *Tracker {
	return &Tracker{clock: clock, observer: observer, limits: map[azurehitch.ServerIdentity]limit{}}
}

// Named records that a server has named a limit.
func (t *Tracker) Named(server azurehitch.ServerIdentity, perSecond float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.set(server, limit{perSecond: perSecond, knownAt: t.clock.Now()})
}

// NotNamed records that a server has responded without a limit to a request sent at sentAt. This
// ends its limit, unless the server has named it since sentAt: responses may overtake each other.
func (t *Tracker) NotNamed(server azurehitch.ServerIdentity, sentAt time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if known, ok := t.limits[server]; ok && known.perSecond > 0 && sentAt.After(known.knownAt) {
		t.set(server, limit{knownAt: t.clock.Now()})
	}
}

// Limit returns the limit of a server in requests per second, and false if it has none.
func (t *Tracker) Limit(server azurehitch.ServerIdentity) (perSecond float64, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.limits[server]
	return known.perSecond, known.perSecond > 0
}

// set replaces what is known of a server. The caller holds t.mu.
func (t *Tracker) set(server azurehitch.ServerIdentity, l limit) {
	t.removeExpired()
	before := t.limits[server]
	t.limits[server] = l
	if before.perSecond != l.perSecond {
		t.observer.LimitChanged(server, l.perSecond)
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
