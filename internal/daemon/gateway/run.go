package gateway

import (
	"context"
	"encoding/json"
	"net"
	"time"

	"azurehitch/internal/account/report"
	"azurehitch/internal/forward/quarantine"
	"azurehitch/internal/peer/mux"
	"azurehitch/internal/peer/peerpb"
	"azurehitch/internal/placement/swappeer"
	"azurehitch/internal/telemetry/logging"
	"azurehitch/internal/telemetry/metrics"
	"azurehitch/internal/transport/retryaccept"

	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"
)

// loopsTimeout limits the wait for the background loops after the planned stop.
const loopsTimeout = 100 * time.Millisecond

// Run runs the daemon until the context ends, makes the planned stop and returns.
func (d *Daemon) Run(ctx context.Context) error {
	running, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, running := errgroup.WithContext(running)
	for _, loop := range []func(context.Context) error{
		d.follower.Run, d.leases.Run, d.snapshots.Run, d.members.Run, d.heldServices.Run, d.holderClient.Run,
		d.quarantine.Run, d.quarantinePeers.Run, d.quarantineLog.Run, d.streamPeers.Run, d.streamLog.Run, d.allowances.Run, d.watchVersions, d.watchMixedServices,
		d.Connections.Run, d.lateness.Run, d.runFollowers, d.runReady, d.runMetrics, d.runPeers, d.runTunnels, d.paths.Run,
	} {
		group.Go(func() error { return loop(running) })
	}
	group.Go(func() error { return d.callers.Serve(d.listeners.callers) })
	group.Go(func() error {
		defer stop()
		select {
		case <-ctx.Done():
			return d.stop(running)
		case <-running.Done():
			return d.listeners.callers.Close()
		}
	})
	addresses := d.Addresses()
	d.Logs.Layer(logging.LayerDaemon).Info().Str("Callers", addresses.Callers).Str("Peers", addresses.Peers).
		Str("Metrics", addresses.Metrics).Str("Store", d.settings.Store).Str("FailureDomain", d.settings.FailureDomain).
		Str("Incarnation", d.self.Incarnation).Msg("daemon started")
	err := d.wait(running, group)
	d.peers.Close()
	d.Logs.Layer(logging.LayerDaemon).Info().Err(err).Msg("daemon stopped")
	return err
}

// wait waits for the background loops of the group. It gives up loopsTimeout after the end of the
// running context, because a loop may be blocked in a call.
func (d *Daemon) wait(running context.Context, group *errgroup.Group) error {
	result := make(chan error, 1)
	var waiter errgroup.Group
	waiter.Go(func() error {
		result <- group.Wait()
		return nil
	})
	<-running.Done()
	timer := time.NewTimer(loopsTimeout)
	defer timer.Stop()
	select {
	case err := <-result:
		return err
	case <-timer.C:
		return nil
	}
}

// Reload applies the stop timeout and the retry limits of changed settings. Changes of the name,
// the failure domain and the addresses need a restart.
func (d *Daemon) Reload(s Settings) {
	d.stopTimeout.Store(int64(s.StopTimeout))
	d.retryBudget.SetLimits(s.retryLimits())
	d.Logs.Layer(logging.LayerDaemon).Info().Dur("StopTimeout", s.StopTimeout).Float64("RetryRatio", s.RetryRatio).
		Float64("RetrySlack", s.RetrySlack).Bool("NeedsRestart", s.needsRestart(d.settings)).Msg("settings reloaded")
}

// runFollowers follows the routing table and the list of servers.
func (d *Daemon) runFollowers(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return d.routingFollower.Run(ctx) })
	group.Go(func() error { return d.fleetFollower.Run(ctx) })
	return group.Wait()
}

func (d *Daemon) runPeers(ctx context.Context) error {
	server := &swappeer.Server{
		Held: d.heldServices, Limits: d.limits, Clock: d.Clock, ReadPositions: d.positionsToConfirm,
		UnlistedShutdowns: d.unlistedShutdowns, RecordShutdowns: d.recordShutdowns,
	}
	handle := func(ctx context.Context, request *peerpb.Request) *peerpb.Response {
		if evidence := request.GetCrashEvidence(); evidence != nil {
			return d.quarantinePeers.Handle(evidence)
		}
		if request.GetStreamsBegan() != nil || request.GetStreamVersion() != nil {
			return d.streamPeers.Handle(request)
		}
		if report := request.GetAllowance(); report != nil {
			return d.allowances.Handle(request.GetDaemon(), report)
		}
		return server.Handle(ctx, request)
	}
	return mux.NewServer(d.retrying("peers", d.listeners.peers), handle).WithMaxMessage(d.settings.MaxPeerMessage).Run(ctx)
}

// runReady serves the readiness checks of the load balancer.
func (d *Daemon) runReady(ctx context.Context) error {
	return serveHTTP(ctx, d.retrying("readiness", d.listeners.ready), func(request *fasthttp.RequestCtx) {
		if !d.isReady() {
			request.SetStatusCode(fasthttp.StatusServiceUnavailable)
		}
	})
}

func (d *Daemon) runMetrics(ctx context.Context) error {
	text := d.Metrics.TextHandler()
	return serveHTTP(ctx, d.retrying("metrics", d.listeners.metrics), func(request *fasthttp.RequestCtx) {
		if string(request.Path()) == report.Path {
			d.reportAccounts(request)
			return
		}
		d.Metrics.Set(metrics.LogLinesDropped, d.Logs.Dropped())
		d.Metrics.Set(metrics.PartsHeld, d.quarantine.HeldCount(quarantine.KindPart))
		d.Metrics.Set(metrics.RequestsHeld, d.quarantine.HeldCount(quarantine.KindRequest))
		d.allowances.UpdateMetrics()
		text(request)
	})
}

// reportAccounts answers with the client accounts as JSON.
func (d *Daemon) reportAccounts(request *fasthttp.RequestCtx) {
	index := d.routing.Index()
	accounts := report.New(d.settings.Name, index.Table.Version, index.Accounts, d.Metrics)
	if index.Table.Version > 0 {
		accounts.ConfigurationAge = d.configurationAge().Seconds()
	}
	request.SetContentType("application/json")
	if err := json.NewEncoder(request).Encode(accounts); err != nil {
		request.Error(err.Error(), fasthttp.StatusInternalServerError)
	}
}

// retrying returns a listener that goes on after errors that pass, and logs them. That of the callers does
// so by itself.
func (d *Daemon) retrying(name string, listener net.Listener) net.Listener {
	return retryaccept.Listen(listener, d.Clock, func(err error) {
		d.Logs.Layer(logging.LayerDaemon).Warn().Str("Listener", name).Err(err).Msg("connection not accepted")
	})
}

func serveHTTP(ctx context.Context, listener net.Listener, handler fasthttp.RequestHandler) error {
	server := &fasthttp.Server{Handler: handler, NoDefaultServerHeader: true, IdleTimeout: time.Minute, ReadTimeout: time.Minute}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return server.Serve(listener) })
	group.Go(func() error {
		<-ctx.Done()
		return listener.Close()
	})
	return group.Wait()
}
