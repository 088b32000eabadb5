// Package manualclock has a clock for tests and simulations that run on one goroutine.
//
// # Usage
//
//	clock := manualclock.New()
//	budget := retrybudget.New(clock, limits, daemons)
//	clock.Time = clock.Time.Add(time.Second)
package manualclock

import (
	"context"
	"time"
)

// startSeconds is the time of a new clock in seconds of Unix time.
const startSeconds = 1000

// Clock is an azurehitch.Clock whose time changes only when it is set or slept on. It is not safe for
// concurrent use.
type Clock struct {
	// Time is the current time.
	Time time.Time
}

// New returns a clock at some time.
func New() *Clock { return &Clock{Time: time.Unix(startSeconds, 0)} }

// Now implements azurehitch.Clock.
func (c *Clock) Now() time.Time { return c.Time }

// Sleep implements azurehitch.Clock. It returns at once, with the time advanced.
func (c *Clock) Sleep(ctx context.Context, d time.Duration) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	c.Time = c.Time.Add(d)
	return nil
}
