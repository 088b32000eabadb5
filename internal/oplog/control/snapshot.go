package control

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"azurehitch"
	"azurehitch/internal/lease/leaselog"
)

const (
	// catchUpTime is how long a daemon takes after its first read to fold what the log had before.
	catchUpTime = time.Second
	// firstSnapshotDelay is the time per rank from the first read of a daemon to its first snapshot.
	firstSnapshotDelay = 2 * time.Second
	// missingSnapshotDelay is the time per rank until a daemon replaces a snapshot before its time.
	missingSnapshotDelay = 500 * time.Millisecond
)

// ErrSnapshotMissing is returned when the state can't be folded from the log: retention has deleted
// records that were not read yet, and no snapshot replaces them.
type ErrSnapshotMissing struct {
	// FoldedTo is the offset of the last record that was folded.
	FoldedTo int64
	// OldestOffset is the offset of the oldest record in the log.
	OldestOffset int64
}

// Error implements error.
func (e *ErrSnapshotMissing) Error() string {
	return fmt.Sprintf("folded to %d, the log begins at %d, and no snapshot closes the gap", e.FoldedTo, e.OldestOffset)
}

// Snapshot returns the folded state.
func (s *Store) Snapshot() Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	era, startedAt := s.leases.Fold().Era()
	return Snapshot{
		FoldedTo:      s.foldedTo,
		LogEra:        s.logEra,
		Era:           era,
		EraStartedAt:  startedAt,
		StartedOver:   s.leases.Fold().StartedOver(),
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

// Restore replaces the state with a snapshot and returns true. It returns false and changes nothing
// if the snapshot is not newer than the state. The leases count as read now, so this daemon claims a
// lease that has a holder only after its full duration.
func (s *Store) Restore(snapshot Snapshot) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if snapshot.FoldedTo <= s.foldedTo {
		return false
	}
	s.foldedTo = snapshot.FoldedTo
	s.setConfiguration(snapshot.Configuration)
	s.setHistories(snapshot.Histories)
	s.leases.Reset(snapshot.fold(), s.clock.Now())
	s.notify()
	return true
}

func (s *Store) setHistories(histories []PoolHistory) {
	s.histories = map[string]PoolHistory{}
	for _, h := range histories {
		s.histories[h.Pool] = h
	}
}

// fold returns the fold of the leases in a snapshot.
func (s Snapshot) fold() *leaselog.Fold {
	return leaselog.Restore(s.Leases, s.Intents).WithEra(s.Era, s.EraStartedAt).WithStartedOver(s.StartedOver)
}

// takeFold replaces the fold of the leases by that of a snapshot at an offset, if they differ at that offset:
// builds that begin without leases on a log without records leave snapshots of other folds in it. All daemons
// that read the same snapshot have the same fold again. It has no effect if its writer had not read the last
// record before it. If its tokens may be lower, another snapshot must replace it. The caller holds s.mu.
func (s *Store) takeFold(offset int64, snapshot Snapshot, readAt time.Time) {
	fold := snapshot.fold()
	isCurrent := snapshot.FoldedTo == offset-1 && snapshot.LogEra == s.logEra
	if !s.leasesOnly || !isCurrent || digest(fold) == digest(s.leases.Fold()) {
		return
	}
	if s.leases.Fold().StartedAfter(snapshot.Era, snapshot.EraStartedAt) {
		s.snapshotMissingSince = readAt
		return
	}
	s.setHistories(snapshot.Histories)
	s.leases.Replace(fold, readAt)
	s.observer.FoldReplaced(s.position(), FoldFromOtherDaemon)
}

// recordSnapshot records that a snapshot was read that replaces the records up to foldedTo, if it covers all that the
// log has dropped. One that the log had when this daemon started may be old, and expire soon. The caller holds s.mu.
func (s *Store) recordSnapshot(offset, foldedTo int64, readAt time.Time) {
	if foldedTo+1 < s.first {
		return
	}
	s.lastSnapshotOffset, s.snapshotFoldedTo, s.snapshotMissingSince = offset, foldedTo, time.Time{}
	if !s.firstReadAt.IsZero() && readAt.Sub(s.firstReadAt) >= catchUpTime {
		s.lastSnapshotAt = readAt
	}
}

// SnapshotDue reports whether a snapshot should be appended: since the last snapshot, at least the
// given number of records were read or the interval has passed. The two thresholds grow with the
// rank of the daemon, so that the daemon of rank 0 appends the snapshot and the others read it
// before their own is due. After the start of a daemon, the age of the last snapshot is not known, and
// firstSnapshotDelay takes the place of the interval: daemons that start again and again append snapshots too.
// A snapshot that is missing is appended soon.
func (s *Store) SnapshotDue(records int64, interval time.Duration, rank int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.foldedTo == 0 || s.firstReadAt.IsZero() || s.leases.InGap() {
		return false
	}
	if !s.snapshotMissingSince.IsZero() && !s.clock.Now().Before(s.snapshotMissingSince.Add(missingSnapshotDelay*time.Duration(rank))) {
		return true
	}
	const rankDivisor = 8
	records += records * int64(rank) / rankDivisor
	interval += interval * time.Duration(rank) / rankDivisor
	dueAt := s.lastSnapshotAt.Add(interval)
	if s.lastSnapshotAt.IsZero() {
		dueAt = s.firstReadAt.Add(min(interval, firstSnapshotDelay*time.Duration(1+rank)))
	}
	recordsSince := s.foldedTo - s.lastSnapshotOffset
	return recordsSince >= records || recordsSince > 1 && !s.clock.Now().Before(dueAt)
}

// HandleGap implements follow.Fold. If the log has deleted the next record to fold, HandleGap
// begins with the newest record in the batch that gives the whole state: a snapshot that covers the deleted
// records, or the start of an era at which all folds start over. It returns an *ErrSnapshotMissing if
// the batch contains neither.
func (s *Store) HandleGap(batch azurehitch.Batch) error {
	if s.recordFirst(batch.First) {
		return nil
	}
	if start, source := s.newestStart(batch); start != nil {
		s.restoreFrom(*start, source)
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leasesOnly {
		s.leases.EnterGap(batch.Next, s.clock.Now())
	}
	return &ErrSnapshotMissing{FoldedTo: s.foldedTo, OldestOffset: batch.First}
}

// recordFirst records the offset of the oldest record in the log, and reports whether the log has the next record to
// fold.
func (s *Store) recordFirst(first int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.first = first
	if first > max(s.snapshotFoldedTo+1, 1) && s.snapshotMissingSince.IsZero() {
		s.snapshotMissingSince = s.clock.Now()
	}
	if first > s.foldedTo+1 {
		return false
	}
	s.leases.LeaveGap()
	return true
}

// restoreFrom restores a snapshot that closes the gap of the log, and notifies the observer.
func (s *Store) restoreFrom(snapshot Snapshot, source FoldSource) {
	isNew := s.Restore(snapshot)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leases.LeaveGap()
	if isNew {
		s.observer.FoldReplaced(s.position(), source)
	}
}

// newestStart returns the last state in a batch that covers the deleted records before it, with its source, or nil. It
// leaves out snapshots of earlier eras that were appended late: their offsets are not those of the batch.
func (s *Store) newestStart(batch azurehitch.Batch) (newest *Snapshot, source FoldSource) {
	era := int64(0)
	for _, raw := range batch.Records {
		record, err := Decode(raw.Payload)
		switch {
		case err != nil:
		case record.EraStart != nil:
			if s.leasesOnly && record.EraStart.IsStartOver(raw.Offset, era) {
				newest, source = &Snapshot{FoldedTo: raw.Offset - 1}, FoldFromStartOver
			}
			era = max(era, record.EraStart.Era)
		case record.Snapshot != nil:
			snapshot := record.Snapshot
			isOfEarlierEra := snapshot.FoldedTo >= raw.Offset || snapshot.LogEra != 0 && snapshot.LogEra < era
			if snapshot.FoldedTo+1 >= batch.First && !isOfEarlierEra {
				newest, source = snapshot, FoldFromSnapshot
			}
		}
	}
	return newest, source
}
