package passthrough

import (
	"bytes"
	"io"
	"strings"
	"testing"

	"azurehitch/internal/transport/connpool"
	"azurehitch/internal/transport/membudget"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"
)

const testedBound = 32 << 10

func TestEventBound(t *testing.T) {
	read := func(size int) error {
		stream := strings.NewReader(strings.Repeat("x", size-2) + "\n\n")
		_, err := newEventReader(stream, testedBound, membudget.New(4*testedBound).Hold()).next()
		return err
	}
	c := qt.New(t)
	c.Assert(read(testedBound), qt.IsNil)
	var tooLarge *connpool.ErrTooLarge
	c.Assert(errors.As(read(testedBound+1), &tooLarge), qt.IsTrue)
	c.Assert(tooLarge.Part, qt.Equals, connpool.PartEvent)
}

// FuzzEvents holds each event against the stream that it came from.
func FuzzEvents(f *testing.F) {
	for _, stream := range []string{
		"", "\n", "\r\n", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", "id: 1\r\ndata: a\r\n\r\nrest", "data", "\n\n\n",
		strings.Repeat("x", 2*relayBufferBytes) + "\n\n", strings.Repeat("x", relayBufferBytes) + "\n" + "y\n\n",
		strings.Repeat("x", testedBound) + "\n\n", strings.Repeat("x\n", testedBound),
	} {
		f.Add([]byte(stream))
	}
	f.Fuzz(func(t *testing.T, stream []byte) {
		c := qt.New(t)
		budget := membudget.New(4 * testedBound)
		held := budget.Hold()
		reader := newEventReader(bytes.NewReader(stream), testedBound, held)
		rest := stream
		for {
			event, err := reader.next()
			c.Assert(len(event) <= testedBound, qt.IsTrue)
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
			held.Release()
		}
		held.Release()
		c.Assert(int64(budget.Taken()), qt.Equals, int64(0))
	})
}
