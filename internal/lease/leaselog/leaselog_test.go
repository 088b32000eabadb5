package leaselog_test

import (
	"testing"
	"time"

	"azurehitch/internal/lease/leaselog"
	_ "azurehitch/internal/proof/fixedseed"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

const duration = 10 * time.Second

func daemon(name string) leaselog.Holder { return leaselog.Holder{Daemon: name, Incarnation: "1"} }

func claim(seen int64) leaselog.Claim {
	return leaselog.Claim{Pool: "llm", Seen: seen, Duration: duration}
}

func TestFold(t *testing.T) {
	c := qt.New(t)
	a, b := daemon("a"), daemon("b")
	c.Run("the first claim of two wins", func(c *qt.C) {
		f := leaselog.NewFold()
		c.Assert(f.Claim(1, a, claim(0)), qt.IsTrue)
		c.Assert(f.Claim(2, b, claim(0)), qt.IsFalse)
		c.Assert(f.Lease("llm").Holder, qt.Equals, a)
		c.Assert(f.Lease("llm").Token, qt.Equals, int64(1))
	})
	c.Run("a renewal defeats a claim that did not see it", func(c *qt.C) {
		f := leaselog.NewFold()
		f.Claim(1, a, claim(0))
		f.Renew(2, a)
		c.Assert(f.Claim(3, b, claim(1)), qt.IsFalse)
		c.Assert(f.Claim(4, b, claim(2)), qt.IsTrue)
		c.Assert(f.Lease("llm").Token, qt.Equals, int64(4))
	})
	c.Run("a renewal after the takeover changes nothing", func(c *qt.C) {
		f := leaselog.NewFold()
		f.Claim(1, a, claim(0))
		f.Claim(2, b, claim(1))
		c.Assert(f.Renew(3, a), qt.HasLen, 0)
		c.Assert(f.Lease("llm").Last, qt.Equals, int64(2))
	})
	c.Run("an earlier incarnation can't renew or release", func(c *qt.C) {
		f := leaselog.NewFold()
		f.Claim(1, a, claim(0))
		later := leaselog.Holder{Daemon: "a", Incarnation: "2"}
		c.Assert(f.Renew(2, later), qt.HasLen, 0)
		c.Assert(f.Release(3, later, leaselog.Release{Pool: "llm", Token: 1}), qt.IsFalse)
	})
	c.Run("an intent with an old token is refused", func(c *qt.C) {
		f := leaselog.NewFold()
		f.Claim(1, a, claim(0))
		c.Assert(f.Intend(2, a, leaselog.Intent{Pool: "llm", Token: 1}), qt.IsTrue)
		f.Claim(3, b, claim(1))
		c.Assert(f.Intend(4, a, leaselog.Intent{Pool: "llm", Token: 1}), qt.IsFalse)
		c.Assert(f.PoolIntents("llm"), qt.HasLen, 1)
		c.Assert(f.Resolve(leaselog.Resolution{Pool: "llm", Intent: 2}), qt.IsTrue)
		c.Assert(f.PoolIntents("llm"), qt.HasLen, 0)
	})
}

// TestProveSingleHolder lets holders and claimers run on clocks that start at different
// times and see the log with any delay. At no moment do two daemons hold valid
// leases of the same pool.
func TestProveSingleHolder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newLeaseWorld([]string{"a", "b", "c"})
		t.Repeat(map[string]func(*rapid.T){
			"pass": func(t *rapid.T) {
				w.now = w.now.Add(time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond)
			},
			"read": func(t *rapid.T) { w.read(rapid.SampledFrom(w.names).Draw(t, "reader")) },
			"decide": func(t *rapid.T) {
				w.decide(rapid.SampledFrom(w.names).Draw(t, "daemon"))
			},
			"deliver": func(t *rapid.T) {
				if len(w.sent) > 0 {
					w.deliver(rapid.IntRange(0, len(w.sent)-1).Draw(t, "message"))
				}
			},
			"": func(t *rapid.T) {
				if valid := w.valid(); len(valid) > 1 {
					t.Fatalf("%v hold the pool at once", valid)
				}
			},
		})
	})
}

type leaseRecord struct {
	holder   leaselog.Holder
	sequence int64
	action   leaselog.Action
}

// leaseWorld is a log and daemons that read it at any time. Records that were
// sent reach the log late and in any order, or never.
type leaseWorld struct {
	now      time.Time
	names    []string
	managers map[string]*leaselog.Manager
	readTo   map[string]int
	log      []leaseRecord
	sent     []leaseRecord
	sequence int64
}

func newLeaseWorld(names []string) *leaseWorld {
	w := &leaseWorld{now: time.Unix(1000, 0), names: names, managers: map[string]*leaselog.Manager{}, readTo: map[string]int{}}
	for _, name := range names {
		w.managers[name] = leaselog.NewManager(daemon(name), leaselog.NewFold(), w.now)
	}
	return w
}

func (w *leaseWorld) decide(name string) {
	environment := leaselog.Environment{Pools: []leaselog.PoolSetting{{Name: "llm", Duration: duration}}, Daemons: w.names}
	for _, action := range w.managers[name].Decide(w.now, environment) {
		w.sequence++
		w.managers[name].Sending(w.sequence, w.now)
		w.sent = append(w.sent, leaseRecord{holder: daemon(name), sequence: w.sequence, action: action})
	}
}

func (w *leaseWorld) deliver(i int) {
	w.log = append(w.log, w.sent[i])
	w.sent = append(w.sent[:i], w.sent[i+1:]...)
}

func (w *leaseWorld) read(name string) {
	m := w.managers[name]
	for ; w.readTo[name] < len(w.log); w.readTo[name]++ {
		r := w.log[w.readTo[name]]
		offset := int64(w.readTo[name] + 1)
		if r.action.Claim != nil {
			m.OnClaim(offset, r.holder, r.sequence, *r.action.Claim, w.now)
			continue
		}
		m.OnRenewal(offset, r.holder, r.sequence, w.now)
	}
}

func (w *leaseWorld) valid() []string {
	var valid []string
	for _, name := range w.names {
		if w.managers[name].IsValid("llm", w.now) {
			valid = append(valid, name)
		}
	}
	return valid
}

func TestRank(t *testing.T) {
	c := qt.New(t)
	daemons := []string{"a", "b", "c", "d"}
	c.Run("all daemons come to the same order", func(c *qt.C) {
		load := leaselog.Load{Held: map[string]int{}, Pools: 8}
		c.Assert(leaselog.Rank("llm", []string{"d", "c", "b", "a"}, load), qt.DeepEquals, leaselog.Rank("llm", daemons, load))
	})
	c.Run("a full daemon comes last", func(c *qt.C) {
		first := leaselog.Rank("llm", daemons, leaselog.Load{Held: map[string]int{}, Pools: 8})[0]
		load := leaselog.Load{Held: map[string]int{first: 3}, Pools: 8}
		c.Assert(leaselog.Rank("llm", daemons, load)[3], qt.Equals, first)
	})
}

// TestStrongHosts asks for the claims of daemons on hosts that differ in strength.
func TestStrongHosts(t *testing.T) {
	environment := leaselog.Environment{
		Pools: []leaselog.PoolSetting{{Name: "llm", Duration: duration}}, Daemons: []string{"a", "b", "c", "d"}, Strong: []string{"b", "d"},
	}
	// claimsAfter is how long a daemon waits with its claim of a pool that nobody has held.
	claimsAfter := func(name string, environment leaselog.Environment) time.Duration {
		now := time.Unix(1000, 0)
		manager := leaselog.NewManager(daemon(name), leaselog.NewFold(), now)
		const step, most = 50 * time.Millisecond, 10 * time.Second
		for waited := time.Duration(0); waited < most; waited += step {
			if len(manager.Decide(now.Add(waited), environment)) > 0 {
				return waited
			}
		}
		return most
	}
	t.Run("strong hosts go first", func(t *testing.T) {
		c := qt.New(t)
		for _, strong := range environment.Strong {
			for _, weak := range []string{"a", "c"} {
				c.Check(claimsAfter(weak, environment)-claimsAfter(strong, environment) >= time.Second, qt.IsTrue)
			}
		}
	})
	t.Run("no two claim at the same time", func(t *testing.T) {
		c := qt.New(t)
		at := map[time.Duration]bool{}
		for _, name := range environment.Daemons {
			at[claimsAfter(name, environment)] = true
		}
		c.Assert(at, qt.HasLen, len(environment.Daemons))
	})
	t.Run("nobody claims a new pool while daemons announce themselves", func(t *testing.T) {
		c := qt.New(t)
		gathering := environment
		gathering.Gathering = true
		c.Assert(claimsAfter("b", gathering), qt.Equals, 10*time.Second)
	})
}

// TestRebalance gives one daemon all pools, as when it started first.
func TestRebalance(t *testing.T) {
	c := qt.New(t)
	const pools = 9
	environment := leaselog.Environment{Daemons: []string{"a", "b", "c"}}
	fold := leaselog.NewFold()
	for i := range pools {
		name := string(rune('p' + i))
		environment.Pools = append(environment.Pools, leaselog.PoolSetting{Name: name, Duration: duration})
		fold.Claim(int64(i+1), daemon("a"), leaselog.Claim{Pool: name, Duration: duration})
	}
	now := time.Unix(1000, 0)
	m := leaselog.NewManager(daemon("a"), fold, now)
	m.Decide(now, leaselog.Environment{Daemons: []string{"a"}, Pools: environment.Pools})
	offset, released := int64(pools), 0
	for range 60 {
		now = now.Add(time.Second)
		for _, action := range m.Decide(now, environment) {
			if action.Release == nil {
				continue
			}
			released++
			offset++
			c.Assert(m.OnRelease(offset, daemon("a"), *action.Release, now), qt.IsTrue)
			offset++
			claimed := leaselog.Claim{Pool: action.Release.Pool, Seen: offset - 1, Duration: duration}
			c.Assert(m.OnClaim(offset, daemon("b"), offset, claimed, now), qt.IsTrue)
		}
	}
	// The share of 9 pools among 3 daemons is 3, bounded at 4.
	c.Assert(released, qt.Equals, pools-4)
}

// TestUnneededPool drops a pool from the table while this daemon holds it.
func TestUnneededPool(t *testing.T) {
	c := qt.New(t)
	fold := leaselog.NewFold()
	fold.Claim(7, daemon("a"), leaselog.Claim{Pool: "llm", Duration: duration})
	now := time.Unix(1000, 0)
	m := leaselog.NewManager(daemon("a"), fold, now)
	environment := leaselog.Environment{Daemons: []string{"a"}}
	released := leaselog.Action{Release: &leaselog.Release{Pool: "llm", Token: 7}}
	c.Assert(m.Decide(now, environment), qt.DeepEquals, []leaselog.Action{{Renew: true}, released})
	c.Assert(m.Decide(now, environment), qt.HasLen, 0)
	c.Assert(m.OnRelease(8, daemon("a"), *released.Release, now), qt.IsTrue)
	c.Assert(m.Decide(now.Add(time.Hour), environment), qt.HasLen, 0)
}

// TestSuccession answers daemons that start anew while a lease of their earlier process
// runs.
func TestSuccession(t *testing.T) {
	for _, test := range []struct {
		name     string
		succeeds bool
		earlier  string
		claims   bool
	}{
		{"its own, which has ended for certain", true, "a", true},
		{"its own, which may still run", false, "a", false},
		{"that of another daemon", true, "b", false},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			now := time.Unix(1000, 0)
			fold := leaselog.NewFold()
			c.Assert(fold.Claim(1, daemon(test.earlier), claim(0)), qt.IsTrue)
			manager := leaselog.NewManager(leaselog.Holder{Daemon: "a", Incarnation: "2"}, fold, now)
			environment := leaselog.Environment{
				Pools:   []leaselog.PoolSetting{{Name: "llm", Duration: duration}},
				Daemons: []string{"a", "b"}, Succeeds: test.succeeds,
			}
			actions := manager.Decide(now, environment)
			c.Assert(len(actions) == 1 && actions[0].Claim != nil, qt.Equals, test.claims)
			c.Assert(manager.Decide(now, environment), qt.HasLen, 0, qt.Commentf("one claim at a time"))
		})
	}
}

// TestTurns answers daemons that would hold a pool by turns, before servers that don't check tokens:
// orders of one must not come on both sides of those of another within a span.
func TestTurns(t *testing.T) {
	const span = 3 * time.Second
	began := time.Unix(1000, 0)
	environment := leaselog.Environment{
		Pools: []leaselog.PoolSetting{{Name: "llm", Duration: duration}}, Daemons: []string{"a"}, TurnSpan: span,
	}
	claims := func(m *leaselog.Manager, at time.Time) bool {
		actions := m.Decide(at, environment)
		return len(actions) > 0 && actions[len(actions)-1].Claim != nil
	}
	// held returns the manager of a daemon that held the pool, and lost it to one that gave it back.
	held := func(c *qt.C) (*leaselog.Manager, time.Time) {
		m := leaselog.NewManager(daemon("a"), leaselog.NewFold(), began.Add(-time.Hour))
		m.Sending(1, began)
		c.Assert(m.OnClaim(1, daemon("a"), 1, claim(0), began), qt.IsTrue)
		c.Assert(m.IsValid("llm", began), qt.IsTrue)
		c.Assert(m.OnRelease(2, daemon("a"), leaselog.Release{Pool: "llm", Token: 1}, began), qt.IsTrue)
		c.Assert(m.OnClaim(3, daemon("b"), 1, claim(2), began), qt.IsTrue)
		c.Assert(m.OnRelease(4, daemon("b"), leaselog.Release{Pool: "llm", Token: 3}, began), qt.IsTrue)
		return m, began
	}
	t.Run("one that held it before waits", func(t *testing.T) {
		c := qt.New(t)
		m, at := held(c)
		c.Assert(claims(m, at.Add(span-time.Millisecond)), qt.IsFalse)
		c.Assert(claims(m, at.Add(span+time.Second)), qt.IsTrue)
	})
	t.Run("not where servers check tokens", func(t *testing.T) {
		c := qt.New(t)
		m, at := held(c)
		checked := environment
		checked.TurnSpan = 0
		actions := m.Decide(at.Add(time.Second), checked)
		c.Assert(actions, qt.HasLen, 1)
		c.Assert(actions[0].Claim, qt.IsNotNil)
	})
	t.Run("a process that has just started doesn't know what its last one ordered", func(t *testing.T) {
		c := qt.New(t)
		fold := leaselog.NewFold()
		c.Assert(fold.Claim(3, daemon("b"), claim(0)), qt.IsTrue)
		c.Assert(fold.Release(4, daemon("b"), leaselog.Release{Pool: "llm", Token: 3}), qt.IsTrue)
		m := leaselog.NewManager(daemon("a"), fold, began)
		c.Assert(claims(m, began.Add(span-time.Millisecond)), qt.IsFalse)
		c.Assert(claims(m, began.Add(span+time.Second)), qt.IsTrue)
	})
	t.Run("a pool that nobody has held is claimed at once", func(t *testing.T) {
		c := qt.New(t)
		m := leaselog.NewManager(daemon("a"), leaselog.NewFold(), began)
		c.Assert(claims(m, began.Add(time.Second)), qt.IsTrue)
	})
}

// TestYield answers a daemon that gives a pool back: it orders nothing from then on, also while the
// release is on its way, or lost.
func TestYield(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	m := leaselog.NewManager(daemon("a"), leaselog.NewFold(), now)
	m.Sending(1, now)
	c.Assert(m.OnClaim(1, daemon("a"), 1, claim(0), now), qt.IsTrue)
	c.Assert(m.IsValid("llm", now), qt.IsTrue)
	m.Yield("llm")
	c.Assert(m.IsValid("llm", now), qt.IsFalse)
	m.Sending(2, now)
	m.OnRenewal(2, daemon("a"), 2, now)
	c.Assert(m.IsValid("llm", now), qt.IsFalse, qt.Commentf("a renewal was on its way"))
	c.Assert(m.OnRelease(3, daemon("a"), leaselog.Release{Pool: "llm", Token: 1}, now), qt.IsTrue)
	m.Sending(4, now)
	c.Assert(m.OnClaim(4, daemon("a"), 4, claim(3), now), qt.IsTrue)
	c.Assert(m.IsValid("llm", now), qt.IsTrue, qt.Commentf("claimed anew"))
}

// TestYieldAgain answers a release that did not arrive: it is due again, since the daemon orders
// nothing in the pool and nobody else may.
func TestYieldAgain(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	m := leaselog.NewManager(daemon("a"), leaselog.NewFold(), now)
	m.Sending(1, now)
	c.Assert(m.OnClaim(1, daemon("a"), 1, claim(0), now), qt.IsTrue)
	environment := leaselog.Environment{Pools: []leaselog.PoolSetting{{Name: "llm", Duration: duration}}, Daemons: []string{"a", "b"}}
	releases := func(at time.Time) int {
		count := 0
		for _, action := range m.Decide(at, environment) {
			if action.Release != nil {
				count++
			}
		}
		return count
	}
	c.Assert(releases(now), qt.Equals, 0)
	m.Yield("llm")
	c.Assert(releases(now.Add(2*time.Second)), qt.Equals, 1)
	c.Assert(releases(now.Add(2*time.Second)), qt.Equals, 0, qt.Commentf("one at a time"))
	c.Assert(releases(now.Add(4*time.Second)), qt.Equals, 1)
}
