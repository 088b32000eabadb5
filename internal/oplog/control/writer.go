package control

import (
	"context"

	"azurehitch"
	"azurehitch/internal/oplog/follow"
)

// Writer appends records to the control stream.
type Writer struct {
	log      azurehitch.Log
	stream   string
	store    *Store
	observer follow.Observer
	appender *follow.Appender[Verdict]
}

// NewWriter returns a writer to the stream that feeds the store. A log that names its era must be an
// azurehitch.BatchLog.
func NewWriter(log azurehitch.Log, stream string, store *Store, observer follow.Observer) *Writer {
	return &Writer{
		log: log, stream: stream, store: store, observer: observer,
		appender: follow.NewAppender(log, stream, store.pending, observer),
	}
}

// Append appends a record and waits until this daemon has folded it. It returns an
// *azurehitch.ErrLog if the record was not appended, and a *follow.ErrOutcomeUnknown if it may have
// been.
func (w *Writer) Append(ctx context.Context, record Record) (Verdict, error) {
	return w.appender.Append(ctx, func(sequence int64) ([]byte, error) {
		w.store.markSending(sequence)
		return Encode(record.WithWriter(w.store.Self(), sequence))
	})
}
