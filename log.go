package azurehitch

import (
	"context"
	"fmt"
	"time"
)

// Record is one entry of a stream of the append-only log.
type Record struct {
	// Offset is the position in the stream. The first record has offset 1.
	Offset  int64
	Payload []byte
}

// Batch is the result of a read.
type Batch struct {
	// First is the offset of the oldest record that the log still keeps.
	First int64
	// Next is the offset that the next appended record will get.
	Next    int64
	Records []Record
	// Era is the era of the log, see KeyedBatch.Era; 0 means that it is not known.
	Era int64
}

// Log is the platform's append-only log service.
type Log interface {
	// Append adds a record and returns its offset. If it fails with an *ErrLog, the error says
	// whether the record may be in the log nevertheless.
	Append(ctx context.Context, stream string, payload []byte) (int64, error)
	// Read returns the records at or after the offset from. If there are none, it waits up to the
	// duration wait for the next one. Records before Batch.First have been deleted.
	Read(ctx context.Context, stream string, from int64, wait time.Duration) (Batch, error)
}

// BatchLog is a Log that appends several records at once.
type BatchLog interface {
	Log
	// AppendBatch adds records with consecutive offsets, all or none of them, and returns the offset of the
	// first. Errors are as those of Append.
	AppendBatch(ctx context.Context, stream string, payloads [][]byte) (int64, error)
}

// ErrLog is the error of a failed call to the log service.
type ErrLog struct {
	Operation string
	// MayHaveTakenEffect is true if the record may have been appended.
	MayHaveTakenEffect bool
	Cause              error
}

// Error implements error.
func (e *ErrLog) Error() string {
	return fmt.Sprintf("log %s failed (may have taken effect: %t): %v", e.Operation, e.MayHaveTakenEffect, e.Cause)
}

// Unwrap returns the cause.
func (e *ErrLog) Unwrap() error { return e.Cause }
