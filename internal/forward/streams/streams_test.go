package streams_test

import (
	"fmt"
	"testing"
	"time"

	"azurehitch"
	"azurehitch/internal/forward/streams"

	qt "github.com/frankban/quicktest"
)

const service = "llm"

// clock is a clock that only advance moves.
type clock struct {
	azurehitch.SystemClock
	now time.Time
}

// Now implements azurehitch.Clock.
func (c *clock) Now() time.Time { return c.now }

func (c *clock) advance(d time.Duration) { c.now = c.now.Add(d) }

// fixture is a registry with a manual clock.
type fixture struct {
	*qt.C
	*clock
	*streams.Registry
}

func newFixture(t *testing.T) fixture {
	t.Helper()
	clock := &clock{now: time.Unix(1000, 0)}
	return fixture{C: qt.New(t), clock: clock, Registry: streams.NewRegistry(clock)}
}

// began records that a request begins a stream at a software version.
func (f fixture) began(id, version string, attempt int) {
	f.Began(id, streams.Origin{Service: service, Version: version}, attempt)
}

// assertVersion checks the origin of a stream; empty means that it is not known.
func (f fixture) assertVersion(id, want string) {
	f.Helper()
	for _, key := range []streams.Key{streams.KeyOf(id), streams.ServiceKeyOf(service, id)} {
		got, ok := f.Origin(0, key)
		f.Assert(got.Version, qt.Equals, want)
		f.Assert(ok, qt.Equals, want != "")
		f.Assert(!ok || got.Service == service, qt.IsTrue)
	}
}

func TestRecords(t *testing.T) {
	t.Run("the last attempt began the stream", func(t *testing.T) {
		f := newFixture(t)
		f.began("a", "v1", 1)
		f.began("a", "v2", 2)
		f.assertVersion("a", "v2")
		f.Merge([]streams.Record{{
			Key: streams.KeyOf("a"), ServiceKey: streams.ServiceKeyOf(service, "a"), Origin: streams.Origin{Service: service, Version: "v1"}, Attempt: 1,
		}})
		f.assertVersion("a", "v2")
		f.assertVersion("b", "")
	})
	t.Run("are kept for at least their time, and not for ever", func(t *testing.T) {
		f := newFixture(t)
		f.advance(streams.TTL - time.Second)
		f.began("a", "v1", 1)
		f.advance(streams.TTL)
		f.began("b", "v1", 1)
		f.assertVersion("a", "v1")
		f.advance(streams.TTL)
		f.began("c", "v1", 1)
		f.assertVersion("a", "")
		f.assertVersion("b", "v1")
	})
	t.Run("their number is bounded", func(t *testing.T) {
		f := newFixture(t)
		f.began("first", "v1", 1)
		for i := range 100_000 {
			f.began(fmt.Sprint(i), "v1", 1)
		}
		f.assertVersion("first", "")
		f.assertVersion("99999", "v1")
	})
}

// TestRecordOfEarlierRelease checks that a record without the key of the request alone is found by the other key only.
func TestRecordOfEarlierRelease(t *testing.T) {
	f := newFixture(t)
	f.Merge([]streams.Record{{ServiceKey: streams.ServiceKeyOf(service, "a"), Origin: streams.Origin{Service: service, Version: "v1"}, Attempt: 1}})
	_, ok := f.Origin(streams.KeyOf("a"))
	f.Assert(ok, qt.IsFalse)
	_, ok = f.Origin(0)
	f.Assert(ok, qt.IsFalse)
	origin, ok := f.Origin(streams.KeyOf("a"), streams.ServiceKeyOf(service, "a"))
	f.Assert(ok, qt.IsTrue)
	f.Assert(origin.Version, qt.Equals, "v1")
}

func TestTold(t *testing.T) {
	t.Run("nothing while all servers have one version", func(t *testing.T) {
		f := newFixture(t)
		f.SawVersions(service, []string{"v1", "v1"})
		f.began("a", "v1", 1)
		f.Assert(f.TakeUnreported(), qt.HasLen, 0)
		f.Assert(f.IsMixed(service), qt.IsFalse)
	})
	t.Run("recent streams once there are several", func(t *testing.T) {
		f := newFixture(t)
		f.SawVersions(service, []string{"v1"})
		f.began("old", "v1", 1)
		f.advance(streams.TTL)
		f.began("a", "v1", 1)
		f.SawVersions(service, []string{"v1", "v2"})
		f.began("b", "v2", 1)
		var versions []string
		for _, r := range f.TakeUnreported() {
			versions = append(versions, r.Version)
		}
		f.Assert(versions, qt.DeepEquals, []string{"v1", "v2"})
		f.Assert(f.TakeUnreported(), qt.HasLen, 0)
	})
	t.Run("for some time after the last server of the other version", func(t *testing.T) {
		f := newFixture(t)
		f.SawVersions(service, []string{"v1", "v2"})
		f.advance(streams.TTL / 2)
		f.SawVersions(service, []string{"v2"})
		f.Assert(f.IsMixed(service), qt.IsTrue)
		f.advance(streams.TTL / 2)
		f.Assert(f.IsMixed(service), qt.IsFalse)
	})
	t.Run("not for another service", func(t *testing.T) {
		f := newFixture(t)
		f.SawVersions("other", []string{"v1", "v2"})
		f.began("a", "v1", 1)
		f.Assert(f.TakeUnreported(), qt.HasLen, 0)
	})
}

// TestForLog checks which records go to the log: those of streams whose first event has come, while there are several
// versions.
func TestForLog(t *testing.T) {
	assertUnlogged := func(f fixture, want ...string) {
		f.Helper()
		var versions []string
		for _, r := range f.TakeUnlogged() {
			versions = append(versions, r.Version)
		}
		f.Assert(versions, qt.DeepEquals, want)
	}
	t.Run("of several attempts the one that brought the first event", func(t *testing.T) {
		f := newFixture(t)
		f.SawVersions(service, []string{"v1", "v2"})
		f.began("a", "v1", 1)
		assertUnlogged(f)
		f.began("a", "v2", 2)
		f.Confirmed("a")
		f.Confirmed("unknown")
		assertUnlogged(f, "v2")
	})
	t.Run("once there are several versions, the confirmed ones", func(t *testing.T) {
		f := newFixture(t)
		f.SawVersions(service, []string{"v1"})
		f.began("a", "v1", 1)
		f.Confirmed("a")
		f.began("b", "v1", 1)
		assertUnlogged(f)
		f.SawVersions(service, []string{"v1", "v2"})
		assertUnlogged(f, "v1")
	})
	t.Run("those that were returned come again", func(t *testing.T) {
		f := newFixture(t)
		f.ReturnUnlogged([]streams.Record{{Origin: streams.Origin{Version: "v1"}}})
		<-f.WakeLog()
		assertUnlogged(f, "v1")
	})
}
