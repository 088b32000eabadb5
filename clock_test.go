package azurehitch_test

import (
	"context"
	"testing"
	"time"

	"azurehitch"

	qt "github.com/frankban/quicktest"
)

func TestBootClock(t *testing.T) {
	c := qt.New(t)
	clock := azurehitch.NewBootClock()
	before := clock.Now()
	c.Assert(clock.Sleep(context.Background(), 20*time.Millisecond), qt.IsNil)
	passed := clock.Now().Sub(before)
	c.Assert(passed >= 20*time.Millisecond, qt.IsTrue, qt.Commentf("%v", passed))
	// Without a reading of the steady clock, the difference is that of the times shown.
	c.Assert(before, qt.Equals, before.Round(0))
}
