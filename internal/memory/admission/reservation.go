package admission

import (
	"context"
	"time"

	"azurehitch"
)

// Reservation is the memory that one reader uses. Its methods are not safe for concurrent use.
type Reservation struct {
	budget   *Budget
	isAnswer bool
	caller   string
	taken    int64
	evict    func()

	// The budget's mutex guards the following fields.
	openedAt time.Time
	// evicted is why the request was evicted; empty if it wasn't.
	evicted Cause
	// spanBytes is what the request has brought since spanBegin.
	spanBegin time.Time
	spanBytes int64
}

// Grow adds n bytes to the reservation. Otherwise it returns an *ErrExhausted, leaves the reservation
// unchanged, and evicts others if that frees enough for it.
func (r *Reservation) Grow(n int) error {
	// A nil *ErrExhausted must not become an error.
	if err := r.grow(n); err != nil {
		return err
	}
	return nil
}

// Admit adds n bytes to the reservation like Grow, and waits a short time for the bytes of evicted requests.
func (r *Reservation) Admit(ctx context.Context, n int) error { return r.budget.admit(ctx, r, n) }

func (r *Reservation) grow(n int) *ErrExhausted {
	b := r.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if r.evicted != "" {
		return b.exhausted(r.evicted)
	}
	added := int64(n)
	missing := b.taken + added - b.bound(r.taken+added)
	if r.isAnswer {
		missing = max(b.taken+added-int64(b.limits.Size), b.answers+added-int64(b.limits.Answers))
	}
	now := b.now(missing > 0 || b.refusedCaller != "")
	switch {
	case !r.isAnswer && b.isBeyondPart(r, added, now):
		return b.exhausted(CauseCallerPart)
	case missing > 0:
		return b.makeRoom(r, added, missing, now)
	}
	b.take(r, added)
	return nil
}

// now returns the time if a decision needs it.
func (b *Budget) now(isNeeded bool) time.Time {
	if !isNeeded {
		return time.Time{}
	}
	return b.clock.Now()
}

// Progress records that n bytes of the request were read.
func (r *Reservation) Progress(n int) {
	if r.evict == nil {
		return
	}
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	r.spanBytes += int64(n)
}

// Received records that the request was received whole, and can't be evicted any more. It returns an
// *ErrExhausted if the request was evicted before.
func (r *Reservation) Received() error {
	if r.evict == nil {
		return nil
	}
	b := r.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.receiving, r)
	if r.evicted != "" {
		return b.exhausted(r.evicted)
	}
	return nil
}

// Eviction returns an *ErrExhausted if the request was evicted, and otherwise nil.
func (r *Reservation) Eviction() error {
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	if r.evicted == "" {
		return nil
	}
	return r.budget.exhausted(r.evicted)
}

// Held returns the bytes of the reservation.
func (r *Reservation) Held() azurehitch.ByteSize { return azurehitch.ByteSize(r.taken) }

// Release returns all bytes of the reservation to the budget.
func (r *Reservation) Release() {
	b := r.budget
	if r.taken == 0 && r.evict == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.receiving, r)
	b.take(r, -r.taken)
	if b.freed != nil {
		close(b.freed)
		b.freed = nil
	}
}
