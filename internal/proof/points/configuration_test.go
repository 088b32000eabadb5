//go:build !race

package points_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"azurehitch/internal/configuration/configlog"
	"azurehitch/internal/proof/poolworld"

	"github.com/anishathalye/porcupine"
	"github.com/pkg/errors"
)

// publishing is one publication as its operator saw it.
type publishing struct {
	base int64
}

type published struct {
	// version is the version that came into force; 0 if it lost.
	version int64
	// unknown is true when the operator can't tell.
	unknown bool
}

// anyVersion is the state after a publication of which its operator doesn't know
// whether and under which version it came into force.
const anyVersion = int64(-1)

// configurationModel is a register with compare-and-set: a publication comes into
// force if and only if its base is the version in force.
var configurationModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{int64(0)} },
	Step: func(state, input, output any) []any {
		version, in, out := state.(int64), input.(publishing), output.(published)
		matches := in.base == version || version == anyVersion
		switch {
		case out.unknown && matches:
			return []any{version, anyVersion}
		case out.unknown:
			return []any{version}
		case out.version > 0 && matches:
			return []any{out.version}
		case out.version == 0 && (in.base != version || version == anyVersion):
			return []any{version}
		}
		return nil
	},
	Equal: func(a, b any) bool { return a == b },
}

// TestProveConfiguration lets operators race under faults. The history of their
// publications is that of a compare-and-set register; no daemon ever goes back to
// an earlier version, also across expired records; and each version is in force
// on each daemon that reaches the log within 3 s.
func TestProveConfiguration(t *testing.T) {
	for _, seed := range seeds(10) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runOperators(t, seed) })
		})
	}
}

type operators struct {
	world   *poolworld.World
	mu      sync.Mutex
	history []porcupine.Operation
	// known are the versions whose operator learned that they came into force.
	known map[int64]time.Time
	start time.Time
}

func runOperators(t *testing.T, seed uint64) {
	options := chaosOptions(0)
	options.Retention, options.SnapshotRecords = 40, 10
	w := poolworld.New(options)
	defer w.Stop()
	o := &operators{world: w, known: map[int64]time.Time{}, start: time.Now()}
	watcher := watchVersions(t, w)
	var group sync.WaitGroup
	for operator := range 3 {
		random := rand.New(rand.NewPCG(seed, uint64(operator)))
		group.Go(func() { o.operate(operator, random) })
	}
	c := &chaos{t: t, world: w, random: rand.New(rand.NewPCG(seed, 99)), until: time.Now().Add(30 * time.Second)}
	c.injectFaults()
	c.endFaults()
	group.Wait()
	assertInForce(t, w)
	watcher.stop()
	if !porcupine.CheckOperations(configurationModel.ToModel(), o.history) {
		t.Errorf("the history of %d publications is not that of one register", len(o.history))
	}
	if len(o.known) < 3 {
		t.Errorf("only %d publications came into force", len(o.known))
	}
}

func (o *operators) operate(operator int, random *rand.Rand) {
	for range 12 {
		daemon := poolworld.DaemonName(random.IntN(o.world.Options.Daemons))
		if d := o.world.Daemon(daemon); d != nil {
			o.publish(operator, daemon, d.Store.Published().Version)
		}
		time.Sleep(time.Duration(random.IntN(3000)) * time.Millisecond)
	}
}

func (o *operators) publish(operator int, daemon string, base int64) {
	called := time.Since(o.start)
	verdict, err := o.world.PublishFrom(context.Background(), daemon, base, o.world.Pool(leaseTime, oneModel()), fmt.Sprint(operator))
	returned := time.Since(o.start)
	out := published{}
	var conflict *configlog.ErrConflict
	switch {
	case err != nil:
		out.unknown = true
		// It may still come into force at any time.
		returned = time.Hour
	case verdict.Err == nil:
		out.version = verdict.Offset
	case !errors.As(verdict.Err, &conflict):
		out.unknown = true
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if out.version > 0 {
		o.known[out.version] = time.Now()
	}
	o.history = append(o.history, porcupine.Operation{
		ClientId: operator, Input: publishing{base: base}, Call: int64(called), Output: out, Return: int64(returned),
	})
}

// watcher looks at a world again and again until it is stopped.
type watcher struct {
	cancel context.CancelFunc
	done   sync.WaitGroup
}

func startWatcher(look func()) *watcher {
	ctx, cancel := context.WithCancel(context.Background())
	v := &watcher{cancel: cancel}
	v.done.Go(func() {
		for ctx.Err() == nil {
			look()
			time.Sleep(20 * time.Millisecond)
		}
	})
	return v
}

func (v *watcher) stop() {
	v.cancel()
	v.done.Wait()
}

// watchVersions checks that the version of no start of a daemon ever falls.
func watchVersions(t *testing.T, w *poolworld.World) *watcher {
	highest := map[*poolworld.Daemon]int64{}
	return startWatcher(func() {
		for _, name := range w.Names() {
			d := w.Daemon(name)
			if d == nil {
				continue
			}
			version := d.Store.Configuration().Version
			if version < highest[d] {
				t.Errorf("%s went back from version %d to %d", name, highest[d], version)
			}
			highest[d] = version
		}
	})
}

// assertInForce publishes with all faults over: 3 s later each daemon has the
// version in force.
func assertInForce(t *testing.T, w *poolworld.World) {
	t.Helper()
	const recovery, inForce = 10 * time.Second, 3 * time.Second
	time.Sleep(recovery)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	verdict, err := w.Publish(ctx, poolworld.DaemonName(0), w.Pool(leaseTime, oneModel()))
	if err != nil || verdict.Err != nil {
		t.Fatalf("publish with the faults over: %v, %v", err, verdict.Err)
	}
	time.Sleep(inForce)
	for _, name := range w.Names() {
		if version := w.Daemon(name).Store.Configuration().Version; version != verdict.Offset {
			t.Errorf("%s has version %d in force and not %d", name, version, verdict.Offset)
		}
	}
}
