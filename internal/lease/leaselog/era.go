package leaselog

import "time"

// EraStart is the record with which daemons begin to use an era of the log, after it has returned from an
// older copy. Its writer appends it with so many records before it that its offset, and with it the tokens
// of all later claims, are above the offsets that earlier eras have given out. Leases that were claimed
// before it are not valid any more.
type EraStart struct {
	Era int64
	// Above is the highest offset of an earlier era that the writer knows, or the highest token that an
	// engine may have seen.
	Above int64
	// Gap is the number of records that the writer appends just before it.
	Gap int64
	// IsFirst is true in the first era of a log that had no records. No earlier era has given out offsets.
	IsFirst bool
	// StartsOver is true if all folds start over at this record, without leases, because the log has dropped
	// records and holds no snapshot. Above is then the offset of the last record before the gap that its writer has
	// read. If others came in between, the record has no effect.
	StartsOver bool
}

const (
	// eraGap is the number of records that are appended for each era that has ended. A stream of leases gets
	// some records a second, and so far fewer between a copy of the log and its return.
	eraGap = 4096
	// maxErasInGap limits the eras that count for the gap.
	maxErasInGap = 16
	// firstEra is the era of a log that has never returned from an older copy.
	firstEra = 1
)

// Era returns the era of the last EraStart that was accepted, and the offset that the tokens of valid leases
// exceed.
func (f *Fold) Era() (era, startedAt int64) { return f.era, f.eraStartedAt }

// StartedAfter reports whether the last EraStart of the fold came after that of another fold.
func (f *Fold) StartedAfter(era, startedAt int64) bool {
	return f.era > era || f.era == era && f.eraStartedAt > startedAt
}

// WithEra sets the era of a fold that is restored from a snapshot, and returns the fold.
func (f *Fold) WithEra(era, startedAt int64) *Fold {
	f.era, f.eraStartedAt = era, startedAt
	return f
}

// StartEra applies an EraStart and reports whether it was accepted: it begins a later era, or the last one
// had left tokens below an offset of an earlier era.
func (f *Fold) StartEra(offset int64, start EraStart) bool {
	if start.StartsOver {
		return f.startOver(offset, start)
	}
	raisesTokens := start.Era == f.era && start.Above > f.eraStartedAt
	if start.Era <= f.era && !raisesTokens {
		return false
	}
	f.era = start.Era
	if !start.IsFirst {
		f.eraStartedAt = offset
	}
	return true
}

// eraState is what a Manager knows of the era of the log.
type eraState struct {
	// era is the latest era that the log has named, and since is when this daemon read it first.
	era   int64
	since time.Time
	// above is the highest offset or token of earlier eras that this daemon knows.
	above int64
	// isFirst is true if this is the first era, and the log had no records when this daemon read it first.
	isFirst bool
	// lastStartAt is when Decide last returned an EraStart.
	lastStartAt time.Time
}

// EnterEra prepares for another era of the log, whose records are then applied from the first one on. The
// daemon has applied the records of the eras before up to foldedTo. None of its leases is valid until it has
// claimed it again. isEmpty reports whether the log has no records.
func (m *Manager) EnterEra(era, foldedTo int64, isEmpty bool, now time.Time) {
	m.era = eraState{
		era: era, since: now, above: max(m.era.above, foldedTo),
		isFirst: era == firstEra && isEmpty && foldedTo == 0,
	}
	m.LeaveGap()
	m.Reset(NewFold(), now)
}

// raise is a request to raise the tokens above that of a lease.
type raise struct {
	pool  string
	token int64
	at    time.Time
}

// RaiseTokens gives up the lease of a pool under a token, because an engine has seen a higher one, and makes the
// tokens of all later claims higher by a gap. It does so once this daemon has read back a renewal that it
// sent later than now: until then, the higher token may be that of a later holder whose claim it hasn't read.
func (m *Manager) RaiseTokens(pool string, token int64, now time.Time) {
	m.raise = raise{pool: pool, token: token, at: now}
}

// applyRaise carries out a request to raise the tokens if it is confirmed, and drops it if the lease was lost.
func (m *Manager) applyRaise() {
	if m.raise.token == 0 {
		return
	}
	token, held := m.Token(m.raise.pool)
	isSame := held && token == m.raise.token
	if isSame && !m.validFrom[m.raise.pool].After(m.raise.at) {
		return
	}
	if isSame {
		m.era.above = max(m.era.above, token+eraGap)
	}
	m.raise = raise{}
}

// awaitsEraStart reports whether no lease can be valid before another EraStart has been read.
func (m *Manager) awaitsEraStart() bool {
	era, startedAt := m.fold.Era()
	return era < m.era.era || startedAt < m.era.above
}

// isCurrent reports whether a lease was claimed in the era of the log. In the first era, that includes leases
// that were never claimed.
func (m *Manager) isCurrent(lease Lease) bool {
	_, startedAt := m.fold.Era()
	return lease.Token >= startedAt && !m.awaitsEraStart()
}

// claimEra returns the era that claims name. A log that names an earlier era than the last EraStart shows
// nothing about that one.
func (m *Manager) claimEra() int64 {
	era, _ := m.fold.Era()
	return max(era, m.era.era)
}

// eraStartDue returns the EraStart that this daemon should append now, or nil. Daemons wait in turn, so that
// one of them is read by the others before they append theirs.
func (m *Manager) eraStartDue(now time.Time, environment Environment) *EraStart {
	isDue := !environment.MembersIncomplete && !now.Before(m.era.since.Add(m.claimDelay("", environment)))
	if !isDue || now.Sub(m.era.lastStartAt) < retryInterval {
		return nil
	}
	m.era.lastStartAt = now
	start := EraStart{Era: m.era.era, Above: m.era.above, IsFirst: m.era.isFirst && m.era.above == 0}
	if !start.IsFirst {
		start.Gap = max(eraGap*m.erasInGap(), start.Above-environment.FoldedTo)
	}
	return &start
}

// erasInGap returns for how many eras an EraStart raises the tokens: those since the last EraStart in the log, and
// those for which a start-over that the log has lost may have raised them, see erasReturned.
func (m *Manager) erasInGap() int64 {
	started, _ := m.fold.Era()
	ended := m.era.era - started
	if ended <= 0 {
		return 1
	}
	lastEnded := m.era.era - 1
	return min(ended+max(lastEnded-firstEra, 0), maxErasInGap)
}

// lapsedAt returns when all leases of earlier eras have expired, also those whose records are lost: their
// holders have sent no renewal that they can read back since the log returned.
func (m *Manager) lapsedAt(duration time.Duration) time.Time {
	return m.era.since.Add(withDrift(duration))
}
