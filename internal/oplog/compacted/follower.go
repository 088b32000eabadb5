// Package compacted follows a stream that keeps the newest record of each key.
//
// # Usage
//
//	follower := compacted.NewFollower(log, "servers", fold, clock, observer, compacted.Pace{Wait: time.Second})
//	group.Go(func() error { return follower.Run(ctx) })
//	follower.Vouch(position, now)
//
// The follower lists the newest records once and reads changes from there on. When
// changes were deleted unread, it lists again.
//
// Another daemon that reads the same stream can vouch that nothing has changed that matters
// at once. For as long as somebody vouches, the follower reads little.
package compacted

import (
	"context"
	"sync"
	"time"

	"azurehitch"

	"github.com/cenkalti/backoff/v5"
)

const (
	minBackoff = 50 * time.Millisecond
	maxBackoff = 500 * time.Millisecond
	// vouchTime is how old the read may be on which a vouch rests, and vouchPause how often it
	// is looked at.
	vouchTime  = 900 * time.Millisecond
	vouchPause = 50 * time.Millisecond
	// vouchedInterval is the longest time without an own read: changes that don't matter at
	// once are read then.
	vouchedInterval = 5 * time.Second
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
	// Changes counts the changes that matter at once.
	Changes() int64
}

// Position is how far a follower has read a stream.
type Position struct {
	Stream string
	// Next is the offset behind the last change that matters at once.
	Next int64
	// Age is how long ago the stream was read.
	Age time.Duration
}

// Pace is how often a stream is read.
type Pace struct {
	// Wait is how long a read waits for a change.
	Wait time.Duration
	// Interval is the least time between two reads.
	Interval time.Duration
}

// Paces are the pace of a follower, and that of one that vouches for others.
type Paces struct {
	Own      Pace
	Vouching Pace
	// IsVouching reports whether others rely on this follower.
	IsVouching func() bool
}

// Follower reads a stream into a fold.
type Follower struct {
	log      azurehitch.KeyedLog
	stream   string
	fold     Fold
	clock    azurehitch.Clock
	observer Observer
	paces    Paces

	mu sync.Mutex
	// next is the offset from which to read on; negative before the first list.
	next int64
	// matters is the offset behind the last change that matters at once.
	matters int64
	readAt  time.Time
	// vouchedAt is when another daemon has read the stream, which had nothing then that
	// matters beyond vouchedNext.
	vouchedAt   time.Time
	vouchedNext int64
}

// NewFollower returns a follower that always reads at one pace.
func NewFollower(
	log azurehitch.KeyedLog, stream string, fold Fold, clock azurehitch.Clock, observer Observer, pace Pace,
) *Follower {
	return NewVouchedFollower(log, stream, fold, clock, observer, Paces{Own: pace, IsVouching: func() bool { return false }})
}

// NewVouchedFollower returns a follower that takes and gives vouches.
func NewVouchedFollower(
	log azurehitch.KeyedLog, stream string, fold Fold, clock azurehitch.Clock, observer Observer, paces Paces,
) *Follower {
	return &Follower{log: log, stream: stream, fold: fold, clock: clock, observer: observer, paces: paces, next: -1}
}

// Vouch takes in how far another daemon has read, at the time at which it was asked. Positions
// in other streams are passed over.
func (f *Follower) Vouch(position Position, askedAt time.Time) {
	if position.Stream != f.stream {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if at := askedAt.Add(-position.Age); at.After(f.vouchedAt) {
		f.vouchedAt, f.vouchedNext = at, position.Next
	}
}

// Position returns how far the stream was read, and false before the first time.
func (f *Follower) Position() (Position, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return Position{Stream: f.stream, Next: f.matters, Age: f.clock.Now().Sub(f.readAt)}, f.next >= 0
}

// Run reads until the context ends.
func (f *Follower) Run(ctx context.Context) error {
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval = minBackoff
	delays.MaxInterval = maxBackoff
	for ctx.Err() == nil {
		if f.takeVouch() {
			if err := f.clock.Sleep(ctx, vouchPause); err != nil {
				return nil
			}
			continue
		}
		began := f.clock.Now()
		err := f.step(ctx)
		if ctx.Err() != nil {
			return nil
		}
		f.observer.StreamRead(f.stream, err)
		pause := f.pace().Interval - f.clock.Now().Sub(began)
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

func (f *Follower) pace() Pace {
	if f.paces.IsVouching() {
		return f.paces.Vouching
	}
	return f.paces.Own
}

// takeVouch tells the fold that nothing has changed, and returns true, while a vouch spares
// the next read.
func (f *Follower) takeVouch() bool {
	f.mu.Lock()
	at := f.vouchedAt
	now := f.clock.Now()
	isSpared := f.next >= 0 && f.vouchedNext <= f.next && now.Sub(at) < vouchTime && now.Sub(f.readAt) < vouchedInterval
	isNewer := at.After(f.readAt)
	f.mu.Unlock()
	if isSpared && isNewer {
		f.fold.Apply(nil, at)
	}
	return isSpared
}

// step reads what is next.
func (f *Follower) step(ctx context.Context) error {
	if f.next < 0 {
		return f.list(ctx)
	}
	batch, err := f.log.Changes(ctx, f.stream, f.next, f.pace().Wait)
	if err != nil {
		return err
	}
	if batch.Gap {
		return f.list(ctx)
	}
	f.take(batch, f.fold.Apply)
	return nil
}

// list reads the newest record of each key.
func (f *Follower) list(ctx context.Context) error {
	batch, err := f.log.Newest(ctx, f.stream)
	if err != nil {
		return err
	}
	f.take(batch, f.fold.Replace)
	return nil
}

// take hands a batch to the fold and notes how far the stream was read.
func (f *Follower) take(batch azurehitch.KeyedBatch, into func([]azurehitch.KeyedRecord, time.Time)) {
	readAt := f.clock.Now()
	before := f.fold.Changes()
	into(batch.Records, readAt)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.next, f.readAt = batch.Next, readAt
	if f.fold.Changes() != before {
		f.matters = batch.Next
	}
}
