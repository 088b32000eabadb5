// Package gateway assembles the daemon that passes requests through by host and path, and
// runs it.
//
// # Usage
//
//	daemon, err := gateway.New(settings, platform)
//	err = daemon.Run(ctx)
//
// The end of the context is a planned stop: the daemon gives its leases to others, tells
// the balancer that it is not ready, ends the requests in progress and returns.
package gateway

import (
	"context"
	"net"
	"runtime/debug"
	"slices"
	"sync/atomic"
	"time"

	"azurehitch"
	"azurehitch/internal/configuration/routing"
	"azurehitch/internal/forward/breaker"
	"azurehitch/internal/forward/passthrough"
	"azurehitch/internal/forward/place"
	"azurehitch/internal/forward/rest"
	"azurehitch/internal/forward/retrybudget"
	"azurehitch/internal/lease/leaselog"
	"azurehitch/internal/lease/leaserunner"
	"azurehitch/internal/membership/fleet"
	"azurehitch/internal/membership/members"
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

	"github.com/pkg/errors"
)

const (
	controlStream = "control"
	memberStream  = "members"
	// memoryPart is the part of its memory that the runtime keeps to.
	memoryPart = 0.6
	// snapshotRecords is after how many records a snapshot of the leases is due.
	snapshotRecords = 2000
	// snapshotsPerRetention is how many snapshots of the leases the log keeps.
	snapshotsPerRetention = 3
)

// The pace at which the streams of the platform are read, by most daemons and by a holder that
// vouches for them.
var (
	routingPace  = compacted.Pace{Wait: 1500 * time.Millisecond}
	fleetPace    = compacted.Pace{Wait: time.Second, Interval: 850 * time.Millisecond}
	vouchingPace = compacted.Pace{Wait: 300 * time.Millisecond}
)

// Platform is the outside systems.
type Platform struct {
	Log         azurehitch.Log
	Keyed       azurehitch.KeyedLog
	Routing     azurehitch.RoutingDecoder
	Fleet       azurehitch.FleetDecoder
	Engines     azurehitch.EngineControl
	Protocol    azurehitch.ExchangeProtocol
	Connections *connpool.Pool
	Clock       azurehitch.Clock
	// LeaseClock counts the time for which the machine is suspended.
	LeaseClock azurehitch.Clock
	Logs       *logging.Logs
	Metrics    *metrics.Metrics
}

// Daemon is one daemon.
type Daemon struct {
	Platform
	settings Settings
	self     leaselog.Holder
	observer *observer

	// reads are the reads of the platform's log, which are held back while it answers none.
	reads     *breakerlog.Log
	store     *control.Store
	writer    *control.Writer
	follower  *follow.Follower
	leases    leaserunner.Runner
	snapshots control.Snapshotter
	routing   *routing.Fold
	fleet     *fleet.Fold
	// routingFollower and fleetFollower feed the folds.
	routingFollower *compacted.Follower
	fleetFollower   *compacted.Follower
	members         *members.Directory
	held            *swapholder.Set
	peers           *mux.Client
	swaps           *swappeer.Client
	callers         *passthrough.Server
	rests           *rest.Rests
	budget          *retrybudget.Budget

	listeners listeners
	stopping  atomic.Bool
	// stopTimeout is how long a planned stop may take, by the last settings.
	stopTimeout atomic.Int64
}

// listeners are where a daemon is reached.
type listeners struct {
	callers net.Listener
	ready   net.Listener
	peers   net.Listener
	metrics net.Listener
}

// New opens the listeners of a daemon and assembles it.
func New(s Settings, platform Platform) (*Daemon, error) {
	d := &Daemon{
		Platform: platform,
		settings: s,
		self:     leaselog.NewHolder(s.Name),
	}
	d.stopTimeout.Store(int64(s.StopTimeout))
	d.observer = newObserver(platform.Metrics, platform.Logs)
	if s.Memory > 0 {
		debug.SetMemoryLimit(int64(float64(s.Memory) * memoryPart))
	}
	d.reads = breakerlog.New(platform.Log, platform.Keyed, platform.Clock)
	d.assembleState()
	d.assemblePlacement()
	d.assembleForwarding()
	return d, d.listen()
}

func (d *Daemon) assembleState() {
	d.store = control.NewStore(d.self, d.LeaseClock).WithoutTables()
	d.writer = control.NewWriter(d.Log, controlStream, d.store, d.observer)
	d.follower = follow.NewFollower(d.reads, controlStream, d.store, d.LeaseClock, d.observer).RestWhile(d.needsNoLeases)
	d.routing = routing.NewFold(d.Platform.Routing, d.observer)
	d.fleet = fleet.NewFold(d.Platform.Fleet.Decode, d.observer)
	self := members.Member{
		Name: d.settings.Name, Incarnation: d.self.Incarnation, Address: d.settings.Peers,
		Processor: d.settings.Processor, Bandwidth: d.settings.Bandwidth,
	}
	d.assembleFollowers()
	d.members = members.New(d.reads, memberStream, self, d.Clock, d.observer)
	d.leases = leaserunner.Runner{
		Store: d.store, Writer: d.writer, Clock: d.Clock, Environment: d.environment, Counters: d.observer,
		Settle: d.settle,
	}
	d.snapshots = control.Snapshotter{
		Store: d.store, Writer: d.writer, Clock: d.Clock, Records: snapshotRecords,
		Interval: d.settings.LogRetention / snapshotsPerRetention,
		Rank:     d.rank,
		Appended: func() { d.Metrics.Add(metrics.SnapshotsAppended, 1) },
	}
}

func (d *Daemon) assembleFollowers() {
	stream, _ := d.Platform.Routing.Stream()
	d.routingFollower = compacted.NewVouchedFollower(d.reads, stream, d.routing, d.Clock, d.observer,
		compacted.Paces{Own: routingPace, Vouching: vouchingPace, IsVouching: d.isVouching})
	d.fleetFollower = compacted.NewVouchedFollower(d.reads, d.Platform.Fleet.Stream(), d.fleet, d.Clock, d.observer,
		compacted.Paces{Own: fleetPace, Vouching: vouchingPace, IsVouching: d.isVouching})
}

// isVouching reports whether the others rely on what this daemon reads. It reads more often
// then.
func (d *Daemon) isVouching() bool {
	return d.daemons() >= d.settings.VouchFrom && slices.ContainsFunc(d.engineServices(), func(service string) bool {
		return d.store.Lease(service).Holder == d.self
	})
}

// positions is how far this daemon has read the streams that all follow. It is empty when it
// doesn't vouch for others.
func (d *Daemon) positions() []compacted.Position {
	if !d.isVouching() {
		return nil
	}
	var positions []compacted.Position
	for _, f := range d.sharedFollowers() {
		if position, ok := f.Position(); ok {
			positions = append(positions, position)
		}
	}
	return positions
}

// vouched takes in how far a holder has read.
func (d *Daemon) vouched(positions []compacted.Position, askedAt time.Time) {
	for _, f := range d.sharedFollowers() {
		for _, p := range positions {
			f.Vouch(p, askedAt)
		}
	}
}

// sharedFollowers are those of the streams for which a holder vouches.
func (d *Daemon) sharedFollowers() []*compacted.Follower {
	return []*compacted.Follower{d.routingFollower, d.fleetFollower}
}

// takeoverTime is about how long after the end of a lease the next holder answers: it reads the
// lapse, claims and reads the reports of the engines.
const takeoverTime = 1200 * time.Millisecond

// successors is the number of daemons that follow the lease of a service closely beside its holder.
const successors = 4

// needsNoLeases reports whether the leases may be read late: other daemons hold all of them
// and answer, and others would follow them.
func (d *Daemon) needsNoLeases() bool {
	return d.swaps.HolderAnswers() && !slices.ContainsFunc(d.engineServices(), d.isSuccessor)
}

// isSuccessor reports whether this daemon is among the first that would hold a service next.
func (d *Daemon) isSuccessor(service string) bool {
	ranking := leaselog.Rank(service, d.members.Strong(), leaselog.Load{})
	return slices.Contains(ranking[:min(successors, len(ranking))], d.settings.Name)
}

func (d *Daemon) assemblePlacement() {
	d.peers = mux.NewClient(d.settings.Name).WithMaxMessage(d.settings.MaxPeerMessage)
	d.rests = rest.New(d.settings.Name, d.Clock)
	d.held = swapholder.NewSet(swapholder.Dependencies{
		Self: d.settings.Name, Token: d.token, LeaseChanged: d.store.Changed, Routing: d.routing.Table,
		Fleet: d.fleet.View, Engines: d.Engines, Noticed: d.noticed, Clock: d.Clock, Logs: d.Logs, Metrics: d.Metrics, Settings: d.settings.Swap,
	})
	d.swaps = swappeer.NewClient(swappeer.Dependencies{
		Self:         d.settings.Name,
		Holder:       func(service string) leaselog.Holder { return d.store.Lease(service).Holder },
		LeaseChanged: d.store.Changed,
		Address:      d.members.Address,
		Services:     d.engineServices,
		Vouched:      d.vouched,
		Leaving:      d.leaving, LearnLeaving: d.learnLeaving,
		Held: d.held, Peers: d.peers, Clock: d.Clock, Logs: d.Logs, Metrics: d.Metrics,
	})
}

func (d *Daemon) assembleForwarding() {
	s := d.settings
	breakers := breaker.NewBreakers(d.Clock)
	d.budget = retrybudget.New(d.Clock, s.retryLimits(), d.daemons)
	d.callers = passthrough.NewServer(passthrough.Dependencies{
		Routing:  d.routing.Index,
		Protocol: d.Protocol,
		Placer: place.New(place.Dependencies{
			Self: s.Name, FailureDomain: s.FailureDomain, Fleet: d.fleet.View, Swaps: d.swaps, Breakers: breakers,
			Rests: d.rests, HolderAbsence: s.LeaseDuration + takeoverTime, Clock: d.Clock,
		}),
		Connections:     d.Connections,
		ConnectionShare: d.connectionShare,
		Breakers:        breakers,
		Rests:           d.rests,
		Noticed:         d.noticed,
		Budget:          d.budget,
		Clock:           d.Clock, Logs: d.Logs, Metrics: d.Metrics,
	}, passthrough.Settings{
		MaxBodyBytes: s.MaxBodyBytes, MaxHeaderBytes: s.MaxHeaderBytes,
		ReadTimeout: s.ReadTimeout, IdleTimeout: s.IdleTimeout, MaxConnections: s.MaxConnections,
		HeldAnswer: s.HeldAnswer, MaxAnswer: s.MaxAnswer, MaxEvent: s.MaxEvent,
	})
}

// daemons is the number of known daemons.
func (d *Daemon) daemons() int { return len(d.members.Names()) }

func (d *Daemon) rank() int {
	for i, name := range d.members.Names() {
		if name == d.settings.Name {
			return i
		}
	}
	return 0
}

// connectionShare is the part of a server's connections that this daemon may use: twice its
// even share, because callers spread unevenly.
func (d *Daemon) connectionShare(service azurehitch.BackendService) int {
	if service.MaxConnections == 0 {
		return 0
	}
	const unevenness, least = 2, 8
	return max(unevenness*service.MaxConnections/max(d.daemons(), 1), least)
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
		Daemons: d.members.Names(), Strong: d.members.Strong(), Gathering: d.members.IsGathering(),
		Draining: d.stopping.Load(), Succeeds: true,
	}
	if !d.settings.TokensChecked {
		environment.TurnSpan = d.settings.TurnSpan
	}
	for _, name := range d.engineServices() {
		environment.Pools = append(environment.Pools, leaselog.PoolSetting{Name: name, Duration: d.settings.LeaseDuration})
	}
	return environment
}

// token returns the token under which this daemon may order the engines of a service. Where they
// don't check it, the lease outlasts any order that is sent now.
func (d *Daemon) token(service string) (token int64, valid bool) {
	if d.settings.TokensChecked {
		return d.store.Token(service)
	}
	return d.store.TokenFor(service, swapholder.OrderTime)
}

// settle waits until no order for a service is on its way. It takes no longer than an order may.
func (d *Daemon) settle(ctx context.Context, service string) {
	ctx, cancel := context.WithTimeout(ctx, swapholder.OrderTime)
	defer cancel()
	// An order that is still on its way by then never arrives.
	_ = d.held.Settle(ctx, service)
}

func (d *Daemon) listen() error {
	for _, l := range []struct {
		name    string
		address string
		into    *net.Listener
	}{
		{"callers", d.settings.Callers, &d.listeners.callers},
		{"readiness", d.settings.Ready, &d.listeners.ready},
		{"peers", d.settings.Peers, &d.listeners.peers},
		{"metrics", d.settings.Metrics, &d.listeners.metrics},
	} {
		listener, err := net.Listen("tcp", l.address)
		if err != nil {
			return errors.Wrapf(err, "listen for %s on %s", l.name, l.address)
		}
		*l.into = listener
	}
	return nil
}

// isReady reports whether the daemon serves callers: it knows the routes and has read the
// list of servers, and it does not stop.
func (d *Daemon) isReady() bool {
	return d.routing.Table().Version > 0 && !d.fleet.View().ReadAt.IsZero() && !d.stopping.Load()
}
