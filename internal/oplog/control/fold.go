package control

import (
	"time"

	"azurehitch"
	"azurehitch/internal/configuration/configlog"
	"azurehitch/internal/lease/leaselog"
	"azurehitch/internal/proof/sabotage"
)

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
	case r.History != nil:
		return superseded(s.use(r.Writer, *r.History))
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
	if sabotage.Active(sabotage.JudgeByTables) {
		if _, err := s.read(next); err != nil {
			return err
		}
	}
	s.setConfiguration(next)
	return nil
}

// use keeps what the holder of a pool has learnt.
func (s *Store) use(writer leaselog.Holder, history PoolHistory) bool {
	if !s.leases.Fold().Holds(writer, history.Pool, history.Token) {
		return false
	}
	s.histories[history.Pool] = history
	return true
}

// empty drops a retired server, if the holder of its pool found it empty.
func (s *Store) empty(writer leaselog.Holder, emptied configlog.Emptied) bool {
	if !s.leases.Fold().Holds(writer, emptied.Pool, emptied.Token) {
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
