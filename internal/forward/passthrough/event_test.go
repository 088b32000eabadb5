package passthrough

import (
	"bytes"
	"io"
	"strings"
	"testing"

	"azurehitch"
	"azurehitch/internal/memory/admission"
	"azurehitch/internal/transport/connpool"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"
)

const testMaxSize = 32 << 10

func TestEventBound(t *testing.T) {
	read := func(size int) error {
		stream := strings.NewReader(strings.Repeat("x", size-2) + "\n\n")
		_, err := newEventReader(stream, testMaxSize, admission.New(admission.NewLimits(10*testMaxSize), azurehitch.SystemClock{}).NewReservation()).next()
		return err
	}
	c := qt.New(t)
	c.Assert(read(testMaxSize), qt.IsNil)
	var tooLarge *connpool.ErrTooLarge
	c.Assert(errors.As(read(testMaxSize+1), &tooLarge), qt.IsTrue)
	c.Assert(tooLarge.Part, qt.Equals, connpool.PartEvent)
}

// FuzzEvents splits a stream into events. It checks that the concatenated events equal the stream,
// that each event is complete and within the size limit, and that all memory is returned to the
// budget.
func FuzzEvents(f *testing.F) {
	for _, stream := range []string{
		"", "\n", "\r\n", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", "id: 1\r\ndata: a\r\n\r\nrest", "data", "\n\n\n",
		strings.Repeat("x", 2*relayBufferBytes) + "\n\n", strings.Repeat("x", relayBufferBytes) + "\n" + "y\n\n",
		strings.Repeat("x", testMaxSize) + "\n\n", strings.Repeat("x\n", testMaxSize),
	} {
		f.Add([]byte(stream))
	}
	f.Fuzz(func(t *testing.T, stream []byte) {
		c := qt.New(t)
		budget := admission.New(admission.NewLimits(10*testMaxSize), azurehitch.SystemClock{})
		memory := budget.NewReservation()
		reader := newEventReader(bytes.NewReader(stream), testMaxSize, memory)
		rest := stream
		for {
			event, err := reader.next()
			c.Assert(len(event) <= testMaxSize, qt.IsTrue)
			c.Assert(bytes.HasPrefix(rest, event), qt.IsTrue)
			rest = rest[len(event):]
			if err == io.EOF {
				c.Assert(rest, qt.HasLen, 0)
				break
			}
			if err != nil {
				break
			}
			isEnded := bytes.HasSuffix(event, []byte("\n\n")) || bytes.HasSuffix(event, []byte("\n\r\n")) ||
				isEmptyLine(event)
			c.Assert(isEnded, qt.IsTrue, qt.Commentf("%q", event))
			memory.Release()
		}
		memory.Release()
		c.Assert(int64(budget.Taken()), qt.Equals, int64(0))
	})
}
