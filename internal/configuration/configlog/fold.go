// Package configlog computes the configuration in force from the publications on the log, by applying
// them in order (folding them).
//
// # Usage
//
//	publication, err := state.Edit(routes, pools, author)
//	state, verdict := state.Apply(offset, publication)
//
// A publication names its base, the version that it was edited from, and holds the table
// entries that it changes. The fold accepts it only while the base is in force: if two
// operators publish concurrently, one succeeds and the other gets an *ErrConflict that names
// the winner. The publishing daemon validates the tables against the base before the append.
// State.Apply checks only the base and the digest, so that all releases of the program accept and
// reject the same publications.
package configlog

import (
	"fmt"

	"azurehitch/internal/configuration/tables"
	"azurehitch/internal/proof/sabotage"

	"github.com/cespare/xxhash/v2"
)

// Publication is a log record that changes the configuration.
type Publication struct {
	// Base is the version that the publication was edited from; 0 is the empty configuration.
	Base    int64
	Changes []Change
	// Author is the operator who published the changes.
	Author string
	// Retired are the servers that the publication removes from their pools. Restored are the
	// servers that an earlier publication removed and that this one adds again.
	Retired  []Retired
	Restored []RetiredKey
	// Digest is the hash of all other fields. It shows whether the record was damaged.
	Digest uint64
}

// WithBase returns a copy with Base set to a version, and with the digest of that copy.
func (p Publication) WithBase(version int64) Publication {
	p.Base = version
	p.Digest = p.digest()
	return p
}

// digest returns the hash of all fields except Digest. Since of the retired servers is hashed as 0,
// because Apply sets it only after the append.
func (p Publication) digest() uint64 {
	hash := xxhash.New()
	fmt.Fprintf(hash, "%d %q %d ", p.Base, p.Author, len(p.Changes))
	for _, c := range p.Changes {
		fmt.Fprintf(hash, "%q %q %d ", c.Table, c.Name, len(c.JSON))
		// A hash never returns an error.
		_, _ = hash.Write(c.JSON)
	}
	for _, r := range p.Retired {
		fmt.Fprintf(hash, "%+v", r.WithSince(0))
	}
	fmt.Fprintf(hash, "%+v", p.Restored)
	return hash.Sum64()
}

// ErrConflict is the verdict on a publication whose base is no longer in force.
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

// ErrDamaged is the verdict on a publication whose digest does not match its content.
type ErrDamaged struct{ Offset int64 }

// Error implements error.
func (e *ErrDamaged) Error() string {
	return fmt.Sprintf("the publication at offset %d is damaged", e.Offset)
}

// State is the configuration in force. It is immutable.
type State struct {
	// Version is the offset of the publication in force; 0 is none.
	Version int64
	// Author is the operator who published that version.
	Author string
	Entries
	// Retired are the servers that were removed from their pools and may still hold
	// replicas.
	Retired []Retired
}

// Apply returns the state after the publication at an offset. The error is nil if the publication
// takes effect. Otherwise the state is unchanged, and the error is an *ErrDamaged or an *ErrConflict.
func (s State) Apply(offset int64, p Publication) (State, error) {
	if p.Digest != p.digest() {
		return s, &ErrDamaged{Offset: offset}
	}
	if p.Base != s.Version && !sabotage.Active(sabotage.SkipBaseCheck) {
		return s, &ErrConflict{Base: p.Base, Current: s.Version, Author: s.Author}
	}
	return State{Version: offset, Author: p.Author, Entries: s.With(p.Changes), Retired: s.retiredAfter(offset, p)}, nil
}

// Configuration parses the tables of the state. Version 0 has empty tables.
func (s State) Configuration() (tables.Configuration, error) {
	if s.Version == 0 {
		return tables.Configuration{}, nil
	}
	configuration, err := tables.ParseLenient(s.RouteTable(), s.PoolTable())
	return configuration.WithVersion(s.Version), err
}
