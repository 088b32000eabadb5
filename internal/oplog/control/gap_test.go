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
	"github.com/pkg/errors"
)

const (
	leaseDuration = 3 * time.Second
	// expiredTime is how long after a renewal all daemons see a lease as expired.
	expiredTime = leaseDuration + leaseDuration/20
)

// gapDaemon is a daemon that folds a log whose history may be dropped.
type gapDaemon struct {
	c        *qt.C
	log      *platformlog.Log
	clock    *manualclock.Clock
	store    *control.Store
	follower *follow.Follower
	name     string
}

// gapDaemons returns daemons of a log, and their clock.
func gapDaemons(c *qt.C, names ...string) (*platformlog.Log, *manualclock.Clock, []*gapDaemon) {
	log, clock := platformlog.New(platformlog.Options{Era: 1}), manualclock.New()
	var daemons []*gapDaemon
	for _, name := range names {
		daemons = append(daemons, newGapDaemon(c, log, clock, name))
	}
	return log, clock, daemons
}

func newGapDaemon(c *qt.C, log *platformlog.Log, clock *manualclock.Clock, name string) *gapDaemon {
	store := control.NewStore(leaselog.Holder{Daemon: name, Incarnation: "1"}, clock).WithoutTables()
	return &gapDaemon{c: c, log: log, clock: clock, store: store, name: name, follower: follow.NewFollower(log, stream, store, clock, nopObserver{})}
}

// step reads the log once and appends what is due. It returns the error of the read.
func (d *gapDaemon) step() error {
	err := d.follower.Step(context.Background(), 0)
	environment := leaselog.Environment{
		Pools: []leaselog.PoolSetting{{Name: "llm", Duration: leaseDuration}}, Daemons: []string{d.name}, PredecessorEnded: true,
	}
	for _, action := range d.store.Decide(environment) {
		d.append(control.Record{EraStart: action.EraStart, Claim: action.Claim, Renewal: action.Renew, Release: action.Release})
	}
	if d.store.SnapshotDue(2000, 100*time.Second, 0) {
		snapshot := d.store.Snapshot()
		d.append(control.Record{Snapshot: &snapshot})
	}
	return err
}

func (d *gapDaemon) append(record control.Record) {
	payload, err := control.Encode(record.WithWriter(d.store.Self(), 1))
	d.c.Assert(err, qt.IsNil)
	_, err = d.log.Append(context.Background(), stream, payload)
	d.c.Assert(err, qt.IsNil)
}

// steps lets daemons read and append in turn for some time.
func steps(clock *manualclock.Clock, duration time.Duration, daemons ...*gapDaemon) {
	for end := clock.Time.Add(duration); clock.Time.Before(end); clock.Time = clock.Time.Add(100 * time.Millisecond) {
		for _, d := range daemons {
			// A daemon that can't fold the log tries again.
			_ = d.step()
		}
	}
}

func (d *gapDaemon) holder() string { return d.store.Lease("llm").Holder.Daemon }

// assertAgree checks that there is a holder, and that two daemons have the same leases.
func assertAgree(c *qt.C, a, b *gapDaemon) {
	c.Helper()
	c.Assert(a.holder(), qt.Not(qt.Equals), "")
	c.Assert(a.store.Leases(), qt.DeepEquals, b.store.Leases())
}

// TestFoldsAgreeAfterDroppedHistory guards against a daemon that begins without leases, because the log has no records, beside
// daemons that have folded the dropped ones.
func TestFoldsAgreeAfterDroppedHistory(t *testing.T) {
	t.Run("a daemon that starts waits for a snapshot of one that lives", func(t *testing.T) {
		c := qt.New(t)
		log, clock, daemons := gapDaemons(c, "living")
		steps(clock, 5*time.Second, daemons...)
		c.Assert(daemons[0].holder(), qt.Equals, "living")
		log.DropHistory()
		started := newGapDaemon(c, log, clock, "started")
		var missing *control.ErrSnapshotMissing
		c.Assert(errors.As(started.step(), &missing), qt.IsTrue)
		steps(clock, 2*time.Second, daemons[0], started)
		c.Assert(started.holder(), qt.Equals, "living")
		c.Assert(started.store.Leases(), qt.DeepEquals, daemons[0].store.Leases())
	})
	t.Run("if no daemon lives, all start over once the leases have expired", func(t *testing.T) {
		c := qt.New(t)
		log, clock, daemons := gapDaemons(c, "former")
		steps(clock, 5*time.Second, daemons...)
		log.DropHistory()
		a, b := newGapDaemon(c, log, clock, "a"), newGapDaemon(c, log, clock, "b")
		steps(clock, expiredTime, a, b)
		c.Assert(a.holder()+b.holder(), qt.Equals, "")
		steps(clock, 2*time.Second, a, b)
		assertAgree(c, a, b)
	})
	t.Run("also where the log has records, but no snapshot", func(t *testing.T) {
		c := qt.New(t)
		log, clock, daemons := gapDaemons(c, "former")
		steps(clock, 5*time.Second, daemons...)
		log.DropHistory()
		daemons[0].append(control.Record{Renewal: true})
		a, b := newGapDaemon(c, log, clock, "a"), newGapDaemon(c, log, clock, "b")
		steps(clock, expiredTime+2*time.Second, a, b)
		assertAgree(c, a, b)
	})
	t.Run("a daemon that was frozen meanwhile starts over with them", func(t *testing.T) {
		c := qt.New(t)
		log, clock, daemons := gapDaemons(c, "frozen")
		steps(clock, 5*time.Second, daemons...)
		log.DropHistory()
		started := newGapDaemon(c, log, clock, "started")
		steps(clock, 5*time.Second, started)
		c.Assert(started.holder(), qt.Equals, "started")
		steps(clock, time.Second, daemons[0], started)
		c.Assert(daemons[0].store.Leases(), qt.DeepEquals, started.store.Leases())
	})
	t.Run("no daemon starts over while another one renews a lease", func(t *testing.T) {
		c := qt.New(t)
		log, clock, daemons := gapDaemons(c, "living")
		steps(clock, 5*time.Second, daemons...)
		log.DropHistory()
		started := newGapDaemon(c, log, clock, "started")
		for range 20 {
			daemons[0].append(control.Record{Renewal: true})
			steps(clock, time.Second, started)
		}
		c.Assert(started.store.FoldedTo(), qt.Equals, int64(0))
		c.Assert(started.holder(), qt.Equals, "")
	})
	t.Run("a snapshot that covers too little doesn't stand for the dropped one", func(t *testing.T) {
		c := qt.New(t)
		log, clock, daemons := gapDaemons(c, "living")
		steps(clock, 5*time.Second, daemons...)
		stale := control.Snapshot{FoldedTo: 1, LogEra: 1}
		log.DropHistory()
		daemons[0].append(control.Record{Renewal: true})
		daemons[0].append(control.Record{Snapshot: &stale})
		started := newGapDaemon(c, log, clock, "started")
		steps(clock, 2*time.Second, daemons[0], started)
		c.Assert(started.holder(), qt.Equals, "living")
	})
	t.Run("a store with tables never starts over", func(t *testing.T) {
		c := qt.New(t)
		store := control.NewStore(leaselog.Holder{Daemon: "a"}, azurehitch.SystemClock{})
		c.Assert(store.HandleGap(azurehitch.Batch{First: 41, Next: 41}), qt.IsNotNil)
		c.Assert(store.Decide(leaselog.Environment{Pools: []leaselog.PoolSetting{{Name: "llm"}}}), qt.HasLen, 0)
	})
}

// TestStartOverBesideOtherRecords covers records that reach the log just before all folds are to start over.
func TestStartOverBesideOtherRecords(t *testing.T) {
	for _, test := range []struct {
		name  string
		start leaselog.EraStart
		want  string
	}{
		{"it follows what its writer has read", leaselog.EraStart{Era: 1, Above: 3, StartsOver: true}, ""},
		{"its writer has not read a renewal", leaselog.EraStart{Era: 1, Above: 2, StartsOver: true}, "a"},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			log := platformlog.New(platformlog.Options{Era: 1})
			r := newReader(c, log, "reader")
			appendRecord(c, log, "a", control.Record{EraStart: &leaselog.EraStart{Era: 1, IsFirst: true}})
			appendRecord(c, log, "a", claimOf(0))
			appendRecord(c, log, "a", control.Record{Renewal: true})
			appendRecord(c, log, "b", control.Record{EraStart: &test.start})
			r.read()
			c.Assert(r.store.Lease("llm").Holder.Daemon, qt.Equals, test.want)
		})
	}
	t.Run("a claim that names no record is late after it", func(t *testing.T) {
		c := qt.New(t)
		log := platformlog.New(platformlog.Options{Era: 1})
		r := newReader(c, log, "reader")
		appendRecord(c, log, "b", control.Record{EraStart: &leaselog.EraStart{Era: 1, StartsOver: true}})
		appendRecord(c, log, "a", claimOf(0))
		r.read()
		c.Assert(r.store.Lease("llm").Holder.Daemon, qt.Equals, "")
		appendRecord(c, log, "a", claimOf(1))
		r.read()
		c.Assert(r.store.Lease("llm").Holder.Daemon, qt.Equals, "a")
	})
}
