package place_test

import (
	"context"
	"testing"
	"time"

	"azurehitch"
	"azurehitch/internal/forward/place"

	qt "github.com/frankban/quicktest"
)

// setVersion changes the entry of a server to one with a software version.
func (h *harness) setVersion(id, version string) {
	h.fold.Apply([]azurehitch.KeyedRecord{{Key: id, Value: []byte("a@" + version)}}, h.clock.Now())
}

// TestSoftwareVersion checks the placement of requests that are bound to a software version.
func TestSoftwareVersion(t *testing.T) {
	const requests = 6
	bound := func(r place.Request, version string) place.Request {
		r.SoftwareVersion = azurehitch.VersionBound{IsSet: true, Version: version}
		return r
	}
	for name, connect := range map[string]func(h *harness){
		"with a holder": func(h *harness) { h.withHolder() },
		"no holder":     func(h *harness) { h.placer.Holders = newHolderless(h.clock) },
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, azurehitch.SystemClock{}, "s1", "s2")
			connect(h)
			h.setVersion("s1", "v1")
			h.setVersion("s2", "v2")
			for i := range requests {
				choice, err := h.placer.Place(context.Background(), bound(modelRequest(h, i), "v2"))
				h.Assert(err, qt.IsNil)
				h.Assert(choice.Server.ID, qt.Equals, "s2")
				h.Assert(choice.SoftwareVersion, qt.Equals, "v2")
				choice.End()
			}
			h.assertRefused(bound(modelRequest(h, requests), "v3"))
		})
	}
	t.Run("plain service", func(t *testing.T) {
		h := newHarness(t, azurehitch.SystemClock{}, "s1", "s2")
		h.setVersion("s1", "v1")
		h.setVersion("s2", "v2")
		for i := range requests {
			h.assertPlacedOn(bound(plainRequest(i), "v1"), "s1")
		}
		h.assertRefused(bound(plainRequest(requests), "v3"))
	})
}

// TestServerThatMayHaveAnotherVersion guards against streams that go on at a server which has started again under its id
// with another version, while the list shows the one before.
func TestServerThatMayHaveAnotherVersion(t *testing.T) {
	const requests = 6
	bound := func(i int) place.Request {
		r := plainRequest(i)
		r.SoftwareVersion = azurehitch.VersionBound{IsSet: true, Version: "v1"}
		return r
	}
	clock := &steppedClock{now: time.Unix(1000, 0)}
	h := newHarness(t, clock, "s1", "s2")
	h.setVersion("s1", "v1")
	h.setVersion("s2", "v1")
	breakOff := func(id string) {
		for i := range requests {
			choice, err := h.placer.Place(context.Background(), plainRequest(i))
			h.Assert(err, qt.IsNil)
			if choice.Server.ID == id {
				choice.BrokeOff()
			}
			choice.End()
		}
	}
	placed := func() map[string]bool {
		servers := map[string]bool{}
		for i := range requests {
			choice, err := h.placer.Place(context.Background(), bound(i))
			h.Assert(err, qt.IsNil)
			servers[choice.Server.ID] = true
			choice.End()
		}
		return servers
	}
	both := map[string]bool{"s1": true, "s2": true}
	h.Assert(placed(), qt.DeepEquals, both)
	breakOff("s1")
	h.Assert(placed(), qt.DeepEquals, map[string]bool{"s2": true})
	breakOff("s2")
	h.Assert(placed(), qt.DeepEquals, both, qt.Commentf("all servers may have another version"))
	clock.now = clock.now.Add(3 * time.Second)
	breakOff("s2")
	h.Assert(placed(), qt.DeepEquals, map[string]bool{"s1": true})
}
