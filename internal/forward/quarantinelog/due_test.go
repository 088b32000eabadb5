package quarantinelog

import (
	"testing"
	"time"

	"azurehitch/internal/forward/quarantine"
	"azurehitch/internal/standin/manualclock"

	qt "github.com/frankban/quicktest"
)

// TestRecordReadBeforeItsHold guards against a daemon that deletes the record of a held request which it has read, and
// not yet passed on to its tracker.
func TestRecordReadBeforeItsHold(t *testing.T) {
	c := qt.New(t)
	clock := manualclock.New()
	daemons := func() []string { return []string{"a"} }
	l := New(Dependencies{
		Self: "a", Daemons: daemons, Clock: clock, Tracker: quarantine.New(quarantine.Dependencies{Self: "a", Daemons: daemons, Clock: clock}),
	})
	l.isListed = true
	l.records["k"] = record{Service: "llm", Part: "bad", LastCrashAt: clock.Time}
	c.Assert(l.due(), qt.HasLen, 0)
	clock.Time = clock.Time.Add(time.Second)
	c.Run("a record whose subject is not held then is deleted", func(c *qt.C) {
		due := l.due()
		c.Assert(due, qt.HasLen, 1)
		c.Assert(due[0].Value, qt.HasLen, 0)
	})
}
