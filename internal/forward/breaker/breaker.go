// Package breaker implements circuit breakers that stop requests to failing backend servers.
//
// # Usage
//
//	breakers := breaker.NewBreakers(clock)
//	if breakers.Allow(address) { ... }
//	breakers.Failed(address)
package breaker

import (
	"sync"
	"time"

	"azurehitch"
)

const (
	// failuresToOpen is the number of consecutive failures that open a breaker. It then stays open
	// for firstOpenTime, and after each further failure for twice the time before, up to
	// longestOpenTime.
	failuresToOpen  = 5
	firstOpenTime   = 500 * time.Millisecond
	longestOpenTime = 8 * time.Second
	// refusedOpenTime is how long the breaker of a server that refuses connections stays open.
	refusedOpenTime = time.Second
)

// Breakers holds a circuit breaker for each backend server, by address. After failuresToOpen
// consecutive failures the breaker opens, and the server gets no requests for a time that doubles
// with each further failure, up to longestOpenTime. Then a single request probes the server. Failures of
// a path that has changed since don't count; see WithCutOff.
type Breakers struct {
	clock azurehitch.Clock
	// isCutOff reports whether this daemon is cut off from the servers.
	isCutOff  func() bool
	mu        sync.Mutex
	byAddress map[string]*breaker
	// wasCutOff is what isCutOff last returned.
	wasCutOff bool
}

type breaker struct {
	// failures counts the failures since the last success.
	failures  int
	openUntil time.Time
	// openTime is how long the breaker opens at the next failure.
	openTime time.Duration
	// probing is true while the result of a probe is awaited.
	probing bool
}

// NewBreakers returns breakers that are closed for all servers.
func NewBreakers(clock azurehitch.Clock) *Breakers {
	return &Breakers{clock: clock, isCutOff: func() bool { return false }, byAddress: map[string]*breaker{}}
}

// WithCutOff returns new breakers of a daemon that knows by isCutOff whether it is cut off from the servers. Each
// time that this changes, all breakers close: the failures before were those of another path.
func (b *Breakers) WithCutOff(isCutOff func() bool) *Breakers {
	changed := NewBreakers(b.clock)
	changed.isCutOff = isCutOff
	return changed
}

// update closes all breakers if the path to the servers has changed. The caller holds b.mu.
func (b *Breakers) update() {
	if isCutOff := b.isCutOff(); isCutOff != b.wasCutOff {
		b.wasCutOff = isCutOff
		clear(b.byAddress)
	}
}

// Allow reports whether a request may be sent to the server now. If the open time is over, it
// permits one request as a probe until Succeeded, Failed or ConnectionRefused is called.
func (b *Breakers) Allow(address string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.update()
	br, ok := b.byAddress[address]
	if !ok || br.failures < failuresToOpen {
		return true
	}
	if br.probing || b.clock.Now().Before(br.openUntil) {
		return false
	}
	br.probing = true
	return true
}

// IsOpen reports whether the server gets no requests now. Unlike Allow, it does not start a probe.
func (b *Breakers) IsOpen(address string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.update()
	br, ok := b.byAddress[address]
	return ok && br.failures >= failuresToOpen && (br.probing || b.clock.Now().Before(br.openUntil))
}

// Succeeded closes the breaker of a server.
func (b *Breakers) Succeeded(address string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.update()
	delete(b.byAddress, address)
}

// breakerOf returns the breaker of a server, and creates it if needed.
func (b *Breakers) breakerOf(address string) *breaker {
	br, ok := b.byAddress[address]
	if !ok {
		br = &breaker{openTime: firstOpenTime}
		b.byAddress[address] = br
	}
	return br
}

// ConnectionRefused opens the breaker of a server that refused a connection, since its process has
// ended. It reports whether the breaker was closed before.
func (b *Breakers) ConnectionRefused(address string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.update()
	br := b.breakerOf(address)
	wasOpen := br.failures >= failuresToOpen
	br.failures = max(br.failures, failuresToOpen)
	br.probing = false
	br.openUntil = b.clock.Now().Add(refusedOpenTime)
	return !wasOpen
}

// Failed counts a failure of a server and reports whether this opened the breaker.
func (b *Breakers) Failed(address string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.update()
	br := b.breakerOf(address)
	br.failures++
	br.probing = false
	if br.failures < failuresToOpen {
		return false
	}
	br.openUntil = b.clock.Now().Add(br.openTime)
	br.openTime = min(2*br.openTime, longestOpenTime)
	return br.failures == failuresToOpen
}
