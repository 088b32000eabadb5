package place_test

import (
	"context"
	"testing"
	"time"

	"azurehitch"
	"azurehitch/internal/forward/breaker"
	"azurehitch/internal/forward/place"
	"azurehitch/internal/forward/rest"
	"azurehitch/internal/lease/leaselog"
	"azurehitch/internal/membership/fleet"
	"azurehitch/internal/placement/swap"
	"azurehitch/internal/placement/swapholder"
	"azurehitch/internal/placement/swappeer"
	"azurehitch/internal/telemetry/logging"
	"azurehitch/internal/telemetry/metrics"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
)

// world is a placer with what it depends on, over servers that are model engines where a test
// asks for a model.
type world struct {
	*qt.C
	clock  azurehitch.Clock
	fold   *fleet.Fold
	rests  *rest.Rests
	placer *place.Placer
}

// newWorld returns a placer over servers in failure domain a, each of which holds model m.
func newWorld(t *testing.T, clock azurehitch.Clock, servers ...string) *world {
	t.Helper()
	w := &world{C: qt.New(t), clock: clock}
	w.fold = fleet.NewFold(decodeEngine, silent{})
	var records []azurehitch.KeyedRecord
	for _, id := range servers {
		records = append(records, azurehitch.KeyedRecord{Key: id, Value: []byte("a")})
	}
	w.fold.Replace(records, w.clock.Now())
	w.rests = rest.New("daemon-1", w.clock)
	w.placer = place.New(place.Dependencies{
		Self: "daemon-1", FailureDomain: "a", Fleet: w.fold.View, Breakers: breaker.NewBreakers(w.clock), Rests: w.rests,
		Clock: w.clock,
	})
	return w
}

func decodeEngine(id string, value []byte) (azurehitch.FleetServer, error) {
	s, err := decode(id, value)
	s.Incarnation = 1
	s.Loaded = []azurehitch.LoadedModel{{Name: "m"}}
	return s, err
}

func start(id string) azurehitch.ServerIdentity {
	return azurehitch.ServerIdentity{ID: id, Address: id, Incarnation: 1}
}

// withHolder lets a holder of its own answer the placer. Without a valid lease, it loads nothing.
func (w *world) withHolder() *swapholder.Set {
	limits := &azurehitch.EngineLimits{Slots: 6, Memory: 10, Models: map[string]azurehitch.ModelLimits{
		"m": {Memory: 1, RemoteLoad: 10 * time.Second, DiskLoad: time.Second},
	}}
	held := swapholder.NewSet(swapholder.Dependencies{
		Self: "daemon-1", Token: func(string) (int64, bool) { return 7, false },
		LeaseChanged: func() <-chan struct{} { return make(chan struct{}) },
		Routing: func() azurehitch.RoutingTable {
			return azurehitch.RoutingTable{Services: map[string]azurehitch.BackendService{"calls": {Name: "calls", Engine: limits}}}
		},
		Fleet: w.fold.View, Engines: silentEngines{}, Clock: w.clock, Logs: logging.Discard(), Metrics: metrics.New(),
		Noticed: func(azurehitch.ServerIdentity, azurehitch.ServerNotice) {}, Settings: swap.DefaultSettings(),
	})
	w.placer.Swaps = swappeer.NewClient(swappeer.Dependencies{
		Self:   "daemon-1",
		Holder: func(string) leaselog.Holder { return leaselog.Holder{Daemon: "daemon-1"} },
		Held:   held, Clock: w.clock, Metrics: metrics.New(),
	})
	return held
}

// silentEngines are engines that answer nothing.
type silentEngines struct{}

// Report implements azurehitch.EngineControl.
func (silentEngines) Report(context.Context, azurehitch.ServerIdentity) (azurehitch.ServerReport, error) {
	return azurehitch.ServerReport{}, errors.New("silent")
}

// Order implements azurehitch.EngineControl.
func (silentEngines) Order(
	context.Context, azurehitch.ServerIdentity, azurehitch.SwapOrder, func() bool,
) (azurehitch.OrderResult, error) {
	return azurehitch.OrderResult{Answer: azurehitch.OrderUnanswered}, errors.New("silent")
}

func modelCall(w *world, i int) place.Request {
	request := call(i)
	request.Service.Engine = &azurehitch.EngineLimits{}
	request.Model = "m"
	request.Objective = w.clock.Now().Add(400 * time.Millisecond)
	request.Deadline = w.clock.Now().Add(4 * time.Second)
	return request
}

func (w *world) assertPlacedOn(r place.Request, server string) {
	w.Helper()
	choice, err := w.placer.Place(context.Background(), r)
	w.Assert(err, qt.IsNil)
	w.Assert(choice.Server.ID, qt.Equals, server)
	choice.End()
}

// assertRefused returns when the caller is to come back.
func (w *world) assertRefused(r place.Request) time.Duration {
	w.Helper()
	before := w.clock.Now()
	_, err := w.placer.Place(context.Background(), r)
	var refused *azurehitch.ErrRefused
	w.Assert(errors.As(err, &refused), qt.IsTrue, qt.Commentf("%v", err))
	w.Assert(refused.Run, qt.Equals, azurehitch.RunStateNotRun)
	w.Assert(w.clock.Now().Sub(before) < 300*time.Millisecond, qt.IsTrue, qt.Commentf("refused late"))
	return refused.RetryAfter
}

// TestLeavingByAnswer answers servers of which only their answers say that they leave.
func TestLeavingByAnswer(t *testing.T) {
	t.Run("no call goes there", func(t *testing.T) {
		w := newWorld(t, azurehitch.SystemClock{}, "s1", "s2")
		w.fold.LeaveSaid(start("s1"), fleet.SourceAnswer, w.clock.Now())
		for i := range 50 {
			w.assertPlacedOn(call(i), "s2")
		}
	})
	t.Run("nor one whose other servers have failed it", func(t *testing.T) {
		w := newWorld(t, azurehitch.SystemClock{}, "s1", "s2")
		w.fold.LeaveSaid(start("s1"), fleet.SourceAnswer, w.clock.Now())
		w.assertPlacedOn(call(1, "s2"), "s2")
	})
	t.Run("the holder's own list says nothing: a request for a model goes elsewhere", func(t *testing.T) {
		w := newWorld(t, azurehitch.SystemClock{}, "s1", "s2")
		held := w.withHolder()
		withRunning(w, held, func() {
			w.fold.LeaveSaid(start("s1"), fleet.SourcePeer, w.clock.Now())
			for i := range 5 {
				w.assertPlacedOn(modelCall(w, i), "s2")
			}
		})
	})
	t.Run("without a holder", func(t *testing.T) {
		w := newWorld(t, azurehitch.SystemClock{}, "s1", "s2")
		w.placer.Swaps = swappeer.NewClient(swappeer.Dependencies{
			Self:         "daemon-1",
			Holder:       func(string) leaselog.Holder { return leaselog.Holder{Daemon: "daemon-2"} },
			LeaseChanged: func() <-chan struct{} { return make(chan struct{}) },
			Address:      func(string) (string, bool) { return "", false },
			Clock:        w.clock, Metrics: metrics.New(),
		})
		w.fold.LeaveSaid(start("s2"), fleet.SourceAnswer, w.clock.Now())
		for i := range 5 {
			w.assertPlacedOn(modelCall(w, i), "s1")
		}
	})
}

// TestResting answers servers that turn requests away for some time.
func TestResting(t *testing.T) {
	t.Run("others are used", func(t *testing.T) {
		w := newWorld(t, azurehitch.SystemClock{}, "s1", "s2")
		w.rests.Ask(start("s1"), 2*time.Second)
		for i := range 50 {
			w.assertPlacedOn(call(i), "s2")
		}
	})
	t.Run("when all rest, a call is refused at once until the first is back", func(t *testing.T) {
		w := newWorld(t, azurehitch.SystemClock{}, "s1", "s2")
		w.rests.Ask(start("s1"), 5*time.Second)
		w.rests.Ask(start("s2"), 2*time.Second)
		retry := w.assertRefused(call(1))
		w.Assert(retry >= 2*time.Second && retry <= 2500*time.Millisecond, qt.IsTrue, qt.Commentf("%v", retry))
	})
	t.Run("when all rest, so is a request for a model, until the first is back", func(t *testing.T) {
		w := newWorld(t, azurehitch.SystemClock{}, "s1", "s2")
		withRunning(w, w.withHolder(), func() {
			w.rests.Ask(start("s1"), 5*time.Second)
			w.rests.Ask(start("s2"), 2*time.Second)
			retry := w.assertRefused(modelCall(w, 1))
			w.Assert(retry >= 2*time.Second-time.Millisecond && retry <= 2500*time.Millisecond, qt.IsTrue, qt.Commentf("%v", retry))
		})
	})
	t.Run("a request for a model goes where one does not rest", func(t *testing.T) {
		w := newWorld(t, azurehitch.SystemClock{}, "s1", "s2")
		withRunning(w, w.withHolder(), func() {
			w.rests.Ask(start("s1"), 5*time.Second)
			for i := range 5 {
				w.assertPlacedOn(modelCall(w, i), "s2")
			}
		})
	})
	// The load: 40 calls that have gathered while the only server rested.
	t.Run("no wave when it is back", func(t *testing.T) {
		clock := &steppedClock{now: time.Unix(1000, 0)}
		w := newWorld(t, clock, "s1")
		w.rests.Ask(start("s1"), time.Second)
		clock.now = clock.now.Add(1300 * time.Millisecond)
		placed, refused := 0, 0
		for i := range 40 {
			if _, err := w.placer.Place(context.Background(), call(i)); err != nil {
				refused++
				continue
			}
			placed++
		}
		w.Assert(placed, qt.Equals, 1, qt.Commentf("%d placed, %d refused", placed, refused))
	})
}

func withRunning(w *world, held *swapholder.Set, run func()) {
	w.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	var group errgroup.Group
	group.Go(func() error {
		done <- held.Run(ctx)
		return nil
	})
	need := swap.Need{ID: "probe", Daemon: "probe", Model: "m", Objective: w.clock.Now(), Deadline: w.clock.Now().Add(time.Second)}
	for {
		verdict, err := held.Ask(ctx, "calls", need)
		if err == nil && verdict.Kind == swap.VerdictGranted {
			break
		}
		w.Assert(azurehitch.SystemClock{}.Sleep(ctx, time.Millisecond), qt.IsNil)
	}
	run()
	cancel()
	w.Assert(<-done, qt.IsNil)
	w.Assert(group.Wait(), qt.IsNil)
}
