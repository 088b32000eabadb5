package requestbody_test

import (
	"bytes"
	"context"
	"io"
	"testing"
	"testing/iotest"

	"azurehitch"
	"azurehitch/internal/memory/admission"
	"azurehitch/internal/memory/requestbody"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"
)

const maxBody = 100 << 10

// FuzzRead reads a body that arrives in pieces. It guards against bodies that are changed, that are held beyond the
// limit or the announced length, and against memory that isn't returned to the budget.
func FuzzRead(f *testing.F) {
	for _, size := range []int{0, 1, 4 << 10, 4<<10 + 1, 32 << 10, 36 << 10, 36<<10 + 1, maxBody, maxBody + 1} {
		for _, length := range []int{requestbody.UnknownLength, size, size + 1} {
			f.Add(bytes.Repeat([]byte("ab"), size/2+1)[:size], length, false)
		}
	}
	f.Add([]byte("abc"), requestbody.UnknownLength, true)
	f.Fuzz(func(t *testing.T, content []byte, length int, inBytes bool) {
		c := qt.New(t)
		length = max(length, requestbody.UnknownLength)
		budget := admission.New(admission.NewLimits(1<<20), azurehitch.SystemClock{})
		var stream io.Reader = bytes.NewReader(content)
		if inBytes {
			stream = iotest.OneByteReader(stream)
		}
		limits := requestbody.Limits{Length: length, Max: maxBody}
		body, err := requestbody.Read(context.Background(), stream, limits, budget.NewRequest("a", func() {}))
		wanted := len(content)
		if length != requestbody.UnknownLength {
			wanted = length
		}
		var tooLarge *requestbody.ErrTooLarge
		switch {
		case wanted > maxBody:
			c.Assert(errors.As(err, &tooLarge), qt.IsTrue)
		case wanted > len(content):
			c.Assert(err, qt.Equals, io.ErrUnexpectedEOF)
		default:
			c.Assert(err, qt.IsNil)
			var got bytes.Buffer
			_, err := body.WriteTo(&got)
			c.Assert(err, qt.IsNil)
			c.Assert(bytes.Equal(got.Bytes(), content[:wanted]), qt.IsTrue)
			c.Assert(body.Len(), qt.Equals, wanted)
		}
		body.Release()
		c.Assert(budget.Taken(), qt.Equals, azurehitch.ByteSize(0))
	})
}

// TestRetainedBodyStays guards against blocks that another request gets while a request is still being sent.
func TestRetainedBodyStays(t *testing.T) {
	c := qt.New(t)
	budget := admission.New(admission.NewLimits(1<<20), azurehitch.SystemClock{})
	body, err := requestbody.Read(context.Background(), bytes.NewReader([]byte("abc")), requestbody.Limits{Length: 3, Max: maxBody}, budget.NewRequest("a", nil))
	c.Assert(err, qt.IsNil)
	c.Assert(body.Retain(), qt.IsTrue)
	body.Release()
	c.Assert(budget.Taken() > 0, qt.IsTrue)
	body.Release()
	c.Assert(budget.Taken(), qt.Equals, azurehitch.ByteSize(0))
	c.Assert(body.Retain(), qt.IsFalse)
}

// TestExhaustedBudget guards against a body that is read although there is no memory for it.
func TestExhaustedBudget(t *testing.T) {
	for name, length := range map[string]int{"announced": maxBody, "chunked": requestbody.UnknownLength} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			budget := admission.New(admission.NewLimits(64<<10), azurehitch.SystemClock{})
			stream := bytes.NewReader(make([]byte, maxBody))
			_, err := requestbody.Read(context.Background(), stream, requestbody.Limits{Length: length, Max: maxBody}, budget.NewRequest("a", func() {}))
			var exhausted *admission.ErrExhausted
			c.Assert(errors.As(err, &exhausted), qt.IsTrue)
			c.Assert(maxBody-stream.Len() <= 64<<10, qt.IsTrue)
			c.Assert(budget.Taken(), qt.Equals, azurehitch.ByteSize(0))
		})
	}
}
