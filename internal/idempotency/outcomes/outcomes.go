// Package outcomes keeps the answers to calls with idempotency keys at the daemon
// that ran them, so that a repeated call gets the same answer.
//
// # Usage
//
//	run, first := store.Begin(key, bodyDigest)
//	if first {
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

// maxStoredBytes bounds the memory of all stored answers.
const maxStoredBytes = 16 << 20

// Outcome is how a call ended: with an answer, or with a refusal.
type Outcome struct {
	Status      int
	ContentType string
	Body        []byte
	Refusal     *azurehitch.ErrRefused
}

// Run is one call that was begun here.
type Run struct {
	// Body is the digest of the call.
	Body    uint64
	key     claimlog.Key
	store   *Store
	done    chan struct{}
	outcome Outcome
	endedAt time.Time
}

// Store is the calls of the window.
type Store struct {
	clock  azurehitch.Clock
	window time.Duration
	mu     sync.Mutex
	runs   map[claimlog.Key]*Run
	// finished is the runs by age of their end, for expiry.
	finished []*Run
	bytes    int
}

// NewStore returns a store that keeps answers for a window.
func NewStore(clock azurehitch.Clock, window time.Duration) *Store {
	return &Store{clock: clock, window: window, runs: map[claimlog.Key]*Run{}}
}

// Begin returns the run of a key, and whether the caller is the one to run it.
func (s *Store) Begin(key claimlog.Key, body uint64) (run *Run, first bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if existing, ok := s.runs[key]; ok {
		return existing, false
	}
	run = &Run{key: key, Body: body, store: s, done: make(chan struct{})}
	s.runs[key] = run
	return run, true
}

// Find returns the run of a key, if there is one.
func (s *Store) Find(key claimlog.Key) (*Run, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	run, ok := s.runs[key]
	return run, ok
}

// Finish stores the outcome and wakes those who wait for it.
func (r *Run) Finish(outcome Outcome) {
	s := r.store
	s.mu.Lock()
	defer s.mu.Unlock()
	r.outcome = outcome
	r.endedAt = s.clock.Now()
	s.finished = append(s.finished, r)
	s.bytes += len(outcome.Body)
	close(r.done)
	s.expire()
}

// Forget removes a run, so that the key can be claimed anew.
func (r *Run) Forget() {
	s := r.store
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.runs[r.key] == r {
		delete(s.runs, r.key)
	}
}

// Wait returns the outcome when the call has ended.
func (r *Run) Wait(ctx context.Context) (Outcome, error) {
	select {
	case <-r.done:
		return r.outcome, nil
	case <-ctx.Done():
		return Outcome{}, ctx.Err()
	}
}

// expire drops the oldest answers. A repeated call whose answer is gone is told
// that its outcome is not known.
func (s *Store) expire() {
	now := s.clock.Now()
	dropped := 0
	for _, run := range s.finished {
		if now.Sub(run.endedAt) <= s.window && s.bytes <= maxStoredBytes {
			break
		}
		s.bytes -= len(run.outcome.Body)
		if s.runs[run.key] == run {
			delete(s.runs, run.key)
		}
		dropped++
	}
	s.finished = s.finished[dropped:]
}
