package leaselog

import "time"

// reachableTime is how long a daemon must have reached the servers of a pool before it claims the pool.
const reachableTime = time.Second

// recordUnreachable records which pools have servers that this daemon can't reach.
func (m *Manager) recordUnreachable(now time.Time, environment Environment) {
	for _, pool := range environment.Pools {
		if !pool.Unreachable {
			continue
		}
		m.unreachableAt[pool.Name] = now
		if token, held := m.Token(pool.Name); held {
			m.unreachableToken[pool.Name] = token
		}
	}
}

// wasUnreachable reports whether this daemon could not reach the servers of a pool a short time ago.
func (m *Manager) wasUnreachable(pool string, now time.Time) bool {
	last, ok := m.unreachableAt[pool]
	return ok && now.Sub(last) < reachableTime
}

// reclaimDelay returns the minimum time between the last order of this daemon in a pool and its next claim. If
// it has released the lease because it could not reach the servers, and another daemon has claimed the lease
// since, it is at least the duration of the lease, so that the two don't take turns.
func (m *Manager) reclaimDelay(lease Lease, environment Environment) time.Duration {
	released, ok := m.unreachableToken[lease.Pool]
	if !ok || lease.Token == released {
		return environment.ReclaimDelay
	}
	return max(environment.ReclaimDelay, lease.Duration)
}

// reclaimsTooEarly reports whether less than span has passed since this daemon last may have sent
// orders in a pool that another daemon has held since. A process that has just started doesn't know
// when its predecessor sent orders, so span counts from the start of the process.
func (m *Manager) reclaimsTooEarly(lease Lease, now time.Time, span time.Duration) bool {
	otherHeldLast := lease.Token > 0 && lease.Holder.Daemon != m.self.Daemon
	if span == 0 || !otherHeldLast {
		return false
	}
	last := m.startedAt
	if until := m.orderedUntil[lease.Pool]; until.After(last) {
		last = until
	}
	return now.Before(last.Add(span))
}
