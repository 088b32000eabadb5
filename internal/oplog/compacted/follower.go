// Package compacted follows a stream that keeps the newest record of each key.
//
// # Usage
//
//	follower := compacted.NewFollower(log, "servers", fold, clock, observer, compacted.Pace{Wait: time.Second})
//	group.Go(func() error { return follower.Run(ctx) })
//
// The follower lists the newest records once and reads changes from there on. When
// changes were deleted unread, it lists again.
package compacted

import (
	"context"
	"time"

	"azurehitch"

	"github.com/cenkalti/backoff/v5"
)

const (
	minBackoff = 50 * time.Millisecond
	maxBackoff = 500 * time.Millisecond
)

// Observer is told of each read of a stream.
type Observer interface {
	StreamRead(stream string, err error)
}

// Fold is the state that a follower feeds.
type Fold interface {
	// Replace takes in the newest record of each key: other keys are gone.
	Replace(records []azurehitch.KeyedRecord, readAt time.Time)
	// Apply takes in changes in their order. Without any, nothing has changed by readAt.
	Apply(records []azurehitch.KeyedRecord, readAt time.Time)
	// Failed notes that the stream could not be read.
	Failed(at time.Time)
}

// Pace is how often a stream is read.
type Pace struct {
	// Wait is how long a read waits for a change.
	Wait time.Duration
	// Interval is the least time between two reads.
	Interval time.Duration
}

// Follower reads a stream into a fold.
type Follower struct {
	log      azurehitch.KeyedLog
	stream   string
	fold     Fold
	clock    azurehitch.Clock
	observer Observer
	pace     Pace
	// next is the offset from which to read on; negative before the first list.
	next int64
}

// NewFollower returns a follower of a stream.
func NewFollower(
	log azurehitch.KeyedLog, stream string, fold Fold, clock azurehitch.Clock, observer Observer, pace Pace,
) *Follower {
	return &Follower{log: log, stream: stream, fold: fold, clock: clock, observer: observer, pace: pace, next: -1}
}

// Run reads until the context ends. It returns nil then.
func (f *Follower) Run(ctx context.Context) error {
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval = minBackoff
	delays.MaxInterval = maxBackoff
	for ctx.Err() == nil {
		began := f.clock.Now()
		err := f.step(ctx)
		if ctx.Err() != nil {
			return nil
		}
		f.observer.StreamRead(f.stream, err)
		pause := f.pace.Interval - f.clock.Now().Sub(began)
		if err != nil {
			f.fold.Failed(f.clock.Now())
			pause = delays.NextBackOff()
		} else {
			delays.Reset()
		}
		if pause <= 0 {
			continue
		}
		if err := f.clock.Sleep(ctx, pause); err != nil {
			return nil
		}
	}
	return nil
}

func (f *Follower) step(ctx context.Context) error {
	if f.next < 0 {
		return f.list(ctx)
	}
	batch, err := f.log.Changes(ctx, f.stream, f.next, f.pace.Wait)
	if err != nil {
		return err
	}
	if batch.Gap {
		return f.list(ctx)
	}
	f.next = batch.Next
	f.fold.Apply(batch.Records, f.clock.Now())
	return nil
}

func (f *Follower) list(ctx context.Context) error {
	batch, err := f.log.Newest(ctx, f.stream)
	if err != nil {
		return err
	}
	f.next = batch.Next
	f.fold.Replace(batch.Records, f.clock.Now())
	return nil
}
