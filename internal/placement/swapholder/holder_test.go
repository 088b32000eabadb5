package swapholder_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"azurehitch"
	"azurehitch/internal/membership/fleet"
	"azurehitch/internal/placement/swap"
	"azurehitch/internal/placement/swapholder"
	"azurehitch/internal/telemetry/logging"
	"azurehitch/internal/telemetry/metrics"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
)

// fate is what becomes of an order that a fake engine gets.
type fate string

const (
	fateAnswered fate = "Answered"
	// fateUnanswered orders are carried out, and their answer is lost.
	fateUnanswered fate = "Unanswered"
	// fateLost orders never arrive.
	fateLost fate = "Lost"
	// fateLate orders are carried out only when the next one has come.
	fateLate fate = "Late"
	// fateStale orders meet a server that has seen a higher token.
	fateStale fate = "Stale"
)

// engine is a fake model engine with room for one model.
type engine struct {
	mu     sync.Mutex
	fates  []fate
	orders int64
	loaded []azurehitch.LoadedModel
	late   []azurehitch.SwapOrder
	// sent counts the orders that came, and overloads those beyond the room.
	sent      int
	overloads int
}

// Report implements azurehitch.EngineControl.
func (e *engine) Report(context.Context, azurehitch.ServerIdentity) (azurehitch.ServerReport, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return azurehitch.ServerReport{
		Incarnation: 1, Orders: e.orders, Loaded: e.loaded, Cached: azurehitch.CachedModels{OnDisk: []string{"m"}},
	}, nil
}

// Order implements azurehitch.EngineControl.
func (e *engine) Order(
	_ context.Context, _ azurehitch.ServerIdentity, order azurehitch.SwapOrder, mayOrder func() bool,
) (azurehitch.OrderResult, error) {
	if !mayOrder() {
		return azurehitch.OrderResult{Answer: azurehitch.OrderNotRun}, errors.New("denied")
	}
	answer, err := e.order(order)
	return azurehitch.OrderResult{Answer: answer}, err
}

func (e *engine) order(order azurehitch.SwapOrder) (azurehitch.OrderAnswer, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sent++
	f := fateAnswered
	if len(e.fates) > 0 {
		f, e.fates = e.fates[0], e.fates[1:]
	}
	switch f {
	case fateLost:
		return azurehitch.OrderUnanswered, errors.New("lost")
	case fateLate:
		e.late = append(e.late, order)
		return azurehitch.OrderUnanswered, errors.New("late")
	case fateStale:
		return azurehitch.OrderStale, nil
	}
	answer := e.carryOut(order)
	for _, late := range e.late {
		e.carryOut(late)
	}
	e.late = nil
	if f == fateUnanswered {
		return azurehitch.OrderUnanswered, errors.New("answer lost")
	}
	return answer, nil
}

func (e *engine) carryOut(order azurehitch.SwapOrder) azurehitch.OrderAnswer {
	if order.AfterOrders != e.orders {
		return azurehitch.OrderConflict
	}
	e.orders++
	if len(e.loaded) > 0 {
		e.overloads++
	}
	e.loaded = append(e.loaded, azurehitch.LoadedModel{Name: order.Model})
	return azurehitch.OrderAccepted
}

// silent is an observer that drops what it is told.
type silent struct{}

// ServerChanged implements fleet.Observer.
func (silent) ServerChanged(azurehitch.FleetServer, fleet.Change) {}

// LeaveSaid implements fleet.Observer.
func (silent) LeaveSaid(azurehitch.ServerIdentity, fleet.Source) {}

// EntryUnreadable implements fleet.Observer.
func (silent) EntryUnreadable(string, error) {}

func decode(id string, _ []byte) (azurehitch.FleetServer, error) {
	return azurehitch.FleetServer{
		ServerIdentity: azurehitch.ServerIdentity{ID: id, Address: id, Incarnation: 1}, Service: "llm", Slots: 4,
		Cached: azurehitch.CachedModels{OnDisk: []string{"m"}},
	}, nil
}

// newSet returns the services of a daemon that holds one with the server s, which has the model m on
// its disk.
func newSet(e azurehitch.EngineControl, token func(string) (int64, bool)) *swapholder.Set {
	servers := fleet.NewFold(decode, silent{})
	servers.Replace([]azurehitch.KeyedRecord{{Key: "s", Value: []byte("x")}}, time.Now())
	limits := &azurehitch.EngineLimits{Slots: 4, Memory: 10, AdapterSlots: 1, Models: map[string]azurehitch.ModelLimits{
		"m": {Memory: 10, RemoteLoad: time.Second, DiskLoad: 30 * time.Millisecond},
	}}
	return swapholder.NewSet(swapholder.Dependencies{
		Self: "daemon-1", Token: token,
		LeaseChanged: func() <-chan struct{} { return make(chan struct{}) },
		Routing: func() azurehitch.RoutingTable {
			return azurehitch.RoutingTable{Services: map[string]azurehitch.BackendService{"llm": {Name: "llm", Engine: limits}}}
		},
		Fleet: servers.View, Engines: e, Noticed: func(azurehitch.ServerIdentity, azurehitch.ServerNotice) {},
		Clock: azurehitch.SystemClock{}, Logs: logging.Discard(), Metrics: metrics.New(), Settings: swap.DefaultSettings(),
	})
}

// askFor runs a set for some time at most, and asks for the model until it is granted.
func askFor(t *testing.T, set *swapholder.Set, wait time.Duration) swap.Verdict {
	t.Helper()
	c := qt.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return set.Run(ctx) })
	defer func() {
		cancel()
		c.Assert(group.Wait(), qt.IsNil)
	}()
	need := swap.Need{ID: "r", Daemon: "daemon-1", Model: "m", Objective: time.Now().Add(wait), Deadline: time.Now().Add(2 * wait)}
	for end := time.Now().Add(wait); ; {
		verdict, err := set.Ask(ctx, "llm", need)
		if err == nil && verdict.Kind == swap.VerdictGranted || time.Now().After(end) {
			return verdict
		}
		c.Assert(azurehitch.SystemClock{}.Sleep(ctx, time.Millisecond), qt.IsNil)
	}
}

// ask runs a holder whose lease stays valid.
func ask(t *testing.T, e *engine, wait time.Duration) swap.Verdict {
	t.Helper()
	return askFor(t, newSet(e, func(string) (int64, bool) { return 7, true }), wait)
}

// TestLostAnswers answers engines that leave orders unanswered: each is carried out once, and
// the request gets its model.
func TestLostAnswers(t *testing.T) {
	for name, fates := range map[string][]fate{
		"answered":                    nil,
		"carried out, answer lost":    {fateUnanswered},
		"lost":                        {fateLost, fateLost},
		"late, behind its repetition": {fateLate},
		"all of these":                {fateLost, fateLate, fateLate, fateUnanswered},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			e := &engine{fates: fates}
			c.Assert(ask(t, e, 5*time.Second).Kind, qt.Equals, swap.VerdictGranted)
			e.mu.Lock()
			defer e.mu.Unlock()
			c.Assert(e.overloads, qt.Equals, 0)
			c.Assert(e.orders, qt.Equals, int64(1))
		})
	}
}

// TestStaleToken answers a server that has seen a later holder: no order follows.
func TestStaleToken(t *testing.T) {
	c := qt.New(t)
	e := &engine{fates: []fate{fateStale, fateStale, fateStale}}
	c.Assert(ask(t, e, 1200*time.Millisecond).Kind, qt.Not(qt.Equals), swap.VerdictGranted)
	e.mu.Lock()
	defer e.mu.Unlock()
	c.Assert(e.sent, qt.Equals, 1)
}
