// Package streamlog keeps the origins of streams in a keyed stream of the platform, so that streams can be taken up
// again after all daemons were killed.
//
// # Usage
//
//	log := streamlog.New(dependencies)
//	group.Go(func() error { return log.Run(ctx) })
//	isTaken := log.Add(records)
//	err := log.Refresh(ctx)
//
// One daemon writes for all, with few calls: the others report to it. Records are facts that never change, so it does no
// harm if several daemons write. A daemon writes under a ring of keys of its own, each of which it overwrites
// once the streams of its record can't be taken up any more.
package streamlog

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"azurehitch"
	"azurehitch/internal/forward/streams"
	"azurehitch/internal/oplog/compacted"
	"azurehitch/internal/oplog/logera"
	"azurehitch/internal/telemetry/metrics"

	"github.com/pkg/errors"
)

const (
	// writeInterval is the minimum time between two writes, and failureInterval that after a failed one.
	writeInterval   = 1500 * time.Millisecond
	failureInterval = 2 * writeInterval
	// slotCount is the number of keys under which a daemon writes in turn.
	slotCount = int64(streams.TTL/writeInterval) + 1
	// maxBatch limits the origins in one write, and maxUnwritten those that wait. Further ones are not taken.
	maxBatch     = 8192
	maxUnwritten = 4 * maxBatch
	// refreshInterval is the minimum time between two reads, and refreshTimeout limits the time of one.
	refreshInterval = time.Second
	refreshTimeout  = time.Second
)

// Dependencies holds what a Log uses.
type Dependencies struct {
	Keyed  azurehitch.KeyedLog
	Stream string
	// Self is the name of this daemon.
	Self     string
	Registry *streams.Registry
	Clock    azurehitch.Clock
	Observer compacted.Observer
	Metrics  *metrics.Metrics
}

// Log writes and reads origins. It is safe for concurrent use.
type Log struct {
	Dependencies
	wake chan struct{}
	// reading is held during a read.
	reading chan struct{}

	mu        sync.Mutex
	unwritten []streams.Record
	// isFailing is true after a failed write.
	isFailing bool
	// sequence is that of the last write of this daemon, also in an earlier process.
	sequence int64

	// The fields below are for the holder of reading. next is the offset from which to read on; negative before the
	// first list, and era is the era of the log in which it is an offset. refreshedAt and refreshErr are of the last
	// read.
	next        int64
	era         logera.Tracker
	refreshedAt time.Time
	refreshErr  error
}

// New returns a log without unwritten origins.
func New(dependencies Dependencies) *Log {
	return &Log{Dependencies: dependencies, wake: make(chan struct{}, 1), reading: make(chan struct{}, 1), next: -1}
}

// Add queues origins to be written. It takes none, and returns false, if the last write has failed or too many wait:
// then another daemon has to write them.
func (l *Log) Add(records []streams.Record) (isTaken bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.isFailing || len(l.unwritten)+len(records) > maxUnwritten {
		return false
	}
	l.unwritten = append(l.unwritten, records...)
	l.wakeUp()
	return true
}

// wakeUp makes Run write. The caller holds l.mu.
func (l *Log) wakeUp() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Run writes the queued origins until the context ends.
func (l *Log) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return nil
		case <-l.wake:
		}
		pause := writeInterval
		if isFailing := l.write(ctx); isFailing {
			pause = failureInterval
		}
		// An error means that the context has ended, which ends the loop.
		_ = l.Clock.Sleep(ctx, pause)
	}
	return nil
}

// write writes the oldest queued origins with one call. Those that could not be written stay queued.
func (l *Log) write(ctx context.Context) (isFailing bool) {
	records := l.take()
	if len(records) == 0 {
		return false
	}
	err := l.put(ctx, records)
	l.Observer.StreamRead(l.Stream, err)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.isFailing = err != nil; l.isFailing {
		l.unwritten = append(records, l.unwritten...)
	} else {
		l.Metrics.Add(metrics.StreamOriginsWritten, int64(len(records)))
	}
	if len(l.unwritten) > 0 {
		l.wakeUp()
	}
	return l.isFailing
}

// take removes the oldest queued origins from the queue.
func (l *Log) take() []streams.Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	count := min(len(l.unwritten), maxBatch)
	records := l.unwritten[:count:count]
	l.unwritten = l.unwritten[count:]
	return records
}

// put writes origins under the next key. A write without an answer may still be carried out, so its key is not used again
// before its turn.
func (l *Log) put(ctx context.Context, records []streams.Record) error {
	if err := l.awaitList(ctx); err != nil {
		return err
	}
	l.mu.Lock()
	l.sequence++
	sequence := l.sequence
	l.mu.Unlock()
	value, err := encode(sequence, records)
	if err != nil {
		return err
	}
	return l.Keyed.Put(ctx, l.Stream, azurehitch.KeyedRecord{Key: fmt.Sprintf("%s%d", l.keyPrefix(), sequence%slotCount), Value: value})
}

// keyPrefix is the beginning of the keys of this daemon.
func (l *Log) keyPrefix() string { return l.Self + "/" }

// awaitList reads the stream once before the first write: an earlier process of this daemon has used its keys.
func (l *Log) awaitList(ctx context.Context) error {
	l.reading <- struct{}{}
	defer func() { <-l.reading }()
	if l.next >= 0 {
		return nil
	}
	return l.read(ctx)
}

// Refresh adds the origins in the stream to the registry. Within refreshInterval of the last read, it returns the
// result of that one.
func (l *Log) Refresh(ctx context.Context) error {
	select {
	case l.reading <- struct{}{}:
		defer func() { <-l.reading }()
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "wait for a read of the origins of streams")
	}
	if now := l.Clock.Now(); l.refreshedAt.IsZero() || now.Sub(l.refreshedAt) >= refreshInterval {
		// Other requests wait for the result, so it must not end with this one.
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), refreshTimeout)
		defer cancel()
		l.refreshErr = l.read(ctx)
		l.refreshedAt = l.Clock.Now()
	}
	return l.refreshErr
}

// read reads what was written since the last read. The caller holds reading.
func (l *Log) read(ctx context.Context) error {
	batch, err := l.nextBatch(ctx)
	l.Observer.StreamRead(l.Stream, err)
	if err != nil {
		return errors.Wrap(err, "read the origins of streams")
	}
	l.next = batch.Next
	for _, r := range batch.Records {
		l.apply(r)
	}
	return nil
}

// nextBatch returns the changes since the last read, or the newest record of each key if they can't be read.
func (l *Log) nextBatch(ctx context.Context) (azurehitch.KeyedBatch, error) {
	if l.next >= 0 {
		batch, err := l.Keyed.Changes(ctx, l.Stream, l.next, 0)
		if err != nil {
			return batch, err
		}
		if isNew, err := l.enterEra(batch.Era); err != nil || !isNew && !batch.Gap {
			return batch, err
		}
	}
	batch, err := l.Keyed.Newest(ctx, l.Stream)
	if err != nil {
		return batch, err
	}
	_, err = l.enterEra(batch.Era)
	return batch, err
}

// enterEra records the era that an answer names, and reports whether it is a later one.
func (l *Log) enterEra(era int64) (isNew bool, err error) {
	change, err := l.era.Enter(era)
	if change.Named != change.Before {
		l.Observer.EraChanged(l.Stream, change.Before, change.Named, l.next)
	}
	return change.IsNew, err
}

// apply adds the origins of a record to the registry. Records that can't be decoded are ignored.
func (l *Log) apply(r azurehitch.KeyedRecord) {
	sequence, records, err := decode(r.Value)
	if err != nil {
		l.Metrics.Add(metrics.RecordsDamaged, 1)
		return
	}
	l.Registry.Merge(records)
	if strings.HasPrefix(r.Key, l.keyPrefix()) {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.sequence = max(l.sequence, sequence)
	}
}
