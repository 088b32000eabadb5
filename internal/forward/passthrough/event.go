package passthrough

import (
	"bufio"
	"bytes"
	"io"

	"azurehitch"
	"azurehitch/internal/memory/admission"
	"azurehitch/internal/transport/connpool"

	"github.com/pkg/errors"
)

// unbudgetedEventBytes is the size up to which an event is not charged to the shared memory budget.
const unbudgetedEventBytes = 16 << 10

// eventReader splits a stream into events.
type eventReader struct {
	reader *bufio.Reader
	// maxSize limits the size of an event. Events longer than unbudgetedEventBytes are charged to
	// memory.
	maxSize azurehitch.ByteSize
	memory  *admission.Reservation
	// peeked is the result of peek until next returns it; nil without one.
	peeked *readEvent
}

// readEvent is an event that was read, or the error in its place.
type readEvent struct {
	event []byte
	err   error
}

func newEventReader(stream io.Reader, maxSize azurehitch.ByteSize, memory *admission.Reservation) *eventReader {
	return &eventReader{reader: bufio.NewReaderSize(stream, relayBufferBytes), maxSize: maxSize, memory: memory}
}

// peek waits for the next event, and leaves it to next.
func (e *eventReader) peek() ([]byte, error) {
	event, err := e.next()
	e.peeked = &readEvent{event: event, err: err}
	return event, err
}

// next returns the next event with the empty line that ends it. At the end of the stream it returns
// the error of the stream with the bytes of the last, incomplete event, if any.
func (e *eventReader) next() ([]byte, error) {
	if peeked := e.peeked; peeked != nil {
		e.peeked = nil
		return peeked.event, peeked.err
	}
	var event []byte
	for {
		line, err := e.reader.ReadSlice('\n')
		if err := e.reserve(len(event), len(line)); err != nil {
			return nil, err
		}
		atLineStart := len(event) == 0 || event[len(event)-1] == '\n'
		event = append(event, line...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case err != nil:
			return event, err
		case atLineStart && isEmptyLine(line):
			return event, nil
		}
	}
}

// isEmptyLine reports whether a line consists of a line ending only.
func isEmptyLine(line []byte) bool { return string(line) == "\n" || string(line) == "\r\n" }

// reserve returns an error if an event of size bytes may not grow by added bytes. It charges the
// added bytes to the memory budget if the event is long, and charges them twice, because the event
// is copied to the pending bytes of the relay before it is passed on.
func (e *eventReader) reserve(size, added int) error {
	if azurehitch.ByteSize(size+added) > e.maxSize {
		return &connpool.ErrTooLarge{Part: connpool.PartEvent, Bound: int64(e.maxSize)}
	}
	if size+added <= unbudgetedEventBytes {
		return nil
	}
	return e.memory.Grow(2 * added)
}

// hasWholeEvent reports whether a complete event is buffered.
func (e *eventReader) hasWholeEvent() bool {
	buffered, err := e.reader.Peek(e.reader.Buffered())
	return err == nil && (bytes.Contains(buffered, []byte("\n\n")) || bytes.Contains(buffered, []byte("\n\r\n")))
}
