package directory_test

import (
	"fmt"
	"testing"

	"azurehitch"
	"azurehitch/internal/account/directory"

	qt "github.com/frankban/quicktest"
)

// entries returns entries with the given names and keys, whose positions are those in the list.
func entries(list ...azurehitch.AccountEntry) []azurehitch.AccountEntry {
	for i := range list {
		list[i].Position = i
	}
	return list
}

func entry(name string, keys ...string) azurehitch.AccountEntry {
	e := azurehitch.AccountEntry{ClientAccount: azurehitch.ClientAccount{Name: name}}
	for _, key := range keys {
		e.Keys = append(e.Keys, azurehitch.HashKey([]byte(key)))
	}
	return e
}

// TestLookup guards against keys that open an account which the list doesn't give them.
func TestLookup(t *testing.T) {
	for _, test := range []struct {
		name    string
		entries []azurehitch.AccountEntry
		key     string
		account string
	}{
		{"one of several keys", entries(entry("a", "k1", "k2"), entry("b", "k3")), "k2", "a"},
		{"an unknown key", entries(entry("a", "k1")), "k", ""},
		{"no key", entries(entry("a", "k1")), "", ""},
		{"a key of two accounts", entries(entry("a", "k1"), entry("b", "k1")), "k1", ""},
		{"a key of two accounts and then of the first again", entries(entry("a", "k1"), entry("b", "k1"), entry("a", "k1")), "k1", ""},
		{"another key of such an account", entries(entry("a", "k1", "k2"), entry("b", "k1")), "k2", "a"},
		{"a key that an account without a name has too", entries(entry("a", "k1"), entry("", "k1")), "k1", ""},
		{"a key of two entries without names", entries(entry("", "k1"), entry("", "k1")), "k1", ""},
		{"an account without a name", entries(entry("", "k1")), "k1", ""},
		{"a key twice in an entry", entries(entry("a", "k1", "k1")), "k1", "a"},
		{"a key in two entries of the account", entries(entry("a", "k1"), entry("a", "k1", "k2")), "k1", "a"},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			account, ok := directory.New(test.entries).Lookup([]byte(test.key))
			c.Assert(ok, qt.Equals, test.account != "")
			c.Assert(account.Name, qt.Equals, test.account)
		})
	}
	t.Run("entries of one account that differ refuse its requests", func(t *testing.T) {
		c := qt.New(t)
		limited := entry("a", "k2")
		limited.Allowance.PerSecond = 5
		index := directory.New(entries(entry("a", "k1"), limited))
		account, ok := index.Lookup([]byte("k1"))
		c.Assert(ok, qt.IsTrue)
		c.Assert(account.Allowance.Invalid, qt.Not(qt.Equals), "")
		c.Assert(index.Faults(), qt.HasLen, 1)
	})
	t.Run("entries that grant nothing still require keys", func(t *testing.T) {
		c := qt.New(t)
		c.Assert(directory.New(entries(entry(""))).HasEntries(), qt.IsTrue)
		c.Assert(directory.New(nil).HasEntries(), qt.IsFalse)
	})
}

func thousandAccounts() *directory.Index {
	var list []azurehitch.AccountEntry
	for i := range 1000 {
		list = append(list, entry(fmt.Sprintf("account-%d", i), fmt.Sprintf("key-%032d", i), fmt.Sprintf("old-%032d", i)))
	}
	return directory.New(entries(list...))
}

// TestLookupAllocatesNothing guards against garbage for each request.
func TestLookupAllocatesNothing(t *testing.T) {
	index, key := thousandAccounts(), fmt.Appendf(nil, "key-%032d", 500)
	qt.New(t).Assert(testing.AllocsPerRun(100, func() { index.Lookup(key) }), qt.Equals, 0.0)
}

func BenchmarkLookup(b *testing.B) {
	index, key := thousandAccounts(), fmt.Appendf(nil, "key-%032d", 500)
	b.ReportAllocs()
	for b.Loop() {
		if _, ok := index.Lookup(key); !ok {
			b.Fatal("key not found")
		}
	}
}
