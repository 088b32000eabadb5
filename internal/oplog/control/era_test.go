package control_test

import (
	"context"
	"testing"
	"time"

	"azurehitch"
	"azurehitch/internal/lease/leaselog"
	"azurehitch/internal/oplog/control"
	"azurehitch/internal/oplog/follow"
	"azurehitch/internal/standin/platformlog"

	qt "github.com/frankban/quicktest"
)

const stream = "control"

// nopObserver implements follow.Observer.
type nopObserver struct{}

func (nopObserver) LogRead(error)                          {}
func (nopObserver) LogAppended(error)                      {}
func (nopObserver) EraChanged(string, int64, int64, int64) {}

// reader is a daemon that folds the control stream.
type reader struct {
	c        *qt.C
	store    *control.Store
	follower *follow.Follower
	writer   *control.Writer
}

func newReader(c *qt.C, log azurehitch.Log, name string) reader {
	store := control.NewStore(leaselog.Holder{Daemon: name, Incarnation: "1"}, azurehitch.SystemClock{}).WithoutTables()
	return reader{
		c: c, store: store, follower: follow.NewFollower(log, stream, store, azurehitch.SystemClock{}, nopObserver{}),
		writer: control.NewWriter(log, stream, store, nopObserver{}),
	}
}

// read folds all records, also if the log begins another era.
func (r reader) read() {
	for range 2 {
		r.c.Assert(r.follower.Step(context.Background(), 0), qt.IsNil)
	}
}

func appendRecord(c *qt.C, log azurehitch.Log, writer string, record control.Record) {
	payload, err := control.Encode(record.WithWriter(leaselog.Holder{Daemon: writer, Incarnation: "1"}, 1))
	c.Assert(err, qt.IsNil)
	_, err = log.Append(context.Background(), stream, payload)
	c.Assert(err, qt.IsNil)
}

func claimOf(seen int64) control.Record {
	return control.Record{Claim: &leaselog.Claim{Pool: "llm", Seen: seen, Duration: time.Second}}
}

// TestFoldsAgreeAfterReturnFromOlderCopy guards against two daemons that each hold the same lease: the log had
// lost a claim that one of them had folded, and given its offset out again.
func TestFoldsAgreeAfterReturnFromOlderCopy(t *testing.T) {
	c := qt.New(t)
	log := platformlog.New(platformlog.Options{Era: 1})
	survivor := newReader(c, log, "survivor")
	appendRecord(c, log, "a", claimOf(0))
	older := log.Copy()
	appendRecord(c, log, "survivor", claimOf(1))
	survivor.read()
	c.Assert(survivor.store.Lease("llm").Holder.Daemon, qt.Equals, "survivor")
	log.Restore(older)
	appendRecord(c, log, "b", claimOf(1))
	started := newReader(c, log, "started")
	started.read()
	survivor.read()
	c.Assert(survivor.store.Leases(), qt.DeepEquals, started.store.Leases())
	c.Assert(survivor.store.Lease("llm").Holder.Daemon, qt.Equals, "b")
	token, _ := survivor.store.Token("llm")
	c.Assert(token, qt.Equals, int64(0))
}

// earlierAnswers is a log whose answers are from an earlier era while isLate is set.
type earlierAnswers struct {
	azurehitch.Log
	isLate bool
}

// Read implements azurehitch.Log.
func (l *earlierAnswers) Read(ctx context.Context, stream string, from int64, wait time.Duration) (azurehitch.Batch, error) {
	batch, err := l.Log.Read(ctx, stream, from, wait)
	if l.isLate {
		batch.Era--
	}
	return batch, err
}

func TestAnswerOfAnEarlierEraIsNotFolded(t *testing.T) {
	c := qt.New(t)
	log := &earlierAnswers{Log: platformlog.New(platformlog.Options{Era: 3})}
	r := newReader(c, log, "a")
	appendRecord(c, log, "a", claimOf(0))
	r.read()
	appendRecord(c, log, "b", claimOf(1))
	log.isLate = true
	c.Assert(r.follower.Step(context.Background(), 0), qt.IsNotNil)
	c.Assert(r.store.FoldedTo(), qt.Equals, int64(1))
	log.isLate = false
	r.read()
	c.Assert(r.store.Lease("llm").Holder.Daemon, qt.Equals, "b")
}

func TestEraStartFollowsItsGap(t *testing.T) {
	c := qt.New(t)
	log := platformlog.New(platformlog.Options{Era: 2})
	r := newReader(c, log, "a")
	r.read()
	c.Assert(r.writer.StartEra(context.Background(), leaselog.EraStart{Era: 2, Gap: 100}), qt.IsNil)
	appendRecord(c, log, "a", claimOf(0))
	r.read()
	c.Assert(r.store.Lease("llm").Token, qt.Equals, int64(102))
	c.Assert(r.store.DamagedRecords(), qt.Equals, 0)
	c.Run("a snapshot has the era", func(c *qt.C) {
		snapshot := r.store.Snapshot()
		c.Assert([]int64{snapshot.LogEra, snapshot.Era, snapshot.EraStartedAt}, qt.DeepEquals, []int64{2, 2, 101})
	})
}

// TestSnapshotOfAnEarlierEra covers snapshots that reach the log only after it has returned from an older copy.
func TestSnapshotOfAnEarlierEra(t *testing.T) {
	snapshot := func(s control.Snapshot) control.Record { return control.Record{Snapshot: &s} }
	start := control.Record{EraStart: &leaselog.EraStart{Era: 2}}
	for _, test := range []struct {
		name    string
		records []control.Record
		covers  bool
	}{
		{"a snapshot of this era", []control.Record{start, snapshot(control.Snapshot{FoldedTo: 41, LogEra: 2})}, true},
		{"a snapshot of an earlier release", []control.Record{start, snapshot(control.Snapshot{FoldedTo: 41})}, true},
		{"a snapshot of the era before, from before the return", []control.Record{snapshot(control.Snapshot{FoldedTo: 40, LogEra: 1}), start}, true},
		{"a late snapshot", []control.Record{start, snapshot(control.Snapshot{FoldedTo: 41, LogEra: 1})}, false},
		{"a snapshot of offsets that come after it", []control.Record{snapshot(control.Snapshot{FoldedTo: 60, LogEra: 1}), start}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			batch := azurehitch.Batch{First: 41, Next: 43, Era: 2}
			for i, record := range test.records {
				payload, err := control.Encode(record.WithWriter(leaselog.Holder{Daemon: "a", Incarnation: "1"}, 1))
				c.Assert(err, qt.IsNil)
				batch.Records = append(batch.Records, azurehitch.Record{Offset: int64(41 + i), Payload: payload})
			}
			store := control.NewStore(leaselog.Holder{Daemon: "b"}, azurehitch.SystemClock{}).WithoutTables()
			err := store.HandleGap(batch)
			c.Assert(err == nil, qt.Equals, test.covers, qt.Commentf("%v", err))
		})
	}
}
