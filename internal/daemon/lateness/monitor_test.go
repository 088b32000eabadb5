package lateness_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"azurehitch/internal/daemon/lateness"

	qt "github.com/frankban/quicktest"
)

// errEnded ends the loop of a monitor.
var errEnded = errors.New("the sleeps of the test are over")

// pausingClock is a clock that sleeps longer than it is asked to.
type pausingClock struct {
	now time.Time
	// pauses are by how much the next sleeps take longer. After them, Sleep returns errEnded.
	pauses []time.Duration
}

// Now implements azurehitch.Clock.
func (c *pausingClock) Now() time.Time { return c.now }

// Sleep implements azurehitch.Clock.
func (c *pausingClock) Sleep(_ context.Context, d time.Duration) error {
	if len(c.pauses) == 0 {
		return errEnded
	}
	c.now = c.now.Add(d + c.pauses[0])
	c.pauses = c.pauses[1:]
	return nil
}

// process is a monitor with its clock.
type process struct {
	*qt.C
	clock   *pausingClock
	monitor *lateness.Monitor
}

func newProcess(t *testing.T) *process {
	clock := &pausingClock{now: time.Unix(1000, 0)}
	return &process{C: qt.New(t), clock: clock, monitor: lateness.New(clock)}
}

// run lets the monitor sleep n times, and the first time longer by a pause.
func (p *process) run(n int, pause time.Duration) {
	p.clock.pauses = make([]time.Duration, n)
	p.clock.pauses[0] = pause
	p.Assert(p.monitor.Run(context.Background()), qt.IsNil)
}

func TestOnTimeUntil(t *testing.T) {
	t.Run("on time: shortly before now", func(t *testing.T) {
		p := newProcess(t)
		p.run(20, 0)
		p.clock.now = p.clock.now.Add(30 * time.Millisecond)
		p.Assert(p.clock.now.Sub(p.monitor.OnTimeUntil()), qt.Equals, 30*time.Millisecond)
	})
	t.Run("the process has just been paused", func(t *testing.T) {
		p := newProcess(t)
		p.run(20, 0)
		before := p.clock.now
		p.clock.now = before.Add(2 * time.Second)
		p.Assert(p.monitor.OnTimeUntil(), qt.Equals, before)
	})
	t.Run("the process was paused, and the monitor has run since", func(t *testing.T) {
		p := newProcess(t)
		p.run(20, 0)
		before := p.clock.now
		p.run(3, 2*time.Second)
		p.Assert(p.monitor.OnTimeUntil(), qt.Equals, before)
	})
	t.Run("the process was paused a while ago", func(t *testing.T) {
		p := newProcess(t)
		p.run(60, 2*time.Second)
		p.Assert(p.monitor.OnTimeUntil(), qt.Equals, p.clock.now)
	})
}

func TestWorst(t *testing.T) {
	t.Run("on time", func(t *testing.T) {
		p := newProcess(t)
		p.run(20, 10*time.Millisecond)
		p.Assert(p.monitor.Worst(), qt.Equals, time.Duration(0))
	})
	t.Run("the worst of the last pauses", func(t *testing.T) {
		p := newProcess(t)
		p.run(20, 300*time.Millisecond)
		p.run(20, 100*time.Millisecond)
		p.Assert(p.monitor.Worst(), qt.Equals, 300*time.Millisecond)
	})
	t.Run("a pause that goes on", func(t *testing.T) {
		p := newProcess(t)
		p.clock.now = p.clock.now.Add(time.Second)
		p.Assert(p.monitor.Worst() > 900*time.Millisecond, qt.IsTrue)
	})
	t.Run("a pause long ago", func(t *testing.T) {
		p := newProcess(t)
		p.run(700, 300*time.Millisecond)
		p.Assert(p.monitor.Worst(), qt.Equals, time.Duration(0))
	})
}
