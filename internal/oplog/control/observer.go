package control

import (
	"encoding/binary"

	"azurehitch/internal/lease/leaselog"

	"github.com/cespare/xxhash/v2"
)

// digestInterval is the number of offsets between two digests of the fold.
const digestInterval = 8

// LeaseEventKind classifies what a record did to the leases.
type LeaseEventKind string

// The kinds of lease events.
const (
	LeaseClaimed       LeaseEventKind = "Claimed"
	LeaseClaimRejected LeaseEventKind = "ClaimRejected"
	LeaseReleased      LeaseEventKind = "Released"
	LeaseEraStarted    LeaseEventKind = "EraStarted"
	LeaseEraIgnored    LeaseEventKind = "EraStartIgnored"
)

// LeaseEvent is a record that was folded and concerns the holder of leases.
type LeaseEvent struct {
	Kind LeaseEventKind
	// Position is that of the record. The offset of an accepted claim is the token of its lease.
	Position Position
	Writer   leaselog.Holder
	// Pool is empty for the start of an era, which concerns all pools.
	Pool string
	// Seen is the offset that a claim names, and Before the lease before the record.
	Seen   int64
	Before leaselog.Lease
}

// Position identifies a record of the control stream.
type Position struct {
	// Era is the era of the log; 0 if the log names none.
	Era    int64
	Offset int64
}

// FoldSource is where a fold comes from that was not built from all records before it.
type FoldSource string

// The sources of folds.
const (
	FoldFromSnapshot FoldSource = "Snapshot"
	// FoldFromStartOver is the source of a fold that starts over together with those of all daemons.
	FoldFromStartOver FoldSource = "StartOver"
	FoldFromNewEra    FoldSource = "NewEra"
	// FoldFromOtherDaemon is the source of a fold that differed from that of another daemon at the same offset.
	FoldFromOtherDaemon FoldSource = "OtherDaemon"
)

// Observer is notified of what a store folds, so that an order can be traced to the claim behind it, and folds
// of different daemons be compared.
type Observer interface {
	// LeaseFolded is called for each claim, release and start of an era.
	LeaseFolded(event LeaseEvent)
	// FoldDigested is called at offsets that are the same for all daemons. Folds with different digests at
	// one position differ.
	FoldDigested(at Position, digest uint64)
	// FoldReplaced is called when the store begins with a fold up to a position.
	FoldReplaced(at Position, source FoldSource)
}

// noObserver is an Observer that does nothing.
type noObserver struct{}

// LeaseFolded implements Observer.
func (noObserver) LeaseFolded(LeaseEvent) {}

// FoldDigested implements Observer.
func (noObserver) FoldDigested(Position, uint64) {}

// FoldReplaced implements Observer.
func (noObserver) FoldReplaced(Position, FoldSource) {}

// WithObserver sets the observer and returns the store. It must be called before the first record is folded.
func (s *Store) WithObserver(observer Observer) *Store {
	s.observer = observer
	return s
}

// position returns the position of the last record that was folded. The caller holds s.mu.
func (s *Store) position() Position { return Position{Era: s.logEra, Offset: s.foldedTo} }

// observeRecord notifies the observer of a record that was just folded, with the lease of its pool before. The
// caller holds s.mu.
func (s *Store) observeRecord(r Record, before leaselog.Lease, err error) {
	event := LeaseEvent{Position: s.position(), Writer: r.Writer, Before: before, Pool: before.Pool}
	switch {
	case r.Claim != nil:
		event.Kind, event.Pool, event.Seen = LeaseClaimed, r.Claim.Pool, r.Claim.Seen
		if err != nil {
			event.Kind = LeaseClaimRejected
		}
	case r.Release != nil && err == nil:
		event.Kind = LeaseReleased
	case r.EraStart != nil && err == nil:
		event.Kind = LeaseEraStarted
	case r.EraStart != nil:
		event.Kind = LeaseEraIgnored
	}
	if event.Kind != "" {
		s.observer.LeaseFolded(event)
	}
	if s.foldedTo%digestInterval == 0 && !r.isFiller() {
		s.observer.FoldDigested(s.position(), digest(s.leases.Fold()))
	}
}

// leaseBefore returns the lease that a record concerns. The caller holds s.mu.
func (s *Store) leaseBefore(r Record) leaselog.Lease {
	switch {
	case r.Claim != nil:
		return s.leases.Fold().Lease(r.Claim.Pool)
	case r.Release != nil:
		return s.leases.Fold().Lease(r.Release.Pool)
	}
	return leaselog.Lease{}
}

// digest returns a hash of the leases and intents of a fold.
func digest(fold *leaselog.Fold) uint64 {
	hash := xxhash.New()
	text := func(s string) {
		_, _ = hash.WriteString(s)
		_, _ = hash.Write([]byte{0})
	}
	number := func(n int64) { _, _ = hash.Write(binary.BigEndian.AppendUint64(nil, uint64(n))) }
	era, startedAt := fold.Era()
	number(era)
	number(startedAt)
	number(fold.StartedOver())
	for _, l := range fold.Leases() {
		text(l.Pool)
		text(l.Holder.Daemon)
		text(l.Holder.Incarnation)
		number(l.Token)
		number(l.LastOffset)
	}
	for _, i := range fold.Intents() {
		number(i.Offset)
	}
	return hash.Sum64()
}
