//go:build !race

package points_test

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"azurehitch/internal/configuration/tables"
	"azurehitch/internal/proof/poolworld"
)

// withoutServer returns a table without one of its servers.
func withoutServer(pool tables.Pool, name string) tables.Pool {
	pool.BackendServers = slices.DeleteFunc(slices.Clone(pool.BackendServers), func(s tables.BackendServer) bool { return s.Name == name })
	return pool
}

// TestProveRemovedServer takes a server out of the table while it holds the only
// replica that operators allow and can't be reached. A later holder must not load
// another one; when the server is reached again, it is emptied first.
func TestProveRemovedServer(t *testing.T) {
	for _, ignoring := range []int{0, 3} {
		t.Run(fmt.Sprintf("%d engines ignore tokens", ignoring), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { removeServer(t, ignoring) })
		})
	}
	for _, seed := range seeds(10) {
		t.Run(fmt.Sprintf("tables change at random, seed %d", seed), func(t *testing.T) {
			options := chaosOptions(1)
			options.ChangeTables = true
			runChaos(t, seed, options)
		})
	}
}

func removeServer(t *testing.T, ignoring int) {
	w := poolworld.New(frozenOptions(ignoring))
	defer w.Stop()
	pool := w.Pool(leaseTime, oneModel())
	publish(t, w, pool)
	first := awaitHolder(t, w, "")
	grant := mustAcquire(t, w, first)
	for _, name := range w.Names() {
		w.SetFault(name, poolworld.Fault{EnginesCut: []string{grant.Servers[0].Name}})
	}
	publish(t, w, withoutServer(pool, grant.Servers[0].Name))
	w.Kill(first)
	w.StartDaemon(first)
	second := awaitHolder(t, w, first)
	askInBackground(w, sleeping)
	time.Sleep(20 * time.Second)
	assertOneReplica(t, w)
	for _, name := range w.Names() {
		w.SetFault(name, poolworld.Fault{})
	}
	if successor := mustAcquire(t, w, second); successor.Servers[0].Name == grant.Servers[0].Name {
		t.Errorf("%s was taken out of the table and is still used", successor.Servers[0].Name)
	}
	assertOneReplica(t, w)
	if retired := w.Daemon(second).Store.Published().Retired; len(retired) != 0 {
		t.Errorf("empty servers still count: %+v", retired)
	}
}

// changeTables publishes a table of the world without some of its servers.
func (c *chaos) changeTables() {
	pool := c.world.Pool(leaseTime, models()...)
	for i := range c.world.Options.Engines {
		if c.random.IntN(3) == 0 {
			pool = withoutServer(pool, poolworld.EngineName(i))
		}
	}
	daemon := poolworld.DaemonName(c.random.IntN(c.world.Options.Daemons))
	c.world.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), chaosTime)
		defer cancel()
		// It may lose against another publication, or meet a fault.
		_, _ = c.world.Publish(ctx, daemon, pool)
	})
}
