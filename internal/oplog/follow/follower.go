// Package follow reads a stream of the platform's log into a fold: a state built by applying the
// records in order. It also appends records to the stream and waits for the verdict of the fold on
// each record: whether the record took effect.
//
// # Usage
//
//	follower := follow.NewFollower(log, "control", fold, clock, observer)
//	group.Go(func() error { return follower.Run(ctx) })
//	appender := follow.NewAppender[Verdict](log, "control", pending, observer)
//	verdict, err := appender.Append(ctx, encode)
package follow

import (
	"context"
	"time"

	"azurehitch"
	"azurehitch/internal/oplog/logera"

	"github.com/cenkalti/backoff/v5"
)

const (
	maxReadWait    = 2 * time.Second
	readTimeout    = 15 * time.Second
	minReadBackoff = 50 * time.Millisecond
	maxReadBackoff = 300 * time.Millisecond
	// maxReadDelay is the longest delay of a read by the condition of DelayReadsWhile.
	// delayCheckInterval is the time between two checks of that condition during the delay.
	maxReadDelay       = 3 * time.Second
	delayCheckInterval = 100 * time.Millisecond
)

// Observer is notified of the reads and appends of the log.
type Observer interface {
	// LogRead is called after each read, with nil or its error.
	LogRead(err error)
	// LogAppended is called after each append, with nil or its error.
	LogAppended(err error)
	// EraChanged is called when a read shows another era of the log than the reads before, with the offset
	// that was to be read next.
	EraChanged(stream string, before, after, next int64)
}

// Fold is the state to which a follower applies the records.
type Fold interface {
	// FoldedTo returns the offset of the last record that was folded.
	FoldedTo() int64
	// EnterEra prepares for another era of the log, which has returned from an older copy: records that were
	// folded may be gone, and others have their offsets. The stream is folded again from its first record
	// on. The batch is the first one of the era.
	EnterEra(batch azurehitch.Batch, readAt time.Time)
	// HandleGap prepares for a batch whose first record may come after the next record to fold,
	// because the log deletes records after its retention time. The batch is not folded if it
	// returns an error.
	HandleGap(batch azurehitch.Batch) error
	// Apply folds the next record.
	Apply(record azurehitch.Record, readAt time.Time)
	// MarkRead records when the log was last read and all records read were folded.
	MarkRead(readAt time.Time)
}

// Follower reads a stream into a fold.
type Follower struct {
	log      azurehitch.Log
	stream   string
	fold     Fold
	clock    azurehitch.Clock
	observer Observer
	// mayDelay reports whether the next read may be delayed.
	mayDelay func() bool
	era      logera.Tracker
}

// NewFollower returns a follower that applies the records of a stream to a fold.
func NewFollower(log azurehitch.Log, stream string, fold Fold, clock azurehitch.Clock, observer Observer) *Follower {
	return &Follower{log: log, stream: stream, fold: fold, clock: clock, observer: observer, mayDelay: func() bool { return false }}
}

// DelayReadsWhile delays each read by up to maxReadDelay while a condition holds. It must be called
// before Run.
func (f *Follower) DelayReadsWhile(condition func() bool) *Follower {
	f.mayDelay = condition
	return f
}

// Run reads the stream until the context ends. It always returns nil.
func (f *Follower) Run(ctx context.Context) error {
	retryDelays := backoff.NewExponentialBackOff()
	retryDelays.InitialInterval = minReadBackoff
	retryDelays.MaxInterval = maxReadBackoff
	// The first read doesn't wait for a record: no decision is made before the log was read.
	wait := time.Duration(0)
	for ctx.Err() == nil {
		err := f.Step(ctx, wait)
		if ctx.Err() != nil {
			return nil
		}
		f.observer.LogRead(err)
		if err == nil {
			retryDelays.Reset()
			wait = maxReadWait
			if err := f.delay(ctx); err != nil {
				return nil
			}
			continue
		}
		if err := f.clock.Sleep(ctx, retryDelays.NextBackOff()); err != nil {
			return nil
		}
	}
	return nil
}

// delay waits between two reads while the condition holds.
func (f *Follower) delay(ctx context.Context) error {
	for delayed := time.Duration(0); delayed < maxReadDelay && f.mayDelay(); delayed += delayCheckInterval {
		if err := f.clock.Sleep(ctx, delayCheckInterval); err != nil {
			return err
		}
	}
	return nil
}

// Step reads one batch, waiting up to wait for a first record, and folds it.
func (f *Follower) Step(ctx context.Context, wait time.Duration) error {
	readCtx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	from := f.fold.FoldedTo() + 1
	batch, err := f.log.Read(readCtx, f.stream, from, wait)
	if err != nil {
		return err
	}
	readAt := f.clock.Now()
	isNew, err := f.enterEra(batch.Era, from)
	if err != nil {
		return err
	}
	if isNew {
		f.fold.EnterEra(batch, readAt)
		if from > 1 {
			return nil
		}
	}
	if err := f.fold.HandleGap(batch); err != nil {
		return err
	}
	for _, record := range batch.Records {
		f.fold.Apply(record, readAt)
	}
	f.fold.MarkRead(readAt)
	return nil
}

// enterEra records the era of an answer to a read from an offset, and reports whether it is a new one. The
// offsets read so far then have no meaning any more.
func (f *Follower) enterEra(era, from int64) (isNew bool, err error) {
	change, err := f.era.Enter(era)
	if change.Named != change.Before {
		f.observer.EraChanged(f.stream, change.Before, change.Named, from)
	}
	return change.IsNew, err
}
