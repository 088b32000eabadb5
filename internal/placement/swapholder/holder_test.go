package swapholder_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"azurehitch"
	"azurehitch/internal/membership/fleet"
	"azurehitch/internal/membership/serverlimit"
	"azurehitch/internal/placement/swap"
	"azurehitch/internal/placement/swapholder"
	"azurehitch/internal/telemetry/logging"
	"azurehitch/internal/telemetry/metrics"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
)

// orderOutcome is the outcome of an order at a fake engine.
type orderOutcome string

const (
	outcomeAnswered orderOutcome = "Answered"
	// outcomeUnanswered orders are carried out, but their answer is lost.
	outcomeUnanswered orderOutcome = "Unanswered"
	// outcomeLost orders never arrive.
	outcomeLost orderOutcome = "Lost"
	// outcomeLate orders are delayed until the next order has been carried out.
	outcomeLate orderOutcome = "Late"
	// outcomeStale orders are rejected by a server that has seen a higher token.
	outcomeStale orderOutcome = "Stale"
)

// engine is a fake model engine with memory for one model.
type engine struct {
	mu       sync.Mutex
	outcomes []orderOutcome
	orders   int64
	loaded   []azurehitch.LoadedModel
	late     []azurehitch.SwapOrder
	// sent counts the orders that were sent, and overloads the loads that exceeded the memory.
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
	outcome := outcomeAnswered
	if len(e.outcomes) > 0 {
		outcome, e.outcomes = e.outcomes[0], e.outcomes[1:]
	}
	switch outcome {
	case outcomeLost:
		return azurehitch.OrderOutcomeUnknown, errors.New("lost")
	case outcomeLate:
		e.late = append(e.late, order)
		return azurehitch.OrderOutcomeUnknown, errors.New("late")
	case outcomeStale:
		return azurehitch.OrderStale, nil
	}
	answer := e.carryOut(order)
	for _, late := range e.late {
		e.carryOut(late)
	}
	e.late = nil
	if outcome == outcomeUnanswered {
		return azurehitch.OrderOutcomeUnknown, errors.New("answer lost")
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

// noopObserver is an observer that ignores all events.
type noopObserver struct{}

// ServerChanged implements fleet.Observer.
func (noopObserver) ServerChanged(azurehitch.FleetServer, fleet.Change) {}

// ShutdownNoticed implements fleet.Observer.
func (noopObserver) ShutdownNoticed(azurehitch.ServerIdentity, fleet.Source) {}

// EntryUnreadable implements fleet.Observer.
func (noopObserver) EntryUnreadable(string, error) {}

func decode(id string, _ []byte) (azurehitch.FleetServer, error) {
	return azurehitch.FleetServer{
		ServerIdentity: azurehitch.ServerIdentity{ID: id, Address: id, Incarnation: 1}, Service: "llm", Slots: 4,
		Cached: azurehitch.CachedModels{OnDisk: []string{"m"}},
	}, nil
}

// newSet returns the set of a daemon that holds a service with the server s, which has model m on
// its disk.
func newSet(e azurehitch.EngineControl, token func(string) (int64, bool)) *swapholder.Set {
	servers := fleet.NewFold(decode, noopObserver{})
	servers.Replace([]azurehitch.KeyedRecord{{Key: "s", Value: []byte("x")}}, time.Now())
	limits := &azurehitch.EngineLimits{Slots: 4, Memory: 10, AdapterSlots: 1, Models: map[string]azurehitch.ModelLimits{
		"m": {Memory: 10, RemoteLoad: time.Second, DiskLoad: 30 * time.Millisecond},
	}}
	return swapholder.NewSet(swapholder.Dependencies{
		Self: "daemon-1", Token: token,
		LeaseChanged: func() <-chan struct{} { return make(chan struct{}) }, RaiseTokens: func(string, int64) {},
		Routing: func() azurehitch.RoutingTable {
			return azurehitch.RoutingTable{Services: map[string]azurehitch.BackendService{"llm": {Name: "llm", Engine: limits}}}
		},
		Fleet: servers.View, Engines: e, Limits: serverlimit.New("daemon-1", nil, azurehitch.SystemClock{}, noopObserver{}), OnNotice: func(azurehitch.ServerIdentity, azurehitch.ServerNotice) {},
		Clock: azurehitch.SystemClock{}, Logs: logging.Discard(), Metrics: metrics.New(), Settings: swap.DefaultSettings(),
	})
}

// requestUntilGranted runs a set and requests the model until the request is granted or the given
// time has passed.
func requestUntilGranted(t *testing.T, set *swapholder.Set, wait time.Duration) swap.Verdict {
	t.Helper()
	c := qt.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return set.Run(ctx) })
	defer func() {
		cancel()
		c.Assert(group.Wait(), qt.IsNil)
	}()
	request := swap.Request{ID: "r", Daemon: "daemon-1", Model: "m", Objective: time.Now().Add(wait), Deadline: time.Now().Add(2 * wait)}
	for end := time.Now().Add(wait); ; {
		verdict, err := set.RequestReplica(ctx, "llm", request)
		if err == nil && verdict.Kind == swap.VerdictGranted || time.Now().After(end) {
			return verdict
		}
		c.Assert(azurehitch.SystemClock{}.Sleep(ctx, time.Millisecond), qt.IsNil)
	}
}

// requestModel requests the model from a holder whose lease stays valid.
func requestModel(t *testing.T, e *engine, wait time.Duration) swap.Verdict {
	t.Helper()
	return requestUntilGranted(t, newSet(e, func(string) (int64, bool) { return 7, true }), wait)
}

// TestLostAnswers checks that a model is loaded exactly once, and the request granted, when orders
// get no answer: because they are lost or delayed, or because their answers are lost.
func TestLostAnswers(t *testing.T) {
	for name, outcomes := range map[string][]orderOutcome{
		"answered":                      nil,
		"carried out, answer lost":      {outcomeUnanswered},
		"lost":                          {outcomeLost, outcomeLost},
		"delayed until after the retry": {outcomeLate},
		"lost, delayed and unanswered":  {outcomeLost, outcomeLate, outcomeLate, outcomeUnanswered},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			e := &engine{outcomes: outcomes}
			c.Assert(requestModel(t, e, 5*time.Second).Kind, qt.Equals, swap.VerdictGranted)
			e.mu.Lock()
			defer e.mu.Unlock()
			c.Assert(e.overloads, qt.Equals, 0)
			c.Assert(e.orders, qt.Equals, int64(1))
		})
	}
}

// TestStaleToken checks that a holder sends no more orders once a server has rejected its token
// because the server has seen the token of a later holder.
func TestStaleToken(t *testing.T) {
	c := qt.New(t)
	e := &engine{outcomes: []orderOutcome{outcomeStale, outcomeStale, outcomeStale}}
	c.Assert(requestModel(t, e, 1200*time.Millisecond).Kind, qt.Not(qt.Equals), swap.VerdictGranted)
	e.mu.Lock()
	defer e.mu.Unlock()
	c.Assert(e.sent, qt.Equals, 1)
}

// raisedLease is a lease whose token rises when servers have seen a higher one.
type raisedLease struct {
	mu      sync.Mutex
	token   int64
	raises  int
	changed chan struct{}
}

func (l *raisedLease) Token(string) (int64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.token, true
}

func (l *raisedLease) Changed() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.changed
}

func (l *raisedLease) RaiseTokens(_ string, token int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if token != l.token {
		return
	}
	l.token++
	l.raises++
	close(l.changed)
	l.changed = make(chan struct{})
}

// TestTokenLowerThanTheServers guards against a holder that keeps its lease and gives no orders, because servers
// know a higher token that no daemon has. A faulty server that rejects all tokens stops no holder for good.
func TestTokenLowerThanTheServers(t *testing.T) {
	for _, test := range []struct {
		name     string
		refusals int
		raises   int
	}{
		{"one rejected order", 1, 1},
		{"three", 3, 3},
		{"a server that goes on rejecting", 5, 3},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			e := &engine{}
			for range test.refusals {
				e.outcomes = append(e.outcomes, outcomeStale)
			}
			lease := &raisedLease{token: 7, changed: make(chan struct{})}
			set := newSet(e, lease.Token)
			set.RaiseTokens, set.LeaseChanged = lease.RaiseTokens, lease.Changed
			c.Assert(requestUntilGranted(t, set, 5*time.Second).Kind, qt.Equals, swap.VerdictGranted)
			c.Assert(lease.raises, qt.Equals, test.raises)
		})
	}
}

// LimitChanged implements serverlimit.Observer.
func (noopObserver) LimitChanged(azurehitch.ServerIdentity, float64) {}
