// Package claimlog ensures that at most one daemon runs a call with an idempotency key. Before a
// daemon runs such a call, it appends a claim on the key to the log.
//
// # Usage
//
//	fold := claimlog.NewFold(self, clock, window)
//	claimer := claimlog.NewClaimer(log, "calls", fold, observer)
//	claim, won, err := claimer.Claim(ctx, key, bodyDigest)
//
// The first claim of a key in log order wins. A daemon applies all earlier records before its own
// claim, so it knows whether the claim has won when it reads the claim back. The log's retention
// time must be longer than the window, the time for which a key stays claimed.
package claimlog

import (
	"sync"
	"time"

	"azurehitch"
	"azurehitch/internal/lease/leaselog"
	"azurehitch/internal/oplog/follow"
	"azurehitch/internal/oplog/recordpb"

	"google.golang.org/protobuf/proto"
)

// Key identifies a call: the first 128 bits of a digest of the caller's name and idempotency key.
type Key struct {
	High uint64
	Low  uint64
}

// Claim is the claim that won a key.
type Claim struct {
	Key Key
	// Owner is the daemon that may run the call.
	Owner leaselog.Holder
	// Body is the digest of the claimed call.
	Body uint64
	// Offset is the offset of the record that holds the claim.
	Offset int64
}

// Fold is the state built by applying the records of the log in order: the claims that are not
// older than the window. It implements follow.Fold and is safe for concurrent use.
type Fold struct {
	self    leaselog.Holder
	clock   azurehitch.Clock
	window  time.Duration
	pending *follow.PendingVerdicts[verdict]

	mu       sync.Mutex
	foldedTo int64
	claims   map[Key]Claim
	// byAge lists the claimed keys, oldest claim first, for expiry.
	byAge []agedKey
	// gaps is how often the log had deleted claims before this daemon read them.
	gaps int
	// gapAt is when the last gap was found.
	gapAt time.Time
}

// ErrClaimsMissing is returned after the log has deleted claims that this daemon had not read.
// Until the window has passed, the daemon can't tell whether a key is already claimed.
type ErrClaimsMissing struct {
	// Until is when the missing claims have expired.
	Until time.Time
}

// Error implements error.
func (e *ErrClaimsMissing) Error() string {
	return "the log dropped claims before they were read; keys can be claimed again from " + e.Until.Format(time.RFC3339)
}

// verdict is the result of applying a record with claims.
type verdict struct {
	// offset is the offset of the record.
	offset int64
	// winners are the claims that hold the keys of the record now, in the order of the record.
	winners []Claim
}

type agedKey struct {
	key    Key
	offset int64
	readAt time.Time
}

// NewFold returns a fold in which a key stays claimed for a window.
func NewFold(self leaselog.Holder, clock azurehitch.Clock, window time.Duration) *Fold {
	return &Fold{
		self:    self,
		clock:   clock,
		window:  window,
		pending: follow.NewPendingVerdicts[verdict](),
		claims:  map[Key]Claim{},
	}
}

// FoldedTo implements follow.Fold.
func (f *Fold) FoldedTo() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.foldedTo
}

// EnterEra implements follow.Fold. The known claims stay: a key that was claimed in an earlier era is not
// claimed again before they expire. Claims that are not known here may be lost, as after a gap.
func (f *Fold) EnterEra(_ azurehitch.Batch, readAt time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.foldedTo == 0 {
		return
	}
	f.foldedTo = 0
	f.gaps++
	f.gapAt = readAt
}

// HandleGap implements follow.Fold. It skips the records that the log has deleted. If the fold has
// read no record yet, the deleted ones are older than the window and don't matter. Otherwise they
// may contain unexpired claims, and HandleGap counts the gap.
func (f *Fold) HandleGap(batch azurehitch.Batch) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.foldedTo > 0 && batch.First > f.foldedTo+1 {
		f.gaps++
		f.gapAt = f.clock.Now()
	}
	f.foldedTo = max(f.foldedTo, batch.First-1)
	return nil
}

// MarkRead implements follow.Fold. It removes expired claims.
func (f *Fold) MarkRead(readAt time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	expired := 0
	for expired < len(f.byAge) && readAt.Sub(f.byAge[expired].readAt) > f.window {
		aged := f.byAge[expired]
		if f.claims[aged.key].Offset == aged.offset {
			delete(f.claims, aged.key)
		}
		expired++
	}
	f.byAge = f.byAge[expired:]
}

// Apply implements follow.Fold.
func (f *Fold) Apply(raw azurehitch.Record, readAt time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if raw.Offset <= f.foldedTo {
		return
	}
	f.foldedTo = raw.Offset
	var record recordpb.Record
	if err := proto.Unmarshal(raw.Payload, &record); err != nil {
		return
	}
	writer := leaselog.Holder{Daemon: record.GetHolder().GetDaemon(), Incarnation: record.GetHolder().GetIncarnation()}
	for _, withdrawn := range record.GetCallClaims().GetWithdrawn() {
		f.withdraw(keyFromProto(withdrawn), writer)
	}
	var winners []Claim
	for _, claim := range record.GetCallClaims().GetClaims() {
		winners = append(winners, f.claim(claim, writer, raw.Offset, readAt))
	}
	if writer == f.self {
		f.pending.Deliver(record.Sequence, verdict{offset: raw.Offset, winners: winners})
	}
}

func keyFromProto(c *recordpb.CallClaim) Key { return Key{High: c.GetKeyHigh(), Low: c.GetKeyLow()} }

// claim claims a key unless another claim holds it, and returns the claim that holds the key
// afterwards.
func (f *Fold) claim(c *recordpb.CallClaim, writer leaselog.Holder, offset int64, readAt time.Time) Claim {
	key := keyFromProto(c)
	if winner, taken := f.claims[key]; taken {
		return winner
	}
	claim := Claim{Key: key, Owner: writer, Body: c.GetBody(), Offset: offset}
	f.claims[key] = claim
	f.byAge = append(f.byAge, agedKey{key: key, offset: offset, readAt: readAt})
	return claim
}

// withdraw deletes the claim on a key if it belongs to the writer.
func (f *Fold) withdraw(key Key, writer leaselog.Holder) {
	if f.claims[key].Owner == writer {
		delete(f.claims, key)
	}
}

// checkGap returns an *ErrClaimsMissing while unexpired claims may be missing.
func (f *Fold) checkGap() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if until := f.gapAt.Add(f.window); f.gaps > 0 && f.clock.Now().Before(until) {
		return &ErrClaimsMissing{Until: until}
	}
	return nil
}

// Gaps returns how often the log had deleted claims before this daemon read them.
func (f *Fold) Gaps() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.gaps
}

// Len returns the number of claimed keys.
func (f *Fold) Len() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.claims)
}
