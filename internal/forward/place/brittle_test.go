package place_test

import (
	"context"
	"testing"
	"time"

	"azurehitch"
	"azurehitch/internal/forward/rejectbudget"

	qt "github.com/frankban/quicktest"
)

// makeBrittle lets servers state that they are brittle. This daemon is one of two.
func (h *harness) makeBrittle(clock *steppedClock, allowance int, servers ...string) {
	clock.now = clock.now.Add(time.Millisecond)
	for _, id := range servers {
		h.rejections.Answered(identity(id), rejectbudget.Answer{
			Notice: azurehitch.ServerNotice{Brittle: true, MaxRejections: allowance}, SentAt: clock.now,
		})
	}
}

// placeAll places plain requests without ending them, until one is refused, and returns their number and how
// long the refused one waited.
func (h *harness) placeAll(clock *steppedClock) (placed int, waited time.Duration) {
	for ; ; placed++ {
		startedAt := clock.now
		if _, err := h.placer.Place(context.Background(), plainRequest(placed)); err != nil {
			return placed, clock.now.Sub(startedAt)
		}
	}
}

func TestBrittleServers(t *testing.T) {
	// slots is the number of slots of a server in the entries of decode.
	const slots = 6
	t.Run("this daemon uses its half of the units, then refuses after a short wait", func(t *testing.T) {
		clock := &steppedClock{now: time.Unix(1000, 0)}
		h := newHarness(t, clock, "s1", "s2")
		h.makeBrittle(clock, 0, "s1", "s2")
		placed, waited := h.placeAll(clock)
		h.Assert(placed, qt.Equals, slots)
		h.Assert(waited, qt.Equals, 200*time.Millisecond)
		h.Assert(h.assertRefused(plainRequest(placed)) > 0, qt.IsTrue)
	})
	t.Run("a request waits for a unit", func(t *testing.T) {
		clock := &steppedClock{now: time.Unix(1000, 0)}
		h := newHarness(t, clock, "s1")
		h.makeBrittle(clock, 0, "s1")
		first, err := h.placer.Place(context.Background(), plainRequest(0))
		h.Assert(err, qt.IsNil)
		h.placeAll(clock)
		first.End()
		_, err = h.placer.Place(context.Background(), plainRequest(0))
		h.Assert(err, qt.IsNil)
	})
	t.Run("the holder's grants count, and are not limited", func(t *testing.T) {
		clock := &steppedClock{now: time.Unix(1000, 0)}
		h := newHarness(t, clock, "s1")
		h.makeBrittle(clock, 0, "s1")
		for range slots {
			h.rejections.BeginGranted(identity("s1"))
		}
		placed, _ := h.placeAll(clock)
		h.Assert(placed, qt.Equals, 0)
	})
}
