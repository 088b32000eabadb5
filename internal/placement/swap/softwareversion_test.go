package swap_test

import (
	"testing"

	"azurehitch"
	"azurehitch/internal/placement/swap"

	qt "github.com/frankban/quicktest"
)

// addServerOf lists a server with a software version.
func (f *fixture) addServerOf(version, id string, loaded, onDisk []string) {
	f.Helper()
	f.addServer(id, loaded, onDisk)
	f.servers[len(f.servers)-1].SoftwareVersion = version
	f.plan.SetServers(f.servers)
}

// newBoundRequest returns a request for model m0 that is bound to a software version.
func (f *fixture) newBoundRequest(id, version string) swap.Request {
	request := f.newRequest(id, "m0")
	request.SoftwareVersion = azurehitch.VersionBound{IsSet: true, Version: version}
	return request
}

func TestSoftwareVersion(t *testing.T) {
	t.Run("a bound request gets a replica of its version", func(t *testing.T) {
		f := newFixture(t, 1)
		f.addServerOf("v1", "a", []string{"m0"}, nil)
		f.addServerOf("v2", "b", []string{"m0"}, nil)
		for range 3 {
			verdict := f.submit(f.newBoundRequest("r", "v2"))
			f.assertKind(verdict, swap.VerdictGranted)
			f.Assert(verdict.Grant.Server.ID, qt.Equals, "b")
			f.Assert(verdict.Grant.SoftwareVersion, qt.Equals, "v2")
		}
	})
	t.Run("its model is loaded at a server of its version", func(t *testing.T) {
		f := newFixture(t, 1)
		f.addServerOf("v1", "a", []string{"m0"}, []string{"m0"})
		f.addServerOf("v1", "b", nil, []string{"m0"})
		f.addServerOf("v2", "c", nil, []string{"m0"})
		f.assertKind(f.submit(f.newBoundRequest("r", "v2")), swap.VerdictWaiting)
		orders := f.decide()
		f.Assert(orders, qt.HasLen, 1)
		f.assertOrder(orders[0], azurehitch.OrderLoad, "c", "m0")
		f.complete(orders)
		f.assertKind(f.submit(f.newBoundRequest("r", "v2")), swap.VerdictGranted)
	})
	t.Run("no replica at all", func(t *testing.T) {
		f := newFixture(t, 1)
		f.addServerOf("v1", "a", nil, []string{"m0"})
		f.addServerOf("v2", "b", nil, []string{"m0"})
		f.assertKind(f.submit(f.newBoundRequest("r", "v2")), swap.VerdictWaiting)
		orders := f.decide()
		f.Assert(orders, qt.HasLen, 1)
		f.assertOrder(orders[0], azurehitch.OrderLoad, "b", "m0")
	})
	t.Run("it is refused at once without a server of its version", func(t *testing.T) {
		f := newFixture(t, 1)
		f.addServerOf("v1", "a", []string{"m0"}, nil)
		verdict := f.submit(f.newBoundRequest("r", "v2"))
		f.assertKind(verdict, swap.VerdictRefused)
		f.Assert(verdict.Estimate > 0, qt.IsTrue)
	})
	t.Run("other requests get any version", func(t *testing.T) {
		f := newFixture(t, 1)
		f.addServerOf("v1", "a", []string{"m0"}, nil)
		f.assertKind(f.submit(f.newRequest("r", "m0")), swap.VerdictGranted)
	})
}
