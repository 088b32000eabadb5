// Package configlog folds the publications on the log into the configuration in
// force.
//
// # Usage
//
//	publication, err := state.Edit(routes, pools, author)
//	state, verdict := state.Apply(offset, publication)
//
// A publication names the version that it was edited from, and holds the entries of the
// tables that it changes. The fold accepts it
// only while that version is in force, so that of two racing operators one wins
// and the other learns who did. The tables are checked before the append, by the
// publishing daemon, against exactly the version that is named; the fold itself
// checks only the named version and the digest, and so comes to the same verdict
// in each release of the program.
package configlog

import (
	"fmt"

	"azurehitch/internal/configuration/tables"
	"azurehitch/internal/proof/sabotage"

	"github.com/cespare/xxhash/v2"
)

// Publication is a record that changes the configuration.
type Publication struct {
	// Base is the version that it was edited from; 0 is the empty configuration.
	Base    int64
	Changes []Change
	Author  string
	// Retired are the servers that it takes out of their pools, and Restored those
	// that it puts back.
	Retired  []Retired
	Restored []RetiredKey
	Digest   uint64
}

// WithBase returns a copy that names a version as the one it was edited from, with the
// digest of that.
func (p Publication) WithBase(version int64) Publication {
	p.Base = version
	p.Digest = p.digest()
	return p
}

func (p Publication) digest() uint64 {
	hash := xxhash.New()
	fmt.Fprintf(hash, "%d %q %d ", p.Base, p.Author, len(p.Changes))
	for _, c := range p.Changes {
		fmt.Fprintf(hash, "%q %q %d ", c.Table, c.Name, len(c.JSON))
		// Writes to a hash do not fail.
		_, _ = hash.Write(c.JSON)
	}
	for _, r := range p.Retired {
		fmt.Fprintf(hash, "%+v", r.WithSince(0))
	}
	fmt.Fprintf(hash, "%+v", p.Restored)
	return hash.Sum64()
}

// ErrConflict is the verdict on a publication that was edited from a version that
// is no longer in force.
type ErrConflict struct {
	Base int64
	// Current is the version in force, which Author published.
	Current int64
	Author  string
}

// Error implements error.
func (e *ErrConflict) Error() string {
	return fmt.Sprintf("edited from version %d, but version %d by %q is in force: read it, and edit again", e.Base, e.Current, e.Author)
}

// ErrDamaged is the verdict on a publication whose digest does not fit.
type ErrDamaged struct{ Offset int64 }

// Error implements error.
func (e *ErrDamaged) Error() string {
	return fmt.Sprintf("the publication at offset %d is damaged", e.Offset)
}

// State is the configuration in force. It is a value and is never changed.
type State struct {
	// Version is the offset of the publication in force; 0 is none.
	Version int64
	// Author published that version.
	Author string
	Entries
	// Retired are the servers that were taken out of their pools and may still hold
	// what was loaded there.
	Retired []Retired
}

// Apply returns the state after a publication, and the verdict: nil if it came
// into force.
func (s State) Apply(offset int64, p Publication) (State, error) {
	if p.Digest != p.digest() {
		return s, &ErrDamaged{Offset: offset}
	}
	if p.Base != s.Version && !sabotage.Active(sabotage.SkipBaseCheck) {
		return s, &ErrConflict{Base: p.Base, Current: s.Version, Author: s.Author}
	}
	return State{Version: offset, Author: p.Author, Entries: s.With(p.Changes), Retired: s.retiredAfter(offset, p)}, nil
}

// Configuration returns the parsed tables.
func (s State) Configuration() (tables.Configuration, error) {
	if s.Version == 0 {
		return tables.Configuration{}, nil
	}
	configuration, err := tables.ParseLenient(s.RouteTable(), s.PoolTable())
	return configuration.WithVersion(s.Version), err
}
