//go:build !race || !arm64

// This test crashes the race detector of Go 1.26 itself on arm64 (a segmentation violation in
// __tsan::TraceSwitchPart, when a timer of a synctest bubble fires), without a reported race. There
// it runs in the second step of make test, without the race detector.

package compacted_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"azurehitch"
	"azurehitch/internal/oplog/breakerlog"
	"azurehitch/internal/oplog/compacted"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
)

// The times for which a client of the platform's store waits for an answer: to a read that waits for a
// change beyond its wait, and to any other.
const (
	clientPollMargin  = time.Second
	clientCallTimeout = 2 * time.Second
)

// silentLog is a log that carries out no calls until a time, and then has a change in each stream.
type silentLog struct{ silentFrom, silentUntil time.Time }

// Newest implements azurehitch.KeyedLog.
func (l *silentLog) Newest(ctx context.Context, _ string) (azurehitch.KeyedBatch, error) {
	return l.read(ctx, 0, 0)
}

// Changes implements azurehitch.KeyedLog.
func (l *silentLog) Changes(ctx context.Context, _ string, from int64, wait time.Duration) (azurehitch.KeyedBatch, error) {
	return l.read(ctx, from, wait)
}

func (l *silentLog) read(ctx context.Context, from int64, wait time.Duration) (azurehitch.KeyedBatch, error) {
	now := time.Now()
	if !now.Before(l.silentFrom) && now.Before(l.silentUntil) || now.Add(wait).After(l.silentFrom) && now.Before(l.silentFrom) {
		timeout := clientCallTimeout
		if wait > 0 {
			timeout = wait + clientPollMargin
		}
		_ = azurehitch.SystemClock{}.Sleep(ctx, timeout)
		return azurehitch.KeyedBatch{}, errors.New("no answer")
	}
	if now.Before(l.silentFrom) || from > 0 {
		return azurehitch.KeyedBatch{Next: from}, azurehitch.SystemClock{}.Sleep(ctx, wait)
	}
	return azurehitch.KeyedBatch{Next: 1, Records: []azurehitch.KeyedRecord{{Key: "k"}}}, nil
}

// Put implements azurehitch.KeyedLog.
func (l *silentLog) Put(context.Context, string, azurehitch.KeyedRecord) error { return nil }

// changeFold records when the first change was applied.
type changeFold struct {
	unchangedFold
	changedAt time.Time
}

// Apply implements compacted.Fold.
func (f *changeFold) Apply(records []azurehitch.KeyedRecord, readAt time.Time) {
	if len(records) > 0 && f.changedAt.IsZero() {
		f.changedAt = readAt
	}
}

// TestChangeReadLateAfterSilenceOfTheLog checks that a change is read within the time after which a daemon
// counts as undisturbed, whenever the log falls silent and returns.
func TestChangeReadLateAfterSilenceOfTheLog(t *testing.T) {
	const (
		settle = 3 * time.Second
		phases = 200
		step   = 25 * time.Millisecond
	)
	for _, silence := range []time.Duration{time.Second, 4 * time.Second, 15 * time.Second, 40 * time.Second} {
		t.Run(silence.String(), func(t *testing.T) {
			for phase := range phases {
				synctest.Test(t, func(t *testing.T) {
					silentFrom := time.Now().Add(time.Minute + time.Duration(phase)*step)
					log := &silentLog{silentFrom: silentFrom, silentUntil: silentFrom.Add(silence)}
					delay := readDelay(t, log)
					qt.Check(t, delay < settle, qt.IsTrue, qt.Commentf("phase %d: read %v after the return", phase, delay))
				})
			}
		})
	}
}

// readDelay returns the time from the return of the log until the routing stream of a daemon is read, which
// follows further streams as it does on the platform.
func readDelay(t *testing.T, log *silentLog) time.Duration {
	ctx, cancel := context.WithCancel(context.Background())
	reads := breakerlog.New(nil, log, azurehitch.SystemClock{})
	fold := &changeFold{}
	var group errgroup.Group
	for i, pace := range []compacted.Pace{
		{Wait: 1500 * time.Millisecond}, {Wait: time.Second, Interval: 850 * time.Millisecond},
		{Wait: 10 * time.Second, Interval: 600 * time.Millisecond}, {Wait: 25 * time.Second},
	} {
		var target compacted.Fold = &unchangedFold{}
		if i == 0 {
			target = fold
		}
		follower := compacted.NewFollower(reads, fmt.Sprint("stream-", i), target, azurehitch.SystemClock{}, nopObserver{}, pace)
		group.Go(func() error { return follower.Run(ctx) })
	}
	time.Sleep(time.Until(log.silentUntil) + 10*time.Second)
	cancel()
	qt.Assert(t, group.Wait(), qt.IsNil)
	qt.Assert(t, fold.changedAt.IsZero(), qt.IsFalse)
	return fold.changedAt.Sub(log.silentUntil)
}
