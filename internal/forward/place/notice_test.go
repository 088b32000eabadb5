package place_test

import (
	"context"
	"testing"
	"time"

	"azurehitch"
	"azurehitch/internal/forward/backoff"
	"azurehitch/internal/forward/breaker"
	"azurehitch/internal/forward/place"
	"azurehitch/internal/forward/rejectbudget"
	"azurehitch/internal/lease/leaselog"
	"azurehitch/internal/membership/fleet"
	"azurehitch/internal/membership/serverlimit"
	"azurehitch/internal/placement/swap"
	"azurehitch/internal/placement/swapholder"
	"azurehitch/internal/placement/swappeer"
	"azurehitch/internal/telemetry/logging"
	"azurehitch/internal/telemetry/metrics"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
)

// harness is a Placer with its dependencies. Its servers act as model engines for requests with a
// model.
type harness struct {
	*qt.C
	clock      azurehitch.Clock
	fold       *fleet.Fold
	backoffs   *backoff.Tracker
	limits     *serverlimit.Tracker
	rejections *rejectbudget.Tracker
	placer     *place.Placer
}

// newHarness returns a Placer over servers in failure domain a, each with model m loaded.
func newHarness(t *testing.T, clock azurehitch.Clock, servers ...string) *harness {
	t.Helper()
	h := &harness{C: qt.New(t), clock: clock}
	h.fold = fleet.NewFold(decodeEngine, discardObserver{})
	var records []azurehitch.KeyedRecord
	for _, id := range servers {
		records = append(records, azurehitch.KeyedRecord{Key: id, Value: []byte("a")})
	}
	h.fold.Replace(records, h.clock.Now())
	h.backoffs = backoff.New("daemon-1", h.clock)
	h.limits = newLimits(h.clock)
	h.rejections = answered(newRejections(h.clock, h.fold.View), h.fold.View(), h.clock)
	h.placer = place.New(place.Dependencies{
		Self: "daemon-1", FailureDomain: "a", Fleet: h.fold.View, Breakers: breaker.NewBreakers(h.clock), Backoffs: h.backoffs, Limits: h.limits,
		Rejections: h.rejections, Clock: h.clock,
	})
	return h
}

// decodeEngine decodes an entry in the format of decode, and adds that the server has model m
// loaded.
func decodeEngine(id string, value []byte) (azurehitch.FleetServer, error) {
	s, err := decode(id, value)
	s.Incarnation = 1
	s.Loaded = []azurehitch.LoadedModel{{Name: "m"}}
	return s, err
}

// identity returns the identity of a server that has not been restarted: its incarnation is 1.
func identity(id string) azurehitch.ServerIdentity {
	return azurehitch.ServerIdentity{ID: id, Address: id, Incarnation: 1}
}

// withHolder connects the Placer to a holder in the same process. The holder has no valid lease, so
// it loads nothing.
func (h *harness) withHolder() *swapholder.Set {
	limits := &azurehitch.EngineLimits{Slots: 6, Memory: 10, Models: map[string]azurehitch.ModelLimits{
		"m": {Memory: 1, RemoteLoad: 10 * time.Second, DiskLoad: time.Second},
	}}
	holders := swapholder.NewSet(swapholder.Dependencies{
		Self: "daemon-1", Token: func(string) (int64, bool) { return 7, false },
		LeaseChanged: func() <-chan struct{} { return make(chan struct{}) },
		Routing: func() azurehitch.RoutingTable {
			return azurehitch.RoutingTable{Services: map[string]azurehitch.BackendService{"calls": {Name: "calls", Engine: limits}}}
		},
		Fleet: h.fold.View, Limits: h.limits, Engines: silentEngines{}, Clock: h.clock, Logs: logging.Discard(), Metrics: metrics.New(),
		OnNotice: func(azurehitch.ServerIdentity, azurehitch.ServerNotice) {}, Settings: swap.DefaultSettings(),
	})
	h.placer.Holders = swappeer.NewClient(swappeer.Dependencies{
		Self:   "daemon-1",
		Holder: func(string) leaselog.Holder { return leaselog.Holder{Daemon: "daemon-1"} },
		Held:   holders, Clock: h.clock, Metrics: metrics.New(),
	})
	return holders
}

// silentEngines is an azurehitch.EngineControl that returns an error from each call, as if no
// engine answered.
type silentEngines struct{}

// Report implements azurehitch.EngineControl.
func (silentEngines) Report(context.Context, azurehitch.ServerIdentity) (azurehitch.ServerReport, error) {
	return azurehitch.ServerReport{}, errors.New("silent")
}

// Order implements azurehitch.EngineControl.
func (silentEngines) Order(
	context.Context, azurehitch.ServerIdentity, azurehitch.SwapOrder, func() bool,
) (azurehitch.OrderResult, error) {
	return azurehitch.OrderResult{Answer: azurehitch.OrderOutcomeUnknown}, errors.New("silent")
}

// modelRequest returns request number i, for model m.
func modelRequest(h *harness, i int) place.Request {
	request := plainRequest(i)
	request.Service.Engine = &azurehitch.EngineLimits{}
	request.Model = "m"
	request.Objective = h.clock.Now().Add(400 * time.Millisecond)
	request.Deadline = h.clock.Now().Add(4 * time.Second)
	return request
}

func (h *harness) assertPlacedOn(r place.Request, server string) {
	h.Helper()
	choice, err := h.placer.Place(context.Background(), r)
	h.Assert(err, qt.IsNil)
	h.Assert(choice.Server.ID, qt.Equals, server)
	choice.End()
}

// assertRefused checks that a request is refused within 300 ms as not run, and returns the retry
// delay.
func (h *harness) assertRefused(r place.Request) time.Duration {
	h.Helper()
	before := h.clock.Now()
	_, err := h.placer.Place(context.Background(), r)
	var refused *azurehitch.ErrRefused
	h.Assert(errors.As(err, &refused), qt.IsTrue, qt.Commentf("%v", err))
	h.Assert(refused.Run, qt.Equals, azurehitch.RunStateNotRun)
	h.Assert(h.clock.Now().Sub(before) < 300*time.Millisecond, qt.IsTrue, qt.Commentf("refused late"))
	return refused.RetryAfter
}

// TestShutdownNotice checks that no request goes to a server that has announced its shutdown only
// in a response or through another daemon, while the platform's list still shows it as available.
func TestShutdownNotice(t *testing.T) {
	t.Run("a plain request goes to another server", func(t *testing.T) {
		h := newHarness(t, azurehitch.SystemClock{}, "s1", "s2")
		h.fold.AddShutdownNotice(identity("s1"), fleet.SourceAnswer, h.clock.Now())
		for i := range 50 {
			h.assertPlacedOn(plainRequest(i), "s2")
		}
	})
	t.Run("a plain request goes back to a server that failed it", func(t *testing.T) {
		h := newHarness(t, azurehitch.SystemClock{}, "s1", "s2")
		h.fold.AddShutdownNotice(identity("s1"), fleet.SourceAnswer, h.clock.Now())
		h.assertPlacedOn(plainRequest(1, "s2"), "s2")
	})
	t.Run("a request for a model avoids the server even if the list of the holder shows no shutdown", func(t *testing.T) {
		h := newHarness(t, azurehitch.SystemClock{}, "s1", "s2")
		holders := h.withHolder()
		whileHolderRuns(h, holders, func() {
			h.fold.AddShutdownNotice(identity("s1"), fleet.SourcePeer, h.clock.Now())
			for i := range 5 {
				h.assertPlacedOn(modelRequest(h, i), "s2")
			}
		})
	})
	t.Run("without a holder, a listed server is used", func(t *testing.T) {
		h := newHarness(t, azurehitch.SystemClock{}, "s1", "s2")
		h.placer.Holders = newHolderless(h.clock)
		h.fold.AddShutdownNotice(identity("s2"), fleet.SourceAnswer, h.clock.Now())
		for i := range 5 {
			h.assertPlacedOn(modelRequest(h, i), "s1")
		}
	})
}

// TestBackoff checks the placement of requests while servers that rejected requests are in backoff.
func TestBackoff(t *testing.T) {
	t.Run("other servers are used", func(t *testing.T) {
		h := newHarness(t, azurehitch.SystemClock{}, "s1", "s2")
		h.backoffs.BackOff(identity("s1"), 2*time.Second)
		for i := range 50 {
			h.assertPlacedOn(plainRequest(i), "s2")
		}
	})
	t.Run("with all servers in backoff, a plain request is refused at once until the first backoff ends", func(t *testing.T) {
		h := newHarness(t, azurehitch.SystemClock{}, "s1", "s2")
		h.backoffs.BackOff(identity("s1"), 5*time.Second)
		h.backoffs.BackOff(identity("s2"), 2*time.Second)
		retry := h.assertRefused(plainRequest(1))
		h.Assert(retry >= 2*time.Second && retry <= 2500*time.Millisecond, qt.IsTrue, qt.Commentf("%v", retry))
	})
	t.Run("with all servers in backoff, a request for a model is refused until the first backoff ends", func(t *testing.T) {
		h := newHarness(t, azurehitch.SystemClock{}, "s1", "s2")
		whileHolderRuns(h, h.withHolder(), func() {
			h.backoffs.BackOff(identity("s1"), 5*time.Second)
			h.backoffs.BackOff(identity("s2"), 2*time.Second)
			retry := h.assertRefused(modelRequest(h, 1))
			h.Assert(retry >= 2*time.Second-time.Millisecond && retry <= 2500*time.Millisecond, qt.IsTrue, qt.Commentf("%v", retry))
		})
	})
	t.Run("a request for a model goes to a server that is not in backoff", func(t *testing.T) {
		h := newHarness(t, azurehitch.SystemClock{}, "s1", "s2")
		whileHolderRuns(h, h.withHolder(), func() {
			h.backoffs.BackOff(identity("s1"), 5*time.Second)
			for i := range 5 {
				h.assertPlacedOn(modelRequest(h, i), "s2")
			}
		})
	})
	// 40 requests have gathered while the only server was in backoff.
	t.Run("no burst of requests after a backoff", func(t *testing.T) {
		clock := &steppedClock{now: time.Unix(1000, 0)}
		h := newHarness(t, clock, "s1")
		h.backoffs.BackOff(identity("s1"), time.Second)
		clock.now = clock.now.Add(1300 * time.Millisecond)
		placed, refused := 0, 0
		for i := range 40 {
			if _, err := h.placer.Place(context.Background(), plainRequest(i)); err != nil {
				refused++
				continue
			}
			placed++
		}
		h.Assert(placed, qt.Equals, 1, qt.Commentf("%d placed, %d refused", placed, refused))
	})
}

// whileHolderRuns calls run once the holder grants requests, and stops the holder afterwards.
func whileHolderRuns(h *harness, holders *swapholder.Set, run func()) {
	h.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	var group errgroup.Group
	group.Go(func() error {
		done <- holders.Run(ctx)
		return nil
	})
	request := swap.Request{ID: "probe", Daemon: "probe", Model: "m", Objective: h.clock.Now(), Deadline: h.clock.Now().Add(time.Second)}
	for {
		verdict, err := holders.RequestReplica(ctx, "calls", request)
		if err == nil && verdict.Kind == swap.VerdictGranted {
			break
		}
		h.Assert(azurehitch.SystemClock{}.Sleep(ctx, time.Millisecond), qt.IsNil)
	}
	run()
	cancel()
	h.Assert(<-done, qt.IsNil)
	h.Assert(group.Wait(), qt.IsNil)
}
