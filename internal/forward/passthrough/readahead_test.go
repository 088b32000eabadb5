package passthrough

import (
	"io"
	"strings"
	"testing"

	"azurehitch"
	"azurehitch/internal/memory/admission"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"
)

// newTestReadAhead returns a readAhead of an answer that the returned function writes, with a budget for responses of
// a size.
func newTestReadAhead(t *testing.T, size azurehitch.ByteSize) (*readAhead, *admission.Budget, *io.PipeWriter) {
	t.Helper()
	answer, server := io.Pipe()
	budget := admission.New(admission.NewLimits(size*5/2), azurehitch.SystemClock{})
	cancel := func(cause error) { server.CloseWithError(cause) }
	return newReadAhead(answer, budget.NewReservation(), cancel), budget, server
}

// TestReadAheadOfBlockedCaller guards against a server that can't send on because its caller reads slowly, and against
// bytes that get lost or out of order between both ways of reading.
func TestReadAheadOfBlockedCaller(t *testing.T) {
	c := qt.New(t)
	a, budget, server := newTestReadAhead(t, 1<<20)
	content := strings.Repeat("0123456789", 10_000)
	a.start()
	_, err := io.WriteString(server, content)
	c.Assert(err, qt.IsNil)
	var group errgroup.Group
	group.Go(func() error {
		if _, err := io.WriteString(server, content); err != nil {
			return err
		}
		return server.Close()
	})
	got, err := io.ReadAll(a)
	c.Assert(err, qt.IsNil)
	c.Assert(string(got) == content+content, qt.IsTrue)
	c.Assert(group.Wait(), qt.IsNil)
	c.Assert(a.Close(), qt.IsNil)
	c.Assert(budget.Taken(), qt.Equals, azurehitch.ByteSize(0))
}

// TestReadAheadIsBounded guards against an answer that is held beyond the memory budget.
func TestReadAheadIsBounded(t *testing.T) {
	c := qt.New(t)
	a, budget, server := newTestReadAhead(t, 50<<10)
	a.start()
	var group errgroup.Group
	group.Go(func() error {
		_, err := io.WriteString(server, strings.Repeat("a", 1<<20))
		return err
	})
	c.Assert(a.group.Wait(), qt.IsNil)
	c.Assert(a.held.Len() > 0 && a.held.Len() <= 25<<10, qt.IsTrue)
	c.Assert(a.Close(), qt.IsNil)
	c.Assert(group.Wait(), qt.IsNotNil)
	c.Assert(budget.Taken(), qt.Equals, azurehitch.ByteSize(0))
}

// TestReadAheadEndsWithCaller guards against a server that goes on for a caller who has gone.
func TestReadAheadEndsWithCaller(t *testing.T) {
	c := qt.New(t)
	a, _, server := newTestReadAhead(t, 1<<20)
	a.start()
	c.Assert(a.Close(), qt.IsNil)
	_, err := io.WriteString(server, "a")
	c.Assert(err, qt.IsNotNil)
}
