package engine

import (
	"context"
	"sync"
)

// slotQueue admits a bounded number of requests at once, those of higher priority first
// and those of equal priority in the order of their arrival.
type slotQueue struct {
	mu      sync.Mutex
	free    int
	waiting []*slotWaiter
}

type slotWaiter struct {
	priority int
	// admitted is closed when the waiter has a slot.
	admitted chan struct{}
}

func newSlotQueue(slots int) *slotQueue {
	if slots <= 0 {
		slots = 1 << 20
	}
	return &slotQueue{free: slots}
}

// acquire waits for a slot. An error is the error of the context.
func (q *slotQueue) acquire(ctx context.Context, priority int) error {
	w := q.enqueue(priority)
	select {
	case <-w.admitted:
		return nil
	case <-ctx.Done():
		q.withdraw(w)
		return ctx.Err()
	}
}

func (q *slotQueue) enqueue(priority int) *slotWaiter {
	q.mu.Lock()
	defer q.mu.Unlock()
	w := &slotWaiter{priority: priority, admitted: make(chan struct{})}
	q.waiting = append(q.waiting, w)
	q.admit()
	return w
}

// withdraw removes a waiter from the queue, or releases its slot if it has been admitted
// meanwhile.
func (q *slotQueue) withdraw(w *slotWaiter) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for i, other := range q.waiting {
		if other == w {
			q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
			return
		}
	}
	q.free++
	q.admit()
}

func (q *slotQueue) release() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.free++
	q.admit()
}

func (q *slotQueue) admit() {
	for q.free > 0 && len(q.waiting) > 0 {
		best := 0
		for i, w := range q.waiting {
			if w.priority > q.waiting[best].priority {
				best = i
			}
		}
		close(q.waiting[best].admitted)
		q.waiting = append(q.waiting[:best], q.waiting[best+1:]...)
		q.free--
	}
}
