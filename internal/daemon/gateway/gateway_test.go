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

// world is a daemon before a stand-in of the platform's store.
type world struct {
	*qt.C
	store    *platformtest.Store
	settings gateway.Settings
	daemon   *gateway.Daemon
	version  int64
}

// withDaemon runs a daemon that has a first table.
func withDaemon(t *testing.T, run func(w *world)) {
	t.Helper()
	w := &world{C: qt.New(t), store: platformtest.NewStore(nil)}
	server := httptest.NewServer(w.store)
	defer server.CloseClientConnections()
	w.settings = gateway.DefaultSettings()
	w.settings.Name, w.settings.Store = "daemon-1", server.Listener.Addr().String()
	for _, address := range []*string{&w.settings.Callers, &w.settings.Ready, &w.settings.Peers, &w.settings.Metrics} {
		*address = freeAddress(w.C)
	}
	daemon, err := gateway.New(w.settings, platform.Connect(w.settings, azurehitch.SystemClock{}, logging.Discard()))
	w.Assert(err, qt.IsNil)
	w.daemon = daemon
	w.publish()
	ctx, stop := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return daemon.Run(ctx) })
	w.Assert(w.await(10*time.Second, func() bool { return w.status(w.settings.Ready, "/") == http.StatusOK }), qt.IsTrue)
	run(w)
	stop()
	w.Assert(group.Wait(), qt.IsNil)
}

func freeAddress(c *qt.C) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer listener.Close()
	return listener.Addr().String()
}

// publish writes the next table, whose only route has the version in its path.
func (w *world) publish() {
	w.version++
	w.Assert(w.store.PutRouting(azurehitch.RoutingTable{
		Version: w.version,
		Routes: []azurehitch.PathRoute{{
			Name: "r", Host: "a.example", PathPrefix: fmt.Sprintf("/v%d/", w.version), Kind: azurehitch.RequestKindIdempotent,
			Timeout: time.Second, Targets: []azurehitch.RouteTarget{{Service: "desk", Weight: 1}},
		}},
		Services: map[string]azurehitch.BackendService{"desk": {Name: "desk"}},
	}), qt.IsNil)
}

// isInForce reports whether the daemon knows the route of the last table.
func (w *world) isInForce() bool {
	return w.status(w.settings.Callers, fmt.Sprintf("/v%d/x", w.version)) != http.StatusNotFound
}

func (w *world) status(address, path string) int {
	request, err := http.NewRequest(http.MethodGet, "http://"+address+path, nil)
	w.Assert(err, qt.IsNil)
	request.Host = "a.example"
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0
	}
	w.Assert(response.Body.Close(), qt.IsNil)
	return response.StatusCode
}

func (w *world) await(timeout time.Duration, condition func() bool) bool {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return false
}

// muteDuringRead lets the store lose answers while a read that began before waits for a table.
func (w *world) muteDuringRead() {
	for {
		w.Assert(w.await(10*time.Second, w.store.IsRoutingRead), qt.IsTrue)
		w.store.SetFault(platformtest.StoreMute)
		if w.store.IsRoutingRead() {
			return
		}
		w.store.SetFault(platformtest.StoreSound)
	}
}

// TestLostAnswers lets the store lose the answer to the read that waits for the next table.
func TestLostAnswers(t *testing.T) {
	// stable is how long after its trouble the store counts as stable again.
	const stable = 3 * time.Second
	withDaemon(t, func(w *world) {
		w.muteDuringRead()
		w.publish()
		w.Assert(w.await(stable, w.isInForce), qt.IsTrue, qt.Commentf("a read that had begun before"))
		// The next read has begun, and its answer will be lost.
		time.Sleep(50 * time.Millisecond)
		w.store.SetFault(platformtest.StoreSound)
		w.publish()
		w.Assert(w.await(stable, w.isInForce), qt.IsTrue)
	})
}

// TestStop ends a daemon without requests: in time, and not before the balancer has noticed.
func TestStop(t *testing.T) {
	var stopped time.Time
	withDaemon(t, func(*world) { stopped = time.Now() })
	took := time.Since(stopped)
	c := qt.New(t)
	c.Assert(took > 2*time.Second, qt.IsTrue, qt.Commentf("%v", took))
	c.Assert(took < gateway.DefaultSettings().StopTimeout, qt.IsTrue, qt.Commentf("%v", took))
}
