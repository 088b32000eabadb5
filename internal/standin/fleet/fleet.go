// Package fleet starts daemons and all the stand-ins that they need in one process, on
// loopback, for tests and benchmarks of the complete request path.
//
// # Usage
//
//	f, err := fleet.Start(fleet.Options{Daemons: 3})
//	defer f.Stop()
//	answer := f.Chat(0, fleet.PaidKey, body)
package fleet

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net"
	"slices"
	"sync"
	"time"

	"azurehitch"
	"azurehitch/internal/admin/operator"
	"azurehitch/internal/configuration/tables"
	"azurehitch/internal/daemon/serve"
	"azurehitch/internal/daemon/settings"
	"azurehitch/internal/forward/httpengine"
	"azurehitch/internal/reference/httplog"
	"azurehitch/internal/standin/engine"
	"azurehitch/internal/standin/fault"
	"azurehitch/internal/standin/hosts"
	"azurehitch/internal/standin/platformlog"
	"azurehitch/internal/standin/service"
	"azurehitch/internal/standin/weights"
	"azurehitch/internal/telemetry/logging"
	"azurehitch/internal/telemetry/tracing"
	"azurehitch/internal/transport/jsonhttp"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"
)

// The API keys of the callers in the tables of a fleet.
const (
	PaidKey  = "fleet-paid-key"
	TrialKey = "fleet-trial-key"
)

const (
	readyTimeout       = 10 * time.Second
	maxStandinBody     = 64 << 20
	standinHeaderBytes = 64 << 10
)

// Options set the size of a fleet and the speed and settings of its parts.
type Options struct {
	Daemons  int
	Engines  int
	Services int
	// IgnoreToken is the number of engines that ignore the fencing token; they are the last ones.
	IgnoreToken int
	// LogRetention is the number of records that each stream of the log keeps; 0
	// keeps all.
	LogRetention int
	// LoadTime is the duration of a load of a model from the weight store.
	LoadTime      time.Duration
	TokenInterval time.Duration
	LeaseDuration time.Duration
	// Prepare may change the engines before the daemons start.
	Prepare func(engines []*Backend)
	// EditTables may change the tables before they are published.
	EditTables func(*tables.RouteTable, *tables.PoolTable)
	// Settings may change the settings of each daemon.
	Settings func(*settings.Settings)
	Logs     *logging.Logs
}

// Backend is a stand-in for a backend server. Either Engine or Service is set.
type Backend struct {
	Name    string
	Address string
	Faults  *fault.Set
	Engine  *engine.Engine
	Service *service.Service
}

// Fleet is a set of running daemons and stand-ins.
type Fleet struct {
	Options  Options
	Log      *platformlog.Log
	LogFault *fault.Set
	Hosts    *hosts.List
	Weights  *weights.Store
	Engines  []*Backend
	Services []*Backend
	Daemons  []*Daemon
	Routes   tables.RouteTable
	Pools    tables.PoolTable

	mu sync.Mutex
	// retired are the daemons that TakeOutOfRotation removed from Daemons. They run until Stop.
	retired    []*Daemon
	logAddress string
	group      *errgroup.Group
	ctx        context.Context
	cancel     context.CancelFunc
}

// Daemon is one running daemon.
type Daemon struct {
	*serve.Daemon
	Admin  *operator.Client
	cancel context.CancelFunc
	// done is closed when the daemon has stopped; err is the error of its Run.
	done chan struct{}
	err  error
}

// With starts a fleet, calls run with a context that ends after limit, and stops the
// fleet. It returns the error of Start.
func With(options Options, limit time.Duration, run func(ctx context.Context, f *Fleet)) error {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	f, err := Start(options)
	if err != nil {
		return err
	}
	defer f.Stop()
	run(ctx, f)
	return nil
}

// Start starts a fleet, publishes its tables and waits until they are in force.
func Start(options Options) (*Fleet, error) {
	f := &Fleet{Options: options, group: &errgroup.Group{}}
	f.ctx, f.cancel = context.WithCancel(context.Background())
	if err := f.startStandins(); err != nil {
		f.Stop()
		return nil, err
	}
	if options.Prepare != nil {
		options.Prepare(f.Engines)
	}
	for i := range options.Daemons {
		if err := f.StartDaemon(fmt.Sprintf("daemon-%d", i+1)); err != nil {
			f.Stop()
			return nil, err
		}
	}
	if err := f.publishTables(); err != nil {
		f.Stop()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) startStandins() error {
	clock := azurehitch.SystemClock{}
	f.Log = platformlog.New(platformlog.Options{Retention: f.Options.LogRetention})
	f.LogFault = fault.NewSet()
	address, err := f.serve(f.LogFault, platformlog.NewHandler(f.Log))
	if err != nil {
		return err
	}
	f.logAddress = address
	f.Hosts = hosts.New(clock, 0)
	f.Weights = weights.New(clock, weights.Options{
		LoadsPerSecond: 100, ConcurrentLoads: 4, LoadTime: f.Options.LoadTime,
		ConcurrentAdapters: 30, AdapterLoadTime: time.Millisecond,
	})
	for i := range f.Options.Engines {
		if err := f.startEngine(i); err != nil {
			return err
		}
	}
	for i := range f.Options.Services {
		if err := f.startService(i); err != nil {
			return err
		}
	}
	f.Routes, f.Pools = f.tables()
	if f.Options.EditTables != nil {
		f.Options.EditTables(&f.Routes, &f.Pools)
	}
	return nil
}

func (f *Fleet) startEngine(i int) error {
	b := &Backend{Name: fmt.Sprintf("engine-%d", i+1), Faults: fault.NewSet()}
	b.Engine = engine.New(azurehitch.SystemClock{}, f.Weights, engine.Options{
		Name: b.Name, Memory: 80 * azurehitch.Gibibyte, ChecksToken: f.tokenCheck(i) != tables.TokenIgnored, TokenInterval: f.Options.TokenInterval,
	})
	address, err := f.serve(b.Faults, engine.NewHandler(b.Engine, b.Faults))
	b.Address = address
	f.Engines = append(f.Engines, b)
	f.putHost(b.Name, address, azurehitch.HostRoleBackend, azurehitch.HostStateLive)
	return err
}

func (f *Fleet) tokenCheck(i int) tables.TokenCheck {
	if i < f.Options.Engines-f.Options.IgnoreToken {
		return tables.TokenChecked
	}
	return tables.TokenIgnored
}

func (f *Fleet) startService(i int) error {
	b := &Backend{Name: fmt.Sprintf("desk-%d", i+1), Faults: fault.NewSet()}
	b.Service = service.New(azurehitch.SystemClock{}, service.Options{Name: b.Name})
	address, err := f.serve(b.Faults, service.NewHandler(b.Service))
	b.Address = address
	f.Services = append(f.Services, b)
	f.putHost(b.Name, address, azurehitch.HostRoleBackend, azurehitch.HostStateLive)
	return err
}

func (f *Fleet) putHost(name, address string, role azurehitch.HostRole, state azurehitch.HostState) {
	f.Hosts.Put(azurehitch.Host{Name: name, Address: address, FailureDomain: "reduit", Role: role, State: state})
}

// serve serves a stand-in with fault injection on a free port and returns its address.
func (f *Fleet) serve(faults *fault.Set, handler fasthttp.RequestHandler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "listen")
	}
	server := &fasthttp.Server{
		Handler: faults.Wrap(handler), MaxRequestBodySize: maxStandinBody, ReadBufferSize: standinHeaderBytes,
		CloseOnShutdown: true, Logger: discardLogger{},
	}
	f.group.Go(func() error { return jsonhttp.Serve(f.ctx, listener, server) })
	return listener.Addr().String(), nil
}

type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}

// StartDaemon starts a daemon and lists it as an entry host, a host that runs a daemon.
func (f *Fleet) StartDaemon(name string) error {
	s := settings.Default()
	s.Name = name
	s.Listen, s.PeerListen, s.AdminListen = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
	s.LogService, s.HostList, s.WeightStore = f.logAddress, "127.0.0.1:1", "127.0.0.1:1"
	s.DrainDelay = 0
	if f.Options.Settings != nil {
		f.Options.Settings(&s)
	}
	tracer, err := tracing.New(f.ctx, tracing.Options{Exporter: tracing.ExporterNone})
	if err != nil {
		return err
	}
	daemon, err := serve.New(s, serve.Platform{
		Log: httplog.NewClient(f.logAddress, name), Hosts: f.Hosts, Weights: f.Weights,
		Engines: httpengine.Dialer{Agent: name}, Clock: azurehitch.SystemClock{}, Logs: f.logs(), Tracer: tracer,
	})
	if err != nil {
		return err
	}
	f.putHost(name, daemon.Addresses().Peers, azurehitch.HostRoleEntry, azurehitch.HostStateLive)
	f.runDaemon(daemon)
	return nil
}

func (f *Fleet) logs() *logging.Logs {
	if f.Options.Logs != nil {
		return f.Options.Logs
	}
	return logging.Discard()
}

func (f *Fleet) runDaemon(daemon *serve.Daemon) {
	ctx, cancel := context.WithCancel(f.ctx)
	d := &Daemon{
		Daemon: daemon, Admin: operator.NewClient(daemon.Addresses().Admin, ""), cancel: cancel, done: make(chan struct{}),
	}
	f.mu.Lock()
	f.Daemons = append(f.Daemons, d)
	f.mu.Unlock()
	f.group.Go(func() error {
		defer close(d.done)
		d.err = daemon.Run(ctx)
		return nil
	})
}

// TakeOutOfRotation removes a daemon from Daemons, as a balancer takes it out of rotation before it
// is stopped. Stop still stops it.
func (f *Fleet) TakeOutOfRotation(d *Daemon) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.Daemons = slices.DeleteFunc(slices.Clone(f.Daemons), func(other *Daemon) bool { return other == d })
	f.retired = append(f.retired, d)
}

// Addresses returns the addresses for callers of the daemons in rotation.
func (f *Fleet) Addresses() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var addresses []string
	for _, d := range f.Daemons {
		addresses = append(addresses, d.Daemon.Addresses().Callers)
	}
	return addresses
}

// Stop starts a planned stop of the daemon, waits for its end and returns its error.
func (d *Daemon) Stop() error {
	d.cancel()
	<-d.done
	return d.err
}

// Stop stops all daemons and then the stand-ins.
func (f *Fleet) Stop() {
	started := append(slices.Clone(f.Daemons), f.retired...)
	for _, d := range started {
		d.cancel()
	}
	for _, d := range started {
		<-d.done
	}
	f.cancel()
	// The stand-ins have no failures to report.
	_ = f.group.Wait()
}

// publishTables publishes the tables of the fleet as the first version and waits until
// each daemon is ready.
func (f *Fleet) publishTables() error {
	ctx, cancel := context.WithTimeout(f.ctx, readyTimeout)
	defer cancel()
	if len(f.Daemons) == 0 {
		return nil
	}
	if _, err := f.Publish(ctx, 0, 0); err != nil {
		return err
	}
	for _, d := range f.Daemons {
		if err := d.WaitReady(ctx); err != nil {
			return err
		}
	}
	return nil
}

// Publish publishes the tables of the fleet through a daemon, as an edit of the version
// base. It returns the new version.
func (f *Fleet) Publish(ctx context.Context, daemon int, base int64) (int64, error) {
	routes, err := json.Marshal(f.Routes)
	if err != nil {
		return 0, err
	}
	pools, err := json.Marshal(f.Pools)
	if err != nil {
		return 0, err
	}
	published, err := f.Daemons[daemon].Admin.Publish(ctx, operator.Publication{
		Base: base, Routes: routes, Pools: pools, Author: "fleet",
	})
	return published.Version, err
}

// Digest returns the SHA-256 digest of a key in hexadecimal, as in the tables.
func Digest(key string) string {
	digest := sha256.Sum256([]byte(key))
	return hex.EncodeToString(digest[:])
}
