package control

import (
	"context"
	"sync"
	"time"

	"azurehitch"
	"azurehitch/internal/configuration/configlog"
	"azurehitch/internal/configuration/tables"
	"azurehitch/internal/lease/leaselog"
	"azurehitch/internal/oplog/follow"

	"github.com/pkg/errors"
)

// Verdict is what the fold made of a record.
type Verdict struct {
	Offset int64
	// Err is nil if the record took effect.
	Err error
}

// ErrSuperseded is the verdict on a record about a lease that was no longer as
// its writer saw it.
var ErrSuperseded = errors.New("the lease has changed")

// Store is the folded state of one daemon. It is safe for concurrent use.
type Store struct {
	self  leaselog.Holder
	clock azurehitch.Clock

	mu            sync.Mutex
	foldedTo      int64
	state         configlog.State
	configuration tables.Configuration
	// unreadable is true while this release can't read the tables of the state.
	unreadable bool
	read       Reader
	// scopesChangedAt is the offset of the last record that changed what holders
	// decide on.
	scopesChangedAt int64
	leases          *leaselog.Manager
	changed         chan struct{}
	expectations    *follow.Expectations[Verdict]
	// histories are what the holders have learnt, by pool.
	histories map[string]PoolHistory
	// orphans are open intents of this daemon whose order was never sent.
	orphans        []leaselog.Resolution
	lastSnapshot   int64
	lastSnapshotAt time.Time
	readAt         time.Time
	damaged        int
	// leasesOnly is true when the stream holds no tables.
	leasesOnly bool
}

// NewStore returns the state before the first record.
func NewStore(self leaselog.Holder, clock azurehitch.Clock) *Store {
	now := clock.Now()
	return &Store{
		self:           self,
		clock:          clock,
		leases:         leaselog.NewManager(self, leaselog.NewFold(), now),
		changed:        make(chan struct{}),
		expectations:   follow.NewExpectations[Verdict](),
		read:           configlog.State.Configuration,
		histories:      map[string]PoolHistory{},
		lastSnapshotAt: now,
	}
}

// Reader reads the tables of a state.
type Reader func(configlog.State) (tables.Configuration, error)

// WithReader makes a store without records read tables as another release does, and
// returns it.
func (s *Store) WithReader(read Reader) *Store {
	s.read = read
	return s
}

// WithoutTables makes a store without records one of a stream that holds leases only, and
// returns it. When the log keeps no record of such a stream, no lease lives.
func (s *Store) WithoutTables() *Store {
	s.leasesOnly = true
	return s
}

// Self returns the identity of this daemon.
func (s *Store) Self() leaselog.Holder { return s.self }

// FoldedTo returns the offset of the last record that was folded.
func (s *Store) FoldedTo() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.foldedTo
}

// ReadAt returns when the log was last read with success.
func (s *Store) ReadAt() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.readAt
}

// IsUnreadable reports whether this release can't read the tables in force.
func (s *Store) IsUnreadable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.unreadable
}

// Damaged returns how many records could not be decoded.
func (s *Store) Damaged() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.damaged
}

// Configuration returns the configuration in force.
func (s *Store) Configuration() tables.Configuration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.configuration
}

// Published returns the publication in force.
func (s *Store) Published() configlog.State {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state
}

// PublishedFrom returns the publication in force, once this daemon has folded a
// version. A *configlog.ErrConflict says that a later one is in force.
func (s *Store) PublishedFrom(ctx context.Context, version int64) (configlog.State, error) {
	for {
		changed := s.Changed()
		state := s.Published()
		if state.Version == version {
			return state, nil
		}
		if state.Version > version {
			return state, &configlog.ErrConflict{Base: version, Current: state.Version, Author: state.Author}
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return state, errors.Wrapf(ctx.Err(), "version %d is not known here; version %d is in force", version, state.Version)
		}
	}
}

// Changed returns a channel that is closed at the next change.
func (s *Store) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// Lease returns the lease of a pool.
func (s *Store) Lease(pool string) leaselog.Lease {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leases.Fold().Lease(pool)
}

// Leases returns all leases.
func (s *Store) Leases() []leaselog.Lease {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leases.Fold().Leases()
}

// PoolIntents returns the open intents of a pool.
func (s *Store) PoolIntents(pool string) []leaselog.Intent {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leases.Fold().PoolIntents(pool)
}

// PoolHistory returns what the last holder of a pool has learnt of its use.
func (s *Store) PoolHistory(pool string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.histories[pool].Learned
}

// Token returns the fencing token with which this daemon holds a pool, and
// whether the lease is valid now. The token is 0 if it doesn't hold the pool.
func (s *Store) Token(pool string) (token int64, valid bool) { return s.TokenFor(pool, 0) }

// TokenFor is Token for a lease that is valid for at least a span from now on.
func (s *Store) TokenFor(pool string, span time.Duration) (token int64, valid bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	token, held := s.leases.Token(pool)
	if !held {
		return 0, false
	}
	return token, s.leases.IsValid(pool, s.clock.Now().Add(span))
}

// Decide returns the lease records that are due.
func (s *Store) Decide(environment leaselog.Environment) []leaselog.Action {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leases.Decide(s.clock.Now(), environment)
}

// Releases returns the records that give back all leases.
func (s *Store) Releases() []leaselog.Action {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leases.Releases()
}

// Yield notes that this daemon gives a pool back: its lease is valid no longer.
func (s *Store) Yield(pool string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leases.Yield(pool)
}

// TakeOrphans returns the resolutions of intents that were abandoned before
// their order, once each.
func (s *Store) TakeOrphans() []leaselog.Resolution {
	s.mu.Lock()
	defer s.mu.Unlock()
	orphans := s.orphans
	s.orphans = nil
	return orphans
}

// ReturnOrphan gives back a resolution that could not be recorded.
func (s *Store) ReturnOrphan(orphan leaselog.Resolution) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.orphans = append(s.orphans, orphan)
}

func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// sending notes that an own record is about to be sent.
func (s *Store) sending(sequence int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leases.Sending(sequence, s.clock.Now())
}

// CaughtUp notes that a read of the log ended at a time.
func (s *Store) CaughtUp(readAt time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readAt = readAt
}
