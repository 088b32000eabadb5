// Package leaselog decides from records of the log which daemon holds which pool.
//
// # Usage
//
//	fold := leaselog.NewFold()
//	accepted := fold.Claim(offset, holder, claim)
//	manager := leaselog.NewManager(self, fold)
//	for _, action := range manager.Decide(now, environment) { ... }
//
// Fold is a pure function of the records and comes to the same answer at each
// reader. Manager adds what one daemon knows of time: when it sent its own
// records, and when it read those of others. Neither does I/O.
//
// # Safety
//
// The offset of an accepted claim is the fencing token of the holder. A claim
// names the last record of the pool's lease that the claimer saw, and a renewal
// in between defeats it. The holder counts its lease from the moment before it
// sent the renewal which it has since read back; others count from the moment
// they read it, which is later, so they see the lease expire later than the
// holder does. Both allow for clock drift.
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

// Holder is one start of a daemon.
type Holder struct {
	Daemon string
	// Incarnation differs for each start.
	Incarnation string
}

// NewHolder returns a new start of a daemon.
func NewHolder(daemon string) Holder {
	var random [incarnationBytes]byte
	// crypto/rand.Read never fails.
	_, _ = rand.Read(random[:])
	return Holder{Daemon: daemon, Incarnation: hex.EncodeToString(random[:])}
}

// Claim asks for the lease of a pool.
type Claim struct {
	Pool string
	// Seen is the offset of the last record of this lease that the claimer saw.
	Seen     int64
	Duration time.Duration
}

// Release gives a lease back.
type Release struct {
	Pool  string
	Token int64
}

// Intent announces a load to an engine that does not check tokens. It precedes
// the order.
type Intent struct {
	// Offset identifies the intent. It is set by the fold.
	Offset      int64
	Pool        string
	Token       int64
	Server      string
	Incarnation string
	Artifact    azurehitch.Artifact
	Memory      azurehitch.ByteSize
}

// Resolution says that the order of an intent has arrived or never will.
type Resolution struct {
	Pool   string
	Intent int64
}

// Lease is the lease of one pool.
type Lease struct {
	Pool string
	// Holder is empty after a release.
	Holder Holder
	// Token is the fencing token of the holder, or of the last one.
	Token int64
	// Last is the offset of the last record of this lease.
	Last     int64
	Duration time.Duration
}

// IsFree reports whether the lease was given back.
func (l Lease) IsFree() bool { return l.Holder == Holder{} }

// WithRenewal returns the lease after a renewal at an offset.
func (l Lease) WithRenewal(offset int64) Lease {
	l.Last = offset
	return l
}

// WithRelease returns the lease after a release at an offset.
func (l Lease) WithRelease(offset int64) Lease {
	l.Holder = Holder{}
	l.Last = offset
	return l
}

// Fold is the leases and open intents after the records so far.
type Fold struct {
	leases  map[string]Lease
	intents map[int64]Intent
}

// NewFold returns the state before the first record.
func NewFold() *Fold {
	return &Fold{leases: map[string]Lease{}, intents: map[int64]Intent{}}
}

// Restore returns the state that a snapshot holds.
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

// Lease returns the lease of a pool; the zero value if there never was one.
func (f *Fold) Lease(pool string) Lease { return f.leases[pool] }

// Leases returns all leases, by pool.
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

// Claim applies a claim and reports whether it won.
func (f *Fold) Claim(offset int64, holder Holder, claim Claim) bool {
	if f.leases[claim.Pool].Last != claim.Seen && !sabotage.Active(sabotage.SkipSeenCheck) {
		return false
	}
	f.leases[claim.Pool] = Lease{
		Pool:     claim.Pool,
		Holder:   holder,
		Token:    offset,
		Last:     offset,
		Duration: claim.Duration,
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

// Intend applies an intent and reports whether it stands: its token must be that
// of the holder at this offset.
func (f *Fold) Intend(offset int64, holder Holder, intent Intent) bool {
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
