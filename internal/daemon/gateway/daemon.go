// Package gateway assembles and runs the daemon that forwards requests by host and path.
//
// # Usage
//
//	daemon, err := gateway.New(settings, platform)
//	err = daemon.Run(ctx)
//
// When the context ends, the daemon makes a planned stop: it releases its leases, reports to the load
// balancer that it is not ready, completes the requests in progress and returns.
package gateway

import (
	"context"
	"runtime/debug"
	"slices"
	"sync/atomic"
	"time"

	"azurehitch"
	"azurehitch/internal/allowance/allowancepeer"
	"azurehitch/internal/configuration/routing"
	"azurehitch/internal/daemon/lateness"
	"azurehitch/internal/forward/backoff"
	"azurehitch/internal/forward/breaker"
	"azurehitch/internal/forward/crashcheck"
	"azurehitch/internal/forward/hedge"
	"azurehitch/internal/forward/passthrough"
	"azurehitch/internal/forward/place"
	"azurehitch/internal/forward/quarantine"
	"azurehitch/internal/forward/quarantinelog"
	"azurehitch/internal/forward/quarantinepeer"
	"azurehitch/internal/forward/rejectbudget"
	"azurehitch/internal/forward/retrybudget"
	"azurehitch/internal/forward/streamlog"
	"azurehitch/internal/forward/streampeer"
	"azurehitch/internal/forward/streams"
	"azurehitch/internal/lease/leaselog"
	"azurehitch/internal/lease/leaserunner"
	"azurehitch/internal/membership/fleet"
	"azurehitch/internal/membership/members"
	"azurehitch/internal/membership/serverlimit"
	"azurehitch/internal/oplog/breakerlog"
	"azurehitch/internal/oplog/compacted"
	"azurehitch/internal/oplog/control"
	"azurehitch/internal/oplog/follow"
	"azurehitch/internal/peer/mux"
	"azurehitch/internal/placement/swapholder"
	"azurehitch/internal/placement/swappeer"
	"azurehitch/internal/telemetry/logging"
	"azurehitch/internal/telemetry/metrics"
	"azurehitch/internal/transport/connpool"
	"azurehitch/internal/transport/serverpath"
	"azurehitch/internal/transport/tunnelpeer"
)

const (
	controlStream    = "control"
	memberStream     = "members"
	quarantineStream = "quarantine"
	originStream     = "origins"
	// memoryLimitRatio is the soft memory limit of the Go runtime as a fraction of Settings.Memory.
	memoryLimitRatio = 0.6
	// snapshotRecords is the number of records after which a snapshot of the leases is due.
	snapshotRecords = 2000
	// snapshotsPerRetention is the number of lease snapshots within the retention of the log.
	snapshotsPerRetention = 3
)

// Platform holds the clients of external systems, the clocks, and the logs and metrics.
type Platform struct {
	Log         azurehitch.Log
	Keyed       azurehitch.KeyedLog
	Routing     azurehitch.RoutingDecoder
	Fleet       azurehitch.FleetDecoder
	Engines     azurehitch.EngineControl
	Protocol    azurehitch.ExchangeProtocol
	Connections *connpool.Pool
	Clock       azurehitch.Clock
	// LeaseClock includes the time for which the machine is suspended.
	LeaseClock azurehitch.Clock
	Logs       *logging.Logs
	Metrics    *metrics.Metrics
}

// Daemon forwards requests by host and path, and holds leases of services with model engines.
type Daemon struct {
	Platform
	settings Settings
	self     leaselog.Holder
	observer *observer

	// breakerLog reads the platform's log through a circuit breaker, which opens while no stream
	// can be read.
	breakerLog *breakerlog.Log
	store      *control.Store
	writer     *control.Writer
	follower   *follow.Follower
	leases     leaserunner.Runner
	snapshots  control.Snapshotter
	routing    *routing.Fold
	fleet      *fleet.Fold
	// routingFollower applies the routing stream to routing, and fleetFollower the server entries to
	// fleet.
	routingFollower *compacted.Follower
	fleetFollower   *compacted.Follower
	members         *members.Directory
	heldServices    *swapholder.Set
	peers           *mux.Client
	holderClient    *swappeer.Client
	callers         *passthrough.Server
	backoffs        *backoff.Tracker
	limits          *serverlimit.Tracker
	rejections      *rejectbudget.Tracker
	retryBudget     *retrybudget.Budget
	quarantine      *quarantine.Tracker
	crashes         *crashcheck.Checker
	quarantinePeers *quarantinepeer.Client
	quarantineLog   *quarantinelog.Log
	streams         *streams.Registry
	streamLog       *streamlog.Log
	streamPeers     *streampeer.Client
	allowances      *allowancepeer.Client
	paths           *serverpath.Dialer
	tunnelServer    *tunnelpeer.Server

	startedAt time.Time
	listeners listeners
	stopping  atomic.Bool
	// lateness measures how late the process runs, on the LeaseClock.
	lateness *lateness.Monitor
	// stopTimeout is Settings.StopTimeout of the last reload, in nanoseconds.
	stopTimeout atomic.Int64
}

// New opens the listeners of a daemon and assembles it. Addresses returns the listen addresses, also
// where a setting leaves the choice of the port to the system with port 0.
func New(s Settings, platform Platform) (*Daemon, error) {
	opened, err := listen(s)
	if err != nil {
		return nil, err
	}
	d := &Daemon{
		Platform: platform,
		settings: s,
		self:     leaselog.NewHolder(s.Name), startedAt: platform.Clock.Now(),
		listeners: opened,
		lateness:  lateness.New(platform.LeaseClock),
	}
	d.stopTimeout.Store(int64(s.StopTimeout))
	d.observer = newObserver(platform.Metrics, platform.Logs)
	if s.Memory > 0 {
		debug.SetMemoryLimit(int64(float64(s.Memory) * memoryLimitRatio))
	}
	d.breakerLog = breakerlog.New(platform.Log, platform.Keyed, platform.Clock)
	d.assembleState()
	d.assemblePlacement()
	d.assembleQuarantine()
	d.assembleStreams()
	d.assembleAllowances()
	d.assemblePaths()
	d.assembleForwarding()
	d.assembleTunnelServer()
	return d, nil
}

func (d *Daemon) assembleState() {
	d.store = control.NewStore(d.self, d.LeaseClock).WithoutTables().WithObserver(d.observer)
	d.writer = control.NewWriter(d.Log, controlStream, d.store, d.observer)
	d.follower = follow.NewFollower(d.breakerLog, controlStream, d.store, d.LeaseClock, d.observer).DelayReadsWhile(d.canDelayLeaseReads)
	d.routing = routing.NewFold(d.Platform.Routing, d.observer)
	d.fleet = fleet.NewFold(d.Platform.Fleet.Decode, d.observer)
	self := members.Member{
		Name: d.settings.Name, Incarnation: d.self.Incarnation, Address: d.Addresses().Peers,
		Processor: d.settings.Processor, Bandwidth: d.settings.Bandwidth,
		Tunnels: d.Addresses().Tunnels, FailureDomain: d.settings.FailureDomain,
	}
	d.assembleFollowers()
	d.members = members.New(d.breakerLog, memberStream, self, d.Clock, d.observer)
	d.leases = leaserunner.Runner{
		Store: d.store, Writer: d.writer, Clock: d.Clock, Environment: d.environment, Counters: d.observer,
		AwaitOrders: d.awaitOrders,
	}
	d.snapshots = control.Snapshotter{
		Store: d.store, Writer: d.writer, Clock: d.Clock, Records: snapshotRecords,
		Interval:   d.settings.LogRetention / snapshotsPerRetention,
		Rank:       d.rank,
		OnAppended: func() { d.Metrics.Add(metrics.SnapshotsAppended, 1) },
	}
}

// takeoverTime is the approximate time from the expiry of a lease until the next holder can answer
// requests. The next holder first notices the expiry, claims the lease and reads the engine reports.
const takeoverTime = 1200 * time.Millisecond

// successorCount is the number of daemons per service that always read the leases without delay:
// the first in the ranking of the service, which are the next to claim its lease. The holder also
// reads them without delay.
const successorCount = 4

// canDelayLeaseReads reports whether this daemon may read the leases with a delay: other daemons hold
// the leases of all services and have answered recently, and this daemon is not a successor of any.
func (d *Daemon) canDelayLeaseReads() bool {
	return d.holderClient.AllHoldersAnswer() && !slices.ContainsFunc(d.engineServices(), d.isSuccessor)
}

// isSuccessor reports whether this daemon is among the first successorCount daemons in the ranking
// of a service by leaselog.Rank.
func (d *Daemon) isSuccessor(service string) bool {
	ranking := leaselog.Rank(service, d.members.StrongDaemons(), leaselog.Load{})
	return slices.Contains(ranking[:min(successorCount, len(ranking))], d.settings.Name)
}

func (d *Daemon) assemblePlacement() {
	d.peers = mux.NewClient(d.settings.Name).WithMaxMessage(d.settings.MaxPeerMessage)
	d.backoffs = backoff.New(d.settings.Name, d.Clock)
	d.limits = serverlimit.New(d.settings.Name, d.members.Names, d.Clock, d)
	d.rejections = d.newRejections()
	settleTime, returnDelay := swapholder.SettleTime, d.settings.ReclaimDelay
	if d.settings.TokensChecked {
		settleTime, returnDelay = 0, 0
	}
	d.heldServices = swapholder.NewSet(swapholder.Dependencies{
		Self: d.settings.Name, SettleTime: settleTime, ReturnDelay: returnDelay, Token: d.token, LeaseChanged: d.store.Changed, RaiseTokens: d.store.RaiseTokens,
		Routing: d.routing.Table,
		Fleet:   d.fleet.View, Limits: d.limits, Engines: d.Engines, OnNotice: d.handleNotice, Clock: d.Clock, Logs: d.Logs, Metrics: d.Metrics, Settings: d.settings.Swap,
	})
	d.holderClient = swappeer.NewClient(swappeer.Dependencies{
		Self:              d.settings.Name,
		Holder:            func(service string) leaselog.Holder { return d.store.Lease(service).Holder },
		LeaseChanged:      d.store.Changed,
		Address:           d.members.Address,
		Services:          d.engineServices,
		ConfirmPositions:  d.recordPositions,
		UnlistedShutdowns: d.unlistedShutdowns, RecordShutdowns: d.recordShutdowns,
		Limits: d.limits, Held: d.heldServices, Peers: d.peers, Clock: d.Clock, Logs: d.Logs, Metrics: d.Metrics,
	})
}

func (d *Daemon) assembleForwarding() {
	s := d.settings
	breakers := breaker.NewBreakers(d.Clock).WithCutOff(d.isCutOff)
	d.retryBudget = retrybudget.New(d.Clock, s.retryLimits(), budgetMembers{d})
	d.callers = passthrough.NewServer(passthrough.Dependencies{
		Routing:  d.routing.Index,
		Protocol: d.Protocol,
		Placer: place.New(place.Dependencies{
			Self: s.Name, FailureDomain: s.FailureDomain, Fleet: d.fleet.View, Holders: d.holderClient, Breakers: breakers,
			Backoffs: d.backoffs, Limits: d.limits, Rejections: d.rejections, MaxHolderAbsence: s.LeaseDuration + takeoverTime, Clock: d.Clock,
		}),
		Connections:      d.Connections,
		ConnectionShare:  d.connectionShare,
		Breakers:         breakers,
		Backoffs:         d.backoffs,
		Limits:           d.limits,
		Rejections:       d.rejections,
		ConfigurationAge: d.configurationAge,
		Allowances:       d.allowances,
		Quarantine:       d.quarantine,
		Streams:          streamVersions{d.streams, d.streamPeers},
		OnNotice:         d.handleNotice,
		Budget:           d.retryBudget,
		Hedges:           hedge.New(d.Clock, d.retryBudget, s.HedgeShare),
		ListedServers:    func(service string) []azurehitch.FleetServer { return d.fleet.View().Service(service) },
		Clock:            d.Clock, Logs: d.Logs, Metrics: d.Metrics,
	}, passthrough.Settings{
		MaxBodyBytes: s.MaxBodyBytes, MaxHeaderBytes: s.MaxHeaderBytes,
		ReadTimeout: s.ReadTimeout, IdleTimeout: s.IdleTimeout, MaxConnections: s.MaxConnections,
		MaxBufferedAnswer: s.MaxBufferedAnswer, MaxAnswer: s.MaxAnswer, MaxEvent: s.MaxEvent,
		MaxConfigurationAge: s.MaxConfigurationAge,
	})
}

func (d *Daemon) engineServices() []string {
	var names []string
	for name, service := range d.routing.Table().Services {
		if service.Engine != nil {
			names = append(names, name)
		}
	}
	return names
}

func (d *Daemon) environment() leaselog.Environment {
	environment := leaselog.Environment{
		Daemons: d.members.Names(), PreferredDaemons: d.members.StrongDaemons(), MembersIncomplete: d.members.IsIncomplete(),
		Draining: d.stopping.Load(), PredecessorEnded: true,
	}
	if !d.settings.TokensChecked {
		environment.ReclaimDelay = d.settings.ReclaimDelay
	}
	for _, name := range d.engineServices() {
		environment.Pools = append(environment.Pools, leaselog.PoolSetting{
			Name: name, Duration: d.settings.LeaseDuration, Unreachable: d.isUnreachable(name),
		})
	}
	return environment
}

// token returns the fencing token with which this daemon may send orders to the engines of a
// service, and whether the lease is valid. If engines don't check tokens, the lease must stay valid
// until an order that is sent now has arrived.
func (d *Daemon) token(service string) (token int64, valid bool) {
	if d.settings.TokensChecked {
		return d.store.Token(service)
	}
	return d.store.TokenValidFor(service, swapholder.OrderArrivalLimit)
}

// awaitOrders waits until no order for a service is in flight, at most for
// swapholder.OrderArrivalLimit.
func (d *Daemon) awaitOrders(ctx context.Context, service string) {
	ctx, cancel := context.WithTimeout(ctx, swapholder.OrderArrivalLimit)
	defer cancel()
	// What the server's host has not received after OrderArrivalLimit is discarded.
	_ = d.heldServices.AwaitOrders(ctx, service)
}

// isReady reports whether the daemon can serve callers: it has read the routing table and the list
// of servers, and is not stopping.
func (d *Daemon) isReady() bool {
	return d.routing.Table().Version > 0 && !d.fleet.View().ReadAt.IsZero() && !d.stopping.Load()
}
