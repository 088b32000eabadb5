package swap_test

import (
	"testing"

	"azurehitch/internal/placement/swap"

	qt "github.com/frankban/quicktest"
)

func TestRefusedAdapterOrderIsRepeatedAtSameServer(t *testing.T) {
	f := newFixture(t, 1)
	f.addServer("s1", []string{"m0"}, nil)
	f.addServer("s2", []string{"m0"}, nil)
	f.submit(f.newAdapterRequest("r", "m0", "a1"))
	first := f.decide()
	f.Assert(first, qt.HasLen, 1)
	f.plan.Finish(first[0], swap.OutcomeRefused, f.now)
	second := f.decide()
	f.Assert(second, qt.HasLen, 1)
	f.Assert(second[0].Adapter, qt.Equals, "a1")
	f.Assert(second[0].Server.ID, qt.Not(qt.Equals), first[0].Server.ID)
}
