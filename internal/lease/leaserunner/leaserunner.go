// Package leaserunner claims, renews and releases the leases of one daemon on the
// log.
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

// Counters counts what the runner does.
type Counters interface {
	ClaimSettled(won bool)
	LeasesRenewed()
	LeaseReleased()
	// IntentLeftOpen counts resolutions that could not be recorded.
	IntentLeftOpen(pool string)
}

// Runner runs the leases of one daemon.
type Runner struct {
	Store  *control.Store
	Writer *control.Writer
	Clock  azurehitch.Clock
	// Environment returns what the decisions need besides the log.
	Environment func() leaselog.Environment
	Counters    Counters
	// Settle waits until no order for a pool is on its way; nil doesn't wait. It is called when no
	// further one is sent, and before others may order.
	Settle func(ctx context.Context, pool string)
}

// Run appends the records that are due until the context ends.
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
			// A record that failed is due again.
			_ = r.append(ctx, action)
			return nil
		})
	}
	for _, orphan := range r.Store.TakeOrphans() {
		group.Go(func() error {
			if _, err := r.Writer.Append(ctx, control.Record{Resolution: &orphan}); err != nil {
				r.Counters.IntentLeftOpen(orphan.Pool)
				r.Store.ReturnOrphan(orphan)
			}
			return nil
		})
	}
}

func (r Runner) append(ctx context.Context, action leaselog.Action) error {
	if action.Release != nil {
		r.Store.Yield(action.Release.Pool)
		if r.Settle != nil {
			r.Settle(ctx, action.Release.Pool)
		}
	}
	record := control.Record{Claim: action.Claim, Renewal: action.Renew, Release: action.Release}
	verdict, err := r.Writer.Append(ctx, record)
	if err != nil {
		return err
	}
	switch {
	case action.Claim != nil:
		r.Counters.ClaimSettled(verdict.Err == nil)
	case action.Renew:
		r.Counters.LeasesRenewed()
	case action.Release != nil:
		r.Counters.LeaseReleased()
	}
	return nil
}

// Release gives all leases back, so that others need not wait for them to expire.
func (r Runner) Release(ctx context.Context) error {
	var group errgroup.Group
	for _, action := range r.Store.Releases() {
		group.Go(func() error { return r.append(ctx, action) })
	}
	return group.Wait()
}
