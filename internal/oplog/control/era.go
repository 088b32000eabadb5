package control

import (
	"context"
	"slices"
	"time"

	"azurehitch"
	"azurehitch/internal/configuration/configlog"
	"azurehitch/internal/lease/leaselog"

	"github.com/pkg/errors"
)

// ErrNoBatches is returned by StartEra if the log can't append several records at once.
var ErrNoBatches = errors.New("the log appends single records only")

const (
	// maxGapBatch limits the records of one append. If a longer gap is needed, EraStart is due again.
	maxGapBatch = 1 << 16
	// eraStartTimeout limits the append of an EraStart.
	eraStartTimeout = 2 * time.Second
)

// EnterEra implements follow.Fold. It gives up the state that was folded in earlier eras. The last tables stay
// in force for this daemon until it has read tables of the new era.
func (s *Store) EnterEra(batch azurehitch.Batch, readAt time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.logEra = batch.Era
	before := s.foldedTo
	s.leases.EnterEra(batch.Era, before, batch.Next == 1, readAt)
	s.foldedTo = 0
	s.state = configlog.State{}
	s.histories = map[string]PoolHistory{}
	s.pendingResolutions = nil
	s.sentInEarlierEras = s.lastSent
	s.snapshotFoldedTo = 0
	s.lastSnapshotOffset, s.lastSnapshotAt, s.snapshotMissingSince, s.firstReadAt = 0, time.Time{}, time.Time{}, time.Time{}
	if before > 0 {
		s.observer.FoldReplaced(s.position(), FoldFromNewEra)
	}
	s.notify()
}

// RaiseTokens gives up the lease of a pool under a token because an engine has seen a higher token, if this
// daemon is the holder indeed, see leaselog.Manager.RaiseTokens.
func (s *Store) RaiseTokens(pool string, token int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leases.RaiseTokens(pool, token, s.clock.Now())
}

// StartEra appends the record that starts an era, and the records of its gap just before it. It doesn't wait
// for the verdict.
func (w *Writer) StartEra(ctx context.Context, start leaselog.EraStart) error {
	batches, ok := w.log.(azurehitch.BatchLog)
	if !ok {
		return ErrNoBatches
	}
	last, err := Encode(Record{EraStart: &start}.WithWriter(w.store.Self(), 0))
	if err != nil {
		return err
	}
	filler, err := encodeFiller()
	if err != nil {
		return err
	}
	payloads := slices.Repeat([][]byte{filler}, int(min(start.Gap, maxGapBatch)))
	ctx, cancel := context.WithTimeout(ctx, eraStartTimeout)
	defer cancel()
	_, err = batches.AppendBatch(ctx, w.stream, append(payloads, last))
	w.observer.LogAppended(err)
	return err
}
