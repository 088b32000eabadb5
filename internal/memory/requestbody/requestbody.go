// Package requestbody reads and holds the bodies of requests in pooled blocks, within a memory budget.
//
// # Usage
//
//	body, err := requestbody.Read(ctx, stream, requestbody.Limits{Length: length, Max: max}, reservation)
//	defer body.Release()
//	if body.Retain() {
//		defer body.Release()
//		_, err = body.WriteTo(conn)
//	}
//
// A body that grows in one buffer is copied each time, and holds up to three times its size meanwhile. Blocks hold
// the content only, whatever chunks it came in.
package requestbody

import (
	"context"
	"fmt"
	"io"
	"sync"
	"sync/atomic"

	"azurehitch/internal/memory/admission"
)

const (
	smallBlockBytes = 4 << 10
	largeBlockBytes = 32 << 10
	// UnknownLength is the length of a body that is sent in chunks.
	UnknownLength = -1
)

var (
	smallBlocks = sync.Pool{New: func() any { return new([smallBlockBytes]byte) }}
	largeBlocks = sync.Pool{New: func() any { return new([largeBlockBytes]byte) }}
)

// Limits describe the body that is read.
type Limits struct {
	// Length is the announced length, or UnknownLength.
	Length int
	// Max is the largest size that is accepted.
	Max int
}

// ErrTooLarge is returned for a body beyond Limits.Max.
type ErrTooLarge struct{ Max int }

// Error implements error.
func (e *ErrTooLarge) Error() string {
	return fmt.Sprintf("the body is longer than %d bytes", e.Max)
}

// Body is a body that was received whole. It is released when each Retain and the first owner have called Release.
// A nil Body is empty.
type Body struct {
	blocks      [][]byte
	size        int
	references  atomic.Int32
	reservation *admission.Reservation
}

// Read reads a body. Its memory is taken from the reservation before it is read, all at once if the length is
// announced. The error is that of the stream, an *ErrTooLarge or an *admission.ErrExhausted. The Body takes
// over the reservation, which is released on an error.
func Read(ctx context.Context, stream io.Reader, limits Limits, reservation *admission.Reservation) (*Body, error) {
	b := &Body{reservation: reservation}
	b.references.Store(1)
	err := b.read(ctx, stream, limits)
	if evicted := reservation.Received(); evicted != nil {
		// The reader of an evicted request is interrupted, so that its own error says nothing.
		err = evicted
	}
	if err != nil {
		b.Release()
		return nil, err
	}
	return b, nil
}

func (b *Body) read(ctx context.Context, stream io.Reader, limits Limits) error {
	if limits.Length > limits.Max {
		return &ErrTooLarge{Max: limits.Max}
	}
	if limits.Length > 0 {
		if err := b.reservation.Admit(ctx, heldFor(limits.Length)); err != nil {
			return err
		}
	}
	for limits.Length == UnknownLength || b.size < limits.Length {
		if err := b.addBlock(ctx, limits); err != nil {
			return err
		}
		err := b.fill(stream, limits)
		switch {
		case err == io.EOF && limits.Length == UnknownLength:
			return nil
		case err == io.EOF && b.size < limits.Length:
			return io.ErrUnexpectedEOF
		case err != nil && err != io.EOF:
			return err
		}
	}
	return nil
}

// heldFor returns the size of the blocks for n bytes.
func heldFor(n int) int {
	held := n / largeBlockBytes * largeBlockBytes
	switch rest := n - held; {
	case rest == 0:
		return held
	case rest <= smallBlockBytes:
		return held + smallBlockBytes
	}
	return held + largeBlockBytes
}

// addBlock adds an empty block. That of a body of unknown length is small at first.
func (b *Body) addBlock(ctx context.Context, limits Limits) error {
	isSmall := len(b.blocks) == 0
	if limits.Length != UnknownLength {
		isSmall = limits.Length-b.size <= smallBlockBytes
	} else if err := b.admitBlock(ctx, isSmall); err != nil {
		return err
	}
	if isSmall {
		b.blocks = append(b.blocks, smallBlocks.Get().(*[smallBlockBytes]byte)[:0])
		return nil
	}
	b.blocks = append(b.blocks, largeBlocks.Get().(*[largeBlockBytes]byte)[:0])
	return nil
}

func (b *Body) admitBlock(ctx context.Context, isSmall bool) error {
	size := largeBlockBytes
	if isSmall {
		size = smallBlockBytes
	}
	return b.reservation.Admit(ctx, size)
}

// fill reads into the last block until it is full or the body has ended.
func (b *Body) fill(stream io.Reader, limits Limits) error {
	last := &b.blocks[len(b.blocks)-1]
	for len(*last) < cap(*last) {
		free := (*last)[len(*last):cap(*last)]
		if limits.Length != UnknownLength {
			free = free[:min(len(free), limits.Length-b.size)]
		}
		if len(free) == 0 {
			return nil
		}
		n, err := stream.Read(free)
		*last = (*last)[:len(*last)+n]
		b.size += n
		b.reservation.Progress(n)
		if b.size > limits.Max {
			return &ErrTooLarge{Max: limits.Max}
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// Len returns the size of the body.
func (b *Body) Len() int {
	if b == nil {
		return 0
	}
	return b.size
}

// WriteTo implements io.WriterTo. The body must be retained meanwhile.
func (b *Body) WriteTo(w io.Writer) (int64, error) {
	var written int64
	if b == nil {
		return 0, nil
	}
	for _, block := range b.blocks {
		n, err := w.Write(block)
		written += int64(n)
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// Retain keeps the body until a further Release. It returns false if the body was released already.
func (b *Body) Retain() bool {
	if b == nil {
		return true
	}
	for {
		references := b.references.Load()
		if references == 0 {
			return false
		}
		if b.references.CompareAndSwap(references, references+1) {
			return true
		}
	}
}

// Release ends one use of the body.
func (b *Body) Release() {
	if b == nil || b.references.Add(-1) > 0 {
		return
	}
	for _, block := range b.blocks {
		if cap(block) == smallBlockBytes {
			smallBlocks.Put((*[smallBlockBytes]byte)(block[:smallBlockBytes]))
			continue
		}
		largeBlocks.Put((*[largeBlockBytes]byte)(block[:largeBlockBytes]))
	}
	b.blocks = nil
	b.reservation.Release()
}
