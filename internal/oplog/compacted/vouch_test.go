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

// countingLog counts the reads of a stream that stays as it is.
type countingLog struct {
	reads atomic.Int64
	next  int64
}

// Newest implements azurehitch.KeyedLog.
func (l *countingLog) Newest(context.Context, string) (azurehitch.KeyedBatch, error) {
	return azurehitch.KeyedBatch{Next: l.next}, nil
}

// Changes implements azurehitch.KeyedLog.
func (l *countingLog) Changes(ctx context.Context, _ string, _ int64, wait time.Duration) (azurehitch.KeyedBatch, error) {
	l.reads.Add(1)
	return azurehitch.KeyedBatch{Next: l.next}, azurehitch.SystemClock{}.Sleep(ctx, wait)
}

// Put implements azurehitch.KeyedLog.
func (l *countingLog) Put(context.Context, string, azurehitch.KeyedRecord) error { return nil }

// silentFold drops what it is told.
type silentFold struct{ fresh atomic.Int64 }

// Replace implements compacted.Fold.
func (f *silentFold) Replace([]azurehitch.KeyedRecord, time.Time) {}

// Apply implements compacted.Fold.
func (f *silentFold) Apply(_ []azurehitch.KeyedRecord, at time.Time) { f.fresh.Store(at.UnixNano()) }

// Failed implements compacted.Fold.
func (f *silentFold) Failed(time.Time) {}

// Changes implements compacted.Fold.
func (f *silentFold) Changes() int64 { return 0 }

// TestVouch plays a holder that tells how far it has read, while a follower that reads every
// 20 ms runs for half a second.
func TestVouch(t *testing.T) {
	const (
		step  = 20 * time.Millisecond
		steps = 25
	)
	for _, test := range []struct {
		name string
		// position is what the holder tells; nothing if its stream is empty.
		position compacted.Position
		isSpared bool
	}{
		{"nobody vouches", compacted.Position{}, false},
		{"nothing is beyond", compacted.Position{Stream: "s", Next: 7}, true},
		{"the follower has read further", compacted.Position{Stream: "s", Next: 3}, true},
		{"something matters that was not read", compacted.Position{Stream: "s", Next: 8}, false},
		{"the holder itself has not read for long", compacted.Position{Stream: "s", Next: 7, Age: 2 * time.Second}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			log, fold, clock := &countingLog{next: 7}, &silentFold{}, azurehitch.SystemClock{}
			follower := compacted.NewFollower(log, "s", fold, clock, silent{}, compacted.Pace{Interval: step})
			ctx, cancel := context.WithCancel(context.Background())
			var group errgroup.Group
			group.Go(func() error { return follower.Run(ctx) })
			began := clock.Now()
			for range steps {
				if test.position.Stream != "" {
					follower.Vouch(test.position, clock.Now())
				}
				c.Assert(clock.Sleep(ctx, step), qt.IsNil)
			}
			cancel()
			c.Assert(group.Wait(), qt.IsNil)
			c.Assert(log.reads.Load() < steps/3, qt.Equals, test.isSpared, qt.Commentf("%d reads", log.reads.Load()))
			c.Assert(time.Unix(0, fold.fresh.Load()).After(began.Add(step*steps/2)), qt.IsTrue, qt.Commentf("the state counts as read"))
		})
	}
}
