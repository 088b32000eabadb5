//go:build !race

package points_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"azurehitch/internal/configuration/configlog"
	"azurehitch/internal/configuration/tables"
	"azurehitch/internal/proof/poolworld"

	"github.com/pkg/errors"
)

func novelModel() tables.Model {
	model := oneModel()
	model.Name = poolworld.NovelPrefix + "1"
	return model
}

// TestProveTwoReleases runs daemons of two releases, of which the older one can't
// read some of the tables that operators publish. At each offset of the log all have
// the same version in force, and only daemons that can read it hold pools.
func TestProveTwoReleases(t *testing.T) {
	for _, seed := range seeds(10) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runReleases(t, seed) })
		})
	}
}

func runReleases(t *testing.T, seed uint64) {
	options := chaosOptions(0)
	options.OldReleases = 1
	options.Retention, options.SnapshotRecords = 40, 10
	w := poolworld.New(options)
	defer w.Stop()
	verdicts := watchVerdicts(t, w)
	random := rand.New(rand.NewPCG(seed, 5))
	for range 20 {
		daemon := poolworld.DaemonName(random.IntN(options.Daemons))
		model := oneModel()
		if random.IntN(2) == 0 {
			model = novelModel()
		}
		publishAny(t, w, daemon, w.Pool(leaseTime, model))
		time.Sleep(time.Duration(random.IntN(3000)) * time.Millisecond)
	}
	publish(t, w, w.Pool(leaseTime, novelModel()))
	const handover = 10 * time.Second
	time.Sleep(handover)
	assertReadableHolder(t, w)
	publish(t, w, w.Pool(leaseTime, oneModel()))
	assertInForce(t, w)
	verdicts.stop()
}

// publishAny publishes through any daemon. One that can't read the tables in force
// says so and changes nothing.
func publishAny(t *testing.T, w *poolworld.World, daemon string, pool tables.Pool) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	before := w.Daemon(daemon).Store.IsUnreadable()
	_, err := w.Publish(ctx, daemon, pool)
	var unreadable *configlog.ErrUnreadable
	if err != nil && !(errors.As(err, &unreadable) && before) {
		t.Errorf("publish at %s: %v", daemon, err)
	}
}

func assertReadableHolder(t *testing.T, w *poolworld.World) {
	t.Helper()
	holder := w.Holder(poolworld.DaemonName(0))
	if holder == "" || w.IsOldRelease(holder) {
		t.Errorf("%q holds the pool, and can't read its table", holder)
	}
}

// watchVerdicts checks that all daemons have the same version in force at the same
// offset.
func watchVerdicts(t *testing.T, w *poolworld.World) *watcher {
	versions := map[int64]int64{}
	return startWatcher(func() {
		for _, name := range w.Names() {
			snapshot := w.Daemon(name).Store.Snapshot()
			version, known := versions[snapshot.FoldedTo]
			if known && version != snapshot.Configuration.Version {
				t.Errorf("at offset %d %s has version %d in force, and another daemon %d",
					snapshot.FoldedTo, name, snapshot.Configuration.Version, version)
			}
			versions[snapshot.FoldedTo] = snapshot.Configuration.Version
		}
	})
}
