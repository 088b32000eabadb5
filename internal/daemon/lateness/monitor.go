// Package lateness measures how late the process runs, because its machine was suspended or the
// process got no processor time.
//
// # Usage
//
//	monitor := lateness.New(clock)
//	group.Go(func() error { return monitor.Run(ctx) })
//	signaledAfter := monitor.OnTimeUntil()
//	margin += monitor.Worst()
//
// The monitor sleeps for a short time again and again, and compares how long that took. A signal that
// the process notices now may have been sent at any time since it last ran on time.
package lateness

import (
	"context"
	"sync"
	"time"

	"azurehitch"
)

const (
	// interval is how long the monitor sleeps, and tolerance by how much it may wake late and is
	// still on time.
	interval  = 50 * time.Millisecond
	tolerance = 20 * time.Millisecond
	// settleTime is the time after a pause within which the process may still be late in noticing
	// what happened during the pause.
	settleTime = 200 * time.Millisecond
	// windowSeconds is the time for which a pause counts in Worst.
	windowSeconds = 30
)

// Monitor measures the lateness of the process. It is safe for concurrent use.
type Monitor struct {
	clock azurehitch.Clock
	mu    sync.Mutex
	// lastBeat is when the monitor last woke.
	lastBeat time.Time
	// pauses are those that ended within settleTime before lastBeat.
	pauses []pause
	// worst holds the greatest lateness of each second, at the index of the second modulo its length.
	worst [windowSeconds]secondWorst
}

// pause is a time during which the process did not run on time.
type pause struct{ start, end time.Time }

// secondWorst is the greatest lateness that was measured in a second.
type secondWorst struct {
	second   int64
	lateness time.Duration
}

// New returns a monitor. The clock should include the time for which the machine is suspended.
func New(clock azurehitch.Clock) *Monitor {
	return &Monitor{clock: clock, lastBeat: clock.Now()}
}

// Run measures until the context ends.
func (m *Monitor) Run(ctx context.Context) error {
	for m.clock.Sleep(ctx, interval) == nil {
		m.beat()
	}
	return nil
}

// beat records that the monitor woke.
func (m *Monitor) beat() {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	m.dropSettled(now)
	if late := now.Sub(m.lastBeat) - interval; late > tolerance {
		m.pauses = append(m.pauses, pause{start: m.lastBeat, end: now})
		m.recordWorst(now, late)
	}
	m.lastBeat = now
}

// dropSettled forgets the pauses that ended more than settleTime ago.
func (m *Monitor) dropSettled(now time.Time) {
	for len(m.pauses) > 0 && now.Sub(m.pauses[0].end) > settleTime {
		m.pauses = m.pauses[1:]
	}
}

func (m *Monitor) recordWorst(now time.Time, late time.Duration) {
	entry := &m.worst[now.Unix()%windowSeconds]
	if entry.second != now.Unix() {
		*entry = secondWorst{second: now.Unix()}
	}
	entry.lateness = max(entry.lateness, late)
}

// OnTimeUntil returns the latest time at which the process is known to have run on time.
func (m *Monitor) OnTimeUntil() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.dropSettled(m.clock.Now())
	if len(m.pauses) > 0 {
		return m.pauses[0].start
	}
	return m.lastBeat
}

// Worst returns the greatest lateness of the last windowSeconds; 0 if the process ran on time.
func (m *Monitor) Worst() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	worst := time.Duration(0)
	for _, entry := range m.worst {
		if now.Unix()-entry.second < windowSeconds {
			worst = max(worst, entry.lateness)
		}
	}
	if late := now.Sub(m.lastBeat) - interval; late > tolerance {
		worst = max(worst, late)
	}
	return worst
}
