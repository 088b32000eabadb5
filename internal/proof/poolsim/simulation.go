// Package poolsim runs the daemons of one pool against in-memory stand-ins of the log, the
// engines and the weight store, for tests on a virtual clock. The simulated
// daemons run the production code of log, lease and placement; there is no network and no request
// is forwarded. The holder is the daemon that holds the lease of the pool and orders loads.
//
// # Usage
//
//	synctest.Test(t, func(t *testing.T) {
//		sim := poolsim.New(poolsim.Options{Daemons: 3, Engines: 3})
//		defer sim.Stop()
//		_, err := sim.Publish(ctx, poolsim.DaemonName(0), sim.Pool(lease, model))
//		grant, err := sim.Acquire(ctx, "caller", artifact)
//	})
package poolsim

import (
	"context"
	"fmt"
	"sync"
	"time"

	"azurehitch"
	"azurehitch/internal/configuration/tables"
	"azurehitch/internal/oplog/control"
	"azurehitch/internal/placement/enginepool"
	"azurehitch/internal/placement/planner"
	"azurehitch/internal/standin/engine"
	"azurehitch/internal/standin/platformlog"
	"azurehitch/internal/standin/weights"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
)

// Stream is the name of the control stream in the log.
const Stream = "control"

// PoolName is the name of the only pool.
const PoolName = "language"

var errNotRunning = errors.New("daemon is not running")

const (
	acquireRetryInterval  = 50 * time.Millisecond
	concurrentRemoteLoads = 8
	snapshotInterval      = time.Minute
)

// Options set the size of a simulation and how its engines, daemons and log behave.
type Options struct {
	Daemons int
	Engines int
	// TokenIgnoringEngines is the number of engines that ignore fencing tokens: the engines with
	// the highest numbers.
	TokenIgnoringEngines int
	// KeepTokens makes the engines that check fencing tokens keep them across restarts.
	KeepTokens bool
	// Memory is the accelerator memory of each engine.
	Memory azurehitch.ByteSize
	// LoadTime is the duration of a load from the weight store. A load from memory takes a tenth of
	// this time, a load from disk half.
	LoadTime time.Duration
	// Retention is the number of records that the log keeps; 0 keeps all.
	Retention int
	// OldReleaseDaemons is the number of daemons that run the older release, which can't read
	// tables with a model whose name begins with NewReleaseModelPrefix: the daemons with the highest
	// numbers.
	OldReleaseDaemons int
	// ChangeTables lets random runs remove servers from the table and add them again.
	ChangeTables bool
	// SnapshotRecords is the number of records after which a daemon appends a snapshot to the log.
	// With 0, snapshots depend on snapshotInterval only.
	SnapshotRecords int64
}

// Simulation is a set of daemons and the stand-ins that they use.
type Simulation struct {
	Options Options
	Log     *platformlog.Log
	// Ledger is the record of the loads and unloads of all engines, for checks of limits.
	Ledger  *engine.Ledger
	Engines map[string]*engine.Engine
	Weights *weights.Store

	mu          sync.Mutex
	daemons     map[string]*Daemon
	startCounts map[string]int
	hosts       map[string]azurehitch.HostState
	faults      map[string]Fault
	group       errgroup.Group
}

// Fault holds the faults that are injected for one daemon at the same time.
type Fault struct {
	// Frozen blocks all input and output of the daemon until the fault ends, like the pause of a
	// process. Orders that the daemon decided on before the pause are sent after it.
	Frozen bool
	// FreezeBeforeLoad freezes the daemon after its next decision to load a model, before it sends
	// the order to the engine.
	FreezeBeforeLoad bool
	// LogUnreachable makes calls of the log fail.
	LogUnreachable bool
	// LogDelay is the delay of each call of the log.
	LogDelay time.Duration
	// LoseAppendAnswers makes appends take effect but return an error to the daemon.
	LoseAppendAnswers bool
	// LoseOrderAnswers makes orders to engines take effect but return an error to the daemon.
	LoseOrderAnswers bool
	// UnreachableEngines are the names of the engines that the daemon can't reach.
	UnreachableEngines []string
}

// New starts the daemons and engines of a simulation. No configuration is in force yet.
func New(options Options) *Simulation {
	sim := &Simulation{
		Options:     options,
		Log:         platformlog.New(platformlog.Options{Retention: options.Retention}),
		Ledger:      engine.NewLedger(),
		Engines:     map[string]*engine.Engine{},
		daemons:     map[string]*Daemon{},
		startCounts: map[string]int{},
		hosts:       map[string]azurehitch.HostState{},
		faults:      map[string]Fault{},
	}
	sim.Weights = weights.New(azurehitch.SystemClock{}, weights.Options{
		LoadsPerSecond: 1000, ConcurrentLoads: concurrentRemoteLoads, LoadTime: options.LoadTime,
		ConcurrentAdapters: 30, AdapterLoadTime: 7 * time.Millisecond,
	})
	for i := range options.Engines {
		sim.startEngine(EngineName(i), sim.tokenCheck(i))
	}
	for i := range options.Daemons {
		sim.StartDaemon(DaemonName(i))
	}
	return sim
}

// EngineName returns the name of an engine, which is also its address.
func EngineName(i int) string { return fmt.Sprintf("engine-%d", i+1) }

// DaemonName returns the name of a daemon.
func DaemonName(i int) string { return fmt.Sprintf("daemon-%d", i+1) }

func (sim *Simulation) startEngine(name string, check tables.TokenCheck) {
	sim.Engines[name] = engine.New(azurehitch.SystemClock{}, sim.Weights, engine.Options{
		Name: name, Memory: sim.Options.Memory, ChecksToken: check != tables.TokenIgnored, KeepsToken: check == tables.TokenKept, Ledger: sim.Ledger,
		MemoryLoadTime: sim.Options.LoadTime / 10, DiskLoadTime: sim.Options.LoadTime / 2,
	})
	sim.hosts[name] = azurehitch.HostStateLive
}

// Names returns the names of all daemons.
func (sim *Simulation) Names() []string {
	names := make([]string, 0, sim.Options.Daemons)
	for i := range sim.Options.Daemons {
		names = append(names, DaemonName(i))
	}
	return names
}

// Hosts returns the states of the engines in the list of hosts, by name.
func (sim *Simulation) Hosts() map[string]azurehitch.HostState {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	listed := map[string]azurehitch.HostState{}
	for name, state := range sim.hosts {
		listed[name] = state
	}
	return listed
}

// SetFault replaces the faults of a daemon.
func (sim *Simulation) SetFault(daemon string, fault Fault) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.faults[daemon] = fault
}

func (sim *Simulation) fault(daemon string) Fault {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return sim.faults[daemon]
}

// Go runs a function in the background. Stop waits for its end.
func (sim *Simulation) Go(f func()) {
	sim.group.Go(func() error {
		f()
		return nil
	})
}

// Stop kills all daemons and waits for the functions that were started with Simulation.Go.
func (sim *Simulation) Stop() {
	for _, name := range sim.Names() {
		sim.Kill(name)
	}
	// The loops of the daemons report no errors when they end.
	_ = sim.group.Wait()
}

// Holder returns the name of the pool's holder as the observing daemon knows it; empty if it knows
// none.
func (sim *Simulation) Holder(observer string) string {
	if d := sim.Daemon(observer); d != nil {
		return d.Store.Lease(PoolName).Holder.Daemon
	}
	return ""
}

// Acquire sends acquire requests for an artifact to all daemons in turn, until the holder grants or
// refuses it or the context ends. caller is the name of the requesting daemon.
func (sim *Simulation) Acquire(ctx context.Context, caller string, artifact azurehitch.Artifact) (enginepool.Grant, error) {
	return sim.AcquireFor(ctx, caller, artifact, 1)
}

// AcquireFor does the same as Acquire, and tells the holder how many requests wait for the
// artifact.
func (sim *Simulation) AcquireFor(ctx context.Context, caller string, artifact azurehitch.Artifact, waiting int) (enginepool.Grant, error) {
	request := enginepool.Request{Pool: PoolName, Daemon: caller, Artifact: artifact, Demand: planner.Demand{Waiting: waiting}}
	for {
		for _, name := range sim.Names() {
			d := sim.Daemon(name)
			if d == nil || sim.fault(name).Frozen {
				continue
			}
			grant, err := d.acquire(ctx, request)
			var notHeld *enginepool.ErrNotHeld
			if !errors.As(err, &notHeld) {
				return grant, err
			}
		}
		if err := (azurehitch.SystemClock{}).Sleep(ctx, acquireRetryInterval); err != nil {
			return enginepool.Grant{}, err
		}
	}
}

// Trace returns a line for each claim and resolution in the log, and for each intent that concerns
// the model or server named by subject. An intent is the record that precedes a load on an engine
// that ignores fencing tokens; a resolution closes it.
func (sim *Simulation) Trace(subject string) []string {
	batch, err := sim.Log.Read(context.Background(), Stream, 1, 0)
	if err != nil {
		return []string{err.Error()}
	}
	var lines []string
	for _, raw := range batch.Records {
		record, err := control.Decode(raw.Payload)
		if err != nil {
			continue
		}
		writer := record.Writer.Daemon + "/" + record.Writer.Incarnation
		switch {
		case record.Claim != nil:
			lines = append(lines, fmt.Sprintf("%d %s claim %+v", raw.Offset, writer, *record.Claim))
		case record.Intent != nil && (record.Intent.Artifact.Model == subject || record.Intent.Server == subject):
			lines = append(lines, fmt.Sprintf("%d %s intent %+v", raw.Offset, writer, *record.Intent))
		case record.Resolution != nil:
			lines = append(lines, fmt.Sprintf("%d %s resolution of %d", raw.Offset, writer, record.Resolution.Intent))
		}
	}
	return lines
}
