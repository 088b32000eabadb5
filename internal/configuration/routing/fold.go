// Package routing keeps the routing table in force.
//
// # Usage
//
//	fold := routing.NewFold(decoder, observer)
//	follower := compacted.NewFollower(log, stream, fold, clock, observer, pace)
//	index := fold.Index()
//
// A table replaces one with a lower version only, so that what is in force never goes back.
package routing

import (
	"sync/atomic"
	"time"

	"azurehitch"
	"azurehitch/internal/forward/router"
)

// Observer is told what changes.
type Observer interface {
	// TableChanged is told of a table that came into force.
	TableChanged(table azurehitch.RoutingTable)
	// TableUnreadable is told of a table that can't be read: the last one stays in force.
	TableUnreadable(err error)
}

// Fold is the table that a follower of its stream feeds.
type Fold struct {
	decoder  azurehitch.RoutingDecoder
	observer Observer
	index    atomic.Pointer[router.PathIndex]
}

// NewFold returns a fold without a table.
func NewFold(decoder azurehitch.RoutingDecoder, observer Observer) *Fold {
	f := &Fold{decoder: decoder, observer: observer}
	f.index.Store(router.NewPathIndex(azurehitch.RoutingTable{}))
	return f
}

// Index returns the index of the table in force. Its version is 0 before the first.
func (f *Fold) Index() *router.PathIndex { return f.index.Load() }

// Table returns the table in force.
func (f *Fold) Table() azurehitch.RoutingTable { return f.Index().Table }

// Replace implements compacted.Fold.
func (f *Fold) Replace(records []azurehitch.KeyedRecord, readAt time.Time) { f.Apply(records, readAt) }

// Apply implements compacted.Fold.
func (f *Fold) Apply(records []azurehitch.KeyedRecord, _ time.Time) {
	_, key := f.decoder.Stream()
	for i := len(records) - 1; i >= 0; i-- {
		if records[i].Key != key || len(records[i].Value) == 0 {
			continue
		}
		table, err := f.decoder.Decode(records[i].Value)
		if err != nil {
			f.observer.TableUnreadable(err)
			continue
		}
		if table.Version > f.Table().Version {
			f.index.Store(router.NewPathIndex(table))
			f.observer.TableChanged(table)
		}
		return
	}
}

// Failed implements compacted.Fold. The table stays in force.
func (f *Fold) Failed(time.Time) {}

// Changes implements compacted.Fold: each table matters at once.
func (f *Fold) Changes() int64 { return f.Table().Version }
