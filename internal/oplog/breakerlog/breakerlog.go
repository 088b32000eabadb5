// Package breakerlog is a circuit breaker for reads of the platform's log. While the reads of all
// streams that a daemon follows fail, the breaker is open: it lets one read pass per probe interval
// to find out whether the log is back.
//
// # Usage
//
//	reads := breakerlog.New(log, keyed, clock)
//	follower := follow.NewFollower(reads, "control", fold, clock, observer)
//
// Without the breaker, a daemon would send more requests to the log while the log fails than while
// it answers, because each follower of a stream retries on its own. Reads that the breaker rejects
// fail at once, so that the followers know that they are not up to date. Appends always pass.
package breakerlog

import (
	"context"
	"sync"
	"time"

	"azurehitch"

	"github.com/pkg/errors"
)

// probeInterval is the minimum time between two reads while the breaker is open.
const probeInterval = 400 * time.Millisecond

// ErrOpen is the cause in the *azurehitch.ErrLog of a read that the open breaker rejected.
var ErrOpen = errors.New("circuit breaker is open: the last read of every stream failed")

// Log reads streams through a breaker. It implements azurehitch.Log and azurehitch.KeyedLog.
type Log struct {
	log   azurehitch.Log
	keyed azurehitch.KeyedLog
	clock azurehitch.Clock

	mu sync.Mutex
	// failing holds, for each stream that was read, whether its last read failed.
	failing map[string]bool
	// probedAt is when the open breaker last let a read pass.
	probedAt time.Time
}

// New returns a closed breaker, which lets all reads pass.
func New(log azurehitch.Log, keyed azurehitch.KeyedLog, clock azurehitch.Clock) *Log {
	return &Log{log: log, keyed: keyed, clock: clock, failing: map[string]bool{}}
}

// allows reports whether a stream may be read now. A stream may always be read if its last read
// succeeded or if it was never read.
func (l *Log) allows(stream string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.failing[stream] {
		return true
	}
	for _, failed := range l.failing {
		if !failed {
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

// recordResult records the result of a read. A read that its follower canceled doesn't count.
func (l *Log) recordResult(ctx context.Context, stream string, err error) {
	if errors.Is(ctx.Err(), context.Canceled) {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failing[stream] = err != nil
}

// guard runs a read if the breaker allows it. Otherwise it fails at once with ErrOpen as the cause.
func guard[T any](ctx context.Context, l *Log, stream string, read func() (T, error)) (T, error) {
	if !l.allows(stream) {
		var zero T
		return zero, &azurehitch.ErrLog{Operation: "read", Cause: ErrOpen}
	}
	result, err := read()
	l.recordResult(ctx, stream, err)
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
