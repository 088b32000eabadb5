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

// leases names the holder of a service, and tells when it changes.
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

// TestFollowLease answers the load of requests that have asked a holder which is gone without a word,
// as a host that lost its power: they ask the next one as soon as it holds the lease.
func TestFollowLease(t *testing.T) {
	const requests, lapse = 30, 200 * time.Millisecond
	c := qt.New(t)
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer silent.Close()
	held := newHeld()
	ctx, cancel := context.WithCancel(context.Background())
	var running errgroup.Group
	running.Go(func() error { return held.Run(ctx) })
	clock := azurehitch.SystemClock{}
	lease := &leases{holder: "gone", changed: make(chan struct{})}
	client := swappeer.NewClient(swappeer.Dependencies{
		Self: "holder", Holder: lease.Holder, LeaseChanged: lease.Changed, Held: held,
		Address: func(string) (string, bool) { return silent.Addr().String(), true },
		Peers:   mux.NewClient("holder"), Clock: clock, Metrics: metrics.New(),
	})
	var asking errgroup.Group
	began := clock.Now()
	for i := range requests {
		asking.Go(func() error {
			_, err := client.Find(ctx, "llm", swap.Need{ID: string(rune('a' + i)), Model: "m", Deadline: began.Add(10 * time.Second)})
			var refused *azurehitch.ErrRefused
			c.Check(errors.As(err, &refused), qt.IsTrue, qt.Commentf("%v", err))
			return nil
		})
	}
	c.Assert(clock.Sleep(ctx, lapse), qt.IsNil)
	lease.moveTo("holder")
	c.Assert(asking.Wait(), qt.IsNil)
	c.Assert(clock.Now().Sub(began) < lapse+500*time.Millisecond, qt.IsTrue, qt.Commentf("took %v", clock.Now().Sub(began)))
	cancel()
	c.Assert(running.Wait(), qt.IsNil)
}
