// Package control keeps the state that a daemon builds by applying the records of the control stream
// in order, which is called folding: the configuration in force, the pool leases and the open
// intents (see leaselog.Intent).
//
// # Usage
//
//	store := control.NewStore(self, clock)
//	writer := control.NewWriter(log, stream, store, observer)
//	follower := follow.NewFollower(log, stream, store, clock, observer)
//	group.Go(func() error { return follower.Run(ctx) })
//	verdict, err := writer.Append(ctx, control.Record{Claim: &claim})
//
// Writer.Append returns the verdict on the appended record: whether it took effect. The store finds
// the verdict when the follower reads the record back from the stream, and matches it to the append
// by writer and sequence number. A lost response to the append request therefore does no harm.
package control

import (
	"azurehitch/internal/configuration/configlog"
	"azurehitch/internal/lease/leaselog"
)

// Record is one record of the control stream. Either exactly one of the pointers is set or Renewal
// is true.
type Record struct {
	// Writer is the process that appended the record, whether or not it holds a lease. Writer and
	// Sequence together identify the record.
	Writer   leaselog.Holder
	Sequence int64

	EraStart    *leaselog.EraStart
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

// WithWriter returns a copy of the record with its writer and sequence number set.
func (r Record) WithWriter(writer leaselog.Holder, sequence int64) Record {
	r.Writer = writer
	r.Sequence = sequence
	return r
}

// isFiller reports whether the record is one of the gap before an EraStart.
func (r Record) isFiller() bool { return r.Writer == leaselog.Holder{} }

// PoolHistory is the usage history that the holder of a pool records for later holders.
type PoolHistory struct {
	Pool string
	// Token is the fencing token of the holder that recorded the history.
	Token int64
	// Learned is the encoded history.
	Learned []byte
}

// Snapshot is the state after folding all records up to and including offset FoldedTo.
type Snapshot struct {
	FoldedTo int64
	// LogEra is the era of the log that FoldedTo is an offset of.
	LogEra int64
	// Era is the era of the last EraStart, and EraStartedAt the offset that tokens of valid leases exceed.
	Era          int64
	EraStartedAt int64
	// StartedOver is the offset at which all folds last started over.
	StartedOver   int64
	Configuration configlog.State
	Leases        []leaselog.Lease
	Intents       []leaselog.Intent
	Histories     []PoolHistory
}
