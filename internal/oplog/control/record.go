// Package control keeps the state that a daemon folds from the control stream of
// the platform's log: the configuration in force, the leases of the pools and
// the open intents.
//
// # Usage
//
//	store := control.NewStore(self, clock)
//	writer := control.NewWriter(log, stream, store, observer)
//	follower := follow.NewFollower(log, stream, store, clock, observer)
//	group.Go(func() error { return follower.Run(ctx) })
//	verdict, err := writer.Append(ctx, control.Record{Claim: &claim})
//
// The writer returns the verdict of the fold on its record. It recognizes the
// record by its writer and sequence when it reads it, so a lost answer to the
// append does not matter.
package control

import (
	"azurehitch/internal/configuration/configlog"
	"azurehitch/internal/lease/leaselog"
)

// Record is one record of the control stream. One of the pointers is set, or
// Renewal is true.
type Record struct {
	// Writer and Sequence identify the record.
	Writer   leaselog.Holder
	Sequence int64

	Publication *configlog.Publication
	Claim       *leaselog.Claim
	Renewal     bool
	Release     *leaselog.Release
	Intent      *leaselog.Intent
	Resolution  *leaselog.Resolution
	Emptied     *configlog.Emptied
	History     *PoolHistory
	Snapshot    *Snapshot
}

// WithWriter returns a copy that names its writer.
func (r Record) WithWriter(writer leaselog.Holder, sequence int64) Record {
	r.Writer = writer
	r.Sequence = sequence
	return r
}

// PoolHistory is what the holder of a pool has learnt of its use, for a later holder.
type PoolHistory struct {
	Pool    string
	Token   int64
	Learned []byte
}

// Snapshot is the state after the records up to FoldedTo.
type Snapshot struct {
	FoldedTo      int64
	Configuration configlog.State
	Leases        []leaselog.Lease
	Intents       []leaselog.Intent
	Histories     []PoolHistory
}
