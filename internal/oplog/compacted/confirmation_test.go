package compacted_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"azurehitch"
	"azurehitch/internal/oplog/compacted"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"
)

// countingLog counts the reads of a stream that doesn't change.
type countingLog struct {
	reads atomic.Int64
	next  int64
	era   int64
}

// Newest implements azurehitch.KeyedLog.
func (l *countingLog) Newest(context.Context, string) (azurehitch.KeyedBatch, error) {
	return azurehitch.KeyedBatch{Next: l.next, Era: l.era}, nil
}

// Changes implements azurehitch.KeyedLog.
func (l *countingLog) Changes(ctx context.Context, _ string, _ int64, wait time.Duration) (azurehitch.KeyedBatch, error) {
	l.reads.Add(1)
	return azurehitch.KeyedBatch{Next: l.next, Era: l.era}, azurehitch.SystemClock{}.Sleep(ctx, wait)
}

// Put implements azurehitch.KeyedLog.
func (l *countingLog) Put(context.Context, string, azurehitch.KeyedRecord) error { return nil }

// unchangedFold records only the time at which it was last up to date, in Unix nanoseconds.
type unchangedFold struct{ readAt atomic.Int64 }

// Replace implements compacted.Fold.
func (f *unchangedFold) Replace([]azurehitch.KeyedRecord, time.Time) {}

// Apply implements compacted.Fold.
func (f *unchangedFold) Apply(_ []azurehitch.KeyedRecord, readAt time.Time) {
	f.readAt.Store(readAt.UnixNano())
}

// ReadFailed implements compacted.Fold.
func (f *unchangedFold) ReadFailed(time.Time) {}

// UrgentChanges implements compacted.Fold.
func (f *unchangedFold) UrgentChanges() int64 { return 0 }

// TestConfirmedReads runs a follower that reads every 20 ms for half a second, while a holder
// confirms how far it has read. The follower must skip reads if and only if a recent confirmation
// shows that it has read all urgent changes.
func TestConfirmedReads(t *testing.T) {
	for _, test := range []struct {
		name string
		// position is the position that the holder confirms; none if Stream is empty.
		position   compacted.Position
		skipsReads bool
	}{
		{"no holder confirms", compacted.Position{}, false},
		{"no urgent change beyond the follower's offset", compacted.Position{Stream: "s", Next: 7}, true},
		{"the follower has read further", compacted.Position{Stream: "s", Next: 3}, true},
		{"an urgent change that was not read", compacted.Position{Stream: "s", Next: 8}, false},
		{"the last read of the holder is too old", compacted.Position{Stream: "s", Next: 7, Age: 2 * time.Second}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			checkConfirmedReads(t, &countingLog{next: 7}, test.position, test.skipsReads)
		})
	}
}

// checkConfirmedReads runs a follower of a log while a holder confirms a position; none if Stream is empty.
func checkConfirmedReads(t *testing.T, log *countingLog, position compacted.Position, skipsReads bool) {
	const (
		step  = 20 * time.Millisecond
		steps = 25
	)
	c := qt.New(t)
	fold, clock := &unchangedFold{}, azurehitch.SystemClock{}
	follower := compacted.NewFollower(log, "s", fold, clock, nopObserver{}, compacted.Pace{Interval: step})
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return follower.Run(ctx) })
	began := clock.Now()
	for range steps {
		if position.Stream != "" {
			follower.ConfirmPosition(position, clock.Now())
		}
		c.Assert(clock.Sleep(ctx, step), qt.IsNil)
	}
	cancel()
	c.Assert(group.Wait(), qt.IsNil)
	c.Assert(log.reads.Load() < steps/3, qt.Equals, skipsReads, qt.Commentf("%d reads", log.reads.Load()))
	c.Assert(time.Unix(0, fold.readAt.Load()).After(began.Add(step*steps/2)), qt.IsTrue, qt.Commentf("the state is up to date"))
	c.Assert(clock.Now().Sub(follower.CurrentAsOf()) < time.Second, qt.IsTrue)
}

// lateLog answers a read of changes late, as it appears to a process that was paused, and ends the reads.
type lateLog struct {
	countingLog
	delay   time.Duration
	askedAt time.Time
	end     context.CancelFunc
}

// Changes implements azurehitch.KeyedLog.
func (l *lateLog) Changes(ctx context.Context, _ string, _ int64, _ time.Duration) (azurehitch.KeyedBatch, error) {
	if !l.askedAt.IsZero() {
		l.end()
	}
	l.askedAt = time.Now()
	return azurehitch.KeyedBatch{}, azurehitch.SystemClock{}.Sleep(ctx, l.delay)
}

// TestCurrentAsOfTheRequest guards against a state that counts as current because an old answer was read now, here
// and at the daemons to which the position is confirmed.
func TestCurrentAsOfTheRequest(t *testing.T) {
	for _, test := range []struct{ delay, minAge time.Duration }{{100 * time.Millisecond, 0}, {900 * time.Millisecond, 900 * time.Millisecond}} {
		t.Run(test.delay.String(), func(t *testing.T) {
			t.Parallel()
			checkCurrentAsOf(t, test.delay, test.minAge)
		})
	}
}

// checkCurrentAsOf reads an answer that comes after a delay. The position must be at least minAge old then.
func checkCurrentAsOf(t *testing.T, delay, minAge time.Duration) {
	c := qt.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	log := &lateLog{delay: delay, end: cancel}
	follower := compacted.NewFollower(log, "s", &unchangedFold{}, azurehitch.SystemClock{}, nopObserver{}, compacted.Pace{})
	c.Assert(follower.CurrentAsOf().IsZero(), qt.IsTrue)
	began := time.Now()
	c.Assert(follower.Run(ctx), qt.IsNil)
	c.Assert(follower.CurrentAsOf().After(began), qt.IsTrue)
	c.Assert(log.askedAt.Sub(follower.CurrentAsOf()) >= delay, qt.IsTrue)
	position, _ := follower.Position()
	c.Assert(position.Age >= minAge, qt.IsTrue, qt.Commentf("%v", position.Age))
	c.Assert(position.Age < minAge+delay, qt.IsTrue, qt.Commentf("%v", position.Age))
}
