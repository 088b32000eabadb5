package control

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"azurehitch"
	"azurehitch/internal/lease/leaselog"
)

// ErrSnapshotMissing says that the log no longer keeps what is needed to fold
// the state: records are gone and no snapshot replaces them.
type ErrSnapshotMissing struct {
	FoldedTo int64
	First    int64
}

// Error implements error.
func (e *ErrSnapshotMissing) Error() string {
	return fmt.Sprintf("folded to %d, the log begins at %d, and no snapshot closes the gap", e.FoldedTo, e.First)
}

// Snapshot returns the folded state.
func (s *Store) Snapshot() Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Snapshot{
		FoldedTo:      s.foldedTo,
		Configuration: s.state,
		Leases:        s.leases.Fold().Leases(),
		Intents:       s.leases.Fold().Intents(),
		Histories:     s.sortedHistories(),
	}
}

func (s *Store) sortedHistories() []PoolHistory {
	var histories []PoolHistory
	for _, pool := range slices.Sorted(maps.Keys(s.histories)) {
		histories = append(histories, s.histories[pool])
	}
	return histories
}

// Restore replaces the state by a snapshot, if that is newer. All leases count as
// read now, so that this daemon claims none of them before a whole lease time.
func (s *Store) Restore(snapshot Snapshot) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if snapshot.FoldedTo <= s.foldedTo {
		return false
	}
	s.foldedTo = snapshot.FoldedTo
	s.setConfiguration(snapshot.Configuration)
	s.histories = map[string]PoolHistory{}
	for _, u := range snapshot.Histories {
		s.histories[u.Pool] = u
	}
	s.leases = leaselog.NewManager(s.self, leaselog.Restore(snapshot.Leases, snapshot.Intents), s.clock.Now())
	s.notify()
	return true
}

// SnapshotDue reports whether a snapshot should be appended, after a number of
// records or a time since the last. A rank spreads the daemons: the first appends
// it, and the others see it before their turn comes.
func (s *Store) SnapshotDue(records int64, every time.Duration, rank int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.foldedTo == 0 {
		return false
	}
	const spread = 8
	records += records * int64(rank) / spread
	every += every * time.Duration(rank) / spread
	since := s.foldedTo - s.lastSnapshot
	return since >= records || since > 1 && s.clock.Now().Sub(s.lastSnapshotAt) >= every
}

// Bridge restores the newest snapshot of a batch that closes the gap between the
// folded state and the oldest record that the log keeps.
func (s *Store) Bridge(batch azurehitch.Batch) error {
	if batch.First <= s.FoldedTo()+1 {
		return nil
	}
	for i := len(batch.Records) - 1; i >= 0; i-- {
		record, err := Decode(batch.Records[i].Payload)
		if err != nil || record.Snapshot == nil {
			continue
		}
		if record.Snapshot.FoldedTo+1 >= batch.First {
			s.Restore(*record.Snapshot)
			return nil
		}
	}
	if s.leasesOnly && len(batch.Records) == 0 {
		s.Restore(Snapshot{FoldedTo: batch.First - 1})
		return nil
	}
	return &ErrSnapshotMissing{FoldedTo: s.FoldedTo(), First: batch.First}
}
