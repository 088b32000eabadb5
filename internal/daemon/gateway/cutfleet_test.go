package gateway_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	"azurehitch"
	"azurehitch/internal/daemon/gateway"
	"azurehitch/internal/standin/serverlink"
	"azurehitch/internal/telemetry/logging"
	"azurehitch/internal/telemetry/metrics"
	"azurehitch/internal/transport/connpool"
	"azurehitch/platform"
	"azurehitch/platform/platformtest"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"
	"golang.org/x/sync/semaphore"
)

const (
	cutDaemonCount = 4
	// serversPerService is the number of servers of each service, half of them in each failure domain.
	serversPerService = 4
	// cutStreamEvents is the number of events of a stream.
	cutStreamEvents = 5
	cutTimeLeft     = 2 * time.Second
	cutModel        = "model-0"
	cutModelMemory  = azurehitch.ByteSize(1_000_000_000)
)

// cutFleet is daemons that share a store and backend servers. Each daemon has its own link to the servers.
type cutFleet struct {
	*qt.C
	store   *platformtest.Store
	address string
	runs    *runCounter
	daemons []*linkedDaemon
	version int64
	// servers are the listeners of the servers.
	servers []*platformtest.PauseListener
}

// fleetSlots limits the fleets at the same time, so that each has enough of the processor.
var fleetSlots = semaphore.NewWeighted(2)

// linkedDaemon is a daemon whose link to the servers can be cut.
type linkedDaemon struct {
	// callers is the listen address for callers.
	callers       string
	failureDomain string
	setLink       func(state serverlink.State)
	// stop begins the planned stop.
	stop func()
	// metrics and process are nil for a daemon in a process of its own, and for one in that of the test.
	metrics *metrics.Metrics
	process *daemonProcess
}

// withCutFleet calls run with daemons in the process of the test that serve all kinds of requests, and stops
// them afterwards.
func withCutFleet(t *testing.T, run func(f *cutFleet)) {
	t.Helper()
	withCutFleetOf(t, (*cutFleet).startDaemon, run)
}

// withCutFleetOf calls run with daemons that start starts, and stops them afterwards.
func withCutFleetOf(t *testing.T, start func(f *cutFleet, t *testing.T, i int, group *errgroup.Group), run func(f *cutFleet)) {
	t.Helper()
	qt.Assert(t, fleetSlots.Acquire(context.Background(), 1), qt.IsNil)
	defer fleetSlots.Release(1)
	f := &cutFleet{C: qt.New(t), store: platformtest.NewStore(nil), runs: newRunCounter()}
	server := httptest.NewServer(f.store)
	t.Cleanup(server.CloseClientConnections)
	f.address = server.Listener.Addr().String()
	f.publish()
	for i := range serversPerService {
		f.startServer(t, "calls", i, nil)
		f.startServer(t, "language", i, f.services()["language"].Engine)
	}
	var group errgroup.Group
	for i := range cutDaemonCount {
		start(f, t, i, &group)
	}
	for _, d := range f.daemons {
		f.awaitServing(d)
	}
	run(f)
	for _, d := range f.daemons {
		d.setLink(serverlink.Up)
		d.stop()
	}
	f.Assert(group.Wait(), qt.IsNil)
}

func failureDomain(i int) string { return fmt.Sprintf("z%d", 1+i%2) }

func (f *cutFleet) startServer(t *testing.T, service string, i int, engine *azurehitch.EngineLimits) {
	t.Helper()
	inner, err := net.Listen("tcp", anyPort)
	f.Assert(err, qt.IsNil)
	listener := platformtest.NewPauseListener(inner)
	f.servers = append(f.servers, listener)
	startBackend(t, f.C, f.store, listener, platformtest.BackendOptions{
		ID: fmt.Sprintf("%s-%d", service, i), Service: service, FailureDomain: failureDomain(i), Slots: 32, Incarnation: 1, Engine: engine,
		Cached:   azurehitch.CachedModels{OnDisk: []string{cutModel}},
		Work:     platformtest.Work{Call: 20 * time.Millisecond, FirstEvent: 20 * time.Millisecond, Event: 20 * time.Millisecond, Events: cutStreamEvents},
		Recorder: f.runs,
	})
}

// startDaemon starts a daemon in the process of the test.
func (f *cutFleet) startDaemon(t *testing.T, i int, group *errgroup.Group) {
	t.Helper()
	link, err := serverlink.New(connpool.DirectDialer{})
	f.Assert(err, qt.IsNil)
	t.Cleanup(func() { f.Check(link.Close(), qt.IsNil) })
	s := linkedSettings(fmt.Sprintf("daemon-%d", i), failureDomain(i), f.address)
	daemon, measured, err := newLinkedDaemon(s, link)
	f.Assert(err, qt.IsNil)
	ctx, stop := context.WithCancel(context.Background())
	f.daemons = append(f.daemons, &linkedDaemon{
		callers: daemon.Addresses().Callers, failureDomain: s.FailureDomain, setLink: link.Set, stop: stop, metrics: measured,
	})
	group.Go(func() error { return daemon.Run(ctx) })
}

// linkedSettings returns the settings of a daemon that listens on any ports.
func linkedSettings(name, failureDomain, store string) gateway.Settings {
	s := gateway.DefaultSettings()
	s.Name, s.FailureDomain, s.Store = name, failureDomain, store
	s.Callers, s.Ready, s.Peers, s.Tunnels, s.Metrics = anyPort, anyPort, anyPort, anyPort, anyPort
	return s
}

// newLinkedDaemon returns a daemon that reaches servers by a link, and its metrics.
func newLinkedDaemon(s gateway.Settings, link *serverlink.Link) (*gateway.Daemon, *metrics.Metrics, error) {
	connected := platform.Connect(s, azurehitch.SystemClock{}, logging.Discard())
	connected.Connections.WithDialer(link)
	daemon, err := gateway.New(s, connected)
	return daemon, connected.Metrics, err
}

// services returns the services of every table: a plain one and one with model engines.
func (f *cutFleet) services() map[string]azurehitch.BackendService {
	return map[string]azurehitch.BackendService{
		"calls": {Name: "calls", MaxConnections: 100},
		"language": {Name: "language", MaxConnections: 100, Engine: &azurehitch.EngineLimits{
			Slots: 32, Memory: 4 * cutModelMemory, AdapterSlots: 4, RemoteLoadsPerSecond: 2,
			Models: map[string]azurehitch.ModelLimits{cutModel: {
				Memory: cutModelMemory, AdapterMemory: cutModelMemory / 100,
				RemoteLoad: time.Second, DiskLoad: 200 * time.Millisecond, MemoryLoad: 100 * time.Millisecond,
			}},
		}},
	}
}

// publish writes the next routing table. It has a route for each cutKind.
func (f *cutFleet) publish() {
	f.version++
	table := azurehitch.RoutingTable{Version: f.version, Services: f.services()}
	for _, kind := range cutKinds() {
		table.Routes = append(table.Routes, azurehitch.PathRoute{
			Name: string(kind.name), Host: "a.example", PathPrefix: kind.path(), Kind: kind.requestKind, Resumable: kind.isStream(),
			Timeout: cutTimeLeft, Objective: time.Second, MaxPause: 500 * time.Millisecond, MaxAttempts: kind.maxAttempts,
			Targets: []azurehitch.RouteTarget{{Service: kind.service, Weight: 1}},
		})
	}
	f.Assert(f.store.PutRouting(table), qt.IsNil)
}

// awaitServing waits until a daemon serves each kind of request.
func (f *cutFleet) awaitServing(d *linkedDaemon) {
	f.Helper()
	caller := &cutCaller{fleet: f, daemon: d, name: "first-" + d.callers}
	for _, kind := range cutKinds() {
		f.Assert(f.await(20*time.Second, func() bool { return caller.send(kind).status == http.StatusOK }), qt.IsTrue, qt.Commentf("%s", kind.name))
	}
	caller.close()
}

// await polls a condition until it is true or the timeout has passed, and returns whether it was true.
func (f *cutFleet) await(timeout time.Duration, condition func() bool) bool {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	for !condition() {
		if sleep(ctx, 50*time.Millisecond) != nil {
			return false
		}
	}
	return true
}

// holder returns the daemon that holds the service of model engines.
func (f *cutFleet) holder() *linkedDaemon {
	f.Helper()
	for _, d := range f.daemons {
		if d.metrics.Get(metrics.LeaseClaimsWon) > d.metrics.Get(metrics.LeaseReleases) {
			return d
		}
	}
	f.Fatal("no daemon has claimed the lease")
	return nil
}

// others returns the daemons except some.
func (f *cutFleet) others(except ...*linkedDaemon) []*linkedDaemon {
	return slices.DeleteFunc(slices.Clone(f.daemons), func(d *linkedDaemon) bool { return slices.Contains(except, d) })
}

func sleep(ctx context.Context, d time.Duration) error {
	return azurehitch.SystemClock{}.Sleep(ctx, d)
}
