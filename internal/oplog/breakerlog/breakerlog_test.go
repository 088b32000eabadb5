package breakerlog_test

import (
	"context"
	"testing"
	"time"

	"azurehitch"
	"azurehitch/internal/oplog/breakerlog"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"
)

// store is a log that answers some streams.
type store struct {
	calls int
	down  map[string]bool
}

func (s *store) call(stream string) error {
	s.calls++
	if s.down[stream] {
		return errors.New("down")
	}
	return nil
}

// Read implements azurehitch.Log.
func (s *store) Read(_ context.Context, stream string, _ int64, _ time.Duration) (azurehitch.Batch, error) {
	return azurehitch.Batch{}, s.call(stream)
}

// Append implements azurehitch.Log.
func (s *store) Append(_ context.Context, stream string, _ []byte) (int64, error) {
	return 0, s.call(stream)
}

// Newest implements azurehitch.KeyedLog.
func (s *store) Newest(_ context.Context, stream string) (azurehitch.KeyedBatch, error) {
	return azurehitch.KeyedBatch{}, s.call(stream)
}

// Changes implements azurehitch.KeyedLog.
func (s *store) Changes(_ context.Context, stream string, _ int64, _ time.Duration) (azurehitch.KeyedBatch, error) {
	return azurehitch.KeyedBatch{}, s.call(stream)
}

// Put implements azurehitch.KeyedLog.
func (s *store) Put(_ context.Context, stream string, _ azurehitch.KeyedRecord) error {
	return s.call(stream)
}

// clock is set by hand.
type clock struct {
	azurehitch.SystemClock
	now time.Time
}

// Now implements azurehitch.Clock.
func (c *clock) Now() time.Time { return c.now }

var streams = []string{"servers", "routing", "members", "control"}

// world is a breaker over a store, whose streams are read in turn.
type world struct {
	*qt.C
	store *store
	clock *clock
	log   *breakerlog.Log
}

func newWorld(t *testing.T) *world {
	w := &world{C: qt.New(t), store: &store{down: map[string]bool{}}, clock: &clock{now: time.Unix(1000, 0)}}
	w.log = breakerlog.New(w.store, w.store, w.clock)
	return w
}

func (w *world) read(stream string) error {
	if stream == "control" {
		_, err := w.log.Read(context.Background(), stream, 1, time.Second)
		return err
	}
	_, err := w.log.Changes(context.Background(), stream, 1, time.Second)
	return err
}

// follow reads all streams each 100 ms for a time, and returns the number of calls.
func (w *world) follow(d time.Duration) int {
	before := w.store.calls
	for end := w.clock.now.Add(d); w.clock.now.Before(end); w.clock.now = w.clock.now.Add(100 * time.Millisecond) {
		for _, s := range streams {
			_ = w.read(s)
		}
	}
	return w.store.calls - before
}

func (w *world) setDown(down bool, names ...string) {
	for _, s := range names {
		w.store.down[s] = down
	}
}

func TestBreaker(t *testing.T) {
	t.Run("a log that answers is read by all", func(t *testing.T) {
		w := newWorld(t)
		w.Assert(w.follow(time.Second), qt.Equals, 40)
	})
	t.Run("one that answers nothing is read by one at a time", func(t *testing.T) {
		w := newWorld(t)
		w.follow(time.Second)
		w.setDown(true, streams...)
		calls := w.follow(4 * time.Second)
		w.Assert(calls <= len(streams)+10, qt.IsTrue, qt.Commentf("%d calls", calls))
	})
	t.Run("who is held back knows it at once", func(t *testing.T) {
		w := newWorld(t)
		w.setDown(true, streams...)
		w.follow(time.Second)
		failed := 0
		for _, s := range streams {
			if err := w.read(s); errors.Is(err, breakerlog.ErrAway) {
				failed++
			}
		}
		w.Assert(failed >= len(streams)-1, qt.IsTrue)
	})
	t.Run("all read again when one is answered", func(t *testing.T) {
		w := newWorld(t)
		w.setDown(true, streams...)
		w.follow(time.Second)
		w.setDown(false, streams...)
		w.follow(500 * time.Millisecond)
		w.Assert(w.follow(time.Second), qt.Equals, 40)
	})
	t.Run("streams that are not answered don't hold up others, nor are held up", func(t *testing.T) {
		w := newWorld(t)
		w.setDown(true, "servers", "routing")
		w.Assert(w.follow(time.Second), qt.Equals, 40)
	})
	t.Run("appends pass", func(t *testing.T) {
		w := newWorld(t)
		w.setDown(true, streams...)
		w.follow(time.Second)
		before := w.store.calls
		_, err := w.log.Append(context.Background(), "control", nil)
		w.Assert(err, qt.IsNotNil)
		w.Assert(w.log.Put(context.Background(), "members", azurehitch.KeyedRecord{}), qt.IsNotNil)
		w.Assert(w.store.calls-before, qt.Equals, 2)
	})
}
