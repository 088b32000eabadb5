package control_test

import (
	"testing"
	"time"

	"azurehitch"
	"azurehitch/internal/lease/leaselog"
	"azurehitch/internal/oplog/control"
	"azurehitch/internal/standin/manualclock"

	qt "github.com/frankban/quicktest"
)

// startedDaemon is the store of a daemon that has just started and follows a log.
type startedDaemon struct {
	*qt.C
	*control.Store
	clock *manualclock.Clock
	next  int64
	// startedAt is when the daemon started, or entered an era of the log.
	startedAt time.Time
}

// startDaemon returns a daemon whose log has renewals and the given records.
func startDaemon(t *testing.T, records ...control.Record) *startedDaemon {
	t.Helper()
	clock := manualclock.New()
	d := &startedDaemon{C: qt.New(t), Store: control.NewStore(leaselog.Holder{Daemon: "a"}, clock).WithoutTables(), clock: clock, startedAt: clock.Time, next: 1}
	d.catchUp(records...)
	return d
}

// catchUp reads renewals and the given records at once.
func (d *startedDaemon) catchUp(records ...control.Record) {
	for _, r := range append([]control.Record{{Renewal: true}}, records...) {
		d.fold(r)
	}
	d.fold(control.Record{Renewal: true})
	d.fold(control.Record{Renewal: true})
	d.MarkRead(d.clock.Time)
}

// fold folds the next record of the log.
func (d *startedDaemon) fold(r control.Record) {
	payload, err := control.Encode(r.WithWriter(leaselog.Holder{Daemon: "b", Incarnation: "1"}, d.next))
	d.Assert(err, qt.IsNil)
	d.Apply(azurehitch.Record{Offset: d.next, Payload: payload}, d.clock.Time)
	d.next++
}

// assertDue checks whether a snapshot is due some time after the start, for an interval of 7 s.
func (d *startedDaemon) assertDue(after time.Duration, rank int, want bool) {
	d.Helper()
	d.clock.Time = d.startedAt.Add(after)
	d.fold(control.Record{Renewal: true})
	d.fold(control.Record{Renewal: true})
	d.MarkRead(d.clock.Time)
	d.Assert(d.SnapshotDue(1000, 7*time.Second, rank), qt.Equals, want, qt.Commentf("%v after the start", after))
}

// TestSnapshotOfDaemonThatStartsAgainAndAgain guards against daemons that put off their next snapshot by each
// restart until the log has deleted the last one: none of them can fold the log any more.
func TestSnapshotOfDaemonThatStartsAgainAndAgain(t *testing.T) {
	snapshot := func(d *startedDaemon) control.Record {
		s := d.Snapshot()
		return control.Record{Snapshot: &s}
	}
	t.Run("without a snapshot, one is due soon", func(t *testing.T) {
		d := startDaemon(t)
		d.assertDue(time.Second, 0, false)
		d.assertDue(2*time.Second, 0, true)
		d.assertDue(3*time.Second, 1, false)
		d.assertDue(4*time.Second, 1, true)
	})
	t.Run("the age of a snapshot from before the start is not known", func(t *testing.T) {
		d := startDaemon(t, control.Record{Snapshot: &control.Snapshot{FoldedTo: 1}})
		d.assertDue(time.Second, 0, false)
		d.assertDue(2*time.Second, 0, true)
	})
	t.Run("nor that of a snapshot from before the daemon entered an era of the log", func(t *testing.T) {
		d := startDaemon(t)
		d.assertDue(5*time.Second, 0, true)
		d.startedAt, d.next = d.clock.Time, 1
		d.EnterEra(azurehitch.Batch{Era: 2, First: 1, Next: 1}, d.clock.Time)
		d.catchUp(control.Record{Snapshot: &control.Snapshot{FoldedTo: 1}})
		d.assertDue(time.Second, 0, false)
		d.assertDue(2*time.Second, 0, true)
	})
	t.Run("a later one counts", func(t *testing.T) {
		d := startDaemon(t)
		d.assertDue(2*time.Second, 0, true)
		d.fold(snapshot(d))
		d.assertDue(8*time.Second, 0, false)
		d.assertDue(9*time.Second, 0, true)
	})
	t.Run("a daemon of a high rank waits no longer than its interval", func(t *testing.T) {
		d := startDaemon(t)
		d.assertDue(7*time.Second, 8, false)
		d.assertDue(14*time.Second, 8, true)
	})
}
