package control

import (
	"cmp"
	"slices"
	"time"

	"azurehitch/internal/configuration/configlog"
	"azurehitch/internal/configuration/tables"
	"azurehitch/internal/lease/leaselog"
)

// removedPoolLease is the lease of a pool that the table lost before anybody held it.
const removedPoolLease = 10 * time.Second

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

// ScopesChangedAt returns the offset of the last record that changed any scope.
func (s *Store) ScopesChangedAt() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.scopesChangedAt
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
