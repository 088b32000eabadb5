package control

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"azurehitch"
	"azurehitch/internal/configuration/configlog"
	"azurehitch/internal/configuration/tables"
	"azurehitch/internal/lease/leaselog"
	"azurehitch/internal/oplog/follow"
	"azurehitch/internal/proof/sabotage"

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

// removedPoolLease is the lease of a pool that the table lost before anybody held it.
const removedPoolLease = 10 * time.Second

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
	// usages are what the holders have learnt, by pool.
	usages map[string]PoolUsage
	// orphans are open intents of this daemon whose order was never sent.
	orphans        []leaselog.Resolution
	lastSnapshot   int64
	lastSnapshotAt time.Time
	readAt         time.Time
	damaged        int
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
		usages:         map[string]PoolUsage{},
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

// LeasedPools returns the pools that need a holder: the pools of models, and those
// that are no longer in the table and have retired servers. There are none while this
// release can't read the tables in force.
func (s *Store) LeasedPools() []leaselog.PoolSetting {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unreadable {
		return nil
	}
	var pools []leaselog.PoolSetting
	for _, pool := range s.configuration.Pools.Pools {
		if pool.Kind == tables.PoolKindModels {
			pools = append(pools, leaselog.PoolSetting{Name: pool.Name, Duration: pool.LeaseDuration.Std()})
		}
	}
	for _, r := range s.state.Retired {
		if slices.ContainsFunc(pools, func(p leaselog.PoolSetting) bool { return p.Name == r.Pool }) {
			continue
		}
		duration := s.leases.Fold().Lease(r.Pool).Duration
		pools = append(pools, leaselog.PoolSetting{Name: r.Pool, Duration: cmp.Or(duration, removedPoolLease)})
	}
	return pools
}

// PoolScope is what the holder of a pool decides on.
type PoolScope struct {
	// ChangedAt is the offset of the last record that changed any scope.
	ChangedAt int64
	// Pool is empty but for its name when the table no longer has it.
	Pool tables.Pool
	// Retired are the servers that were taken out of the pool.
	Retired []configlog.Retired
	// Foreign names the servers that other pools have not yet given up.
	Foreign map[string]bool
}

// PoolScope returns what the holder of a pool decides on.
func (s *Store) PoolScope(name string) PoolScope {
	s.mu.Lock()
	defer s.mu.Unlock()
	pool, ok := s.configuration.Pools.Pool(name)
	if !ok || pool.Kind != tables.PoolKindModels {
		pool = tables.Pool{Name: name, Kind: tables.PoolKindModels}
	}
	return PoolScope{
		ChangedAt: s.scopesChangedAt, Pool: pool,
		Retired: s.state.PoolRetired(name), Foreign: s.state.RetiredElsewhere(name),
	}
}

// PoolUsage returns what the last holder of a pool has learnt of its use.
func (s *Store) PoolUsage(pool string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.usages[pool].Learned
}

// Token returns the fencing token with which this daemon holds a pool, and
// whether the lease is valid now. The token is 0 if it doesn't hold the pool.
func (s *Store) Token(pool string) (token int64, valid bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	token, held := s.leases.Token(pool)
	if !held {
		return 0, false
	}
	return token, s.leases.IsValid(pool, s.clock.Now())
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

// Apply folds the next record. Records at or below the folded offset are passed
// over.
func (s *Store) Apply(raw azurehitch.Record, readAt time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if raw.Offset <= s.foldedTo {
		return
	}
	s.foldedTo = raw.Offset
	record, err := Decode(raw.Payload)
	if err != nil {
		s.damaged++
		return
	}
	verdict := Verdict{Offset: raw.Offset, Err: s.fold(raw.Offset, record, readAt)}
	if record.Writer == s.self {
		s.deliver(record, verdict)
	}
	s.notify()
}

// fold returns the verdict.
func (s *Store) fold(offset int64, r Record, readAt time.Time) error {
	switch {
	case r.Publication != nil:
		return s.publish(offset, *r.Publication)
	case r.Claim != nil:
		return superseded(s.leases.OnClaim(offset, r.Writer, r.Sequence, *r.Claim, readAt))
	case r.Renewal:
		s.leases.OnRenewal(offset, r.Writer, r.Sequence, readAt)
	case r.Release != nil:
		return superseded(s.leases.OnRelease(offset, r.Writer, *r.Release, readAt))
	case r.Intent != nil:
		return superseded(s.leases.Fold().Intend(offset, r.Writer, *r.Intent))
	case r.Resolution != nil:
		s.leases.Fold().Resolve(*r.Resolution)
	case r.Emptied != nil:
		return superseded(s.empty(r.Writer, *r.Emptied))
	case r.Usage != nil:
		return superseded(s.use(r.Writer, *r.Usage))
	case r.Snapshot != nil:
		s.lastSnapshot, s.lastSnapshotAt = offset, readAt
	}
	return nil
}

func superseded(accepted bool) error {
	if accepted {
		return nil
	}
	return ErrSuperseded
}

func (s *Store) publish(offset int64, p configlog.Publication) error {
	next, verdict := s.state.Apply(offset, p)
	if verdict != nil {
		return verdict
	}
	if _, err := s.read(next); err != nil && sabotage.Active(sabotage.JudgeByTables) {
		return err
	}
	s.setConfiguration(next)
	return nil
}

// use keeps what the holder of a pool has learnt.
func (s *Store) use(writer leaselog.Holder, usage PoolUsage) bool {
	if lease := s.leases.Fold().Lease(usage.Pool); lease.Holder != writer || lease.Token != usage.Token {
		return false
	}
	s.usages[usage.Pool] = usage
	return true
}

// empty drops a retired server, if the holder of its pool found it empty.
func (s *Store) empty(writer leaselog.Holder, emptied configlog.Emptied) bool {
	if lease := s.leases.Fold().Lease(emptied.Pool); lease.Holder != writer || lease.Token != emptied.Token {
		return false
	}
	next, dropped := s.state.Empty(emptied)
	s.state = next
	s.scopesChangedAt = s.foldedTo
	return dropped
}

// setConfiguration brings a publication into force. When this release can't read its
// tables, the last ones stay in force here for forwarding, and this daemon holds no
// pools: the new ones may decide on less capacity.
func (s *Store) setConfiguration(state configlog.State) {
	s.state = state
	s.scopesChangedAt = s.foldedTo
	configuration, err := s.read(state)
	s.unreadable = err != nil
	if err == nil {
		s.configuration = configuration
	}
}

func (s *Store) deliver(r Record, verdict Verdict) {
	if s.expectations.Deliver(r.Sequence, verdict) {
		return
	}
	if r.Intent != nil && verdict.Err == nil {
		s.orphans = append(s.orphans, leaselog.Resolution{Pool: r.Intent.Pool, Intent: verdict.Offset})
	}
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
