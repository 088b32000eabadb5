package configlog_test

import (
	"testing"

	"azurehitch/internal/configuration/configlog"
	"azurehitch/internal/configuration/tables"
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

const (
	twoServers = `{"Pools":[{"Name":"llm","Kind":"Models","BackendServers":[{"Name":"a","Address":"127.0.0.1:1"},{"Name":"b","Address":"127.0.0.1:2"}]}]}`
	oneServer  = `{"Pools":[{"Name":"llm","Kind":"Models","BackendServers":[{"Name":"a","Address":"127.0.0.1:1"}]}]}`
	moved      = `{"Pools":[{"Name":"llm","Kind":"Models","BackendServers":[{"Name":"a","Address":"127.0.0.1:1"},{"Name":"b","Address":"127.0.0.1:3"}]}]}`
)

// edited returns the state after new tables of pools.
func edited(c *qt.C, s configlog.State, offset int64, pools string) configlog.State {
	c.Helper()
	publication, err := s.Edit([]byte(`{}`), []byte(pools), "ana")
	c.Assert(err, qt.IsNil)
	next, verdict := s.Apply(offset, publication)
	c.Assert(verdict, qt.IsNil)
	return next
}

func TestRetired(t *testing.T) {
	c := qt.New(t)
	full := edited(c, configlog.State{}, 1, twoServers)
	c.Assert(full.Retired, qt.HasLen, 0)
	without := edited(c, full, 2, oneServer)
	key := configlog.RetiredKey{Pool: "llm", Server: "b"}
	c.Run("a server that is taken out is retired", func(c *qt.C) {
		c.Assert(without.Retired, qt.HasLen, 1)
		c.Assert(without.Retired[0].Key(), qt.Equals, key)
		c.Assert(without.Retired[0].Since, qt.Equals, int64(2))
		c.Assert(without.RetiredElsewhere("other"), qt.DeepEquals, map[string]bool{"b": true})
		c.Assert(without.RetiredElsewhere("llm"), qt.HasLen, 0)
	})
	c.Run("it stays so in later versions", func(c *qt.C) {
		c.Assert(edited(c, without, 3, oneServer).Retired, qt.DeepEquals, without.Retired)
	})
	c.Run("it ends when the server is empty", func(c *qt.C) {
		next, meant := without.Empty(configlog.Emptied{RetiredKey: key, Since: 2})
		c.Assert(meant, qt.IsTrue)
		c.Assert(next.Retired, qt.HasLen, 0)
		c.Assert(without.Retired, qt.HasLen, 1)
	})
	c.Run("a record about an earlier retirement does not count", func(c *qt.C) {
		again := edited(c, edited(c, without, 3, twoServers), 4, oneServer)
		c.Assert(again.Retired, qt.HasLen, 1)
		_, meant := again.Empty(configlog.Emptied{RetiredKey: key, Since: 2})
		c.Assert(meant, qt.IsFalse)
	})
	c.Run("a server keeps its address while it may hold replicas", func(c *qt.C) {
		for _, state := range []configlog.State{full, without} {
			_, err := state.Edit([]byte(`{}`), []byte(moved), "ana")
			var mistakes *tables.ErrTables
			c.Assert(errors.As(err, &mistakes), qt.IsTrue)
			c.Assert(mistakes.Mistakes[0].Place, qt.Equals, "Pools.Pools[0].BackendServers[1].Address")
		}
		emptied, _ := without.Empty(configlog.Emptied{RetiredKey: key, Since: 2})
		c.Assert(edited(c, emptied, 5, moved).Retired, qt.HasLen, 0)
	})
}
