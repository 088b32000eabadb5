package leaselog

import "time"

const (
	// rebalanceInterval is the minimum time between two releases by a daemon that holds more than
	// its share.
	rebalanceInterval = 2 * time.Second
	// fullClaimTime is how long a daemon keeps a pool that it has claimed although it held its share
	// already: the others did not claim it before, for example since they can't reach the servers.
	fullClaimTime = 30 * time.Second
)

// rebalance returns the release of one pool if this daemon has held more leases than Load.bound for
// rebalanceInterval, for example after other daemons have started. It returns nil if no release is
// due.
func (m *Manager) rebalance(now time.Time, environment Environment) *Release {
	load := m.load(environment)
	if load.Held[m.self.Daemon] <= load.bound(len(environment.Daemons)) {
		m.rebalanceWaitFrom = now
		return nil
	}
	if now.Sub(m.rebalanceWaitFrom) < rebalanceInterval {
		return nil
	}
	for _, lease := range m.fold.Leases() {
		mayRelease := lease.Holder == m.self && !m.isFullClaim(lease.Pool, now)
		if mayRelease && Rank(lease.Pool, environment.Daemons, load)[0] != m.self.Daemon {
			m.rebalanceWaitFrom = now
			m.lastReleaseAt[lease.Pool] = now
			return &Release{Pool: lease.Pool, Token: lease.Token}
		}
	}
	return nil
}

// isFull reports whether this daemon holds its share of the leases.
func (m *Manager) isFull(environment Environment) bool {
	load := m.load(environment)
	return load.Held[m.self.Daemon] >= load.bound(len(environment.Daemons))
}

// recordFullClaim records whether a pool that this daemon has claimed was claimed beyond its share.
func (m *Manager) recordFullClaim(pool string, now time.Time) {
	delete(m.claimedFullAt, pool)
	if m.claimingFull[pool] {
		m.claimedFullAt[pool] = now
	}
}

// isFullClaim reports whether a pool was claimed beyond the share of this daemon less than fullClaimTime ago.
func (m *Manager) isFullClaim(pool string, now time.Time) bool {
	at, ok := m.claimedFullAt[pool]
	return ok && now.Sub(at) < fullClaimTime
}
