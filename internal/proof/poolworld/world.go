// Package poolworld runs the holders of one pool against in-memory stand-ins, for
// proofs on a virtual clock. It has no network and no requests: it is the
// daemons' own code of log, lease and placement between small fakes.
//
// # Usage
//
//	synctest.Test(t, func(t *testing.T) {
//		w := poolworld.New(poolworld.Options{Daemons: 3, Engines: 3})
//		defer w.Stop()
//		w.Publish(pool)
//		err := w.Acquire(ctx, artifact)
//	})
package poolworld

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

// Stream is the control stream of a world.
const Stream = "control"

// PoolName is the pool of a world.
const PoolName = "language"

var errGone = errors.New("daemon is gone")

const (
	askInterval      = 50 * time.Millisecond
	remoteLoads      = 8
	snapshotInterval = time.Minute
)

// Options are the size of a world.
type Options struct {
	Daemons int
	Engines int
	// IgnoreToken is the number of engines, the last ones, that ignore tokens.
	IgnoreToken int
	// KeepToken makes the engines that check tokens keep them across restarts.
	KeepToken bool
	Memory    azurehitch.ByteSize
	LoadTime  time.Duration
	// Retention is the records that the log keeps; 0 keeps all.
	Retention int
	// OldReleases is the number of daemons, the last ones, whose release can't read
	// tables with a model whose name begins with NovelPrefix.
	OldReleases int
	// ChangeTables lets random runs take servers out of the table and put them back.
	ChangeTables bool
	// SnapshotRecords is after how many records a snapshot is appended.
	SnapshotRecords int64
}

// World is the daemons and stand-ins.
type World struct {
	Options Options
	Log     *platformlog.Log
	Ledger  *engine.Ledger
	Engines map[string]*engine.Engine
	Weights *weights.Store

	mu      sync.Mutex
	daemons map[string]*Daemon
	starts  map[string]int
	hosts   map[string]azurehitch.HostState
	faults  map[string]Fault
	group   errgroup.Group
}

// Fault is what is wrong around one daemon.
type Fault struct {
	// Frozen holds all its input and output back until the fault ends. What was
	// decided before then goes out after.
	Frozen bool
	// FreezeAtLoad freezes it between the decision on a load and the order.
	FreezeAtLoad bool
	// LogCut makes the log unreachable for it.
	LogCut bool
	// LogDelay slows its calls of the log.
	LogDelay time.Duration
	// LoseAppends loses the answers to its appends.
	LoseAppends bool
	// LoseOrders loses the answers to its orders.
	LoseOrders bool
	// EnginesCut are the engines that it can't reach.
	EnginesCut []string
}

// New starts a world without a configuration.
func New(options Options) *World {
	w := &World{
		Options: options,
		Log:     platformlog.New(platformlog.Options{Retention: options.Retention}),
		Ledger:  engine.NewLedger(),
		Engines: map[string]*engine.Engine{},
		daemons: map[string]*Daemon{},
		starts:  map[string]int{},
		hosts:   map[string]azurehitch.HostState{},
		faults:  map[string]Fault{},
	}
	w.Weights = weights.New(azurehitch.SystemClock{}, weights.Options{
		LoadsPerSecond: 1000, ConcurrentLoads: remoteLoads, LoadTime: options.LoadTime,
		ConcurrentAdapters: 30, AdapterLoadTime: 7 * time.Millisecond,
	})
	for i := range options.Engines {
		w.startEngine(EngineName(i), w.tokenCheck(i))
	}
	for i := range options.Daemons {
		w.StartDaemon(DaemonName(i))
	}
	return w
}

// EngineName returns the name, and the address, of an engine.
func EngineName(i int) string { return fmt.Sprintf("engine-%d", i+1) }

// DaemonName returns the name of a daemon.
func DaemonName(i int) string { return fmt.Sprintf("daemon-%d", i+1) }

func (w *World) startEngine(name string, check tables.TokenCheck) {
	w.Engines[name] = engine.New(azurehitch.SystemClock{}, w.Weights, engine.Options{
		Name: name, Memory: w.Options.Memory, ChecksToken: check != tables.TokenIgnored, KeepsToken: check == tables.TokenKept, Ledger: w.Ledger,
		MemoryLoadTime: w.Options.LoadTime / 10, DiskLoadTime: w.Options.LoadTime / 2,
	})
	w.hosts[name] = azurehitch.HostStateLive
}

// Names returns the names of all daemons.
func (w *World) Names() []string {
	names := make([]string, 0, w.Options.Daemons)
	for i := range w.Options.Daemons {
		names = append(names, DaemonName(i))
	}
	return names
}

// Hosts returns the listed states of the engines.
func (w *World) Hosts() map[string]azurehitch.HostState {
	w.mu.Lock()
	defer w.mu.Unlock()
	listed := map[string]azurehitch.HostState{}
	for name, state := range w.hosts {
		listed[name] = state
	}
	return listed
}

// SetFault replaces what is wrong around a daemon.
func (w *World) SetFault(daemon string, fault Fault) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults[daemon] = fault
}

func (w *World) fault(daemon string) Fault {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.faults[daemon]
}

// Go runs a function that Stop waits for.
func (w *World) Go(f func()) {
	w.group.Go(func() error {
		f()
		return nil
	})
}

// Stop ends all daemons.
func (w *World) Stop() {
	for _, name := range w.Names() {
		w.Kill(name)
	}
	// Daemons report nothing at their end.
	_ = w.group.Wait()
}

// Holder returns the daemon that the given daemon believes to hold the pool.
func (w *World) Holder(seenBy string) string {
	if d := w.Daemon(seenBy); d != nil {
		return d.Store.Lease(PoolName).Holder.Daemon
	}
	return ""
}

// Acquire asks daemons for an artifact until one grants it, one refuses it, or
// the context ends.
func (w *World) Acquire(ctx context.Context, asking string, artifact azurehitch.Artifact) (enginepool.Grant, error) {
	return w.AcquireFor(ctx, asking, artifact, 1)
}

// AcquireFor asks on behalf of a number of waiting requests.
func (w *World) AcquireFor(ctx context.Context, asking string, artifact azurehitch.Artifact, waiting int) (enginepool.Grant, error) {
	request := enginepool.Request{Pool: PoolName, Daemon: asking, Artifact: artifact, Demand: planner.Demand{Waiting: waiting}}
	for {
		for _, name := range w.Names() {
			d := w.Daemon(name)
			if d == nil || w.fault(name).Frozen {
				continue
			}
			grant, err := d.acquire(ctx, request)
			var elsewhere *enginepool.ErrNotHeld
			if !errors.As(err, &elsewhere) {
				return grant, err
			}
		}
		if err := (azurehitch.SystemClock{}).Sleep(ctx, askInterval); err != nil {
			return enginepool.Grant{}, err
		}
	}
}

// Trace describes the records that the log keeps of claims, and of the intents of
// one model or server.
func (w *World) Trace(about string) []string {
	batch, err := w.Log.Read(context.Background(), Stream, 1, 0)
	if err != nil {
		return []string{err.Error()}
	}
	var lines []string
	for _, raw := range batch.Records {
		record, err := control.Decode(raw.Payload)
		if err != nil {
			continue
		}
		by := record.Writer.Daemon + "/" + record.Writer.Incarnation
		switch {
		case record.Claim != nil:
			lines = append(lines, fmt.Sprintf("%d %s claim %+v", raw.Offset, by, *record.Claim))
		case record.Intent != nil && (record.Intent.Artifact.Model == about || record.Intent.Server == about):
			lines = append(lines, fmt.Sprintf("%d %s intent %+v", raw.Offset, by, *record.Intent))
		case record.Resolution != nil:
			lines = append(lines, fmt.Sprintf("%d %s resolution of %d", raw.Offset, by, record.Resolution.Intent))
		}
	}
	return lines
}
