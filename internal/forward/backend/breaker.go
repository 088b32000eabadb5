// Package backend sends requests to backend servers: connections, circuit
// breakers and retry budgets.
//
// # Usage
//
//	transport := backend.NewTransport(clock, observer)
//	exchange, err := transport.Send(call)
//	defer exchange.Close()
//
// An *ErrAttempt tells whether the server may have run the request.
package backend

import (
	"sync"
	"time"

	"azurehitch"
)

const (
	failuresToOpen  = 5
	firstOpenTime   = 500 * time.Millisecond
	longestOpenTime = 8 * time.Second
)

// breakers keeps a circuit breaker for each backend server. After a number of
// failures in a row, a server gets no requests for a time that doubles; then one
// request tries it.
type breakers struct {
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

func newBreakers(clock azurehitch.Clock) *breakers {
	return &breakers{clock: clock, state: map[string]*breaker{}}
}

// allow reports whether a request may go to the server now.
func (b *breakers) allow(address string) bool {
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

// isOpen reports whether the server gets no requests now. It changes nothing.
func (b *breakers) isOpen(address string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s, ok := b.state[address]
	return ok && s.failures >= failuresToOpen && (s.probing || b.clock.Now().Before(s.openUntil))
}

// succeeded closes the breaker.
func (b *breakers) succeeded(address string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.state, address)
}

// failed counts a failure and reports whether the breaker opened by it.
func (b *breakers) failed(address string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s, ok := b.state[address]
	if !ok {
		s = &breaker{openTime: firstOpenTime}
		b.state[address] = s
	}
	s.failures++
	s.probing = false
	if s.failures < failuresToOpen {
		return false
	}
	s.openUntil = b.clock.Now().Add(s.openTime)
	s.openTime = min(2*s.openTime, longestOpenTime)
	return s.failures == failuresToOpen
}
