// Package leaselog computes from the records of the log which daemon holds the lease of each pool.
//
// # Usage
//
//	fold := leaselog.NewFold()
//	accepted := fold.Claim(offset, holder, claim)
//	manager := leaselog.NewManager(self, fold)
//	for _, action := range manager.Decide(now, environment) { ... }
//
// Fold is the state built by applying the records of the log in order. It depends on nothing else,
// so all readers compute the same state. Manager adds the times at which one daemon sent its own
// records and read the records of others. Neither Fold nor Manager does I/O.
//
// # Safety
//
// The offset of an accepted claim is the fencing token of the holder. A claim names the last record
// of the pool's lease that the claimer has read, and is rejected if another record of the lease was
// appended since.
// The holder counts the duration of its lease from just before it sent the last renewal that it has
// read back. Other daemons count from when they read that renewal, which is later, so they see the
// lease expire later than the holder does. The holder and the other daemons allow for clock drift.
//
// The log may return from an older copy, without the records that came after it: another era begins. No
// daemon then trusts a lease that was claimed before, or claims one until those that it can't know have
// expired, and the tokens of the new era are above those of the eras before (see EraStart).
package leaselog

import (
	"crypto/rand"
	"encoding/hex"
	"maps"
	"slices"
	"time"

	"azurehitch"
	"azurehitch/internal/proof/sabotage"
)

const incarnationBytes = 6

// Holder identifies one process of a daemon. It names the holder of a lease, and also the writer of
// a record, whether or not that process holds a lease.
type Holder struct {
	Daemon string
	// Incarnation is a random value chosen at each start of the daemon.
	Incarnation string
}

// NewHolder returns the identity of a daemon with a new random incarnation.
func NewHolder(daemon string) Holder {
	var random [incarnationBytes]byte
	// crypto/rand.Read never fails.
	_, _ = rand.Read(random[:])
	return Holder{Daemon: daemon, Incarnation: hex.EncodeToString(random[:])}
}

// Claim requests the lease of a pool.
type Claim struct {
	Pool string
	// Seen is the offset of the last record of this lease that the claimer has read. If the claimer has read
	// none, it is Fold.StartedOver.
	Seen int64
	// Era is the era of the log that Seen is an offset of; 0 if the claimer knows none.
	Era      int64
	Duration time.Duration
}

// Release ends a lease before it expires.
type Release struct {
	Pool string
	// Token is the fencing token of the lease that ends.
	Token int64
}

// Intent is a record that a holder appends before it orders a load on an engine that does not check
// fencing tokens. It is open until a Resolution closes it.
type Intent struct {
	// Offset identifies the intent. The fold sets it.
	Offset      int64
	Pool        string
	Token       int64
	Server      string
	Incarnation string
	Artifact    azurehitch.Artifact
	Memory      azurehitch.ByteSize
}

// Resolution closes an intent: the engine has received the order of the intent, or never will.
type Resolution struct {
	Pool string
	// Intent is the offset of the intent.
	Intent int64
}

// Lease is the lease of one pool.
type Lease struct {
	Pool string
	// Holder is empty after a release.
	Holder Holder
	// Token is the fencing token of the holder, or of the last holder after a release.
	Token int64
	// LastOffset is the offset of the last record of this lease.
	LastOffset int64
	Duration   time.Duration
}

// IsFree reports whether the lease has no holder.
func (l Lease) IsFree() bool { return l.Holder == Holder{} }

// WithRenewal returns the lease after a renewal at an offset.
func (l Lease) WithRenewal(offset int64) Lease {
	l.LastOffset = offset
	return l
}

// WithRelease returns the lease after a release at an offset.
func (l Lease) WithRelease(offset int64) Lease {
	l.Holder = Holder{}
	l.LastOffset = offset
	return l
}

// Fold holds the leases and open intents after the records applied so far.
type Fold struct {
	leases  map[string]Lease
	intents map[int64]Intent
	// era is that of the last EraStart, and eraStartedAt its offset; 0 before the first, and in the first
	// era of all.
	era          int64
	eraStartedAt int64
	// startedOver is the offset at which all folds last started over; 0 if they never did.
	startedOver int64
}

// NewFold returns an empty fold, the state before the first record.
func NewFold() *Fold {
	return &Fold{leases: map[string]Lease{}, intents: map[int64]Intent{}}
}

// Restore returns a fold with the leases and open intents of a snapshot.
func Restore(leases []Lease, intents []Intent) *Fold {
	f := NewFold()
	for _, l := range leases {
		f.leases[l.Pool] = l
	}
	for _, i := range intents {
		f.intents[i.Offset] = i
	}
	return f
}

// Lease returns the lease of a pool. If there was none since the fold last started over, only LastOffset may be set.
func (f *Fold) Lease(pool string) Lease {
	if lease, ok := f.leases[pool]; ok {
		return lease
	}
	return Lease{LastOffset: f.startedOver}
}

// Leases returns all leases, sorted by pool.
func (f *Fold) Leases() []Lease {
	var leases []Lease
	for _, pool := range slices.Sorted(maps.Keys(f.leases)) {
		leases = append(leases, f.leases[pool])
	}
	return leases
}

// Intents returns the open intents of all pools, oldest first.
func (f *Fold) Intents() []Intent {
	var intents []Intent
	for _, offset := range slices.Sorted(maps.Keys(f.intents)) {
		intents = append(intents, f.intents[offset])
	}
	return intents
}

// PoolIntents returns the open intents of one pool, oldest first.
func (f *Fold) PoolIntents(pool string) []Intent {
	return slices.DeleteFunc(f.Intents(), func(i Intent) bool { return i.Pool != pool })
}

// Claim applies a claim and reports whether it was accepted. A claim of an earlier era, which arrives late,
// names a record that may be lost.
func (f *Fold) Claim(offset int64, holder Holder, claim Claim) bool {
	if claim.Era != 0 && claim.Era < f.era {
		return false
	}
	if f.Lease(claim.Pool).LastOffset != claim.Seen && !sabotage.Active(sabotage.SkipSeenCheck) {
		return false
	}
	f.leases[claim.Pool] = Lease{
		Pool:       claim.Pool,
		Holder:     holder,
		Token:      offset,
		LastOffset: offset,
		Duration:   claim.Duration,
	}
	return true
}

// Renew applies a renewal and returns the pools that it renewed.
func (f *Fold) Renew(offset int64, holder Holder) []string {
	var renewed []string
	for pool, lease := range f.leases {
		if lease.Holder == holder {
			f.leases[pool] = lease.WithRenewal(offset)
			renewed = append(renewed, pool)
		}
	}
	return renewed
}

// Holds reports whether a daemon holds the lease of a pool under a token.
func (f *Fold) Holds(holder Holder, pool string, token int64) bool {
	lease := f.leases[pool]
	return lease.Holder == holder && lease.Token == token
}

// Release applies a release and reports whether its writer held the lease.
func (f *Fold) Release(offset int64, holder Holder, release Release) bool {
	if !f.Holds(holder, release.Pool, release.Token) {
		return false
	}
	f.leases[release.Pool] = f.leases[release.Pool].WithRelease(offset)
	return true
}

// AddIntent applies an intent and reports whether it was accepted. It is accepted if its writer
// holds the lease of the pool at this offset, under the token in the intent.
func (f *Fold) AddIntent(offset int64, holder Holder, intent Intent) bool {
	if !f.Holds(holder, intent.Pool, intent.Token) {
		return false
	}
	intent.Offset = offset
	f.intents[offset] = intent
	return true
}

// Resolve applies a resolution and reports whether the intent was open.
func (f *Fold) Resolve(resolution Resolution) bool {
	intent, open := f.intents[resolution.Intent]
	if !open || intent.Pool != resolution.Pool {
		return false
	}
	delete(f.intents, resolution.Intent)
	return true
}
