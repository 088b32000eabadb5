// Package routing keeps the routing table in force, by applying the records of the routing stream in
// order (folding them).
//
// # Usage
//
//	fold := routing.NewFold(decoder, observer)
//	follower := compacted.NewFollower(log, stream, fold, clock, observer, pace)
//	index := fold.Index()
//
// A table comes into force only if its version is higher than the version of the table in force.
package routing

import (
	"sync/atomic"
	"time"

	"azurehitch"
	"azurehitch/internal/forward/router"
)

// Observer receives the changes of the routing table.
type Observer interface {
	// TableChanged is called with each table that came into force, and with the time since the read before
	// the one that brought it; 0 for the first read.
	TableChanged(table azurehitch.RoutingTable, sinceRead time.Duration)
	// TableUnreadable is called with the error of a table that can't be decoded. The table in
	// force stays.
	TableUnreadable(err error)
}

// Fold holds the routing table in force. It implements compacted.Fold.
type Fold struct {
	decoder  azurehitch.RoutingDecoder
	observer Observer
	index    atomic.Pointer[router.PathIndex]
	// readAt is when the stream was last read; zero before. Only the follower uses it.
	readAt time.Time
}

// NewFold returns a fold with an empty table of version 0.
func NewFold(decoder azurehitch.RoutingDecoder, observer Observer) *Fold {
	f := &Fold{decoder: decoder, observer: observer}
	f.index.Store(router.NewPathIndex(azurehitch.RoutingTable{}))
	return f
}

// Index returns the path index of the table in force.
func (f *Fold) Index() *router.PathIndex { return f.index.Load() }

// Table returns the table in force; its version is 0 until the first table was applied.
func (f *Fold) Table() azurehitch.RoutingTable { return f.Index().Table }

// Replace implements compacted.Fold.
func (f *Fold) Replace(records []azurehitch.KeyedRecord, readAt time.Time) { f.Apply(records, readAt) }

// Apply implements compacted.Fold. It uses the readable table of a batch with the highest version.
func (f *Fold) Apply(records []azurehitch.KeyedRecord, readAt time.Time) {
	sinceRead := time.Duration(0)
	if !f.readAt.IsZero() {
		sinceRead = readAt.Sub(f.readAt)
	}
	f.readAt = readAt
	if table := f.newest(records); table.Version > f.Table().Version {
		f.index.Store(router.NewPathIndex(table))
		f.observer.TableChanged(table, sinceRead)
	}
}

// newest returns the readable table with the highest version, and a table of version 0 if there is none. Its
// record need not be the last one: an operator who writes again what the log has lost may write an older one after it.
func (f *Fold) newest(records []azurehitch.KeyedRecord) azurehitch.RoutingTable {
	_, key := f.decoder.Stream()
	var newest azurehitch.RoutingTable
	for _, r := range records {
		if r.Key != key || len(r.Value) == 0 {
			continue
		}
		table, err := f.decoder.Decode(r.Value)
		if err != nil {
			f.observer.TableUnreadable(err)
			continue
		}
		if table.Version > newest.Version {
			newest = table
		}
	}
	return newest
}

// ReadFailed implements compacted.Fold. The table in force stays.
func (f *Fold) ReadFailed(time.Time) {}

// UrgentChanges implements compacted.Fold. It returns the version, so that each new table counts as
// an urgent change.
func (f *Fold) UrgentChanges() int64 { return f.Table().Version }
