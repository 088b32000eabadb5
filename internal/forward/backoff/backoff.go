// Package backoff holds back requests from backend servers that requested a backoff.
//
// # Usage
//
//	backoffs := backoff.New("daemon-1", clock)
//	backoffs.BackOff(server, 2*time.Second)
//	if end, ok := backoffs.Begin(server); ok {
//		defer end()
//		backoffs.Accepted(server)
//	}
//
// A full server rejects requests and says how long to back off. If all daemons sent it their
// waiting requests as soon as that time is over, they would overload it again. So each daemon adds
// its own jitter to the backoff and then begins with a slow start: at first one request may be in
// progress, and each accepted request doubles that limit, until the server is treated like any
// other.
package backoff

import (
	"sync"
	"time"

	"azurehitch"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxBackoff caps the backoff that a server requests, which may be absurdly long.
	maxBackoff = time.Minute
	// The jitter of a backoff is up to jitterFraction of it, but at most maxJitter.
	jitterFraction = 0.25
	maxJitter      = 400 * time.Millisecond
	// slowStartMaxRequests is the highest limit of the slow start. Doubling it ends the slow start.
	slowStartMaxRequests = 8
	// slowStartTTL ends the slow start of a server after its backoff even if the daemon has sent it
	// too few requests to complete it.
	slowStartTTL = 10 * time.Second
)

// State says whether a daemon may send a server another request now.
type State string

// The text values differ from the names and are kept.
const (
	// StateAvailable means that requests may be sent.
	StateAvailable State = "Open"
	// StateBackoff means that the server is in backoff: no requests are sent.
	StateBackoff State = "Resting"
	// StateSlowStart means that the server is in slow start and may be sent no further request
	// until one in progress ends. In slow start below its limit, a server is in StateAvailable.
	StateSlowStart State = "Returning"
)

// Tracker tracks the servers that are in backoff or slow start. A restarted server, which has a new
// incarnation, is in neither.
type Tracker struct {
	daemon string
	clock  azurehitch.Clock

	mu       sync.Mutex
	backoffs map[azurehitch.ServerIdentity]*backoff
}

// backoff is the backoff of a server and the slow start after it.
type backoff struct {
	until time.Time
	// limit is how many requests may be in progress in the slow start. inProgress counts requests
	// that began since the first backoff of the server.
	limit      int
	inProgress int
}

// New returns an empty tracker for a daemon.
func New(daemon string, clock azurehitch.Clock) *Tracker {
	return &Tracker{daemon: daemon, clock: clock, backoffs: map[azurehitch.ServerIdentity]*backoff{}}
}

// BackOff puts a server in backoff for d, as the server requested, plus jitter. It returns the end
// of the backoff, which is never earlier than that of a previous call.
func (t *Tracker) BackOff(id azurehitch.ServerIdentity, d time.Duration) time.Time {
	d = min(d, maxBackoff)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.removeExpired()
	b, ok := t.backoffs[id]
	if !ok {
		b = &backoff{}
		t.backoffs[id] = b
	}
	b.limit = 1
	if until := t.clock.Now().Add(d + t.jitter(id, d)); until.After(b.until) {
		b.until = until
	}
	return b.until
}

// jitter returns by how much this daemon extends a backoff of d. A hash of daemon and server, not
// chance, sets it between 0 and the maximum, so the pair has the same fraction each time.
func (t *Tracker) jitter(id azurehitch.ServerIdentity, d time.Duration) time.Duration {
	const steps = 1 << 10
	longest := min(time.Duration(jitterFraction*float64(d)), maxJitter)
	step := xxhash.Sum64String(t.daemon+"\x00"+id.ID) % steps
	return longest * time.Duration(step) / steps
}

// State returns the current state of a server.
func (t *Tracker) State(id azurehitch.ServerIdentity) State {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.state(t.backoffs[id])
}

func (t *Tracker) state(b *backoff) State {
	switch {
	case b == nil, t.hasExpired(b):
		return StateAvailable
	case t.clock.Now().Before(b.until):
		return StateBackoff
	case b.inProgress >= b.limit:
		return StateSlowStart
	}
	return StateAvailable
}

// Remaining returns the remaining backoff of a server, and 0 if it isn't in backoff.
func (t *Tracker) Remaining(id azurehitch.ServerIdentity) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	b, ok := t.backoffs[id]
	if !ok {
		return 0
	}
	return t.remaining(b)
}

func (t *Tracker) remaining(b *backoff) time.Duration { return max(b.until.Sub(t.clock.Now()), 0) }

// List returns the servers to which no requests may be sent now, with their remaining backoff.
func (t *Tracker) List() []azurehitch.ServerBackoff {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []azurehitch.ServerBackoff
	for id, b := range t.backoffs {
		if t.state(b) != StateAvailable {
			list = append(list, azurehitch.ServerBackoff{Server: id, Remaining: t.remaining(b)})
		}
	}
	return list
}

// Begin counts a request to a server as in progress until end is called. It returns false if no
// request may be sent to the server now.
func (t *Tracker) Begin(id azurehitch.ServerIdentity) (end func(), ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	b := t.backoffs[id]
	if t.state(b) != StateAvailable {
		return nil, false
	}
	if b == nil {
		return func() {}, true
	}
	b.inProgress++
	return func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		b.inProgress--
	}, true
}

// Accepted records that a server has accepted a request, which doubles the limit of its slow start.
// During the backoff it has no effect, since the request was sent before the backoff began.
func (t *Tracker) Accepted(id azurehitch.ServerIdentity) {
	t.mu.Lock()
	defer t.mu.Unlock()
	b, ok := t.backoffs[id]
	if !ok || t.clock.Now().Before(b.until) {
		return
	}
	if b.limit *= 2; b.limit > slowStartMaxRequests {
		delete(t.backoffs, id)
	}
}

// hasExpired reports whether the backoff ended slowStartTTL ago or earlier.
func (t *Tracker) hasExpired(b *backoff) bool { return t.clock.Now().Sub(b.until) >= slowStartTTL }

// removeExpired removes the servers whose slow start has expired.
func (t *Tracker) removeExpired() {
	for id, b := range t.backoffs {
		if t.hasExpired(b) {
			delete(t.backoffs, id)
		}
	}
}
