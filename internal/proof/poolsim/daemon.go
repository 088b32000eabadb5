package poolsim

import (
	"context"
	"fmt"
	"slices"
	"strings"

	"azurehitch"
	"azurehitch/internal/configuration/configlog"
	"azurehitch/internal/configuration/tables"
	"azurehitch/internal/lease/leaselog"
	"azurehitch/internal/lease/leaserunner"
	"azurehitch/internal/oplog/control"
	"azurehitch/internal/oplog/follow"
	"azurehitch/internal/placement/enginepool"
	"azurehitch/internal/standin/engine"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
)

// Daemon is the part of a daemon that claims pools and orders loads on engines.
type Daemon struct {
	Store  *control.Store
	Writer *control.Writer
	Set    *enginepool.Set
	Leases leaserunner.Runner
	// lifetime is cancelled when the daemon is killed.
	lifetime context.Context
	cancel   context.CancelFunc
	done     chan struct{}
}

// StartDaemon starts a daemon. Each start of the same name gets a new incarnation.
func (sim *Simulation) StartDaemon(name string) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.startCounts[name]++
	clock := azurehitch.SystemClock{}
	self := leaselog.Holder{Daemon: name, Incarnation: fmt.Sprint(sim.startCounts[name])}
	ctx, cancel := context.WithCancel(context.Background())
	store := control.NewStore(self, clock)
	if sim.IsOldRelease(name) {
		store = store.WithTableReader(readAsOldRelease)
	}
	d := &Daemon{Store: store, lifetime: ctx, cancel: cancel, done: make(chan struct{})}
	log := &faultyLog{sim: sim, daemon: name, ctx: ctx}
	d.Writer = control.NewWriter(log, Stream, d.Store, noopObserver{})
	d.Set = enginepool.NewSet(enginepool.Dependencies{
		Store: d.Store, Recorder: d.Writer, Clock: clock, Counters: noopObserver{},
		Engines: engine.Dialer{Caller: name, Engines: sim.Engines, Hooks: sim.hooks(ctx)},
		Hosts:   sim.Hosts,
		Slots:   newUnlimitedSlots(func(pool string) { d.Set.Wake(pool) }),
	})
	d.Leases = leaserunner.Runner{
		Store: d.Store, Writer: d.Writer, Clock: clock, Counters: noopObserver{},
		Environment: func() leaselog.Environment { return sim.environment(d.Store) },
	}
	sim.daemons[name] = d
	sim.run(ctx, d, log, name)
}

// IsOldRelease reports whether a daemon runs the older release, which can't read tables with a
// model whose name begins with NewReleaseModelPrefix.
func (sim *Simulation) IsOldRelease(daemon string) bool {
	return slices.Index(sim.Names(), daemon) >= sim.Options.Daemons-sim.Options.OldReleaseDaemons
}

// NewReleaseModelPrefix is the prefix of the names of models that only the newer release can read.
const NewReleaseModelPrefix = "novel-"

// readAsOldRelease reads tables, but fails if a model name begins with NewReleaseModelPrefix.
func readAsOldRelease(s configlog.State) (tables.Configuration, error) {
	configuration, err := s.Configuration()
	for _, pool := range configuration.Pools.Pools {
		for _, model := range pool.Models {
			if strings.HasPrefix(model.Name, NewReleaseModelPrefix) {
				return tables.Configuration{}, errors.Errorf("model %q needs a newer release", model.Name)
			}
		}
	}
	return configuration, err
}

func (sim *Simulation) run(ctx context.Context, d *Daemon, log azurehitch.Log, name string) {
	clock := azurehitch.SystemClock{}
	follower := follow.NewFollower(log, Stream, d.Store, clock, noopObserver{})
	snapshots := control.Snapshotter{
		Store: d.Store, Writer: d.Writer, Clock: clock, Records: sim.snapshotRecords(), Interval: snapshotInterval,
		Rank: func() int { return slices.Index(sim.Names(), name) }, OnAppended: func() {},
	}
	sim.group.Go(func() error {
		defer close(d.done)
		group, ctx := errgroup.WithContext(ctx)
		for _, loop := range []func(context.Context) error{follower.Run, d.Set.Run, d.Leases.Run, snapshots.Run} {
			group.Go(func() error { return loop(ctx) })
		}
		return group.Wait()
	})
}

func (sim *Simulation) snapshotRecords() int64 {
	const never = 1 << 40
	if sim.Options.SnapshotRecords == 0 {
		return never
	}
	return sim.Options.SnapshotRecords
}

func (sim *Simulation) environment(store *control.Store) leaselog.Environment {
	return leaselog.Environment{Pools: store.LeasedPools(), Daemons: sim.Names()}
}

// Daemon returns a running daemon, or nil if it was killed.
func (sim *Simulation) Daemon(name string) *Daemon {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return sim.daemons[name]
}

// acquire sends an acquire request to the daemon. If the daemon is killed meanwhile, it returns
// ErrNotHeld, as for a broken connection.
func (d *Daemon) acquire(ctx context.Context, request enginepool.Request) (enginepool.Grant, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(d.lifetime, cancel)
	defer stop()
	grant, err := d.Set.Acquire(ctx, request)
	if d.lifetime.Err() != nil {
		return enginepool.Grant{}, &enginepool.ErrNotHeld{Pool: request.Pool}
	}
	return grant, err
}

// Kill stops a daemon like a crash: it does not release its leases.
func (sim *Simulation) Kill(name string) {
	sim.mu.Lock()
	d := sim.daemons[name]
	delete(sim.daemons, name)
	delete(sim.faults, name)
	sim.mu.Unlock()
	if d != nil {
		d.cancel()
		<-d.done
	}
}
