package serve

import (
	"context"
	"time"

	"azurehitch/internal/configuration/tables"
	"azurehitch/internal/lease/leaselog"
	"azurehitch/internal/peer/peerpb"
	"azurehitch/internal/placement/loadslots"
	"azurehitch/internal/proof/sabotage"
	"azurehitch/internal/telemetry/logging"
	"azurehitch/internal/telemetry/metrics"
	"azurehitch/internal/transport/countconn"
	"azurehitch/internal/transport/jsonhttp"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
)

const (
	gaugeInterval          = 200 * time.Millisecond
	fetchInterval          = 500 * time.Millisecond
	releaseTimeout         = 3 * time.Second
	schedulerLeaseDuration = 15 * time.Second
	maxAdminBodyBytes      = 3 * tables.MaxTableBytes
)

// Run runs the daemon until the context ends or Drain is called, makes the planned stop
// and returns.
func (d *Daemon) Run(ctx context.Context) error {
	running, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, running := errgroup.WithContext(running)
	for _, loop := range []func(context.Context) error{
		d.follower.Run, d.callFollower.Run, d.hostWatch.Run, d.pools.Run, d.limits.Run, d.scheduler.Run, d.slotClient.Run,
		d.leases.Run, d.snapshots.Run, d.runGauges, d.runStateFetch, d.peerServer().Run, d.runAdmin,
	} {
		group.Go(func() error { return loop(running) })
	}
	group.Go(func() error { return d.callers.Serve(d.callerListener) })
	group.Go(func() error {
		defer stop()
		select {
		case <-ctx.Done():
			d.Drain()
		case <-d.draining:
		case <-running.Done():
		}
		return d.stop(running)
	})
	addresses := d.Addresses()
	d.Logs.Layer(logging.LayerDaemon).Info().Str("Callers", addresses.Callers).Str("Peers", addresses.Peers).
		Str("Admin", addresses.Admin).Str("Incarnation", d.self.Incarnation).Msg("daemon started")
	err := group.Wait()
	d.peers.Close()
	d.Logs.Layer(logging.LayerDaemon).Info().Err(err).Msg("daemon stopped")
	return err
}

func (d *Daemon) runAdmin(ctx context.Context) error {
	return jsonhttp.Serve(ctx, d.adminListener, d.adminServer())
}

// stop makes the planned stop. It releases the pools first, so that other daemons take
// them over while the requests in progress complete.
func (d *Daemon) stop(ctx context.Context) error {
	d.Logs.Layer(logging.LayerDaemon).Info().Msg("draining")
	d.releasePools(ctx)
	if err := d.Clock.Sleep(ctx, d.settings.DrainDelay); err != nil {
		return nil
	}
	limited, cancel := context.WithTimeout(ctx, d.settings.DrainTimeout)
	defer cancel()
	if sabotage.Active(sabotage.SkipDrain) {
		return d.callerListener.Close()
	}
	if err := d.callers.Drain(limited); err != nil {
		return err
	}
	return d.callers.Shutdown(limited)
}

func (d *Daemon) releasePools(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	if sabotage.Active(sabotage.SkipRelease) {
		return
	}
	if err := d.pools.SaveHistories(ctx); err != nil {
		d.Logs.Layer(logging.LayerPlacement).Warn().Err(err).Msg("what was learnt of pools was not recorded")
	}
	if err := d.leases.Release(ctx); err != nil {
		d.Logs.Layer(logging.LayerLease).Warn().Err(err).Msg("pools were not all released")
	}
}

func (d *Daemon) environment() leaselog.Environment {
	members := d.hostWatch.Members()
	pools := d.store.LeasedPools()
	if d.store.Published().Version > 0 {
		pools = append(pools, leaselog.PoolSetting{Name: loadslots.Lease, Duration: schedulerLeaseDuration})
	}
	return leaselog.Environment{Pools: pools, Daemons: members.Daemons, Draining: d.isDraining()}
}

// runGauges updates the gauges every gaugeInterval until the context ends, and logs each
// change of the configuration in force.
func (d *Daemon) runGauges(ctx context.Context) error {
	for {
		if err := d.Clock.Sleep(ctx, gaugeInterval); err != nil {
			return nil
		}
		d.updateGauges()
	}
}

func (d *Daemon) updateGauges() {
	d.metrics.Set(metrics.FoldedTo, d.store.FoldedTo())
	read, written := countconn.Totals()
	d.metrics.Set(metrics.ControlBytesRead, read)
	d.metrics.Set(metrics.ControlBytesWritten, written)
	d.metrics.Set(metrics.RecordsDamaged, int64(d.store.DamagedRecords()))
	d.metrics.Set(metrics.KeysClaimed, int64(d.claims.Len()))
	d.metrics.Set(metrics.ClaimGaps, int64(d.claims.Gaps()))
	d.updateUnreadable(d.store.IsUnreadable())
	version := d.store.Configuration().Version
	if d.metrics.Get(metrics.ConfigurationVersion) != version {
		d.metrics.Add(metrics.ConfigurationChanges, 1)
		d.metrics.Set(metrics.ConfigurationVersion, version)
		d.Logs.Layer(logging.LayerConfiguration).Info().Int64("Version", version).Msg("configuration in force")
	}
}

// updateUnreadable updates the metric ConfigurationUnreadable, and logs when this release
// becomes unable, or able again, to read the tables in force.
func (d *Daemon) updateUnreadable(unreadable bool) {
	before := d.metrics.Get(metrics.ConfigurationUnreadable) == 1
	if unreadable == before {
		return
	}
	value, message := int64(0), "tables in force are readable again"
	if unreadable {
		value, message = 1, "this release can't read the tables in force: it keeps the last ones and holds no pools"
	}
	d.metrics.Set(metrics.ConfigurationUnreadable, value)
	d.Logs.Layer(logging.LayerConfiguration).Warn().Int64("Version", d.store.Published().Version).Msg(message)
}

// runStateFetch fetches the control state from other daemons every fetchInterval until this daemon
// has read the log for the first time.
func (d *Daemon) runStateFetch(ctx context.Context) error {
	for d.store.ReadAt().IsZero() {
		if err := d.Clock.Sleep(ctx, fetchInterval); err != nil {
			return nil
		}
		if d.store.ReadAt().IsZero() && d.holderClient.FetchState(ctx) {
			d.Logs.Layer(logging.LayerLog).Info().Int64("FoldedTo", d.store.FoldedTo()).Msg("state taken from a peer")
		}
	}
	return nil
}

func (d *Daemon) status() *peerpb.StatusResponse {
	response := &peerpb.StatusResponse{
		Daemon:               d.self.Daemon,
		Incarnation:          d.self.Incarnation,
		ConfigurationVersion: d.store.Configuration().Version,
		FoldedTo:             d.store.FoldedTo(),
		Draining:             d.isDraining(),
		RequestsInProgress:   d.metrics.Get(metrics.RequestsInProgress),
	}
	for _, lease := range d.store.Leases() {
		if lease.Holder == d.self {
			response.PoolsHeld = append(response.PoolsHeld, lease.Pool)
		}
	}
	return response
}

func (d *Daemon) daemonStatus(ctx context.Context, daemon string) (*peerpb.StatusResponse, error) {
	if daemon == d.settings.Name {
		return d.status(), nil
	}
	status, err := d.holderClient.Status(ctx, daemon)
	if err == nil && status == nil {
		return nil, errors.Errorf("daemon %s gave no status", daemon)
	}
	return status, err
}
