package fleet_test

import (
	"testing"
	"time"

	"azurehitch"
	"azurehitch/internal/membership/fleet"

	qt "github.com/frankban/quicktest"
)

// identity returns the identity that decode gives an incarnation of a server.
func identity(id string, incarnation byte) azurehitch.ServerIdentity {
	return azurehitch.ServerIdentity{ID: id, Address: id, Incarnation: int64(incarnation)}
}

func assertShuttingDown(c *qt.C, f *fleet.Fold, id string, want bool) {
	c.Helper()
	s, known := f.View().Server(id)
	c.Assert(known, qt.IsTrue)
	c.Assert(s.ShuttingDown, qt.Equals, want)
	c.Assert(f.View().HasDeparted(s.ServerIdentity), qt.Equals, want)
}

// TestServerNotYetListedCountsAsDeparted checks a server that another daemon lists before this one.
func TestServerNotYetListedCountsAsDeparted(t *testing.T) {
	t.Run("a server that was never listed has not departed", func(t *testing.T) {
		c, f, _ := newFold(t)
		c.Assert(f.View().HasDeparted(identity("new", '1')), qt.IsFalse)
	})
	t.Run("a server whose entry was removed has departed", func(t *testing.T) {
		c, f, _ := newFold(t)
		f.Apply(entry("a", ""), start)
		c.Assert(f.View().HasDeparted(identity("a", '1')), qt.IsTrue)
		c.Assert(f.View().HasDeparted(identity("a", '2')), qt.IsFalse)
	})
	t.Run("a server whose entry has returned has not departed", func(t *testing.T) {
		c, f, _ := newFold(t)
		f.Apply(entry("a", ""), start)
		f.Apply(entry("a", "ready:1"), start.Add(time.Second))
		assertShuttingDown(c, f, "a", false)
	})
}

// TestShutdownNotice checks servers that announce their shutdown themselves.
func TestShutdownNotice(t *testing.T) {
	t.Run("a notice applies at once and takes precedence over the list", func(t *testing.T) {
		c, f, r := newFold(t)
		c.Assert(f.AddShutdownNotice(identity("a", '1'), fleet.SourceAnswer, start), qt.IsTrue)
		assertShuttingDown(c, f, "a", true)
		assertShuttingDown(c, f, "b", false)
		f.Apply(entry("a", "ready:1"), start.Add(time.Second))
		f.Replace(append(entry("a", "ready:1"), entry("b", "ready:1")...), start.Add(2*time.Second))
		assertShuttingDown(c, f, "a", true)
		c.Assert(f.AddShutdownNotice(identity("a", '1'), fleet.SourcePeer, start), qt.IsFalse)
		c.Assert(r.sources, qt.DeepEquals, []fleet.Source{fleet.SourceAnswer})
	})
	t.Run("a notice applies while the list can't be read", func(t *testing.T) {
		c, f, _ := newFold(t)
		f.ReadFailed(start.Add(time.Second))
		f.AddShutdownNotice(identity("a", '1'), fleet.SourceAnswer, start.Add(2*time.Second))
		assertShuttingDown(c, f, "a", true)
	})
	t.Run("a notice does not apply to a new incarnation under the same ID and address", func(t *testing.T) {
		c, f, _ := newFold(t)
		f.AddShutdownNotice(identity("a", '1'), fleet.SourceAnswer, start)
		f.Apply(entry("a", "ready:2"), start.Add(time.Second))
		assertShuttingDown(c, f, "a", false)
		c.Assert(f.View().HasDeparted(identity("a", '1')), qt.IsTrue)
	})
	t.Run("a notice applies to an incarnation that is not listed yet", func(t *testing.T) {
		c, f, _ := newFold(t)
		f.AddShutdownNotice(identity("a", '2'), fleet.SourceAnswer, start)
		assertShuttingDown(c, f, "a", true)
		f.Apply(entry("a", "ready:2"), start.Add(time.Second))
		assertShuttingDown(c, f, "a", true)
	})
	t.Run("a notice applies after the entry was removed and has returned", func(t *testing.T) {
		c, f, _ := newFold(t)
		f.AddShutdownNotice(identity("a", '1'), fleet.SourceAnswer, start)
		f.Apply(entry("a", ""), start.Add(time.Second))
		f.Apply(entry("a", "ready:1"), start.Add(20*time.Second))
		assertShuttingDown(c, f, "a", true)
	})
	t.Run("a listed shutdown does not apply to a later incarnation that is not listed yet", func(t *testing.T) {
		c, f, _ := newFold(t)
		f.Apply(entry("a", "leaving:1"), start)
		c.Assert(f.View().HasDeparted(identity("a", '1')), qt.IsTrue)
		c.Assert(f.View().HasDeparted(identity("a", '2')), qt.IsFalse)
	})
	t.Run("no server is marked missing if all others of its service have sent a notice", func(t *testing.T) {
		c, f, _ := newFold(t)
		f.AddShutdownNotice(identity("b", '1'), fleet.SourceAnswer, start)
		f.ReadFailed(start.Add(time.Second))
		f.Apply(entry("a", ""), start.Add(2*time.Second))
		a, _ := f.View().Server("a")
		c.Assert(a.Missing, qt.IsFalse)
	})
}

// TestUnlistedShutdowns checks which shutdown notices are passed on to other daemons.
func TestUnlistedShutdowns(t *testing.T) {
	t.Run("a notice is passed on until the list shows it", func(t *testing.T) {
		c, f, _ := newFold(t)
		c.Assert(f.UnlistedShutdowns(start), qt.HasLen, 0)
		f.AddShutdownNotice(identity("a", '1'), fleet.SourceAnswer, start)
		c.Assert(f.UnlistedShutdowns(start), qt.DeepEquals, []azurehitch.ServerIdentity{identity("a", '1')})
		f.Apply(entry("a", "leaving:1"), start.Add(time.Second))
		c.Assert(f.UnlistedShutdowns(start.Add(time.Second)), qt.HasLen, 0)
	})
	t.Run("a notice is passed on for a limited time", func(t *testing.T) {
		c, f, _ := newFold(t)
		f.AddShutdownNotice(identity("a", '1'), fleet.SourcePeer, start)
		c.Assert(f.UnlistedShutdowns(start.Add(time.Second)), qt.HasLen, 1)
		c.Assert(f.UnlistedShutdowns(start.Add(time.Minute)), qt.HasLen, 0)
		assertShuttingDown(c, f, "a", true)
	})
}
