package leaselog_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"azurehitch/internal/lease/leaselog"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

const (
	// clusterTick is the time between two decisions of a daemon, and the time until all daemons have read a record.
	clusterTick = 100 * time.Millisecond
	// clusterLease is the duration of the leases.
	clusterLease = 4500 * time.Millisecond
)

// cluster simulates daemons that lose their connections to the servers of all pools, but not the log.
type cluster struct {
	*qt.C
	now      time.Time
	names    []string
	pools    []string
	managers map[string]*leaselog.Manager
	offset   int64
	// cut are the daemons that can't reach any server.
	cut map[string]bool
	// changes counts the claims that have moved a lease to another daemon, and claimsWhileCut the claims of daemons
	// that can't reach any server.
	changes        int
	claimsWhileCut int
}

// newCluster returns a cluster of daemons a, b and so on, whose pools have holders.
func newCluster(t testing.TB, daemons, pools int) *cluster {
	c := &cluster{C: qt.New(t), now: time.Unix(1000, 0), managers: map[string]*leaselog.Manager{}, cut: map[string]bool{}}
	for i := range daemons {
		c.names = append(c.names, string(rune('a'+i)))
	}
	for i := range pools {
		c.pools = append(c.pools, fmt.Sprint("pool-", i))
	}
	for _, name := range c.names {
		c.managers[name] = leaselog.NewManager(daemon(name), leaselog.NewFold(), c.now)
	}
	c.pass(10 * time.Second)
	c.changes = 0
	return c
}

func (c *cluster) environment(name string) leaselog.Environment {
	environment := leaselog.Environment{Daemons: c.names}
	for _, pool := range c.pools {
		environment.Pools = append(environment.Pools, leaselog.PoolSetting{Name: pool, Duration: clusterLease, Unreachable: c.cut[name]})
	}
	return environment
}

// pass lets time pass.
func (c *cluster) pass(d time.Duration) {
	for end := c.now.Add(d); c.now.Before(end); {
		for _, name := range c.names {
			for _, action := range c.managers[name].Decide(c.now, c.environment(name)) {
				c.append(name, action)
			}
		}
		c.now = c.now.Add(clusterTick)
	}
}

// append appends a record of a daemon to the log, and lets all daemons read it.
func (c *cluster) append(name string, action leaselog.Action) {
	c.offset++
	if action.Release != nil {
		c.managers[name].BeginRelease(action.Release.Pool)
	}
	if action.Claim != nil && c.cut[name] {
		c.claimsWhileCut++
	}
	c.managers[name].StoreSendTime(c.offset, c.now)
	isAccepted := false
	for _, reader := range c.names {
		switch m := c.managers[reader]; {
		case action.Claim != nil:
			isAccepted = m.OnClaim(c.offset, daemon(name), c.offset, *action.Claim, c.now)
		case action.Release != nil:
			m.OnRelease(c.offset, daemon(name), *action.Release, c.now)
		default:
			m.OnRenewal(c.offset, daemon(name), c.offset, c.now)
		}
	}
	if isAccepted {
		c.changes++
	}
}

// holder returns the daemon that holds a pool, or "" if none does.
func (c *cluster) holder(pool string) string {
	for _, name := range c.names {
		if c.managers[name].IsValid(pool, c.now) {
			return name
		}
	}
	return ""
}

// awaitHolders waits until all pools have holders, at most for some time: a lease may just be released for balance.
func (c *cluster) awaitHolders(atMost time.Duration) {
	isFree := func(pool string) bool { return c.holder(pool) == "" }
	for end := c.now.Add(atMost); c.now.Before(end) && slices.ContainsFunc(c.pools, isFree); {
		c.pass(clusterTick)
	}
}

// cutHolder cuts the holder of the first pool off from the servers.
func (c *cluster) cutHolder() string {
	name := c.holder(c.pools[0])
	c.Assert(name, qt.Not(qt.Equals), "")
	c.cut[name] = true
	return name
}

// assertHeldByReached checks that daemons which reach servers hold all pools.
func (c *cluster) assertHeldByReached() {
	c.Helper()
	for _, pool := range c.pools {
		name := c.holder(pool)
		c.Assert(name != "" && !c.cut[name], qt.IsTrue, qt.Commentf("%s is held by %q, cut are %v", pool, name, c.cut))
	}
	c.Assert(c.claimsWhileCut, qt.Equals, 0)
}

func TestHolderWithoutServersReleasesLease(t *testing.T) {
	t.Run("at once", func(t *testing.T) {
		c := newCluster(t, 3, 1)
		name := c.cutHolder()
		c.pass(2 * clusterTick)
		c.Assert(c.holder(c.pools[0]), qt.Not(qt.Equals), name)
	})
	t.Run("to a daemon that reaches servers", func(t *testing.T) {
		c := newCluster(t, 9, 2)
		for _, name := range c.names[:4] {
			c.cut[name] = true
		}
		c.cutHolder()
		c.pass(2 * time.Second)
		c.assertHeldByReached()
		c.pass(12 * time.Second)
		c.assertHeldByReached()
		c.Assert(c.changes <= 2, qt.IsTrue, qt.Commentf("%d changes", c.changes))
	})
	t.Run("and does not claim it right after the cut", func(t *testing.T) {
		c := newCluster(t, 1, 1)
		c.cutHolder()
		c.pass(5 * time.Second)
		c.cut = map[string]bool{}
		c.pass(500 * time.Millisecond)
		c.Assert(c.holder(c.pools[0]), qt.Equals, "")
		c.pass(2 * time.Second)
		c.assertHeldByReached()
	})
}

func TestLeasesDoNotFlap(t *testing.T) {
	t.Run("all daemons are cut off", func(t *testing.T) {
		c := newCluster(t, 9, 2)
		for _, name := range c.names {
			c.cut[name] = true
		}
		c.pass(12 * time.Second)
		c.Assert(c.changes, qt.Equals, 0)
		c.cut = map[string]bool{}
		c.pass(5 * time.Second)
		c.assertHeldByReached()
		c.Assert(c.changes <= 2*len(c.pools), qt.IsTrue, qt.Commentf("%d changes", c.changes))
	})
	t.Run("a daemon is cut off again and again", func(t *testing.T) {
		c := newCluster(t, 3, 1)
		name := c.cutHolder()
		for range 10 {
			c.cut[name] = true
			c.pass(time.Second)
			c.cut[name] = false
			c.pass(700 * time.Millisecond)
		}
		c.assertHeldByReached()
		c.Assert(c.changes, qt.Equals, 1)
	})
	t.Run("the daemons that reach servers hold more than their share", func(t *testing.T) {
		c := newCluster(t, 4, 4)
		for _, name := range c.names[1:] {
			c.cut[name] = true
		}
		c.pass(20 * time.Second)
		c.assertHeldByReached()
		c.Assert(c.changes <= 8, qt.IsTrue, qt.Commentf("%d changes", c.changes))
	})
}

// TestProveReachedHolder checks that pools have holders which reach servers, whatever daemons are cut off and when, and
// that leases move at most a few times for each cut.
func TestProveReachedHolder(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		c := newCluster(t, rapid.IntRange(2, 9).Draw(r, "daemons"), rapid.IntRange(1, 2).Draw(r, "pools"))
		cuts := 0
		for range rapid.IntRange(1, 6).Draw(r, "times") {
			c.cut = map[string]bool{}
			for _, name := range c.names {
				c.cut[name] = rapid.Bool().Draw(r, name)
			}
			cuts++
			c.pass(time.Duration(rapid.IntRange(1, 120).Draw(r, "ticks")) * clusterTick)
			if c.claimsWhileCut > 0 {
				r.Fatalf("a daemon that reaches no server claims a pool")
			}
		}
		if most := 3 * cuts * len(c.pools); c.changes > most {
			r.Fatalf("%d changes of holders after %d cuts", c.changes, cuts)
		}
		c.pass(8 * time.Second)
		c.awaitHolders(2 * time.Second)
		for _, pool := range c.pools {
			name := c.holder(pool)
			if isAnyReached := slices.ContainsFunc(c.names, func(name string) bool { return !c.cut[name] }); isAnyReached && (name == "" || c.cut[name]) {
				r.Fatalf("%s is held by %q, cut are %v", pool, name, c.cut)
			}
		}
	})
}
