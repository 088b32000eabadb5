package azurehitch

import (
	"context"
	"time"

	"golang.org/x/sys/unix"
)

// Clock provides the current time and sleeps. Code that waits takes a Clock, so that tests can
// control the time.
type Clock interface {
	// Now returns the current time. Differences between its results are not affected when the
	// wall clock is set.
	Now() time.Time
	// Sleep returns nil after d, or the error of ctx if ctx ends first.
	Sleep(ctx context.Context, d time.Duration) error
}

// SystemClock is the Clock of the operating system.
type SystemClock struct{}

// Now returns time.Now, which includes a monotonic clock reading.
func (SystemClock) Now() time.Time { return time.Now() }

// Sleep implements Clock.
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

// BootClock is a Clock whose time advances while the machine is suspended, unlike the monotonic
// clock of SystemClock. It is used for times that must also pass during a suspension, such as the
// duration of a lease. Its times can only be compared with other times of the same BootClock.
type BootClock struct {
	SystemClock
	start time.Time
	// startSinceBoot is the time from the boot of the machine to start.
	startSinceBoot time.Duration
}

// NewBootClock returns a BootClock that starts at the current wall clock time.
func NewBootClock() BootClock {
	// Round strips the monotonic clock reading, which stops during a suspension.
	return BootClock{start: time.Now().Round(0), startSinceBoot: sinceBoot()}
}

// Now returns the time at which the clock started plus the time since then, including suspensions.
func (c BootClock) Now() time.Time { return c.start.Add(sinceBoot() - c.startSinceBoot) }

// sinceBoot returns the time since the machine booted, including suspensions.
func sinceBoot() time.Duration {
	var now unix.Timespec
	// The call fails only if the system lacks CLOCK_BOOTTIME. Suspensions are not counted then.
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		_ = unix.ClockGettime(unix.CLOCK_MONOTONIC, &now)
	}
	return time.Duration(now.Nano())
}
