// Package serve assembles and runs a daemon.
//
// # Usage
//
//	daemon, err := serve.New(ctx, settings, platform)
//	err = daemon.Run(ctx)
//
// When the context ends, the daemon makes a planned stop: it releases its pools, refuses
// new requests, completes those in progress and returns.
package serve

import (
	"context"
	"net"
	"sync"
	"time"

	"azurehitch"
	"azurehitch/internal/admin/operator"
	"azurehitch/internal/daemon/settings"
	"azurehitch/internal/forward/backend"
	"azurehitch/internal/forward/caller"
	"azurehitch/internal/idempotency/claimlog"
	"azurehitch/internal/idempotency/outcomes"
	"azurehitch/internal/lease/leaselog"
	"azurehitch/internal/lease/leaserunner"
	"azurehitch/internal/membership/hostwatch"
	"azurehitch/internal/oplog/control"
	"azurehitch/internal/oplog/follow"
	"azurehitch/internal/peer/mux"
	"azurehitch/internal/placement/directory"
	"azurehitch/internal/placement/enginepool"
	"azurehitch/internal/placement/holderpeer"
	"azurehitch/internal/placement/loadslots"
	"azurehitch/internal/telemetry/logging"
	"azurehitch/internal/telemetry/metrics"
	"azurehitch/internal/telemetry/tracing"
	"azurehitch/internal/transport/retryaccept"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

// Platform holds the clients of external systems, the clock, the logs and the tracer.
type Platform struct {
	Log     azurehitch.Log
	Hosts   azurehitch.HostList
	Weights azurehitch.WeightStore
	Engines azurehitch.EngineDialer
	Clock   azurehitch.Clock
	Logs    *logging.Logs
	Tracer  *tracing.Tracer
}

// Daemon serves callers, other daemons and operators on one entry host, which is a host that runs a
// daemon.
type Daemon struct {
	Platform
	settings settings.Settings
	self     leaselog.Holder
	metrics  *metrics.Metrics
	observer *observer

	store        *control.Store
	writer       *control.Writer
	follower     *follow.Follower
	leases       leaserunner.Runner
	snapshots    control.Snapshotter
	claims       *claimlog.Fold
	claimer      *claimlog.Claimer
	callFollower *follow.Follower
	hostWatch    *hostwatch.Watch
	pools        *enginepool.Set
	peers        *mux.Client
	holderClient *holderpeer.Client
	outcomes     *outcomes.Store
	directory    *directory.Directory
	callers      *caller.Server
	limits       *weightLimits
	scheduler    *loadslots.Server
	slotClient   *loadslots.Client

	callerListener net.Listener
	peerListener   net.Listener
	adminListener  net.Listener

	drainOnce sync.Once
	draining  chan struct{}
}

// New opens the listeners of a daemon and assembles it.
func New(s settings.Settings, platform Platform) (*Daemon, error) {
	if err := s.Check(); err != nil {
		return nil, err
	}
	d := &Daemon{
		Platform: platform,
		settings: s,
		self:     leaselog.NewHolder(s.Name),
		metrics:  metrics.New(),
		draining: make(chan struct{}),
	}
	d.observer = newObserver(d.metrics, platform.Logs)
	d.assembleLog()
	d.assemblePlacement()
	d.assembleForwarding()
	return d, d.listen()
}

func (d *Daemon) assembleLog() {
	s := d.settings
	d.store = control.NewStore(d.self, d.Clock)
	d.writer = control.NewWriter(d.Log, s.ControlStream, d.store, d.observer)
	d.follower = follow.NewFollower(d.Log, s.ControlStream, d.store, d.Clock, d.observer)
	d.leases = leaserunner.Runner{
		Store: d.store, Writer: d.writer, Clock: d.Clock, Environment: d.environment, Counters: d.observer,
	}
	d.snapshots = control.Snapshotter{
		Store: d.store, Writer: d.writer, Clock: d.Clock,
		Records: int64(s.SnapshotRecords), Interval: s.SnapshotInterval,
		Rank:       func() int { return max(d.hostWatch.Members().Rank(s.Name), 0) },
		OnAppended: func() { d.metrics.Add(metrics.SnapshotsAppended, 1) },
	}
	d.claims = claimlog.NewFold(d.self, d.Clock, s.IdempotencyWindow)
	d.claimer = claimlog.NewClaimer(d.Log, s.CallStream, d.claims, d.observer)
	d.callFollower = follow.NewFollower(d.Log, s.CallStream, d.claims, d.Clock, d.observer)
	d.hostWatch = hostwatch.New(d.Hosts, d.Clock, d.observer, s.Name)
}

func (d *Daemon) assemblePlacement() {
	d.limits = newWeightLimits(d.Weights, d.Clock)
	d.scheduler = loadslots.NewServer(d.Clock, d.schedulerToken, d.limits.Limits)
	d.peers = mux.NewClient(d.settings.Name)
	d.holderClient = &holderpeer.Client{
		Store:   d.store,
		Slots:   d.scheduler,
		Peers:   d.peers,
		Members: d.hostWatch.Members,
		Engines: d.Engines,
		Clock:   d.Clock,
		Metrics: d.metrics,
		Tracer:  d.Tracer,
	}
	d.slotClient = loadslots.NewClient(d.holderClient, d.Clock, d.observer, d.limits.Limits, func(pool string) { d.pools.Wake(pool) })
	d.pools = enginepool.NewSet(enginepool.Dependencies{
		Store:    d.store,
		Recorder: d.writer,
		Engines:  d.Engines,
		Clock:    d.Clock,
		Counters: d.observer,
		Hosts:    func() map[string]azurehitch.HostState { return d.hostWatch.Members().Backends() },
		Slots:    d.slotClient,
	})
	d.holderClient.Pools = d.pools
	d.directory = directory.New(d.holderClient, d.Clock, d.settings.Name)
}

// schedulerToken returns the fencing token of the lease of the load scheduler; 0 if this
// daemon doesn't hold it.
func (d *Daemon) schedulerToken() int64 {
	token, _ := d.store.Token(loadslots.Lease)
	return token
}

func (d *Daemon) assembleForwarding() {
	s := d.settings
	d.outcomes = outcomes.NewStore(d.Clock, s.IdempotencyWindow)
	d.callers = caller.NewServer(caller.Dependencies{
		Self:          d.self,
		Configuration: d.store.Configuration,
		Members:       d.hostWatch.Members,
		Directory:     d.directory,
		Transport:     backend.NewTransport(d.Clock, d.observer),
		Claimer:       d.claimer,
		Outcomes:      d.outcomes,
		OutcomeClient: d.holderClient,
		Clock:         d.Clock,
		Metrics:       d.metrics,
		Tracer:        d.Tracer,
	}, caller.Settings{
		FailureDomain:  s.FailureDomain,
		DefaultTimeout: s.DefaultTimeout,
		MaxTimeout:     s.MaxTimeout,
		MaxBodyBytes:   s.MaxBodyBytes,
		MaxHeaderBytes: s.MaxHeaderBytes,
		ReadTimeout:    s.ReadTimeout,
		MaxConnections: s.MaxConnections,
	})
}

func (d *Daemon) listen() error {
	for _, l := range []struct {
		flag    string
		address string
		target  *net.Listener
	}{
		{"listen", d.settings.Listen, &d.callerListener},
		{"peer-listen", d.settings.PeerListen, &d.peerListener},
		{"admin-listen", d.settings.AdminListen, &d.adminListener},
	} {
		listener, err := net.Listen("tcp", l.address)
		if err != nil {
			d.closeListeners()
			return errors.Wrapf(err, "--%s %s", l.flag, l.address)
		}
		*l.target = retryaccept.Listen(listener, d.Clock, func(err error) {
			d.Logs.Layer(logging.LayerDaemon).Warn().Str("Listener", l.flag).Err(err).Msg("connection not accepted")
		})
	}
	return nil
}

func (d *Daemon) closeListeners() {
	for _, listener := range []net.Listener{d.callerListener, d.peerListener, d.adminListener} {
		if listener != nil {
			// The listener is not used again, whether closing fails or not.
			_ = listener.Close()
		}
	}
}

// Addresses holds the listen addresses of a daemon.
type Addresses struct {
	Callers string
	Peers   string
	Admin   string
}

// Addresses returns the listen addresses of the daemon.
func (d *Daemon) Addresses() Addresses {
	return Addresses{
		Callers: d.callerListener.Addr().String(),
		Peers:   d.peerListener.Addr().String(),
		Admin:   d.adminListener.Addr().String(),
	}
}

// Metrics returns the metrics of the daemon.
func (d *Daemon) Metrics() *metrics.Metrics { return d.metrics }

// Drain starts a planned stop. Further calls have no effect.
func (d *Daemon) Drain() {
	d.drainOnce.Do(func() { close(d.draining) })
}

func (d *Daemon) isDraining() bool {
	select {
	case <-d.draining:
		return true
	default:
		return d.hostWatch.Members().Leaving
	}
}

func (d *Daemon) adminServer() *fasthttp.Server {
	return &fasthttp.Server{
		Handler: operator.NewHandler(operator.Dependencies{
			Store:      d.store,
			Recorder:   d.writer,
			Pools:      d.pools,
			Callers:    d.callers,
			Metrics:    d.metrics,
			Daemons:    func() []string { return d.hostWatch.Members().Daemons },
			Status:     d.daemonStatus,
			Drain:      d.Drain,
			IsDraining: d.isDraining,
			KeySHA256:  d.settings.AdminKeySHA256,
		}),
		Name:               "azurehitch",
		MaxRequestBodySize: maxAdminBodyBytes,
		ReadTimeout:        d.settings.ReadTimeout,
		IdleTimeout:        time.Minute,
		CloseOnShutdown:    true,
	}
}

func (d *Daemon) peerServer() *mux.Server {
	server := &holderpeer.Server{
		Store: d.store, Pools: d.pools, Outcomes: d.outcomes, Slots: d.scheduler, Clock: d.Clock, Tracer: d.Tracer,
		Status: d.status,
	}
	return mux.NewServer(d.peerListener, server.Handler())
}

// Self returns the identity of the daemon.
func (d *Daemon) Self() leaselog.Holder { return d.self }

// WaitReady waits until the daemon has read a configuration from the log. If the context ends first,
// the error wraps the error of the context.
func (d *Daemon) WaitReady(ctx context.Context) error {
	for d.store.Configuration().Version == 0 {
		changed := d.store.Changed()
		if d.store.Configuration().Version != 0 {
			break
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "wait for a configuration")
		}
	}
	return nil
}
