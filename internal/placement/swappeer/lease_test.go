package swappeer_test

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"azurehitch"
	"azurehitch/internal/lease/leaselog"
	"azurehitch/internal/peer/mux"
	"azurehitch/internal/placement/swap"
	"azurehitch/internal/placement/swappeer"
	"azurehitch/internal/telemetry/metrics"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
)

// leases is a fake lease store with one holder for all services, and a channel that is closed when
// the holder changes.
type leases struct {
	mu      sync.Mutex
	holder  string
	changed chan struct{}
}

func (l *leases) Holder(string) leaselog.Holder {
	l.mu.Lock()
	defer l.mu.Unlock()
	return leaselog.Holder{Daemon: l.holder}
}

func (l *leases) Changed() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.changed
}

func (l *leases) moveTo(holder string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.holder = holder
	close(l.changed)
	l.changed = make(chan struct{})
}

// TestFollowLease checks that requests pending at a holder that fails without closing its
// connections, such as a host that loses power, move to the next holder as soon as it holds the
// lease.
func TestFollowLease(t *testing.T) {
	// The second delay is longer than one holder may leave requests without an answer.
	for _, takeoverDelay := range []time.Duration{200 * time.Millisecond, 400 * time.Millisecond} {
		t.Run(takeoverDelay.String(), func(t *testing.T) { followLease(t, takeoverDelay) })
	}
}

// followLease moves the lease to another daemon after takeoverDelay while requests are pending.
func followLease(t *testing.T, takeoverDelay time.Duration) {
	t.Helper()
	const requests = 30
	c := qt.New(t)
	unresponsive, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer unresponsive.Close()
	held := newHeld()
	ctx, cancel := context.WithCancel(context.Background())
	var running errgroup.Group
	running.Go(func() error { return held.Run(ctx) })
	clock := azurehitch.SystemClock{}
	lease := &leases{holder: "gone", changed: make(chan struct{})}
	client := swappeer.NewClient(swappeer.Dependencies{
		Self: "holder", Holder: lease.Holder, LeaseChanged: lease.Changed, Held: held,
		Address: func(string) (string, bool) { return unresponsive.Addr().String(), true },
		Peers:   mux.NewClient("holder"), Clock: clock, Metrics: metrics.New(),
	})
	var pending errgroup.Group
	began := clock.Now()
	for i := range requests {
		pending.Go(func() error {
			_, err := client.Find(ctx, "llm", swap.Request{ID: string(rune('a' + i)), Model: "m", Deadline: began.Add(10 * time.Second)})
			var refused *azurehitch.ErrRefused
			c.Check(errors.As(err, &refused), qt.IsTrue, qt.Commentf("%v", err))
			return nil
		})
	}
	c.Assert(clock.Sleep(ctx, takeoverDelay), qt.IsNil)
	lease.moveTo("holder")
	c.Assert(pending.Wait(), qt.IsNil)
	c.Assert(clock.Now().Sub(began) < takeoverDelay+500*time.Millisecond, qt.IsTrue, qt.Commentf("took %v", clock.Now().Sub(began)))
	cancel()
	c.Assert(running.Wait(), qt.IsNil)
}
