//go:build !race

package points_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"azurehitch"
	"azurehitch/internal/configuration/tables"
	"azurehitch/internal/forward/admission"
	"azurehitch/internal/forward/backend"

	"github.com/pkg/errors"
)

const (
	overloadPlaces   = 8
	overloadRunTime  = 100 * time.Millisecond
	overloadDeadline = time.Second
	// steadyGap is the time between requests at half of what the places take.
	steadyGap = 25 * time.Millisecond
	burst     = 10
	// callerTries is how often an impatient caller sends a request.
	callerTries = 4
)

// overload is callers, one gate with its retry budget, and a backend server whose
// requests slow each other down beyond its places.
type overload struct {
	gate   *admission.Gate
	budget *backend.RetryBudget
	// failEvery is which attempts fail for no reason of load.
	failEvery int64
	running   atomic.Int64
	attempts  atomic.Int64
	requests  atomic.Int64
	// admitted are the requests that got a place.
	admitted atomic.Int64
	served   atomic.Int64
	late     atomic.Int64
	callers  sync.WaitGroup
}

// run is one attempt at the backend server. It ends early with its request.
func (o *overload) run(ctx context.Context) error {
	n := o.attempts.Add(1)
	crowd := o.running.Add(1)
	defer o.running.Add(-1)
	took := overloadRunTime * time.Duration(max(crowd, overloadPlaces)) / overloadPlaces
	if err := (azurehitch.SystemClock{}).Sleep(ctx, took); err != nil {
		return err
	}
	if n%o.failEvery == 0 {
		return errors.New("attempt failed")
	}
	return nil
}

// serve is one request as a daemon serves it: a place, attempts within the budget.
func (o *overload) serve() error {
	o.requests.Add(1)
	ctx, cancel := context.WithTimeout(context.Background(), overloadDeadline)
	defer cancel()
	if err := o.gate.Enter(ctx, tables.TierPaid); err != nil {
		return err
	}
	defer o.gate.Leave(tables.TierPaid)
	o.admitted.Add(1)
	o.budget.Earn()
	for {
		err := o.run(ctx)
		if err == nil || ctx.Err() != nil || !o.budget.Spend() {
			return err
		}
	}
}

// call is a caller: it comes back when told, or at once when it got no answer.
func (o *overload) call() {
	const retryAfter = time.Second
	for range callerTries {
		began := time.Now()
		err := o.serve()
		if time.Since(began) > overloadDeadline {
			o.late.Add(1)
		}
		if err == nil {
			o.served.Add(1)
			return
		}
		var refused *azurehitch.ErrRefused
		if errors.As(err, &refused) {
			time.Sleep(retryAfter)
		}
	}
}

// phase sends requests with a gap between them for some time, and returns how many
// were served meanwhile.
func (o *overload) phase(length, gap time.Duration) int64 {
	before := o.served.Load()
	for until := time.Now().Add(length); time.Now().Before(until); time.Sleep(gap) {
		o.callers.Go(o.call)
	}
	return o.served.Load() - before
}

func newOverload(failEvery int64) *overload {
	o := &overload{gate: admission.NewGate(), budget: backend.NewRetryBudget(), failEvery: failEvery}
	o.gate.SetLimits(admission.Limits{Total: overloadPlaces, Queue: 2 * overloadPlaces})
	return o
}

// TestProveOverload sends ten times the usual load for a while: afterwards as many
// requests are served as before. And with a backend server that fails, attempts stay
// within the retry budget.
func TestProveOverload(t *testing.T) {
	t.Run("burst", func(t *testing.T) { synctest.Test(t, sendBurst) })
	t.Run("failing backend server", func(t *testing.T) { synctest.Test(t, failAll) })
}

func sendBurst(t *testing.T) {
	const length, settle, failEvery = 10 * time.Second, 5 * time.Second, 20
	o := newOverload(failEvery)
	before := o.phase(length, steadyGap)
	during := o.phase(length, steadyGap/burst)
	o.phase(settle, steadyGap)
	after := o.phase(length, steadyGap)
	o.callers.Wait()
	t.Logf("served %d before, %d during, %d after the burst; %d requests, %d attempts", before, during, after, o.requests.Load(), o.attempts.Load())
	const same = 0.95
	if float64(after) < same*float64(before) {
		t.Errorf("%d requests were served after the burst, and %d before it", after, before)
	}
	const capacity, most = overloadPlaces * int64(length/overloadRunTime), 0.9
	if float64(during) < most*float64(capacity) {
		t.Errorf("%d requests were served during the burst, and the places take %d", during, capacity)
	}
	if o.late.Load() > 0 {
		t.Errorf("%d requests ended after their deadline", o.late.Load())
	}
}

func failAll(t *testing.T) {
	o := newOverload(1)
	o.phase(time.Minute, steadyGap)
	o.callers.Wait()
	const reserve, ratio = 10, 1.1
	if limit := ratio*float64(o.admitted.Load()) + reserve; float64(o.attempts.Load()) > limit {
		t.Errorf("%d requests made %d attempts, and the budget allows %.0f", o.admitted.Load(), o.attempts.Load(), limit)
	}
}
