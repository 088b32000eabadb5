package serverlimit_test

import (
	"testing"
	"time"

	"azurehitch"
	"azurehitch/internal/membership/serverlimit"

	qt "github.com/frankban/quicktest"
)

// clock is a clock that only advance moves.
type clock struct {
	azurehitch.SystemClock
	now time.Time
}

// Now implements azurehitch.Clock.
func (c *clock) Now() time.Time { return c.now }

func (c *clock) advance(d time.Duration) { c.now = c.now.Add(d) }

// changes is an Observer that records the limits in the order of their changes.
type changes []float64

// LimitChanged implements serverlimit.Observer.
func (c *changes) LimitChanged(_ azurehitch.ServerIdentity, perSecond float64) {
	*c = append(*c, perSecond)
}

var server = azurehitch.ServerIdentity{ID: "s", Address: "s:80", Incarnation: 1}

// fixture is a tracker with a manual clock.
type fixture struct {
	*qt.C
	*clock
	*serverlimit.Tracker
	changes *changes
}

func newFixture(t *testing.T) fixture {
	t.Helper()
	clock, changes := &clock{now: time.Unix(1000, 0)}, &changes{}
	daemons := func() []string { return []string{"daemon-1"} }
	return fixture{C: qt.New(t), clock: clock, Tracker: serverlimit.New("daemon-1", daemons, clock, changes), changes: changes}
}

func (f fixture) assertLimit(id azurehitch.ServerIdentity, want float64) {
	f.Helper()
	perSecond, ok := f.Limit(id)
	f.Assert(perSecond, qt.Equals, want)
	f.Assert(ok, qt.Equals, want > 0)
}

func TestLimit(t *testing.T) {
	t.Run("stays until a later response lacks it", func(t *testing.T) {
		f := newFixture(t)
		f.assertLimit(server, 0)
		f.Named(server, 1.5)
		f.advance(time.Minute)
		f.assertLimit(server, 1.5)
		f.NotNamed(server, f.now)
		f.assertLimit(server, 0)
		f.Assert([]float64(*f.changes), qt.DeepEquals, []float64{1.5, 0})
	})
	t.Run("a response to an earlier request does not end it", func(t *testing.T) {
		f := newFixture(t)
		sentAt := f.now
		f.advance(time.Second)
		f.Named(server, 1.5)
		f.NotNamed(server, sentAt)
		f.assertLimit(server, 1.5)
	})
	t.Run("does not apply to the next incarnation", func(t *testing.T) {
		f := newFixture(t)
		f.Named(server, 1.5)
		restarted := server
		restarted.Incarnation++
		f.assertLimit(restarted, 0)
	})
	t.Run("only changes are observed", func(t *testing.T) {
		f := newFixture(t)
		for _, perSecond := range []float64{1, 1, 2} {
			f.Named(server, perSecond)
		}
		f.Assert([]float64(*f.changes), qt.DeepEquals, []float64{1, 2})
	})
}
