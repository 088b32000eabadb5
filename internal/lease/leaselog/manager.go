package leaselog

import (
	"slices"
	"time"
)

const (
	// driftDivisor bounds the drift between clocks: the holder takes a twentieth
	// off its lease, and others add a twentieth.
	driftDivisor = 20
	// renewalsPerLease is how often a lease is renewed before it would expire.
	renewalsPerLease = 3
	// claimStagger delays the claims of less preferred daemons.
	claimStagger = 200 * time.Millisecond
	// rebalanceInterval is the least time between two pools that a daemon above its
	// share gives away.
	rebalanceInterval = 2 * time.Second
	// claimRetry is how long a claim without an answer holds up the next.
	claimRetry = time.Second
	// weakDelay is how long daemons on weak hosts let those on strong ones go first.
	weakDelay = 1500 * time.Millisecond
)

// PoolSetting is what the manager needs to know of a pool.
type PoolSetting struct {
	Name     string
	Duration time.Duration
}

// Environment is what the manager needs to know besides the log.
type Environment struct {
	Pools []PoolSetting
	// Daemons are the live entry hosts, this one included.
	Daemons []string
	// Strong are the daemons on the hosts with the most processor time and bandwidth. They
	// are preferred. Without any, all hosts are alike.
	Strong []string
	// Gathering is true while daemons are still announcing themselves after a start: pools
	// that nobody has held yet wait until the strong hosts are known.
	Gathering bool
	// Draining stops claims.
	Draining bool
	// TurnSpan is the span within which no two daemons may hold a pool by turns, as where servers
	// don't check tokens; 0 allows it.
	TurnSpan time.Duration
	// Succeeds is true when an earlier process of this daemon has ended for certain, as when
	// this one has its addresses: its leases are claimed at once.
	Succeeds bool
}

// Action is a record to append: one of its fields is set.
type Action struct {
	Claim   *Claim
	Renew   bool
	Release *Release
}

// Manager knows the leases as one daemon sees them. It is not safe for
// concurrent use.
type Manager struct {
	self Holder
	fold *Fold
	// seenAt is when the last record of each lease was read.
	seenAt map[string]time.Time
	// sentAt is when own records were about to be sent, by sequence.
	sentAt map[int64]time.Time
	// validFrom is when the last own record that was read back had been sent.
	validFrom   map[string]time.Time
	lastRenewal time.Time
	lastClaim   map[string]time.Time
	// lastRelease is when the release of a pool was last tried.
	lastRelease map[string]time.Time
	// yielding are the pools that this daemon gives back: it orders nothing there any more.
	yielding map[string]bool
	// orderedUntil is until when this daemon may have given orders under a lease that it has lost.
	orderedUntil map[string]time.Time
	startedAt    time.Time
	// lastRebalance is when a pool was last given away, or the daemon was last
	// within its share.
	lastRebalance time.Time
}

// NewManager returns the manager of a daemon over a fold. The leases in the fold
// count as read now.
func NewManager(self Holder, fold *Fold, now time.Time) *Manager {
	m := &Manager{
		self:         self,
		fold:         fold,
		seenAt:       map[string]time.Time{},
		sentAt:       map[int64]time.Time{},
		validFrom:    map[string]time.Time{},
		lastClaim:    map[string]time.Time{},
		lastRelease:  map[string]time.Time{},
		yielding:     map[string]bool{},
		orderedUntil: map[string]time.Time{},
		startedAt:    now,
	}
	for _, lease := range fold.Leases() {
		m.seenAt[lease.Pool] = now
	}
	return m
}

// Fold returns the leases that the manager sees.
func (m *Manager) Fold() *Fold { return m.fold }

// Sending notes that an own record is about to be sent.
func (m *Manager) Sending(sequence int64, now time.Time) { m.sentAt[sequence] = now }

// OnClaim applies a claim that was read, and reports whether it won.
func (m *Manager) OnClaim(offset int64, holder Holder, sequence int64, claim Claim, readAt time.Time) bool {
	if holder == m.self {
		delete(m.lastClaim, claim.Pool)
	}
	if _, held := m.Token(claim.Pool); held {
		m.orderedUntil[claim.Pool] = m.validUntil(claim.Pool)
	}
	if !m.fold.Claim(offset, holder, claim) {
		return false
	}
	delete(m.yielding, claim.Pool)
	m.seenAt[claim.Pool] = readAt
	m.readBack(holder, sequence, []string{claim.Pool})
	return true
}

// OnRenewal applies a renewal that was read.
func (m *Manager) OnRenewal(offset int64, holder Holder, sequence int64, readAt time.Time) {
	renewed := m.fold.Renew(offset, holder)
	for _, pool := range renewed {
		m.seenAt[pool] = readAt
	}
	m.readBack(holder, sequence, renewed)
}

// OnRelease applies a release that was read, and reports whether it counted.
func (m *Manager) OnRelease(offset int64, holder Holder, release Release, readAt time.Time) bool {
	if _, held := m.Token(release.Pool); held {
		m.orderedUntil[release.Pool] = readAt
	}
	if !m.fold.Release(offset, holder, release) {
		return false
	}
	m.seenAt[release.Pool] = readAt
	return true
}

func (m *Manager) readBack(holder Holder, sequence int64, pools []string) {
	if holder != m.self {
		return
	}
	sent := m.sentAt[sequence]
	delete(m.sentAt, sequence)
	for _, pool := range pools {
		m.validFrom[pool] = sent
	}
}

// Token returns the fencing token of this daemon for a pool, and false if it
// doesn't hold the pool by the log as read so far.
func (m *Manager) Token(pool string) (int64, bool) {
	lease := m.fold.Lease(pool)
	return lease.Token, lease.Holder == m.self && lease.Token > 0
}

// IsValid reports whether this daemon holds a pool, doesn't give it back, and its lease has not
// expired.
func (m *Manager) IsValid(pool string, now time.Time) bool {
	if _, held := m.Token(pool); !held || m.yielding[pool] {
		return false
	}
	return now.Before(m.validUntil(pool))
}

func (m *Manager) validUntil(pool string) time.Time {
	duration := m.fold.Lease(pool).Duration
	return m.validFrom[pool].Add(duration - duration/driftDivisor)
}

// Yield notes that this daemon gives a pool back. It orders nothing there until it has claimed the
// pool anew.
func (m *Manager) Yield(pool string) { m.yielding[pool] = true }

// Decide returns the records that the daemon should append now.
func (m *Manager) Decide(now time.Time, environment Environment) []Action {
	var actions []Action
	if m.renewalDue(now) {
		m.lastRenewal = now
		actions = append(actions, Action{Renew: true})
	}
	if environment.Draining {
		return actions
	}
	if release := m.rebalance(now, environment); release != nil {
		actions = append(actions, Action{Release: release})
	}
	actions = append(actions, m.releaseUnneeded(now, environment)...)
	for _, pool := range environment.Pools {
		if claim := m.claimDue(now, pool, environment); claim != nil {
			m.lastClaim[pool.Name] = now
			actions = append(actions, Action{Claim: claim})
		}
	}
	return actions
}

// rebalance returns the release of one pool when this daemon has held more than
// its bounded share for some time, as after a start of the others.
func (m *Manager) rebalance(now time.Time, environment Environment) *Release {
	load := m.load(environment)
	if load.Held[m.self.Daemon] <= load.bound(len(environment.Daemons)) {
		m.lastRebalance = now
		return nil
	}
	if now.Sub(m.lastRebalance) < rebalanceInterval {
		return nil
	}
	for _, lease := range m.fold.Leases() {
		if lease.Holder == m.self && Rank(lease.Pool, environment.Daemons, load)[0] != m.self.Daemon {
			m.lastRebalance = now
			m.lastRelease[lease.Pool] = now
			return &Release{Pool: lease.Pool, Token: lease.Token}
		}
	}
	return nil
}

// releaseUnneeded returns the releases of pools that need no holder any more, and those that are due
// again since an earlier one did not arrive.
func (m *Manager) releaseUnneeded(now time.Time, environment Environment) []Action {
	var actions []Action
	for _, lease := range m.fold.Leases() {
		needed := slices.ContainsFunc(environment.Pools, func(p PoolSetting) bool { return p.Name == lease.Pool })
		isDue := !needed || m.yielding[lease.Pool]
		if lease.Holder == m.self && isDue && now.Sub(m.lastRelease[lease.Pool]) >= claimRetry {
			m.lastRelease[lease.Pool] = now
			actions = append(actions, Action{Release: &Release{Pool: lease.Pool, Token: lease.Token}})
		}
	}
	return actions
}

// Releases returns the records that give back all leases of this daemon.
func (m *Manager) Releases() []Action {
	var actions []Action
	for _, lease := range m.fold.Leases() {
		if lease.Holder == m.self {
			actions = append(actions, Action{Release: &Release{Pool: lease.Pool, Token: lease.Token}})
		}
	}
	return actions
}

func (m *Manager) renewalDue(now time.Time) bool {
	var shortest time.Duration
	for _, lease := range m.fold.Leases() {
		if lease.Holder == m.self && (shortest == 0 || lease.Duration < shortest) {
			shortest = lease.Duration
		}
	}
	return shortest > 0 && now.Sub(m.lastRenewal) >= shortest/renewalsPerLease
}

func (m *Manager) claimDue(now time.Time, pool PoolSetting, environment Environment) *Claim {
	lease := m.fold.Lease(pool.Name)
	if lease.Holder == m.self && lease.Token > 0 {
		return nil
	}
	if sent, waiting := m.lastClaim[pool.Name]; waiting && now.Sub(sent) < claimRetry {
		return nil
	}
	if environment.Succeeds && lease.Holder.Daemon == m.self.Daemon {
		return &Claim{Pool: pool.Name, Seen: lease.Last, Duration: pool.Duration}
	}
	if environment.Gathering && lease.Token == 0 {
		return nil
	}
	if m.wouldTakeTurns(lease, now, environment.TurnSpan) {
		return nil
	}
	claimableAt := m.claimableAt(lease, pool, now)
	if now.Before(claimableAt) || now.Before(claimableAt.Add(m.preference(pool.Name, environment))) {
		return nil
	}
	return &Claim{Pool: pool.Name, Seen: lease.Last, Duration: pool.Duration}
}

// wouldTakeTurns reports whether a claim could bring orders of this daemon within a span of earlier
// ones, with those of another holder between them. A process that has just started doesn't know
// what the one before it has ordered.
func (m *Manager) wouldTakeTurns(lease Lease, now time.Time, span time.Duration) bool {
	isOfAnother := lease.Token > 0 && lease.Holder.Daemon != m.self.Daemon
	if span == 0 || !isOfAnother {
		return false
	}
	last := m.startedAt
	if until := m.orderedUntil[lease.Pool]; until.After(last) {
		last = until
	}
	return now.Before(last.Add(span))
}

func (m *Manager) claimableAt(lease Lease, pool PoolSetting, now time.Time) time.Time {
	seen, ok := m.seenAt[pool.Name]
	if !ok {
		// No record names the pool yet: the delay by preference starts now.
		m.seenAt[pool.Name] = now
		seen = now
	}
	if lease.IsFree() {
		return seen
	}
	return seen.Add(lease.Duration + lease.Duration/driftDivisor)
}

// preference is how long this daemon lets more preferred ones go first.
func (m *Manager) preference(pool string, environment Environment) time.Duration {
	daemons := environment.Daemons
	delay := time.Duration(0)
	if len(environment.Strong) > 0 {
		isStrong := func(name string) bool { return slices.Contains(environment.Strong, name) }
		if isStrong(m.self.Daemon) {
			daemons = environment.Strong
		} else {
			daemons = slices.DeleteFunc(slices.Clone(daemons), isStrong)
			delay = weakDelay
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
