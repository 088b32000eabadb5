package swapholder_test

import (
	"context"
	"testing"
	"time"

	"azurehitch"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
)

const (
	// formerToken is the token of the first tenure of a daemon.
	formerToken = 7
	// returnDelay is the setting of the holder, and tenure how long the first tenure lasts.
	returnDelay = 1200 * time.Millisecond
	tenure      = 200 * time.Millisecond
)

// sentOrder is an order and when it was sent.
type sentOrder struct {
	token int64
	at    time.Time
}

// unansweringEngine doesn't answer the first order, and rejects the others of the first tenure. If isSilent,
// it answers no report either from the first order to the end of that tenure.
type unansweringEngine struct {
	engine
	isSilent bool
	lease    *raisedLease
	sent     chan sentOrder
}

// Report implements azurehitch.EngineControl.
func (e *unansweringEngine) Report(ctx context.Context, server azurehitch.ServerIdentity) (azurehitch.ServerReport, error) {
	if token, _ := e.lease.Token(""); e.isSilent && token == formerToken && len(e.sent) > 0 {
		return azurehitch.ServerReport{}, errors.New("silent")
	}
	return e.engine.Report(ctx, server)
}

// Order implements azurehitch.EngineControl.
func (e *unansweringEngine) Order(
	ctx context.Context, server azurehitch.ServerIdentity, order azurehitch.SwapOrder, mayOrder func() bool,
) (azurehitch.OrderResult, error) {
	isFirst := len(e.sent) == 0
	select {
	case e.sent <- sentOrder{order.Token, time.Now()}:
	default:
	}
	switch {
	case isFirst:
		return azurehitch.OrderResult{Answer: azurehitch.OrderOutcomeUnknown}, errors.New("no answer")
	case order.Token == formerToken:
		return azurehitch.OrderResult{Answer: azurehitch.OrderInvalid}, errors.New("rejected")
	}
	return e.engine.Order(ctx, server, order, mayOrder)
}

// runTenures runs a set in two tenures, and returns the orders and when the second one began.
func runTenures(t *testing.T, e *unansweringEngine) (orders []sentOrder, returnedAt time.Time) {
	t.Helper()
	e.lease = &raisedLease{token: formerToken, changed: make(chan struct{})}
	e.sent = make(chan sentOrder, 100)
	set := newSet(e, e.lease.Token)
	set.LeaseChanged, set.SettleTime, set.ReturnDelay = e.lease.Changed, settleTime, returnDelay
	var group errgroup.Group
	group.Go(func() error {
		time.Sleep(tenure)
		e.lease.RaiseTokens("", formerToken)
		return nil
	})
	start := time.Now()
	requestUntilGranted(t, set, 5*time.Second)
	qt.New(t).Assert(group.Wait(), qt.IsNil)
	close(e.sent)
	for o := range e.sent {
		orders = append(orders, o)
	}
	return orders, start.Add(tenure)
}

// TestOrdersAfterReturn guards against turns of two holders, where a server reads an order of the first
// tenure of a daemon just before its second.
func TestOrdersAfterReturn(t *testing.T) {
	for name, isSilent := range map[string]bool{"server was silent": true, "server answered reports": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			orders, returnedAt := runTenures(t, &unansweringEngine{isSilent: isSilent})
			c.Assert(orders, qt.Not(qt.HasLen), 0)
			c.Assert(orders[0].token, qt.Equals, int64(formerToken))
			for _, o := range orders {
				if o.token != formerToken {
					c.Check(o.at.Sub(returnedAt) >= returnDelay, qt.Equals, isSilent, qt.Commentf("after %v", o.at.Sub(returnedAt)))
					return
				}
			}
			c.Fatal("no order in the second tenure")
		})
	}
}
