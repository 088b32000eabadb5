// Package breaker keeps requests from backend servers that fail.
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
	failuresToOpen  = 5
	firstOpenTime   = 500 * time.Millisecond
	longestOpenTime = 8 * time.Second
	// refusedOpenTime is how long a server gets no requests on whose address nothing listens.
	refusedOpenTime = time.Second
)

// Breakers keeps a circuit breaker for each backend server. After a number of
// failures in a row, a server gets no requests for a time that doubles; then one
// request tries it.
type Breakers struct {
	clock azurehitch.Clock
	mu    sync.Mutex
	state map[string]*breaker
}

type breaker struct {
	failures  int
	openUntil time.Time
	openTime  time.Duration
	probing   bool
}

// NewBreakers returns closed breakers.
func NewBreakers(clock azurehitch.Clock) *Breakers {
	return &Breakers{clock: clock, state: map[string]*breaker{}}
}

// Allow reports whether a request may go to the server now.
func (b *Breakers) Allow(address string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s, ok := b.state[address]
	if !ok || s.failures < failuresToOpen {
		return true
	}
	if s.probing || b.clock.Now().Before(s.openUntil) {
		return false
	}
	s.probing = true
	return true
}

// IsOpen reports whether the server gets no requests now. It changes nothing.
func (b *Breakers) IsOpen(address string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s, ok := b.state[address]
	return ok && s.failures >= failuresToOpen && (s.probing || b.clock.Now().Before(s.openUntil))
}

// Succeeded closes the breaker.
func (b *Breakers) Succeeded(address string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.state, address)
}

// of returns the breaker of a server.
func (b *Breakers) of(address string) *breaker {
	s, ok := b.state[address]
	if !ok {
		s = &breaker{openTime: firstOpenTime}
		b.state[address] = s
	}
	return s
}

// Refused notes that nothing listens on the address of a server: its process has ended. It reports
// whether the breaker opened by it.
func (b *Breakers) Refused(address string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.of(address)
	wasOpen := s.failures >= failuresToOpen
	s.failures = max(s.failures, failuresToOpen)
	s.probing = false
	s.openUntil = b.clock.Now().Add(refusedOpenTime)
	return !wasOpen
}

// Failed counts a failure and reports whether the breaker opened by it.
func (b *Breakers) Failed(address string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.of(address)
	s.failures++
	s.probing = false
	if s.failures < failuresToOpen {
		return false
	}
	s.openUntil = b.clock.Now().Add(s.openTime)
	s.openTime = min(2*s.openTime, longestOpenTime)
	return s.failures == failuresToOpen
}
