package gateway_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"azurehitch"
	"azurehitch/internal/daemon/gateway"
	"azurehitch/internal/telemetry/logging"
	"azurehitch/platform"
	"azurehitch/platform/platformtest"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"
)

// anyPort is a listen address on a port that the system chooses.
const anyPort = "127.0.0.1:0"

// testEnv is a daemon that uses a stand-in for the platform's store.
type testEnv struct {
	*qt.C
	store *platformtest.Store
	// storeConns are the connections to the store.
	storeConns *platformtest.StallListener
	settings   gateway.Settings
	daemon     *gateway.Daemon
	version    int64
	// stop begins the planned stop of the daemon, and ended is closed when Run has returned.
	stop  context.CancelFunc
	ended chan struct{}
	// leaseClock is the LeaseClock of the daemon.
	leaseClock *skippingClock
	// accounts are the accounts of the tables that are published.
	accounts []platformtest.Account
}

// withDaemon calls run with a daemon that has read a first routing table, and stops it afterwards.
func withDaemon(t *testing.T, run func(env *testEnv)) {
	t.Helper()
	withSettings(t, func(*gateway.Settings) {}, run)
}

// withSettings calls run with a daemon that has read a first routing table, and stops it afterwards.
// The function change changes the default settings.
func withSettings(t *testing.T, change func(s *gateway.Settings), run func(env *testEnv)) {
	t.Helper()
	env := &testEnv{C: qt.New(t), store: platformtest.NewStore(nil), ended: make(chan struct{}), leaseClock: &skippingClock{}}
	server := httptest.NewUnstartedServer(env.store)
	env.storeConns = platformtest.NewStallListener(server.Listener)
	server.Listener = env.storeConns
	server.Start()
	defer server.CloseClientConnections()
	env.settings = gateway.DefaultSettings()
	env.settings.Name, env.settings.Store = "daemon-1", server.Listener.Addr().String()
	env.settings.Callers, env.settings.Ready, env.settings.Peers, env.settings.Tunnels, env.settings.Metrics = anyPort, anyPort, anyPort, anyPort, anyPort
	change(&env.settings)
	connected := platform.Connect(env.settings, azurehitch.SystemClock{}, logging.Discard())
	connected.LeaseClock = env.leaseClock
	daemon, err := gateway.New(env.settings, connected)
	env.Assert(err, qt.IsNil)
	env.daemon = daemon
	env.publish()
	ctx, stop := context.WithCancel(context.Background())
	env.stop = stop
	var group errgroup.Group
	group.Go(func() error {
		defer close(env.ended)
		return daemon.Run(ctx)
	})
	env.Assert(env.await(10*time.Second, func() bool { return env.status(env.daemon.Addresses().Ready, "/") == http.StatusOK }), qt.IsTrue)
	run(env)
	stop()
	env.Assert(group.Wait(), qt.IsNil)
}

// startBackend starts a backend server until the end of the test, and lists it.
func (env *testEnv) startBackend(t *testing.T, options platformtest.BackendOptions) *platformtest.Backend {
	t.Helper()
	listener, err := net.Listen("tcp", anyPort)
	env.Assert(err, qt.IsNil)
	return startBackend(t, env.C, env.store, listener, options)
}

// startBackend starts a backend server on a listener until the end of the test, and lists it in a store.
func startBackend(t *testing.T, c *qt.C, store *platformtest.Store, listener net.Listener, options platformtest.BackendOptions) *platformtest.Backend {
	t.Helper()
	options.Address = listener.Addr().String()
	backend := platformtest.NewBackend(options)
	var group errgroup.Group
	group.Go(func() error { return backend.Serve(listener) })
	t.Cleanup(func() {
		backend.Kill()
		c.Check(group.Wait(), qt.IsNil)
	})
	c.Assert(store.PutServer(backend.Entry()), qt.IsNil)
	return backend
}

// publish writes the next routing table. The path of its only route contains the version.
func (env *testEnv) publish() {
	env.version++
	env.publishAgain()
}

// publishAgain writes the last routing table again.
func (env *testEnv) publishAgain() {
	env.Assert(env.store.PutRouting(azurehitch.RoutingTable{
		Version: env.version,
		Routes: []azurehitch.PathRoute{{
			Name: "r", Host: "a.example", PathPrefix: fmt.Sprintf("/v%d/", env.version), Kind: azurehitch.RequestKindIdempotent,
			Timeout: time.Second, Targets: []azurehitch.RouteTarget{{Service: "desk", Weight: 1}},
		}},
		Services: map[string]azurehitch.BackendService{"desk": {Name: "desk"}},
	}, env.accounts...), qt.IsNil)
}

// isTableInForce reports whether the daemon knows the route of the last table.
func (env *testEnv) isTableInForce() bool {
	return env.status(env.daemon.Addresses().Callers, fmt.Sprintf("/v%d/x", env.version)) != http.StatusNotFound
}

func (env *testEnv) status(address, path string) int {
	request, err := http.NewRequest(http.MethodGet, "http://"+address+path, nil)
	env.Assert(err, qt.IsNil)
	request.Host = "a.example"
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0
	}
	env.Assert(response.Body.Close(), qt.IsNil)
	return response.StatusCode
}

func (env *testEnv) await(timeout time.Duration, condition func() bool) bool {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return false
}

// dropResponsesDuringRead makes the store drop all responses, except that to a read that has begun
// before and waits for a table.
func (env *testEnv) dropResponsesDuringRead() {
	for {
		env.Assert(env.await(10*time.Second, env.store.IsRoutingRead), qt.IsTrue)
		env.store.SetFault(platformtest.StoreMute)
		if env.store.IsRoutingRead() {
			return
		}
		env.store.SetFault(platformtest.StoreHealthy)
	}
}

// TestLostAnswers drops the store's response to the read that waits for the next table. The daemon
// must know that table within the stable time after the store recovers.
func TestLostAnswers(t *testing.T) {
	// stable is the time after which a recovered store counts as stable.
	const stable = 3 * time.Second
	withDaemon(t, func(env *testEnv) {
		env.dropResponsesDuringRead()
		env.publish()
		env.Assert(env.await(stable, env.isTableInForce), qt.IsTrue, qt.Commentf("read that began before the fault"))
		// By now the next read has begun, and its response will be dropped.
		time.Sleep(50 * time.Millisecond)
		env.store.SetFault(platformtest.StoreHealthy)
		env.publish()
		env.Assert(env.await(stable, env.isTableInForce), qt.IsTrue)
	})
}

// TestStop stops a daemon without requests. It must end within the stop timeout, but not before the
// load balancer has noticed that it is not ready.
func TestStop(t *testing.T) {
	var stopped time.Time
	withDaemon(t, func(*testEnv) { stopped = time.Now() })
	took := time.Since(stopped)
	c := qt.New(t)
	c.Assert(took > 2*time.Second, qt.IsTrue, qt.Commentf("%v", took))
	c.Assert(took < gateway.DefaultSettings().StopTimeout, qt.IsTrue, qt.Commentf("%v", took))
}
