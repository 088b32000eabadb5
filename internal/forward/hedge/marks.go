package hedge

import (
	"time"

	"azurehitch"
)

// markTTL is how long a server that gets no further calls is kept from hedges after a call there was late,
// rejected or failed. Servers that turn slow stay so for seconds.
const markTTL = 10 * time.Second

// marks are the times at which a server was last seen late, rejecting and failing; zero means never, or that
// a call which began later was answered in time.
type marks struct{ lateAt, rejectedAt, failedAt time.Time }

// clear removes the marks that are older than a call which was answered in time.
func (m *marks) clear(startedAt time.Time) {
	for _, at := range []*time.Time{&m.lateAt, &m.rejectedAt, &m.failedAt} {
		if startedAt.After(*at) {
			*at = time.Time{}
		}
	}
}

// denial returns why a server gets no hedges now; empty if it may.
func (m marks) denial(now time.Time) Denial {
	isSet := func(at time.Time) bool { return !at.IsZero() && now.Sub(at) < markTTL }
	switch {
	case isSet(m.failedAt):
		return DenialFailing
	case isSet(m.rejectedAt), isSet(m.lateAt):
		return DenialServiceFull
	}
	return ""
}

// mark changes the marks of a server, and forgets those that have ended.
func (t *Tracker) mark(server azurehitch.ServerIdentity, change func(m *marks, now time.Time)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	m, ok := t.marks[server]
	change(&m, now)
	if m != (marks{}) {
		t.marks[server] = m
	} else if ok {
		delete(t.marks, server)
	}
	for other, m := range t.marks {
		if m.denial(now) == "" {
			delete(t.marks, other)
		}
	}
}
