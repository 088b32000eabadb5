package control

import (
	"context"

	"azurehitch"
	"azurehitch/internal/oplog/follow"
)

// Writer appends records to the control stream.
type Writer struct {
	store    *Store
	appender *follow.Appender[Verdict]
}

// NewWriter returns a writer of a stream that a store follows.
func NewWriter(log azurehitch.Log, stream string, store *Store, observer follow.Observer) *Writer {
	return &Writer{store: store, appender: follow.NewAppender(log, stream, store.expectations, observer)}
}

// Append adds a record and waits until this daemon has folded it. An
// *azurehitch.ErrLog says that it was not appended, a *follow.ErrUnsettled that
// this is not known.
func (w *Writer) Append(ctx context.Context, record Record) (Verdict, error) {
	return w.appender.Append(ctx, func(sequence int64) ([]byte, error) {
		w.store.sending(sequence)
		return Encode(record.WithWriter(w.store.Self(), sequence))
	})
}
