//go:build !race

package points_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"azurehitch"
	"azurehitch/internal/placement/loadslots"
	"azurehitch/internal/standin/weights"

	"golang.org/x/sync/errgroup"
)

const (
	slotDaemons     = 8
	loadsPerDaemon  = 6
	slotLoadTime    = time.Second
	slotConcurrent  = 4
	adaptersAtOnce  = 30
	adapterLoadTime = 7 * time.Millisecond
)

// slotWorld is daemons that load from one weight store, of which one schedules.
type slotWorld struct {
	store     *weights.Store
	scheduler atomic.Int64
	// cut is true while no daemon reaches the scheduler.
	cut     atomic.Bool
	servers []*loadslots.Server
	daemons []*slotDaemon
}

// slotDaemon is one daemon with loads that it wants.
type slotDaemon struct {
	world  *slotWorld
	name   string
	client *loadslots.Client
	woken  chan struct{}
	alone  atomic.Int64

	mu    sync.Mutex
	wants []loadslots.Want
	// ended is when each load had ended.
	ended map[loadslots.Key]time.Time
}

// Exchange implements loadslots.Exchanger.
func (d *slotDaemon) Exchange(ctx context.Context, report loadslots.Report) (loadslots.Answer, error) {
	scheduler := int(d.world.scheduler.Load())
	if scheduler < 0 || d.world.cut.Load() {
		return loadslots.Answer{}, loadslots.ErrNotScheduler
	}
	return d.world.servers[scheduler].Exchange(ctx, d.name, report)
}

// LoadScheduled implements loadslots.Observer.
func (d *slotDaemon) LoadScheduled(alone bool) {
	if alone {
		d.alone.Add(1)
	}
}

// run loads what is granted, as the runner of a pool does.
func (d *slotDaemon) run(ctx context.Context, group *errgroup.Group) error {
	for ctx.Err() == nil {
		d.mu.Lock()
		granted := d.client.Granted(d.name)
		var left []loadslots.Want
		for _, want := range d.wants {
			if !granted[want.Artifact] {
				left = append(left, want)
				continue
			}
			d.client.Begin(d.name, want.Artifact)
			group.Go(func() error { return d.load(ctx, want.Key) })
		}
		d.wants = left
		d.client.Want(d.name, left)
		d.mu.Unlock()
		select {
		case <-d.woken:
		case <-ctx.Done():
		}
	}
	return nil
}

func (d *slotDaemon) load(ctx context.Context, key loadslots.Key) error {
	// Only the end of the run ends a load early.
	_ = d.world.store.Load(ctx, key.Artifact)
	d.client.End(d.name, key.Artifact)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ended[key] = time.Now()
	return nil
}

func (d *slotDaemon) want(class loadslots.Class, artifacts ...azurehitch.Artifact) {
	d.mu.Lock()
	for _, artifact := range artifacts {
		d.wants = append(d.wants, loadslots.Want{
			Key: loadslots.Key{Pool: d.name, Artifact: artifact}, Class: class, Since: time.Now(),
		})
	}
	d.mu.Unlock()
	d.woken <- struct{}{}
}

func (d *slotDaemon) left() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.wants)
}

// withSlotWorld runs daemons until a function returns.
func withSlotWorld(t *testing.T, run func(t *testing.T, w *slotWorld)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		clock := azurehitch.SystemClock{}
		w := &slotWorld{store: weights.New(clock, weights.Options{
			LoadsPerSecond: 7, ConcurrentLoads: slotConcurrent, LoadTime: slotLoadTime,
			ConcurrentAdapters: adaptersAtOnce, AdapterLoadTime: adapterLoadTime,
		})}
		limits, err := w.store.Limits(context.Background())
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(context.Background())
		var group errgroup.Group
		for i := range slotDaemons {
			w.add(i, clock, loadslots.NewLimits(limits))
			group.Go(func() error { return w.servers[i].Run(ctx) })
			group.Go(func() error { return w.daemons[i].client.Run(ctx) })
			group.Go(func() error { return w.daemons[i].run(ctx, &group) })
		}
		time.Sleep(time.Second)
		run(t, w)
		cancel()
		if err := group.Wait(); err != nil {
			t.Error(err)
		}
	})
}

func (w *slotWorld) add(i int, clock azurehitch.Clock, limits loadslots.Limits) {
	d := &slotDaemon{world: w, name: fmt.Sprintf("daemon-%d", i+1), woken: make(chan struct{}, 100), ended: map[loadslots.Key]time.Time{}}
	get := func() loadslots.Limits { return limits }
	d.client = loadslots.NewClient(d, clock, d, get, func(string) { d.woken <- struct{}{} })
	token := func() int64 {
		if int(w.scheduler.Load()) == i {
			return int64(i + 1)
		}
		return 0
	}
	w.servers = append(w.servers, loadslots.NewServer(clock, token, get))
	w.daemons = append(w.daemons, d)
}

func model(daemon, i int) azurehitch.Artifact {
	return azurehitch.Artifact{Model: fmt.Sprintf("model-%d-%d", daemon, i), Version: "1"}
}

// wantAll makes each daemon want several models at once.
func (w *slotWorld) wantAll(class loadslots.Class) {
	for i, d := range w.daemons {
		for n := range loadsPerDaemon {
			d.want(class, model(i, n))
		}
	}
}

func (w *slotWorld) assertAllLoaded(t *testing.T, within time.Duration) {
	t.Helper()
	time.Sleep(within)
	for _, d := range w.daemons {
		if left := d.left(); left > 0 {
			t.Errorf("%s still wants %d loads after %v", d.name, left, within)
		}
	}
}

func (w *slotWorld) assertPeak(t *testing.T, limit int) {
	t.Helper()
	if models, _ := w.store.Usage(); models.PeakInFlight > limit {
		t.Errorf("%d loads were under way at once, and the store takes %d at full speed", models.PeakInFlight, limit)
	}
}

// TestProveWeightStoreShare lets eight holders want 48 models at once: no more are
// under way in sum than the store takes at full speed, also when another daemon takes
// the schedule over in the middle; and all of that speed is used.
func TestProveWeightStoreShare(t *testing.T) {
	const loads = slotDaemons * loadsPerDaemon
	const atFullSpeed = loads / slotConcurrent * slotLoadTime
	t.Run("burst", func(t *testing.T) {
		withSlotWorld(t, func(t *testing.T, w *slotWorld) {
			w.wantAll(loadslots.ClassPaid)
			w.assertAllLoaded(t, atFullSpeed+2*time.Second)
			w.assertPeak(t, slotConcurrent)
		})
	})
	t.Run("takeovers", func(t *testing.T) {
		withSlotWorld(t, func(t *testing.T, w *slotWorld) {
			w.wantAll(loadslots.ClassPaid)
			for next := range int64(4) {
				time.Sleep(2300 * time.Millisecond)
				w.scheduler.Store(-1)
				time.Sleep(time.Second)
				w.scheduler.Store(next + 1)
			}
			w.assertAllLoaded(t, atFullSpeed+2*time.Second)
			w.assertPeak(t, slotConcurrent)
		})
	})
	t.Run("adapters", func(t *testing.T) {
		withSlotWorld(t, func(t *testing.T, w *slotWorld) {
			for i, d := range w.daemons {
				for n := range 20 {
					adapter := model(i, 0)
					adapter.Adapter = fmt.Sprint(n)
					d.want(loadslots.ClassPaid, adapter)
				}
			}
			w.assertAllLoaded(t, 2*time.Second)
			if _, adapters := w.store.Usage(); adapters.PeakInFlight > adaptersAtOnce {
				t.Errorf("%d adapters were under way at once, and the store takes %d at full speed", adapters.PeakInFlight, adaptersAtOnce)
			}
		})
	})
	t.Run("without a scheduler", func(t *testing.T) {
		withSlotWorld(t, func(t *testing.T, w *slotWorld) {
			w.cut.Store(true)
			w.wantAll(loadslots.ClassPaid)
			const slowed = slotDaemons / slotConcurrent * loadsPerDaemon * slotLoadTime
			w.assertAllLoaded(t, 2*slowed)
			w.assertPeak(t, slotDaemons)
		})
	})
}

// TestProvePaidLoadsFirst lets trials want many models before a paying caller wants
// one: that one waits for none of them.
func TestProvePaidLoadsFirst(t *testing.T) {
	withSlotWorld(t, func(t *testing.T, w *slotWorld) {
		w.wantAll(loadslots.ClassTrial)
		for round := range 10 {
			time.Sleep(1700 * time.Millisecond)
			d := w.daemons[round%slotDaemons]
			paid := azurehitch.Artifact{Model: "paid", Version: fmt.Sprint(round)}
			began := time.Now()
			d.want(loadslots.ClassPaid, paid)
			time.Sleep(slotLoadTime + 300*time.Millisecond)
			d.mu.Lock()
			ended, loaded := d.ended[loadslots.Key{Pool: d.name, Artifact: paid}]
			d.mu.Unlock()
			if took := ended.Sub(began); !loaded || took > slotLoadTime+200*time.Millisecond {
				t.Errorf("a load for a paying caller took %v behind trials, and %v alone", took, slotLoadTime)
			}
		}
		w.assertPeak(t, slotConcurrent)
	})
}
