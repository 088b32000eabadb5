package follow

import (
	"context"
	"sync"
	"time"

	"azurehitch"

	"github.com/pkg/errors"
)

const appendTimeout = 8 * time.Second

// ErrOutcomeUnknown is returned when it is unknown whether a record was appended. If it was, the
// fold will still apply it.
type ErrOutcomeUnknown struct{ Cause error }

// Error implements error.
func (e *ErrOutcomeUnknown) Error() string {
	return "record may have been appended: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *ErrOutcomeUnknown) Unwrap() error { return e.Cause }

// PendingVerdicts holds the appends that wait for the verdict on their record. The sequence number
// of a record identifies it within this process. PendingVerdicts is safe for concurrent use.
type PendingVerdicts[V any] struct {
	mu       sync.Mutex
	sequence int64
	waiters  map[int64]chan V
}

// NewPendingVerdicts returns a set without waiting appends.
func NewPendingVerdicts[V any]() *PendingVerdicts[V] {
	return &PendingVerdicts[V]{waiters: map[int64]chan V{}}
}

func (p *PendingVerdicts[V]) register() (int64, <-chan V) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sequence++
	verdict := make(chan V, 1)
	p.waiters[p.sequence] = verdict
	return p.sequence, verdict
}

// Deliver passes the verdict on a record of this process to the append that waits for it. It
// returns false if the append has stopped waiting.
func (p *PendingVerdicts[V]) Deliver(sequence int64, verdict V) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	waiter, ok := p.waiters[sequence]
	if !ok {
		return false
	}
	delete(p.waiters, sequence)
	waiter <- verdict
	return true
}

// abandon stops waiting for a verdict. It returns the verdict and true if it was delivered before.
func (p *PendingVerdicts[V]) abandon(sequence int64, verdict <-chan V) (V, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.waiters, sequence)
	select {
	case v := <-verdict:
		return v, true
	default:
		var zero V
		return zero, false
	}
}

// Appender appends records and waits for their verdicts.
type Appender[V any] struct {
	log      azurehitch.Log
	stream   string
	verdicts *PendingVerdicts[V]
	observer Observer
}

// NewAppender returns an appender to a stream.
func NewAppender[V any](log azurehitch.Log, stream string, verdicts *PendingVerdicts[V], observer Observer) *Appender[V] {
	return &Appender[V]{log: log, stream: stream, verdicts: verdicts, observer: observer}
}

// Append assigns a sequence number, encodes a record with it, appends the record and waits until
// the fold has delivered the verdict. It returns an *azurehitch.ErrLog if the record was not
// appended, and an *ErrOutcomeUnknown if it may have been.
func (a *Appender[V]) Append(ctx context.Context, encode func(sequence int64) ([]byte, error)) (V, error) {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	var zero V
	sequence, verdict := a.verdicts.register()
	payload, err := encode(sequence)
	if err != nil {
		a.verdicts.abandon(sequence, verdict)
		return zero, err
	}
	_, appendErr := a.log.Append(ctx, a.stream, payload)
	a.observer.LogAppended(appendErr)
	var logErr *azurehitch.ErrLog
	if errors.As(appendErr, &logErr) && !logErr.MayHaveTakenEffect {
		a.verdicts.abandon(sequence, verdict)
		return zero, appendErr
	}
	select {
	case v := <-verdict:
		return v, nil
	case <-ctx.Done():
		if v, ok := a.verdicts.abandon(sequence, verdict); ok {
			return v, nil
		}
		return zero, &ErrOutcomeUnknown{Cause: ctx.Err()}
	}
}
