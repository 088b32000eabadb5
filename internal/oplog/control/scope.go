package control

import (
	"cmp"
	"slices"
	"time"

	"azurehitch/internal/configuration/configlog"
	"azurehitch/internal/configuration/tables"
	"azurehitch/internal/lease/leaselog"
)

// removedPoolLeaseDuration is the lease duration of a pool that was removed from the table before
// any daemon held it.
const removedPoolLeaseDuration = 10 * time.Second

// LeasedPools returns the pools that need a lease holder: the pools of kind Models, and pools that
// have retired servers but are no longer in the table. It returns none while this release can't
// read the tables in force.
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
		pools = append(pools, leaselog.PoolSetting{Name: r.Pool, Duration: cmp.Or(duration, removedPoolLeaseDuration)})
	}
	return pools
}

// PoolScope is what the holder of a pool makes decisions for: the pool in the table and its servers,
// including retired ones.
type PoolScope struct {
	// ChangedOffset is the offset of the last record that changed the scope of any pool.
	ChangedOffset int64
	// Pool is the pool in the table. It has only its name and kind if the table no longer lists it.
	Pool tables.Pool
	// Retired are the servers that a publication removed from the pool and that may still have
	// replicas of the pool.
	Retired []configlog.Retired
	// HeldByOtherPool contains the names of servers that were removed from other pools and may still
	// have replicas of those pools.
	HeldByOtherPool map[string]bool
}

// ScopesChangedOffset returns the offset of the last record that changed the scope of any pool.
func (s *Store) ScopesChangedOffset() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.scopesChangedOffset
}

// PoolScope returns the scope of a pool's holder.
func (s *Store) PoolScope(name string) PoolScope {
	s.mu.Lock()
	defer s.mu.Unlock()
	pool, ok := s.configuration.Pools.Pool(name)
	if !ok || pool.Kind != tables.PoolKindModels {
		pool = tables.Pool{Name: name, Kind: tables.PoolKindModels}
	}
	return PoolScope{
		ChangedOffset: s.scopesChangedOffset, Pool: pool,
		Retired: s.state.PoolRetired(name), HeldByOtherPool: s.state.RetiredElsewhere(name),
	}
}
