// Package outcomes stores the outcomes of calls with idempotency keys at the daemon that ran them,
// so that a repeated call gets the same answer.
//
// # Usage
//
//	run, created := store.Begin(key, bodyDigest)
//	if created {
//		run.Finish(outcomes.Outcome{Status: 200, Body: body})
//	}
//	outcome, err := run.Wait(ctx)
package outcomes

import (
	"context"
	"sync"
	"time"

	"azurehitch"
	"azurehitch/internal/idempotency/claimlog"
)

// maxStoredBytes limits the total size of the bodies of all stored answers.
const maxStoredBytes = 16 << 20

// Outcome is the result of a call: an answer, or a refusal if Refusal is set.
type Outcome struct {
	Status      int
	ContentType string
	Body        []byte
	Refusal     *azurehitch.ErrRefused
}

// Run is one call that this daemon has begun, and its outcome once the call has ended.
type Run struct {
	// Body is the digest of the call. A repeated call must have the same digest.
	Body  uint64
	key   claimlog.Key
	store *Store
	// done is closed after outcome and endedAt are set.
	done    chan struct{}
	outcome Outcome
	endedAt time.Time
}

// Store holds the calls in progress and those that ended within the window. It is safe for
// concurrent use.
type Store struct {
	clock  azurehitch.Clock
	window time.Duration
	mu     sync.Mutex
	// runs holds the runs in progress and the finished ones that are not expired.
	runs map[claimlog.Key]*Run
	// finished lists the ended runs, oldest first, for expiry.
	finished []*Run
	// storedBytes is the total size of the bodies of the finished runs.
	storedBytes int
}

// NewStore returns a store that keeps outcomes for a window after the call has ended.
func NewStore(clock azurehitch.Clock, window time.Duration) *Store {
	return &Store{clock: clock, window: window, runs: map[claimlog.Key]*Run{}}
}

// Begin returns the run of a key. It creates the run and returns true if there is none; the code
// that called Begin must then run the call and finish or remove the run. Body is the digest of the
// call.
func (s *Store) Begin(key claimlog.Key, body uint64) (run *Run, created bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if existing, ok := s.runs[key]; ok {
		return existing, false
	}
	run = &Run{key: key, Body: body, store: s, done: make(chan struct{})}
	s.runs[key] = run
	return run, true
}

// Find returns the run of a key, and false if there is none.
func (s *Store) Find(key claimlog.Key) (*Run, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	run, ok := s.runs[key]
	return run, ok
}

// Finish stores the outcome and unblocks the callers of Wait.
func (r *Run) Finish(outcome Outcome) {
	s := r.store
	s.mu.Lock()
	defer s.mu.Unlock()
	r.outcome = outcome
	r.endedAt = s.clock.Now()
	s.finished = append(s.finished, r)
	s.storedBytes += len(outcome.Body)
	close(r.done)
	s.expire()
}

// Remove removes a run, so that its key can be claimed again.
func (r *Run) Remove() {
	s := r.store
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.runs[r.key] == r {
		delete(s.runs, r.key)
	}
}

// Wait waits until the call has ended and returns its outcome, or the error of the context.
func (r *Run) Wait(ctx context.Context) (Outcome, error) {
	select {
	case <-r.done:
		return r.outcome, nil
	case <-ctx.Done():
		return Outcome{}, ctx.Err()
	}
}

// expire removes the outcomes that are older than the window, and the oldest ones while the size
// limit is exceeded. If a call is repeated after its outcome was removed, the caller learns only
// that the outcome is unknown.
func (s *Store) expire() {
	now := s.clock.Now()
	dropped := 0
	for _, run := range s.finished {
		if now.Sub(run.endedAt) <= s.window && s.storedBytes <= maxStoredBytes {
			break
		}
		s.storedBytes -= len(run.outcome.Body)
		if s.runs[run.key] == run {
			delete(s.runs, run.key)
		}
		dropped++
	}
	s.finished = s.finished[dropped:]
}
