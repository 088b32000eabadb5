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

// Verdict is the result of applying a record to the state.
type Verdict struct {
	// Offset is the offset of the record.
	Offset int64
	// Err is nil if the record took effect. Otherwise it says why the record was ignored.
	Err error
}

// ErrSuperseded is the verdict on a record whose writer had an outdated view of the lease.
var ErrSuperseded = errors.New("the lease has changed")

// Store is the state that one daemon has built by applying the records of the control stream in
// order (folding them). It is safe for concurrent use.
type Store struct {
	self  leaselog.Holder
	clock azurehitch.Clock

	mu sync.Mutex
	// foldedTo is the offset of the last record that was applied.
	foldedTo int64
	// state is the published state in force, and configuration its parsed tables.
	state         configlog.State
	configuration tables.Configuration
	// unreadable is true while this release can't read the tables in state. configuration then
	// holds the last tables that it could read.
	unreadable bool
	readTables TableReader
	// scopesChangedOffset is the offset of the last record that changed the scope of any pool.
	scopesChangedOffset int64
	leases              *leaselog.Manager
	// changed is closed and replaced at each change of the state.
	changed chan struct{}
	pending *follow.PendingVerdicts[Verdict]
	// histories are the usage histories that pool holders recorded, by pool.
	histories map[string]PoolHistory
	// pendingResolutions resolve the open intents of this daemon whose orders were never sent.
	pendingResolutions []leaselog.Resolution
	lastSnapshotOffset int64
	// snapshotFoldedTo is the offset up to which the last snapshot covers the log.
	snapshotFoldedTo int64
	// first is the offset of the oldest record in the log when it was last read.
	first int64
	// snapshotMissingSince is when this daemon found that the log has dropped the last snapshot, or that another fold
	// replaces the one in it; zero if the log has a snapshot.
	snapshotMissingSince time.Time
	// lastSnapshotAt is when the last snapshot was read that was appended after this daemon started, or
	// entered the era; zero without one.
	lastSnapshotAt time.Time
	// readAt is when the log was last read successfully, and firstReadAt when it was first in this era.
	readAt      time.Time
	firstReadAt time.Time
	// logEra is the era of the log that foldedTo is an offset of.
	logEra int64
	// sentInEarlierEras is the highest sequence number of a record that this daemon has sent in an earlier
	// era of the log, and lastSent the highest of all.
	sentInEarlierEras int64
	lastSent          int64
	// damaged is the number of records that could not be decoded.
	damaged int
	// leasesOnly is true if the stream contains no tables.
	leasesOnly bool
	observer   Observer
}

// NewStore returns a store that has folded no records yet.
func NewStore(self leaselog.Holder, clock azurehitch.Clock) *Store {
	return &Store{
		self:       self,
		clock:      clock,
		leases:     leaselog.NewManager(self, leaselog.NewFold(), clock.Now()),
		changed:    make(chan struct{}),
		pending:    follow.NewPendingVerdicts[Verdict](),
		readTables: configlog.State.Configuration,
		histories:  map[string]PoolHistory{},
		observer:   noObserver{},
	}
}

// TableReader parses the tables of a state.
type TableReader func(configlog.State) (tables.Configuration, error)

// WithTableReader sets how the tables of a state are parsed, for instance as by another release,
// and returns the store. It must be called before the first record is folded.
func (s *Store) WithTableReader(read TableReader) *Store {
	s.readTables = read
	return s
}

// WithoutTables declares that the stream contains leases only, and returns the store. It must be
// called before the first record is folded. If the log has dropped records of such a stream and no daemon that
// has folded them appends a snapshot, the daemons agree to start over without leases.
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

// ReadAt returns when the log was last read successfully. It is zero before the first time.
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

// DamagedRecords returns how many records could not be decoded.
func (s *Store) DamagedRecords() int {
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

// Published returns the published state in force, which this release may not be able to read.
func (s *Store) Published() configlog.State {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state
}

// AwaitPublished waits until this daemon has read the given version of the tables, and returns the
// published state. It returns a *configlog.ErrConflict if a later version is in force.
func (s *Store) AwaitPublished(ctx context.Context, version int64) (configlog.State, error) {
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

// Changed returns a channel that is closed at the next change of the state.
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

// PoolHistory returns the encoded usage history that a holder of the pool recorded last.
func (s *Store) PoolHistory(pool string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.histories[pool].Learned
}

// Token returns the fencing token with which this daemon holds a pool and whether the lease is
// valid now. The token is 0 if the daemon doesn't hold the pool.
func (s *Store) Token(pool string) (token int64, valid bool) { return s.TokenValidFor(pool, 0) }

// TokenValidFor is like Token, but valid says whether the lease will still be valid when span has
// passed.
func (s *Store) TokenValidFor(pool string, span time.Duration) (token int64, valid bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	token, held := s.leases.Token(pool)
	if !held {
		return 0, false
	}
	return token, s.leases.IsValid(pool, s.clock.Now().Add(span))
}

// Decide returns the lease records that this daemon should append now; none before it has read the log, except to
// close a gap of the log.
func (s *Store) Decide(environment leaselog.Environment) []leaselog.Action {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.readAt.IsZero() && !s.leases.InGap() {
		return nil
	}
	environment.FoldedTo = s.foldedTo
	return s.leases.Decide(s.clock.Now(), environment)
}

// Releases returns the records that release all leases of this daemon.
func (s *Store) Releases() []leaselog.Action {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leases.Releases()
}

// BeginRelease marks a pool as being released by this daemon: its lease is no longer valid.
func (s *Store) BeginRelease(pool string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leases.BeginRelease(pool)
}

// TakePendingResolutions removes and returns the resolutions that are not appended yet. They close
// intents of this daemon whose order was never sent.
func (s *Store) TakePendingResolutions() []leaselog.Resolution {
	s.mu.Lock()
	defer s.mu.Unlock()
	resolutions := s.pendingResolutions
	s.pendingResolutions = nil
	return resolutions
}

// ReturnPendingResolution puts back a resolution that could not be appended.
func (s *Store) ReturnPendingResolution(resolution leaselog.Resolution) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pendingResolutions = append(s.pendingResolutions, resolution)
}

func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// markSending records that a record of this daemon is sent now. The lease that it claims or renews
// is counted from this time.
func (s *Store) markSending(sequence int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastSent = max(s.lastSent, sequence)
	s.leases.StoreSendTime(sequence, s.clock.Now())
}

// MarkRead implements follow.Fold.
func (s *Store) MarkRead(readAt time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readAt = readAt
	if s.firstReadAt.IsZero() {
		s.firstReadAt = readAt
	}
}
