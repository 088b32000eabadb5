package azurehitch

import (
	"context"
	"time"
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
