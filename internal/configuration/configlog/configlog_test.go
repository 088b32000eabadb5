package configlog_test

import (
	"fmt"
	"slices"
	"testing"

	"azurehitch/internal/configuration/configlog"
	"azurehitch/internal/configuration/tables"
	_ "azurehitch/internal/proof/fixedseed"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"
	"pgregory.net/rapid"
)

// pools returns the change of a pool named llm.
func pools(text string) []configlog.Change {
	return []configlog.Change{{Table: configlog.TablePools, Entry: configlog.Entry{Name: "llm", JSON: []byte(text)}}}
}

func publication(base int64, changes []configlog.Change, author string) configlog.Publication {
	return configlog.Publication{Changes: changes, Author: author}.WithBase(base)
}

func TestApply(t *testing.T) {
	c := qt.New(t)
	var state configlog.State
	state, err := state.Apply(3, publication(0, pools(`{"Name":"llm"}`), "ana"))
	c.Assert(err, qt.IsNil)
	c.Run("the loser learns who won", func(c *qt.C) {
		after, err := state.Apply(4, publication(0, nil, "ben"))
		var conflict *configlog.ErrConflict
		c.Assert(errors.As(err, &conflict), qt.IsTrue)
		c.Assert(*conflict, qt.Equals, configlog.ErrConflict{Base: 0, Current: 3, Author: "ana"})
		c.Assert(after, qt.DeepEquals, state)
	})
	c.Run("a damaged publication changes nothing", func(c *qt.C) {
		damaged := publication(3, pools(`{"Name":"llm"}`), "ben")
		damaged.Changes = pools(`{"Name":"other"}`)
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
			next, err := state.Apply(offset, publication(base, nil, "ana"))
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
	edit, err := s.Edit([]byte(`{}`), []byte(pools), "ana")
	c.Assert(err, qt.IsNil)
	next, verdict := s.Apply(offset, edit)
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

// TestEntries edits tables by drawn entries: the changes lead from the old tables to the
// new ones, and hold nothing that stayed as it was.
func TestEntries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		before, after := drawEntries(t, "before"), drawEntries(t, "after")
		changes := before.ChangesTo(after)
		got := before.With(changes)
		if fmt.Sprint(sorted(got.Callers), sorted(got.Routes), sorted(got.Pools)) != fmt.Sprint(sorted(after.Callers), sorted(after.Routes), sorted(after.Pools)) {
			t.Fatalf("the changes lead to %v and not to %v", got, after)
		}
		if again := got.ChangesTo(after); len(again) > 0 {
			t.Fatalf("%v is left to change", again)
		}
		parsed, err := configlog.ParseEntries(got.RouteTable(), got.PoolTable())
		if err != nil || len(got.ChangesTo(parsed))+len(parsed.ChangesTo(got)) > 0 {
			t.Fatalf("read back: %v, %v and not %v", err, parsed, got)
		}
	})
}

func sorted(entries []configlog.Entry) []string {
	var texts []string
	for _, entry := range entries {
		texts = append(texts, string(entry.JSON))
	}
	slices.Sort(texts)
	return texts
}

func drawEntries(t *rapid.T, label string) configlog.Entries {
	list := func(name string) []configlog.Entry {
		var entries []configlog.Entry
		for _, i := range rapid.SliceOfNDistinct(rapid.IntRange(0, 6), 0, 6, rapid.ID[int]).Draw(t, label+name) {
			limit := rapid.IntRange(0, 2).Draw(t, "limit")
			entries = append(entries, configlog.Entry{
				Name: fmt.Sprint(i), JSON: fmt.Appendf(nil, `{"Name":"%d","Limit":%d}`, i, limit),
			})
		}
		return entries
	}
	return configlog.Entries{Callers: list("callers"), Routes: list("routes"), Pools: list("pools")}
}
