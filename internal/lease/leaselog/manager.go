package leaselog

import (
	"slices"
	"time"
)

const (
	// driftDivisor sets the allowance for clock drift: the holder subtracts a twentieth from the
	// duration of its lease, and others add a twentieth.
	driftDivisor = 20
	// renewalsPerLease is how many times a lease is renewed within its duration.
	renewalsPerLease = 3
	// claimStagger is the delay of a claim per rank of the daemon for the pool.
	claimStagger = 200 * time.Millisecond
	// retryInterval is the time after which a claim or release is sent again if it was not read
	// back.
	retryInterval = time.Second
	// weakHostDelay is the additional delay of claims by daemons on weak hosts.
	weakHostDelay = 1500 * time.Millisecond
)

// PoolSetting is a pool that needs a holder.
type PoolSetting struct {
	Name string
	// Duration is the configured duration of the pool's lease.
	Duration time.Duration
	// Unreachable is true while this daemon can't reach any server of the pool. It then releases the
	// lease of the pool and does not claim it.
	Unreachable bool
}

// Environment is the input of Decide that does not come from the lease records.
type Environment struct {
	// FoldedTo is the offset of the last record of the log that was applied.
	FoldedTo int64
	Pools    []PoolSetting
	// Daemons are the names of the live daemons, this one included.
	Daemons []string
	// PreferredDaemons are the daemons on the hosts with the most processor time and bandwidth.
	// They claim leases before the other daemons do. If empty, no daemon is preferred for its host.
	PreferredDaemons []string
	// MembersIncomplete is true while daemons are still announcing themselves after a start. Pools
	// that were never held are not claimed until the preferred daemons are known.
	MembersIncomplete bool
	// Draining is true while this daemon drains. It then makes no claims and releases, but still
	// renews its leases.
	Draining bool
	// ReclaimDelay is the minimum time between the last order of a daemon in a pool and its next
	// claim, if another daemon has held the pool in between. Where servers don't check tokens, it
	// keeps orders of the two holders from interleaving. 0 sets no minimum.
	ReclaimDelay time.Duration
	// PredecessorEnded is true if an earlier process of this daemon has certainly ended, for
	// example because this process listens on its addresses. The leases of the earlier process are
	// claimed without waiting until they expire.
	PredecessorEnded bool
}

// Action is a record to append. Exactly one field is set.
type Action struct {
	EraStart *EraStart
	Claim    *Claim
	Renew    bool
	Release  *Release
}

// Manager tracks the leases as read by one daemon, and decides when this daemon claims, renews and
// releases leases. It is not safe for concurrent use.
type Manager struct {
	self Holder
	fold *Fold
	// lastReadAt is the local time at which the last record of each lease was read, by pool.
	lastReadAt map[string]time.Time
	// sentAt is the time just before each own record was sent, by sequence number.
	sentAt map[int64]time.Time
	// validFrom is the send time of the last own claim or renewal that was read back from the log,
	// by pool. The lease of the pool counts from this time.
	validFrom map[string]time.Time
	// lastRenewalAt is when Decide last returned a renewal.
	lastRenewalAt time.Time
	// pendingClaimAt is when Decide last returned a claim, by pool. Its entry is deleted once the claim
	// is read back.
	pendingClaimAt map[string]time.Time
	// lastReleaseAt is when Decide last returned a release, by pool.
	lastReleaseAt map[string]time.Time
	// releasing are the pools that this daemon is releasing. It sends no orders there.
	releasing map[string]bool
	// orderedUntil is the time until which this daemon may have sent orders under a lease that it
	// has lost, by pool.
	orderedUntil map[string]time.Time
	startedAt    time.Time
	// unreachableAt is when this daemon last could not reach the servers of a pool, by pool.
	unreachableAt map[string]time.Time
	// unreachableToken is the token of the lease that this daemon last released because it could not reach
	// the servers, by pool.
	unreachableToken map[string]int64
	// claimingFull are the pools that this daemon was claiming when it held its share of leases already, and
	// claimedFullAt is when it has claimed such a pool, by pool.
	claimingFull  map[string]bool
	claimedFullAt map[string]time.Time
	// rebalanceWaitFrom is the start of the current wait of rebalanceInterval: when a pool was last
	// released for balance, or when Decide last found that this daemon holds no more leases than
	// Load.bound.
	rebalanceWaitFrom time.Time
	era               eraState
	raise             raise
	gap               gap
	// replacedAt is when the fold was last replaced because it differed from that of another daemon.
	replacedAt time.Time
}

// NewManager returns the manager of a daemon that starts from a fold. The leases in the fold count
// as read at now.
func NewManager(self Holder, fold *Fold, now time.Time) *Manager {
	m := &Manager{
		self:             self,
		orderedUntil:     map[string]time.Time{},
		unreachableAt:    map[string]time.Time{},
		unreachableToken: map[string]int64{},
		claimedFullAt:    map[string]time.Time{},
		startedAt:        now,
	}
	m.Reset(fold, now)
	return m
}

// Reset replaces the leases by those of a fold, which count as read at now. This daemon may have sent orders
// until now under the leases that it held.
func (m *Manager) Reset(fold *Fold, now time.Time) {
	if m.fold != nil {
		for _, lease := range m.fold.Leases() {
			if lease.Holder == m.self {
				m.orderedUntil[lease.Pool] = now
			}
		}
	}
	m.fold = fold
	m.lastReadAt = map[string]time.Time{}
	m.sentAt = map[int64]time.Time{}
	m.validFrom = map[string]time.Time{}
	m.pendingClaimAt = map[string]time.Time{}
	m.lastReleaseAt = map[string]time.Time{}
	m.releasing = map[string]bool{}
	m.claimingFull = map[string]bool{}
	for _, lease := range fold.Leases() {
		m.lastReadAt[lease.Pool] = now
	}
}

// Replace replaces a fold that differed from that of another daemon. Leases of the former fold end here, but
// daemons that read later may still hold them: this daemon claims none until they have expired.
func (m *Manager) Replace(fold *Fold, now time.Time) {
	m.Reset(fold, now)
	m.replacedAt = now
}

// Fold returns the leases that the manager has read.
func (m *Manager) Fold() *Fold { return m.fold }

// StoreSendTime stores the send time of a record of this daemon. It must be called before the record
// is sent, so that the lease never counts from too late a time.
func (m *Manager) StoreSendTime(sequence int64, now time.Time) { m.sentAt[sequence] = now }

// OnClaim applies a claim that was read, and reports whether it was accepted.
func (m *Manager) OnClaim(offset int64, holder Holder, sequence int64, claim Claim, readAt time.Time) bool {
	if holder == m.self {
		delete(m.pendingClaimAt, claim.Pool)
	}
	if _, held := m.Token(claim.Pool); held {
		m.orderedUntil[claim.Pool] = m.validUntil(claim.Pool)
	}
	if !m.fold.Claim(offset, holder, claim) {
		return false
	}
	delete(m.releasing, claim.Pool)
	if holder == m.self {
		delete(m.unreachableToken, claim.Pool)
		m.recordFullClaim(claim.Pool, readAt)
	}
	m.lastReadAt[claim.Pool] = readAt
	m.startValidity(holder, sequence, []string{claim.Pool})
	return true
}

// OnRenewal applies a renewal that was read.
func (m *Manager) OnRenewal(offset int64, holder Holder, sequence int64, readAt time.Time) {
	renewed := m.fold.Renew(offset, holder)
	for _, pool := range renewed {
		m.lastReadAt[pool] = readAt
	}
	m.startValidity(holder, sequence, renewed)
}

// OnRelease applies a release that was read, and reports whether its writer held the lease.
func (m *Manager) OnRelease(offset int64, holder Holder, release Release, readAt time.Time) bool {
	if _, held := m.Token(release.Pool); held {
		m.orderedUntil[release.Pool] = readAt
	}
	if !m.fold.Release(offset, holder, release) {
		return false
	}
	m.lastReadAt[release.Pool] = readAt
	return true
}

// startValidity stores the time from which the leases of pools are valid, if their claim or renewal is a
// record of this daemon that it has now read back from the log.
func (m *Manager) startValidity(holder Holder, sequence int64, pools []string) {
	if holder != m.self {
		return
	}
	sent := m.sentAt[sequence]
	delete(m.sentAt, sequence)
	for _, pool := range pools {
		m.validFrom[pool] = sent
	}
}

// Token returns the fencing token of this daemon for a pool, and false if the daemon does not hold
// the pool according to the log as read so far.
func (m *Manager) Token(pool string) (int64, bool) {
	lease := m.fold.Lease(pool)
	return lease.Token, lease.Holder == m.self && lease.Token > 0 && m.isCurrent(lease)
}

// IsValid reports whether this daemon holds a pool, is not releasing it, and its lease has not
// expired.
func (m *Manager) IsValid(pool string, now time.Time) bool {
	if _, held := m.Token(pool); !held || m.releasing[pool] {
		return false
	}
	return now.Before(m.validUntil(pool))
}

func (m *Manager) validUntil(pool string) time.Time {
	duration := m.fold.Lease(pool).Duration
	return m.validFrom[pool].Add(duration - duration/driftDivisor)
}

// BeginRelease marks a pool as being released by this daemon. The lease is no longer valid until
// the pool is claimed again.
func (m *Manager) BeginRelease(pool string) { m.releasing[pool] = true }

// Decide returns the records that the daemon should append now.
func (m *Manager) Decide(now time.Time, environment Environment) []Action {
	if m.gap.isOpen {
		return m.closeGap(now, environment)
	}
	var actions []Action
	if m.renewalDue(now) {
		m.lastRenewalAt = now
		actions = append(actions, Action{Renew: true})
	}
	if environment.Draining {
		return actions
	}
	m.applyRaise()
	if m.awaitsEraStart() {
		if start := m.eraStartDue(now, environment); start != nil {
			actions = append(actions, Action{EraStart: start})
		}
		return actions
	}
	m.recordUnreachable(now, environment)
	if release := m.rebalance(now, environment); release != nil {
		actions = append(actions, Action{Release: release})
	}
	actions = append(actions, m.releasesDue(now, environment)...)
	for _, pool := range environment.Pools {
		if claim := m.claimDue(now, pool, environment); claim != nil {
			m.pendingClaimAt[pool.Name] = now
			m.claimingFull[pool.Name] = m.isFull(environment)
			actions = append(actions, Action{Claim: claim})
		}
	}
	return actions
}

// releasesDue returns the releases of pools that no longer need a holder or whose servers this daemon
// can't reach, and releases that must be sent again because an earlier one was not read back.
func (m *Manager) releasesDue(now time.Time, environment Environment) []Action {
	var actions []Action
	for _, lease := range m.fold.Leases() {
		canHold := slices.ContainsFunc(environment.Pools, func(p PoolSetting) bool { return p.Name == lease.Pool && !p.Unreachable })
		isDue := !canHold || m.releasing[lease.Pool]
		if lease.Holder == m.self && isDue && now.Sub(m.lastReleaseAt[lease.Pool]) >= retryInterval {
			m.lastReleaseAt[lease.Pool] = now
			actions = append(actions, Action{Release: &Release{Pool: lease.Pool, Token: lease.Token}})
		}
	}
	return actions
}

// Releases returns the releases of all leases of this daemon.
func (m *Manager) Releases() []Action {
	var actions []Action
	for _, lease := range m.fold.Leases() {
		if lease.Holder == m.self {
			actions = append(actions, Action{Release: &Release{Pool: lease.Pool, Token: lease.Token}})
		}
	}
	return actions
}

// renewalDue reports whether this daemon should append a renewal, which renews all its leases. The
// lease with the shortest duration sets the interval.
func (m *Manager) renewalDue(now time.Time) bool {
	var shortest time.Duration
	for _, lease := range m.fold.Leases() {
		if lease.Holder == m.self && m.isCurrent(lease) && (shortest == 0 || lease.Duration < shortest) {
			shortest = lease.Duration
		}
	}
	return shortest > 0 && now.Sub(m.lastRenewalAt) >= shortest/renewalsPerLease
}

// claimDue returns the claim of a pool if this daemon should make it now, or nil.
func (m *Manager) claimDue(now time.Time, pool PoolSetting, environment Environment) *Claim {
	lease := m.fold.Lease(pool.Name)
	if _, held := m.Token(pool.Name); held {
		return nil
	}
	if m.wasUnreachable(pool.Name, now) || now.Before(m.replacedAt.Add(withDrift(pool.Duration))) {
		return nil
	}
	if sent, waiting := m.pendingClaimAt[pool.Name]; waiting && now.Sub(sent) < retryInterval {
		return nil
	}
	claim := &Claim{Pool: pool.Name, Seen: lease.LastOffset, Era: m.claimEra(), Duration: pool.Duration}
	if environment.PredecessorEnded && lease.Holder.Daemon == m.self.Daemon && m.isCurrent(lease) {
		return claim
	}
	if environment.MembersIncomplete && lease.Token == 0 {
		return nil
	}
	if m.reclaimsTooEarly(lease, now, m.reclaimDelay(lease, environment)) {
		return nil
	}
	claimableAt := m.claimableAt(lease, pool, now)
	if now.Before(claimableAt) || now.Before(claimableAt.Add(m.claimDelay(pool.Name, environment))) {
		return nil
	}
	return claim
}

// claimableAt returns when a pool becomes free for a claim: at once if it has no holder, otherwise
// when its lease has expired with the allowance for clock drift. A pool that was not claimed in the era of the
// log yet may have a holder that is not known here.
func (m *Manager) claimableAt(lease Lease, pool PoolSetting, now time.Time) time.Time {
	seen, ok := m.lastReadAt[pool.Name]
	if !ok {
		// No record names the pool yet: the claim delay starts now.
		m.lastReadAt[pool.Name] = now
		seen = now
	}
	expiresAt := seen
	if !lease.IsFree() && lease.Holder != m.self {
		expiresAt = seen.Add(withDrift(lease.Duration))
	}
	lapsedAt := m.lapsedAt(max(lease.Duration, pool.Duration))
	if !m.isCurrent(lease) && lapsedAt.After(expiresAt) {
		return lapsedAt
	}
	return expiresAt
}

// withDrift returns the time after which others see a lease of a duration as expired.
func withDrift(duration time.Duration) time.Duration { return duration + duration/driftDivisor }

// claimDelay returns how long this daemon waits after a pool becomes claimable, so that preferred
// daemons claim it first.
func (m *Manager) claimDelay(pool string, environment Environment) time.Duration {
	daemons := environment.Daemons
	delay := time.Duration(0)
	if len(environment.PreferredDaemons) > 0 {
		isPreferred := func(name string) bool { return slices.Contains(environment.PreferredDaemons, name) }
		if isPreferred(m.self.Daemon) {
			daemons = environment.PreferredDaemons
		} else {
			daemons = slices.DeleteFunc(slices.Clone(daemons), isPreferred)
			delay = weakHostDelay
		}
	}
	ranking := Rank(pool, daemons, m.load(environment))
	rank := slices.Index(ranking, m.self.Daemon)
	if rank < 0 {
		rank = len(ranking)
	}
	return delay + time.Duration(rank)*claimStagger
}

func (m *Manager) load(environment Environment) Load {
	load := Load{Held: map[string]int{}, Pools: len(environment.Pools)}
	for _, lease := range m.fold.Leases() {
		if !lease.IsFree() {
			load.Held[lease.Holder.Daemon]++
		}
	}
	return load
}
