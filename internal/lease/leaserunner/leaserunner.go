// Package leaserunner appends the claims, renewals and releases of one daemon's leases to the log.
//
// # Usage
//
//	runner := leaserunner.Runner{Store: store, Writer: writer, Clock: clock, Environment: environment, Counters: counters}
//	group.Go(func() error { return runner.Run(ctx) })
//	err := runner.Release(ctx)
package leaserunner

import (
	"context"
	"time"

	"azurehitch"
	"azurehitch/internal/lease/leaselog"
	"azurehitch/internal/oplog/control"

	"golang.org/x/sync/errgroup"
)

const tickInterval = 100 * time.Millisecond

// Counters counts the records that the runner appends.
type Counters interface {
	ClaimDecided(won bool)
	LeasesRenewed()
	LeaseReleased()
	// EraStarted is called after an attempt to append the record that starts an era.
	EraStarted(start leaselog.EraStart, err error)
	// IntentLeftOpen counts failed attempts to append the record that closes an intent.
	IntentLeftOpen(pool string)
}

// Runner maintains the leases of one daemon.
type Runner struct {
	Store  *control.Store
	Writer *control.Writer
	Clock  azurehitch.Clock
	// Environment returns the current input of leaselog.Manager.Decide that does not come from the
	// lease records, such as the live daemons. It is called at each step.
	Environment func() leaselog.Environment
	Counters    Counters
	// AwaitOrders waits until no order of this daemon for a pool is in flight. It is called after
	// this daemon has stopped sending orders for the pool, and before the release lets another daemon
	// send orders for it. If nil, releases don't wait.
	AwaitOrders func(ctx context.Context, pool string)
}

// Run appends the records that are due until the context is done. It returns nil.
func (r Runner) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		for {
			r.step(ctx, group)
			if err := r.Clock.Sleep(ctx, tickInterval); err != nil {
				return nil
			}
		}
	})
	return group.Wait()
}

func (r Runner) step(ctx context.Context, group *errgroup.Group) {
	for _, action := range r.Store.Decide(r.Environment()) {
		group.Go(func() error {
			// Decide returns a record again if it was not appended.
			_ = r.append(ctx, action)
			return nil
		})
	}
	for _, resolution := range r.Store.TakePendingResolutions() {
		group.Go(func() error {
			if _, err := r.Writer.Append(ctx, control.Record{Resolution: &resolution}); err != nil {
				r.Counters.IntentLeftOpen(resolution.Pool)
				r.Store.ReturnPendingResolution(resolution)
			}
			return nil
		})
	}
}

func (r Runner) append(ctx context.Context, action leaselog.Action) error {
	if action.EraStart != nil {
		err := r.Writer.StartEra(ctx, *action.EraStart)
		r.Counters.EraStarted(*action.EraStart, err)
		return err
	}
	if action.Release != nil {
		r.Store.BeginRelease(action.Release.Pool)
		if r.AwaitOrders != nil {
			r.AwaitOrders(ctx, action.Release.Pool)
		}
	}
	record := control.Record{Claim: action.Claim, Renewal: action.Renew, Release: action.Release}
	verdict, err := r.Writer.Append(ctx, record)
	if err != nil {
		return err
	}
	switch {
	case action.Claim != nil:
		r.Counters.ClaimDecided(verdict.Err == nil)
	case action.Renew:
		r.Counters.LeasesRenewed()
	case action.Release != nil:
		r.Counters.LeaseReleased()
	}
	return nil
}

// Release releases all leases, so that other daemons need not wait until they expire. It returns
// the first error of an append.
func (r Runner) Release(ctx context.Context) error {
	var group errgroup.Group
	for _, action := range r.Store.Releases() {
		group.Go(func() error { return r.append(ctx, action) })
	}
	return group.Wait()
}
