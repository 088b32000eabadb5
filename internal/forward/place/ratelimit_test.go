package place_test

import (
	"context"
	"testing"
	"time"

	"azurehitch"

	qt "github.com/frankban/quicktest"
)

// countPlaced places requests one after another without a pause, and returns how many of them were
// placed on each server.
func (h *harness) countPlaced(requests int, request func(i int) azurehitch.ServerIdentity) map[string]int {
	counts := map[string]int{}
	for i := range requests {
		counts[request(i).ID]++
	}
	return counts
}

// placePlain places a request without a model and ends it.
func (h *harness) placePlain(i int) azurehitch.ServerIdentity {
	h.Helper()
	choice, err := h.placer.Place(context.Background(), plainRequest(i))
	h.Assert(err, qt.IsNil)
	choice.End()
	return choice.Server
}

// placeModel places a request for a model and ends it.
func (h *harness) placeModel(i int) azurehitch.ServerIdentity {
	h.Helper()
	choice, err := h.placer.Place(context.Background(), modelRequest(h, i))
	h.Assert(err, qt.IsNil)
	choice.End()
	return choice.Server
}

// TestRateLimit checks the placement of requests while a server names a rate limit.
func TestRateLimit(t *testing.T) {
	// modelRequests is as many requests as a server has slots: the holder counts grants as in progress.
	const plainRequests, modelRequests = 40, 6
	t.Run("plain requests go to other servers beyond the limit", func(t *testing.T) {
		clock := &steppedClock{now: time.Unix(1000, 0)}
		h := newHarness(t, clock, "s1", "s2")
		h.limits.Named(identity("s1"), 1)
		h.Assert(h.countPlaced(plainRequests, h.placePlain), qt.DeepEquals, map[string]int{"s2": plainRequests})
		clock.now = clock.now.Add(10 * time.Second)
		h.Assert(h.countPlaced(plainRequests, h.placePlain), qt.DeepEquals, map[string]int{"s1": 1, "s2": plainRequests - 1})
	})
	t.Run("plain requests are refused until the first server may take one", func(t *testing.T) {
		h := newHarness(t, &steppedClock{now: time.Unix(1000, 0)}, "s1", "s2")
		h.limits.Named(identity("s1"), 0.25)
		h.limits.Named(identity("s2"), 0.5)
		h.Assert(h.assertRefused(plainRequest(1)), qt.Equals, 2*time.Second)
	})
	t.Run("the holder counts requests for a model", func(t *testing.T) {
		h := newHarness(t, azurehitch.SystemClock{}, "s1", "s2")
		whileHolderRuns(h, h.withHolder(), func() {
			h.limits.Named(identity("s1"), 1)
			h.Assert(h.countPlaced(modelRequests, h.placeModel), qt.DeepEquals, map[string]int{"s2": modelRequests})
		})
	})
	t.Run("a grant of a holder that does not know the limit is not used", func(t *testing.T) {
		h := newHarness(t, azurehitch.SystemClock{}, "s1", "s2")
		holders := h.withHolder()
		ours := newLimits(h.clock)
		h.placer.Limits = ours
		whileHolderRuns(h, holders, func() {
			ours.Named(identity("s1"), 1)
			h.Assert(h.countPlaced(modelRequests, h.placeModel), qt.DeepEquals, map[string]int{"s2": modelRequests})
		})
	})
	t.Run("without a holder, listed servers are used within the share of this daemon", func(t *testing.T) {
		h := newHarness(t, azurehitch.SystemClock{}, "s1", "s2")
		h.placer.Holders = newHolderless(h.clock)
		h.limits.Named(identity("s1"), 0.1)
		h.Assert(h.countPlaced(4, h.placeModel), qt.DeepEquals, map[string]int{"s2": 4})
	})
}
