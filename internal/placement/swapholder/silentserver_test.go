package swapholder_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"azurehitch"
	"azurehitch/internal/placement/swap"

	qt "github.com/frankban/quicktest"
)

const (
	// silence is how long a silentEngine answers no report, and settleTime the setting of the holder.
	silence    = 300 * time.Millisecond
	settleTime = 400 * time.Millisecond
)

// silentEngine is an engine that answers no report for a while, and then those that wait at once.
type silentEngine struct {
	engine
	startedAt time.Time
	silence   time.Duration

	orderMu      sync.Mutex
	firstOrderAt time.Time
}

// Report implements azurehitch.EngineControl.
func (e *silentEngine) Report(ctx context.Context, server azurehitch.ServerIdentity) (azurehitch.ServerReport, error) {
	timer := time.NewTimer(time.Until(e.startedAt.Add(e.silence)))
	defer timer.Stop()
	select {
	case <-timer.C:
		return e.engine.Report(ctx, server)
	case <-ctx.Done():
		return azurehitch.ServerReport{}, ctx.Err()
	}
}

// Order implements azurehitch.EngineControl.
func (e *silentEngine) Order(
	ctx context.Context, server azurehitch.ServerIdentity, order azurehitch.SwapOrder, mayOrder func() bool,
) (azurehitch.OrderResult, error) {
	e.orderMu.Lock()
	if e.firstOrderAt.IsZero() {
		e.firstOrderAt = time.Now()
	}
	e.orderMu.Unlock()
	return e.engine.Order(ctx, server, order, mayOrder)
}

// firstOrderAfter returns how long after the end of the silence the first order was sent.
func firstOrderAfter(t *testing.T, silence, settle time.Duration) time.Duration {
	t.Helper()
	e := &silentEngine{startedAt: time.Now(), silence: silence}
	set := newSet(e, func(string) (int64, bool) { return 7, true })
	set.SettleTime = settle
	verdict := requestUntilGranted(t, set, 5*time.Second)
	qt.New(t).Assert(verdict.Kind, qt.Equals, swap.VerdictGranted)
	e.orderMu.Lock()
	defer e.orderMu.Unlock()
	return e.firstOrderAt.Sub(e.startedAt.Add(silence))
}

// TestFirstOrderAfterSilence guards against orders to a server that may still read those of the former holder.
func TestFirstOrderAfterSilence(t *testing.T) {
	for _, test := range []struct {
		name            string
		silence, settle time.Duration
		waits           bool
	}{
		{"report answered late", silence, settleTime, true},
		{"reports not answered", 3 * silence, settleTime, true},
		{"report answered at once", 0, settleTime, false},
		{"no time to settle", silence, 0, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			after := firstOrderAfter(t, test.silence, test.settle)
			qt.New(t).Check(after >= settleTime, qt.Equals, test.waits, qt.Commentf("first order after %v", after))
		})
	}
}
