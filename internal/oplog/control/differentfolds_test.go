package control_test

import (
	"context"
	"testing"
	"time"

	"azurehitch"
	"azurehitch/internal/lease/leaselog"
	"azurehitch/internal/oplog/control"
	"azurehitch/internal/oplog/follow"
	"azurehitch/internal/standin/manualclock"
	"azurehitch/internal/standin/platformlog"

	qt "github.com/frankban/quicktest"
)

// differentFolds is a log with two daemons whose folds differ: a daemon of a build that begins with no lease on a
// log without records has claimed the lease of the first one, and the second one has started from its snapshot.
type differentFolds struct {
	log             *platformlog.Log
	clock           *manualclock.Clock
	living, started *gapDaemon
}

func newDifferentFolds(c *qt.C) differentFolds {
	log, clock, daemons := gapDaemons(c, "living")
	d := differentFolds{log: log, clock: clock, living: daemons[0]}
	steps(clock, 5*time.Second, d.living)
	log.DropHistory()
	claim := d.living.store.FoldedTo() + 1
	earlier := leaselog.Holder{Daemon: "earlier", Incarnation: "1"}
	appendRecord(c, log, earlier.Daemon, control.Record{Claim: &leaselog.Claim{Pool: "llm", Duration: leaseDuration}})
	appendRecord(c, log, earlier.Daemon, control.Record{Renewal: true})
	appendRecord(c, log, earlier.Daemon, control.Record{Snapshot: &control.Snapshot{
		FoldedTo: claim, LogEra: 1, Era: 1,
		Leases: []leaselog.Lease{{Pool: "llm", Holder: earlier, Token: claim, LastOffset: claim, Duration: leaseDuration}},
	}})
	d.started = newGapDaemon(c, log, clock, "started")
	c.Assert(d.started.follower.Step(context.Background(), 0), qt.IsNil)
	c.Assert(d.living.follower.Step(context.Background(), 0), qt.IsNil)
	c.Assert([]string{d.living.holder(), d.started.holder()}, qt.DeepEquals, []string{"living", "earlier"})
	return d
}

// appendSnapshotOf appends a snapshot and lets both daemons read it.
func (d differentFolds) appendSnapshotOf(c *qt.C, writer *gapDaemon, snapshot control.Snapshot) {
	writer.append(control.Record{Snapshot: &snapshot})
	c.Assert(d.started.follower.Step(context.Background(), 0), qt.IsNil)
	c.Assert(d.living.follower.Step(context.Background(), 0), qt.IsNil)
}

// TestFoldsAgreeAfterSnapshot guards against folds that differ for good, and with them two holders of a lease.
func TestFoldsAgreeAfterSnapshot(t *testing.T) {
	t.Run("a daemon with another fold takes that of the snapshot", func(t *testing.T) {
		c := qt.New(t)
		d := newDifferentFolds(c)
		d.appendSnapshotOf(c, d.started, d.started.store.Snapshot())
		c.Assert(d.living.store.Leases(), qt.DeepEquals, d.started.store.Leases())
		token, _ := d.living.store.Token("llm")
		c.Assert(token, qt.Equals, int64(0))
	})
	t.Run("the holder in the snapshot keeps its lease", func(t *testing.T) {
		c := qt.New(t)
		d := newDifferentFolds(c)
		before, _ := d.living.store.Token("llm")
		c.Assert(before, qt.Not(qt.Equals), int64(0))
		d.appendSnapshotOf(c, d.living, d.living.store.Snapshot())
		c.Assert(d.started.store.Leases(), qt.DeepEquals, d.living.store.Leases())
		after, _ := d.living.store.Token("llm")
		c.Assert(after, qt.Equals, before)
	})
	t.Run("it claims only once leases of its former fold have expired", func(t *testing.T) {
		c := qt.New(t)
		d := newDifferentFolds(c)
		snapshot := d.started.store.Snapshot()
		snapshot.Leases = nil
		d.appendSnapshotOf(c, d.started, snapshot)
		steps(d.clock, expiredTime, d.living)
		c.Assert(d.living.holder(), qt.Equals, "")
		steps(d.clock, time.Second, d.living)
		c.Assert(d.living.holder(), qt.Equals, "living")
	})
	for name, change := range map[string]func(*control.Snapshot){
		"its writer has not read the last record":   func(s *control.Snapshot) { s.FoldedTo-- },
		"its writer names no era":                   func(s *control.Snapshot) { s.LogEra = 0 },
		"its writer has not read the last EraStart": func(s *control.Snapshot) { s.Era = 0 },
	} {
		t.Run("no effect: "+name, func(t *testing.T) {
			c := qt.New(t)
			d := newDifferentFolds(c)
			snapshot := d.started.store.Snapshot()
			change(&snapshot)
			d.appendSnapshotOf(c, d.started, snapshot)
			c.Assert([]string{d.living.holder(), d.started.holder()}, qt.DeepEquals, []string{"living", "earlier"})
		})
	}
	t.Run("a daemon whose last EraStart came later soon appends its own", func(t *testing.T) {
		c := qt.New(t)
		d := newDifferentFolds(c)
		snapshot := d.started.store.Snapshot()
		snapshot.Era = 0
		c.Assert(d.living.store.SnapshotDue(2000, 100*time.Second, 0), qt.IsFalse)
		d.appendSnapshotOf(c, d.started, snapshot)
		c.Assert(d.living.store.SnapshotDue(2000, 100*time.Second, 0), qt.IsTrue)
		d.appendSnapshotOf(c, d.living, d.living.store.Snapshot())
		c.Assert(d.started.store.Leases(), qt.DeepEquals, d.living.store.Leases())
		c.Assert(d.living.store.SnapshotDue(2000, 100*time.Second, 0), qt.IsFalse)
	})
	t.Run("a store with tables keeps its fold", func(t *testing.T) {
		c := qt.New(t)
		log := platformlog.New(platformlog.Options{Era: 1})
		store := control.NewStore(leaselog.Holder{Daemon: "reader"}, azurehitch.SystemClock{})
		follower := follow.NewFollower(log, stream, store, azurehitch.SystemClock{}, nopObserver{})
		r := reader{c: c, store: store, follower: follower}
		appendRecord(c, log, "a", claimOf(0))
		appendRecord(c, log, "b", control.Record{Snapshot: &control.Snapshot{FoldedTo: 1, LogEra: 1, Era: 1}})
		r.read()
		c.Assert(store.Lease("llm").Holder.Daemon, qt.Equals, "a")
	})
}
