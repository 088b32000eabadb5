// Package breakerlog is a circuit breaker for the reads of the platform's log: while it answers
// none of the streams that a daemon follows, one read at a time looks whether it is back.
//
// # Usage
//
//	reads := breakerlog.New(log, keyed, clock)
//	follower := follow.NewFollower(reads, "control", fold, clock, observer)
//
// Without it, a daemon that loses the log asks it more often than one that reaches it: each of its
// followers tries again by itself. Reads that are held back fail at once, so that their followers
// know that they are not up to date. Appends pass through.
package breakerlog

import (
	"context"
	"sync"
	"time"

	"azurehitch"

	"github.com/pkg/errors"
)

// probeInterval is the least time between two reads while no stream is answered.
const probeInterval = 400 * time.Millisecond

// ErrAway is the cause of the failure of a read that was held back.
var ErrAway = errors.New("the log has answered no stream, and another read looks whether it is back")

// Log reads streams through a breaker. It implements azurehitch.Log and azurehitch.KeyedLog.
type Log struct {
	log   azurehitch.Log
	keyed azurehitch.KeyedLog
	clock azurehitch.Clock

	mu sync.Mutex
	// failing tells of each stream that was read whether its last read failed.
	failing  map[string]bool
	probedAt time.Time
}

// New returns a breaker that lets all reads pass.
func New(log azurehitch.Log, keyed azurehitch.KeyedLog, clock azurehitch.Clock) *Log {
	return &Log{log: log, keyed: keyed, clock: clock, failing: map[string]bool{}}
}

// allows reports whether a stream may be read now.
func (l *Log) allows(stream string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.failing[stream] {
		return true
	}
	for _, fails := range l.failing {
		if !fails {
			return true
		}
	}
	now := l.clock.Now()
	if now.Sub(l.probedAt) < probeInterval {
		return false
	}
	l.probedAt = now
	return true
}

// ended notes how a read has ended. A read that its follower has broken off says nothing.
func (l *Log) ended(ctx context.Context, stream string, err error) {
	if errors.Is(ctx.Err(), context.Canceled) {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failing[stream] = err != nil
}

// guard carries out a read, or fails at once.
func guard[T any](ctx context.Context, l *Log, stream string, read func() (T, error)) (T, error) {
	if !l.allows(stream) {
		var none T
		return none, &azurehitch.ErrLog{Operation: "read", Cause: ErrAway}
	}
	result, err := read()
	l.ended(ctx, stream, err)
	return result, err
}

// Read implements azurehitch.Log.
func (l *Log) Read(ctx context.Context, stream string, from int64, wait time.Duration) (azurehitch.Batch, error) {
	return guard(ctx, l, stream, func() (azurehitch.Batch, error) { return l.log.Read(ctx, stream, from, wait) })
}

// Append implements azurehitch.Log.
func (l *Log) Append(ctx context.Context, stream string, payload []byte) (int64, error) {
	return l.log.Append(ctx, stream, payload)
}

// Newest implements azurehitch.KeyedLog.
func (l *Log) Newest(ctx context.Context, stream string) (azurehitch.KeyedBatch, error) {
	return guard(ctx, l, stream, func() (azurehitch.KeyedBatch, error) { return l.keyed.Newest(ctx, stream) })
}

// Changes implements azurehitch.KeyedLog.
func (l *Log) Changes(ctx context.Context, stream string, from int64, wait time.Duration) (azurehitch.KeyedBatch, error) {
	return guard(ctx, l, stream, func() (azurehitch.KeyedBatch, error) { return l.keyed.Changes(ctx, stream, from, wait) })
}

// Put implements azurehitch.KeyedLog.
func (l *Log) Put(ctx context.Context, stream string, record azurehitch.KeyedRecord) error {
	return l.keyed.Put(ctx, stream, record)
}
