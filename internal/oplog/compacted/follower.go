// Package compacted reads a compacted stream, in which the platform keeps only the newest record of
// each key, into a fold: a state built by applying the records in order.
//
// # Usage
//
//	follower := compacted.NewFollower(log, "servers", fold, clock, observer, compacted.Pace{Wait: time.Second})
//	group.Go(func() error { return follower.Run(ctx) })
//	follower.ConfirmPosition(position, now)
//
// The follower lists the newest records once and then reads the changes that come after them. If
// changes were deleted before it read them, it lists the newest records again. It does the same when the log
// begins another era: it has lost records that it had acknowledged, and gives their offsets out again, so that
// an offset of the era before shows nothing.
//
// Another daemon that reads the same stream can confirm that the stream has no urgent changes
// beyond an offset. While such confirmations arrive, the follower reads the stream rarely.
package compacted

import (
	"context"
	"sync"
	"time"

	"azurehitch"
	"azurehitch/internal/oplog/logera"

	"github.com/cenkalti/backoff/v5"
)

const (
	minBackoff = 50 * time.Millisecond
	maxBackoff = 300 * time.Millisecond
	// confirmationMaxAge limits the age of the read on which a confirmation is based.
	// confirmationCheckInterval is the time between two checks of that age while reads are skipped.
	confirmationMaxAge        = 900 * time.Millisecond
	confirmationCheckInterval = 50 * time.Millisecond
	// maxConfirmedWait is the longest time from the request of a read to its answer for which a position counts as
	// read when the answer came. An answer that comes later may have waited in a process that was paused. It is
	// longer than the wait of a read while positions are confirmed.
	maxConfirmedWait = 800 * time.Millisecond
	// maxReadInterval is the longest time for which reads are skipped. Changes that aren't urgent
	// are read with that delay.
	maxReadInterval = 8 * time.Second
)

// Observer is notified of what happens to a stream.
type Observer interface {
	// StreamRead is called after each read, with nil or its error.
	StreamRead(stream string, err error)
	// EraChanged is called when a read shows another era of the log than the reads before, with the offset
	// that was to be read next.
	EraChanged(stream string, before, after, next int64)
}

// Fold is the state to which a follower applies the records.
type Fold interface {
	// Replace replaces the state with the newest record of each key. Keys without a record were
	// removed.
	Replace(records []azurehitch.KeyedRecord, readAt time.Time)
	// Apply applies changes in the order of the stream. An empty records means that the state was up
	// to date at readAt.
	Apply(records []azurehitch.KeyedRecord, readAt time.Time)
	// ReadFailed notes that a read of the stream failed.
	ReadFailed(at time.Time)
	// UrgentChanges returns the number of urgent changes so far: those that a follower must read
	// without delay.
	UrgentChanges() int64
}

// Position is how far a follower has read the urgent changes, as it confirms it to other daemons.
type Position struct {
	Stream string
	// Next is the offset after the last urgent change that the follower has read. Changes that it
	// has read beyond Next are not urgent.
	Next int64
	// Era is the era of the log in which Next is an offset; 0 means that it is not known.
	Era int64
	// Age is the time since the stream was read; since the request of the read if its answer came late.
	Age time.Duration
}

// Pace is how often a stream is read.
type Pace struct {
	// Wait is the longest time for which a read waits for a change.
	Wait time.Duration
	// Interval is the minimum time between the starts of two reads.
	Interval time.Duration
}

// Paces holds the two paces of a follower and the condition that selects between them.
type Paces struct {
	// Normal is the pace while no other daemon relies on the reads of this follower.
	Normal Pace
	// Confirming is the pace while other daemons skip reads because this follower confirms them.
	Confirming Pace
	// IsConfirming reports whether other daemons rely on the reads of this follower now.
	IsConfirming func() bool
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
	// era is the era of the log in which next is an offset.
	era logera.Tracker
	// urgentNext is the offset after the last batch that contained an urgent change.
	urgentNext int64
	// readAt is when this follower last read the stream, and askedAt when it had sent the request of that read.
	readAt  time.Time
	askedAt time.Time
	// isFailing is true after a failed read. Only Run uses it.
	isFailing bool
	// confirmedAt is when another daemon last read the stream. It found no urgent change at or
	// beyond confirmedNext.
	confirmedAt   time.Time
	confirmedNext int64
}

// NewFollower returns a follower that always reads at the same pace.
func NewFollower(
	log azurehitch.KeyedLog, stream string, fold Fold, clock azurehitch.Clock, observer Observer, pace Pace,
) *Follower {
	return NewAdaptiveFollower(log, stream, fold, clock, observer, Paces{Normal: pace, IsConfirming: func() bool { return false }})
}

// NewAdaptiveFollower returns a follower that reads at paces.Confirming while it confirms its reads
// to others, and at paces.Normal otherwise.
func NewAdaptiveFollower(
	log azurehitch.KeyedLog, stream string, fold Fold, clock azurehitch.Clock, observer Observer, paces Paces,
) *Follower {
	return &Follower{log: log, stream: stream, fold: fold, clock: clock, observer: observer, paces: paces, next: -1}
}

// ConfirmPosition stores the position that another daemon sent in reply to a request of askedAt.
// Reads that would find no urgent change are skipped until the confirmation is older than
// confirmationMaxAge. Positions in other streams are ignored, and so are those in another era of the log; one
// in a later era ends the confirmations before it.
func (f *Follower) ConfirmPosition(position Position, askedAt time.Time) {
	if position.Stream != f.stream {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if position.Era > f.era.Era() {
		f.confirmedAt = time.Time{}
	}
	if position.Era != f.era.Era() {
		return
	}
	if readAt := askedAt.Add(-position.Age); readAt.After(f.confirmedAt) {
		f.confirmedAt, f.confirmedNext = readAt, position.Next
	}
}

// Position returns how far the stream was read, and false before the first successful read.
func (f *Follower) Position() (Position, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	confirmedRead := f.readAt
	if f.readAt.Sub(f.askedAt) > maxConfirmedWait {
		confirmedRead = f.askedAt
	}
	return Position{Stream: f.stream, Next: f.urgentNext, Era: f.era.Era(), Age: f.clock.Now().Sub(confirmedRead)}, f.next >= 0
}

// CurrentAsOf returns a time of the follower's clock up to which all urgent changes of the stream have been read,
// by the follower itself or according to a confirmation; zero before the first read. It is the time at which
// the last read was sent: its answer may have waited long in a process that was paused. A confirmation counts from
// maxConfirmedWait before its read, for the same reason.
func (f *Follower) CurrentAsOf() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	if confirmed := f.confirmedAt.Add(-maxConfirmedWait); f.next >= 0 && f.confirmedNext <= f.next && confirmed.After(f.askedAt) {
		return confirmed
	}
	return f.askedAt
}

// Run reads the stream until the context ends. It always returns nil.
func (f *Follower) Run(ctx context.Context) error {
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval = minBackoff
	delays.MaxInterval = maxBackoff
	for ctx.Err() == nil {
		if f.skipConfirmedRead() {
			if err := f.clock.Sleep(ctx, confirmationCheckInterval); err != nil {
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
		if f.isFailing = err != nil; f.isFailing {
			f.fold.ReadFailed(f.clock.Now())
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
	if f.paces.IsConfirming() {
		return f.paces.Confirming
	}
	return f.paces.Normal
}

// wait returns how long the next read waits for a change. After a failed read it doesn't: an answer that never
// comes is given up later for a read that waits, and until then a log that is back is not read.
func (f *Follower) wait() time.Duration {
	if f.isFailing {
		return 0
	}
	return f.pace().Wait
}

// skipConfirmedRead reports whether the next read can be skipped because another daemon confirmed
// that there is no urgent change to read. It passes the time of a newer confirmation to the fold.
func (f *Follower) skipConfirmedRead() bool {
	f.mu.Lock()
	confirmedAt := f.confirmedAt
	now := f.clock.Now()
	canSkip := f.next >= 0 && f.confirmedNext <= f.next && now.Sub(confirmedAt) < confirmationMaxAge && now.Sub(f.readAt) < maxReadInterval
	isNewer := confirmedAt.After(f.readAt)
	f.mu.Unlock()
	if canSkip && isNewer {
		f.fold.Apply(nil, confirmedAt)
	}
	return canSkip
}

// step reads the next changes, or lists the newest records if needed.
func (f *Follower) step(ctx context.Context) error {
	if f.next < 0 {
		return f.list(ctx)
	}
	askedAt := f.clock.Now()
	batch, err := f.log.Changes(ctx, f.stream, f.next, f.wait())
	if err != nil {
		return err
	}
	isNew, err := f.enterEra(batch.Era)
	if err != nil {
		return err
	}
	if batch.Gap || isNew {
		return f.list(ctx)
	}
	f.foldBatch(batch, askedAt, f.fold.Apply)
	return nil
}

// enterEra records the era that an answer names, and reports whether it is a later one than that of the
// offsets read so far, which then have no meaning any more.
func (f *Follower) enterEra(era int64) (isNew bool, err error) {
	f.mu.Lock()
	next := f.next
	change, err := f.era.Enter(era)
	if change.IsNew {
		f.next, f.urgentNext, f.confirmedAt = -1, 0, time.Time{}
	}
	f.mu.Unlock()
	if change.Named != change.Before {
		f.observer.EraChanged(f.stream, change.Before, change.Named, next)
	}
	return change.IsNew, err
}

// list replaces the state with the newest record of each key.
func (f *Follower) list(ctx context.Context) error {
	askedAt := f.clock.Now()
	batch, err := f.log.Newest(ctx, f.stream)
	if err != nil {
		return err
	}
	if _, err := f.enterEra(batch.Era); err != nil {
		return err
	}
	f.foldBatch(batch, askedAt, f.fold.Replace)
	return nil
}

// foldBatch passes a batch that was requested at askedAt to a method of the fold, and records how far the stream
// was read.
func (f *Follower) foldBatch(batch azurehitch.KeyedBatch, askedAt time.Time, apply func([]azurehitch.KeyedRecord, time.Time)) {
	readAt := f.clock.Now()
	before := f.fold.UrgentChanges()
	apply(batch.Records, readAt)
	f.mu.Lock()
	defer f.mu.Unlock()
	isFirst := f.next < 0
	f.next, f.readAt, f.askedAt = batch.Next, readAt, askedAt
	if isFirst || f.fold.UrgentChanges() != before {
		f.urgentNext = batch.Next
	}
}
