package configlog_test

import (
	"testing"

	"azurehitch/internal/configuration/configlog"
	_ "azurehitch/internal/proof/fixedseed"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"
	"pgregory.net/rapid"
)

func TestApply(t *testing.T) {
	c := qt.New(t)
	var state configlog.State
	state, err := state.Apply(3, configlog.NewPublication(0, []byte("r"), []byte("p"), "ana"))
	c.Assert(err, qt.IsNil)
	c.Run("the loser learns who won", func(c *qt.C) {
		after, err := state.Apply(4, configlog.NewPublication(0, nil, nil, "ben"))
		var conflict *configlog.ErrConflict
		c.Assert(errors.As(err, &conflict), qt.IsTrue)
		c.Assert(*conflict, qt.Equals, configlog.ErrConflict{Base: 0, Current: 3, Author: "ana"})
		c.Assert(after, qt.DeepEquals, state)
	})
	c.Run("a damaged publication changes nothing", func(c *qt.C) {
		damaged := configlog.NewPublication(3, []byte("r"), []byte("p"), "ben")
		damaged.Pools = []byte("q")
		_, err := state.Apply(5, damaged)
		var refused *configlog.ErrDamaged
		c.Assert(errors.As(err, &refused), qt.IsTrue)
	})
}

// TestNeverReverts publishes from any base in any order: the version in force
// only grows, and each accepted publication was edited from the one before it.
func TestNeverReverts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var state configlog.State
		for offset := int64(1); offset <= 40; offset++ {
			base := rapid.Int64Range(0, offset-1).Draw(t, "base")
			next, err := state.Apply(offset, configlog.NewPublication(base, nil, nil, "ana"))
			if err == nil && (base != state.Version || next.Version != offset) {
				t.Fatalf("publication from %d accepted over %d", base, state.Version)
			}
			if next.Version < state.Version {
				t.Fatalf("reverted from %d to %d", state.Version, next.Version)
			}
			state = next
		}
	})
}
