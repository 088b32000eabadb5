package azurehitch

import (
	"context"
	"time"

	"golang.org/x/sys/unix"
)

// Clock tells the time and sleeps. Code that waits takes a Clock, so that tests
// control the passage of time.
type Clock interface {
	// Now returns the current time with a monotonic reading.
	Now() time.Time
	// Sleep returns nil after d, or the context's error if that comes first.
	Sleep(ctx context.Context, d time.Duration) error
}

// SystemClock is the Clock of the operating system.
type SystemClock struct{}

// Now returns time.Now.
func (SystemClock) Now() time.Time { return time.Now() }

// Sleep waits on a timer of the runtime.
func (SystemClock) Sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

// BootClock is a clock that goes on while the machine is suspended, unlike the steady clock
// of SystemClock. What must not outlive a suspension, such as a lease, is measured with it.
// Its times are comparable with each other only.
type BootClock struct {
	SystemClock
	start time.Time
	boot  time.Duration
}

// NewBootClock returns a clock.
func NewBootClock() BootClock {
	// Round strips the reading of the steady clock.
	return BootClock{start: time.Now().Round(0), boot: sinceBoot()}
}

// Now implements Clock.
func (c BootClock) Now() time.Time { return c.start.Add(sinceBoot() - c.boot) }

// sinceBoot returns the time since the start of the machine, suspensions included.
func sinceBoot() time.Duration {
	var now unix.Timespec
	// The call fails only for clocks that the system doesn't have: then suspensions don't
	// count.
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		_ = unix.ClockGettime(unix.CLOCK_MONOTONIC, &now)
	}
	return time.Duration(now.Nano())
}
