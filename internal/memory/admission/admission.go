// Package admission bounds the memory that a daemon holds for callers, servers and other daemons.
//
// # Usage
//
//	budget := admission.New(admission.NewLimits(64<<20), clock)
//	reservation := budget.NewRequest(callerAddress, func() { interruptRead() })
//	defer reservation.Release()
//	if err := reservation.Admit(ctx, len(more)); err != nil {
//		return err
//	}
//
// Bytes are admitted before they are read. When the budget is exhausted, requests that arrive without
// progress are evicted first. Then a caller that holds more than its part gives way to others, and large
// requests give way to small ones: those that hold most for longest first. What was received whole is never
// evicted, because a server may have it already.
package admission

import (
	"context"
	"fmt"
	"sync"
	"time"

	"azurehitch"
)

// Limits are the limits of a Budget.
type Limits struct {
	// Size bounds what all reservations hold together.
	Size azurehitch.ByteSize
	// Answers is the part of Size that answers of servers may take.
	Answers azurehitch.ByteSize
	// Reserve is the part of Size that only requests up to Small may take.
	Reserve azurehitch.ByteSize
	Small   azurehitch.ByteSize
	// CallerPart is what one caller may hold while requests of others are refused.
	CallerPart azurehitch.ByteSize
	// A request makes progress as long as it brings MinRate bytes a second in each span.
	Span    time.Duration
	MinRate azurehitch.ByteSize
}

const (
	// evictionWait is how long a request waits for the bytes of evicted ones. Their readers have been
	// interrupted and release them at once.
	evictionWait = 250 * time.Millisecond
	// contestTime is how long the refusal of a request shows that its caller still wants memory.
	contestTime = time.Second
)

// NewLimits returns the limits of a budget of a size.
func NewLimits(size azurehitch.ByteSize) Limits {
	return Limits{
		Size: size, Answers: size * 2 / 5, Reserve: size / 4, Small: min(64<<10, size/4), CallerPart: size / 2,
		Span: time.Second, MinRate: 8 << 10,
	}
}

// Cause says why bytes were not admitted.
type Cause string

// The causes.
const (
	CauseMemory Cause = "Memory"
	// CauseCallerPart is that of a caller that holds more than its part while others wait.
	CauseCallerPart Cause = "CallerPart"
	// CauseStalled is that of a request that was evicted because it made no progress.
	CauseStalled Cause = "Stalled"
	// CauseEvicted is that of a request that was evicted in favor of others.
	CauseEvicted Cause = "Evicted"
)

// ErrExhausted is returned when bytes are not admitted.
type ErrExhausted struct {
	// Size is the size of the budget.
	Size  azurehitch.ByteSize
	Cause Cause
	// willBeFreed is true if evicted requests are about to release the bytes.
	willBeFreed bool
}

// Error implements error.
func (e *ErrExhausted) Error() string {
	return fmt.Sprintf("the memory of %d bytes for what others send is taken (%s)", int64(e.Size), e.Cause)
}

// Budget is the memory that its reservations share. It is safe for concurrent use.
type Budget struct {
	limits Limits
	clock  azurehitch.Clock

	mu      sync.Mutex
	taken   int64
	answers int64
	// receiving holds the requests that can be evicted.
	receiving map[*Reservation]struct{}
	// callers holds the bytes of requests by caller.
	callers map[string]int64
	// refusedCaller is the caller whose request was refused last, at refusedAt.
	refusedCaller string
	refusedAt     time.Time
	// freed is closed and replaced when bytes are released; nil while nobody waits.
	freed chan struct{}
}

// New returns an unused budget.
func New(limits Limits, clock azurehitch.Clock) *Budget {
	return &Budget{limits: limits, clock: clock, receiving: map[*Reservation]struct{}{}, callers: map[string]int64{}}
}

// Taken returns the bytes in use by all reservations.
func (b *Budget) Taken() azurehitch.ByteSize {
	b.mu.Lock()
	defer b.mu.Unlock()
	return azurehitch.ByteSize(b.taken)
}

// ExhaustedError returns the error of a reservation for which too little memory is left.
func (b *Budget) ExhaustedError() *ErrExhausted { return b.exhausted(CauseMemory) }

func (b *Budget) exhausted(cause Cause) *ErrExhausted {
	return &ErrExhausted{Size: b.limits.Size, Cause: cause}
}

// NewReservation returns a reservation of zero bytes for an answer of a server.
func (b *Budget) NewReservation() *Reservation { return &Reservation{budget: b, isAnswer: true} }

// NewRequest returns a reservation of zero bytes for a request of a caller. If evict is not nil, the request
// can be evicted until it is received: evict interrupts its reader, and must neither block nor use the budget.
func (b *Budget) NewRequest(caller string, evict func()) *Reservation {
	r := &Reservation{budget: b, caller: caller, evict: evict}
	if evict != nil {
		r.openedAt = b.clock.Now()
		r.spanBegin = r.openedAt
		b.mu.Lock()
		defer b.mu.Unlock()
		b.receiving[r] = struct{}{}
	}
	return r
}

// HasRoom reports whether a request of n bytes fits now.
func (b *Budget) HasRoom(n int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.taken+int64(n) <= b.bound(int64(n))
}

// bound returns how much of the budget may be taken after a request that then holds n bytes has grown.
func (b *Budget) bound(n int64) int64 {
	if azurehitch.ByteSize(n) <= b.limits.Small {
		return int64(b.limits.Size)
	}
	return int64(b.limits.Size - b.limits.Reserve)
}

// take adds n bytes to a reservation. The caller holds b.mu.
func (b *Budget) take(r *Reservation, n int64) {
	r.taken += n
	b.taken += n
	switch {
	case r.isAnswer:
		b.answers += n
	case b.callers[r.caller]+n == 0:
		delete(b.callers, r.caller)
	default:
		b.callers[r.caller] += n
	}
}

// wait returns a channel that is closed when bytes are released.
func (b *Budget) wait() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.freed == nil {
		b.freed = make(chan struct{})
	}
	return b.freed
}

// admit takes n bytes of the budget, after it has waited for evicted requests if needed.
func (b *Budget) admit(ctx context.Context, r *Reservation, n int) error {
	err := r.Grow(n)
	if err == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, evictionWait)
	defer cancel()
	for {
		freed := b.wait()
		err := r.grow(n)
		if err == nil {
			return nil
		}
		if !err.willBeFreed || ctx.Err() != nil {
			return err
		}
		select {
		case <-freed:
		case <-ctx.Done():
		}
	}
}
