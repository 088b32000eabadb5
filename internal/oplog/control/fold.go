package control

import (
	"time"

	"azurehitch"
	"azurehitch/internal/configuration/configlog"
	"azurehitch/internal/lease/leaselog"
	"azurehitch/internal/proof/sabotage"
)

// Apply implements follow.Fold. It skips records at or below the last folded offset.
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
	before := s.leaseBefore(record)
	verdict := Verdict{Offset: raw.Offset, Err: s.fold(raw.Offset, record, readAt)}
	s.observeRecord(record, before, verdict.Err)
	if record.Writer == s.self {
		s.deliver(record, verdict)
	}
	s.notify()
}

// fold applies a record to the state. It returns nil if the record took effect, and otherwise why
// it did not.
func (s *Store) fold(offset int64, r Record, readAt time.Time) error {
	switch {
	case r.EraStart != nil:
		return supersededUnless(s.startEra(offset, *r.EraStart, readAt))
	case r.Publication != nil:
		return s.applyPublication(offset, *r.Publication)
	case r.Claim != nil:
		return supersededUnless(s.leases.OnClaim(offset, r.Writer, r.Sequence, *r.Claim, readAt))
	case r.Renewal:
		s.leases.OnRenewal(offset, r.Writer, r.Sequence, readAt)
	case r.Release != nil:
		return supersededUnless(s.leases.OnRelease(offset, r.Writer, *r.Release, readAt))
	case r.Intent != nil:
		return supersededUnless(s.leases.Fold().AddIntent(offset, r.Writer, *r.Intent))
	case r.Resolution != nil:
		s.leases.Fold().Resolve(*r.Resolution)
	case r.Emptied != nil:
		return supersededUnless(s.removeEmptied(r.Writer, *r.Emptied))
	case r.History != nil:
		return supersededUnless(s.recordHistory(r.Writer, *r.History))
	case r.Snapshot != nil:
		s.recordSnapshot(offset, r.Snapshot.FoldedTo, readAt)
		s.takeFold(offset, *r.Snapshot, readAt)
	}
	return nil
}

// startEra applies an EraStart and reports whether it was accepted. The histories start over with the leases.
func (s *Store) startEra(offset int64, start leaselog.EraStart, readAt time.Time) bool {
	era, _ := s.leases.Fold().Era()
	if s.leasesOnly && start.IsStartOver(offset, era) {
		s.histories = map[string]PoolHistory{}
	}
	return s.leases.OnEraStart(offset, start, readAt)
}

func supersededUnless(accepted bool) error {
	if accepted {
		return nil
	}
	return ErrSuperseded
}

func (s *Store) applyPublication(offset int64, p configlog.Publication) error {
	next, verdict := s.state.Apply(offset, p)
	if verdict != nil {
		return verdict
	}
	if sabotage.Active(sabotage.JudgeByTables) {
		if _, err := s.readTables(next); err != nil {
			return err
		}
	}
	s.setConfiguration(next)
	return nil
}

// recordHistory stores the usage history of a pool, and reports whether the writer holds the pool.
func (s *Store) recordHistory(writer leaselog.Holder, history PoolHistory) bool {
	if !s.leases.Fold().Holds(writer, history.Pool, history.Token) {
		return false
	}
	s.histories[history.Pool] = history
	return true
}

// removeEmptied removes a retired server in which the holder of its pool found no replicas of the
// pool any more. It returns false if the writer does not hold the pool, or if the server is not
// retired any more.
func (s *Store) removeEmptied(writer leaselog.Holder, emptied configlog.Emptied) bool {
	if !s.leases.Fold().Holds(writer, emptied.Pool, emptied.Token) {
		return false
	}
	next, dropped := s.state.WithoutRetired(emptied)
	s.state = next
	s.scopesChangedOffset = s.foldedTo
	return dropped
}

// setConfiguration brings a published state into force. If this release can't read its tables, the
// daemon keeps forwarding by the last tables that it could read. It then holds no pools, because the
// new tables may allow less capacity.
func (s *Store) setConfiguration(state configlog.State) {
	s.state = state
	s.scopesChangedOffset = s.foldedTo
	configuration, err := s.readTables(state)
	s.unreadable = err != nil
	if err == nil {
		s.configuration = configuration
	}
}

// deliver passes the verdict on a record of this daemon to the Append that waits for it. If Append
// has stopped waiting for an accepted intent, its order was never sent, and the intent must be
// closed by a resolution. A record that is applied once more in a later era had its verdict before.
func (s *Store) deliver(r Record, verdict Verdict) {
	if s.pending.Deliver(r.Sequence, verdict) || r.Sequence <= s.sentInEarlierEras {
		return
	}
	if r.Intent != nil && verdict.Err == nil {
		s.pendingResolutions = append(s.pendingResolutions, leaselog.Resolution{Pool: r.Intent.Pool, Intent: verdict.Offset})
	}
}
