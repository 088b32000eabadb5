package leaselog

import "time"

// startOver applies an EraStart with StartsOver and reports whether it was accepted.
func (f *Fold) startOver(offset int64, start EraStart) bool {
	if !start.isAcceptedAt(offset, f.era) {
		return false
	}
	*f = *NewFold().WithEra(start.Era, offset).WithStartedOver(offset)
	return true
}

// IsStartOver reports whether all folds start over at an EraStart at an offset, if the last one before it, as far as
// it is known, began an era.
func (e EraStart) IsStartOver(offset, era int64) bool {
	return e.StartsOver && e.isAcceptedAt(offset, era)
}

// isAcceptedAt reports whether the log had no further record when an EraStart with StartsOver was appended: records
// that its writer had not read may renew or claim a lease.
func (e EraStart) isAcceptedAt(offset, era int64) bool {
	return e.Era >= era && offset-e.Gap == e.Above+1
}

// StartedOver returns the offset at which the fold last started over; 0 if it never did. Claims of pools without
// a lease name it as the last record that they have seen.
func (f *Fold) StartedOver() int64 { return f.startedOver }

// WithStartedOver sets the offset at which the fold last started over, and returns the fold.
func (f *Fold) WithStartedOver(offset int64) *Fold {
	f.startedOver = offset
	return f
}

// gap is what a Manager knows of a log that lacks records which it must fold next.
type gap struct {
	isOpen bool
	// next is the offset of the next record of the log, and since when the log has had no further record, as
	// far as this daemon has read.
	next  int64
	since time.Time
	// lastSentAt is when Decide last returned an EraStart that closes the gap.
	lastSentAt time.Time
}

// EnterGap records that the log has dropped records that were not folded, and holds no snapshot in their place. The
// next record of the log will get the offset next. Until LeaveGap, this daemon doesn't know who holds leases, and
// Decide appends nothing but an EraStart with which all folds start over.
func (m *Manager) EnterGap(next int64, now time.Time) {
	if !m.gap.isOpen || m.gap.next != next {
		m.gap = gap{isOpen: true, next: next, since: now, lastSentAt: m.gap.lastSentAt}
	}
}

// LeaveGap records that the log can be folded again.
func (m *Manager) LeaveGap() { m.gap = gap{} }

// InGap reports whether the log lacks records that must be folded next.
func (m *Manager) InGap() bool { return m.gap.isOpen }

// closeGap returns the record that closes the gap of the log, if it is due.
func (m *Manager) closeGap(now time.Time, environment Environment) []Action {
	if environment.Draining {
		return nil
	}
	if start := m.startOverDue(now, environment); start != nil {
		return []Action{{EraStart: start}}
	}
	return nil
}

// startOverDue returns the EraStart with which all folds start over, or nil. It is due once the log has had no record for
// so long that all leases have expired: a daemon that holds one renews it, and then appends a snapshot too.
func (m *Manager) startOverDue(now time.Time, environment Environment) *EraStart {
	longest := time.Duration(0)
	for _, pool := range environment.Pools {
		longest = max(longest, pool.Duration)
	}
	if longest == 0 || environment.MembersIncomplete || now.Sub(m.gap.lastSentAt) < retryInterval {
		return nil
	}
	dueAt := m.gap.since.Add(withDrift(longest)).Add(m.claimDelay("", environment))
	if now.Before(dueAt) {
		return nil
	}
	m.gap.lastSentAt = now
	return &EraStart{Era: m.claimEra(), Above: m.gap.next - 1, Gap: eraGap * m.erasReturned(), StartsOver: true}
}

// erasReturned returns for how many eras the tokens must rise: it is not known whether the log held an EraStart
// for them.
func (m *Manager) erasReturned() int64 {
	known, _ := m.fold.Era()
	return min(max(m.claimEra()-max(known, firstEra), 0), maxErasInGap)
}

// OnEraStart applies an EraStart that was read, and reports whether it was accepted.
func (m *Manager) OnEraStart(offset int64, start EraStart, readAt time.Time) bool {
	known, _ := m.fold.Era()
	if !start.IsStartOver(offset, known) {
		return m.fold.StartEra(offset, start)
	}
	fold := NewFold()
	fold.startOver(offset, start)
	m.Reset(fold, readAt)
	return true
}
