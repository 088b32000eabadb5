package gateway_test

import (
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"azurehitch"
	"azurehitch/internal/daemon/gateway"
	"azurehitch/internal/telemetry/metrics"
	"azurehitch/platform/platformtest"

	qt "github.com/frankban/quicktest"
)

// TestSlowServer guards against a daemon that sends no hedges although operators allow them, in the settings or in
// the configuration, and against one that sends any without that.
func TestSlowServer(t *testing.T) {
	for _, test := range []struct {
		name             string
		setting, service azurehitch.HedgeShare
		isHedged         bool
	}{
		{"by default", azurehitch.HedgeShare{}, azurehitch.HedgeShare{}, false},
		{"by the settings", azurehitch.NewHedgeShare(0.5), azurehitch.HedgeShare{}, true},
		{"by the configuration", azurehitch.HedgeShare{}, azurehitch.NewHedgeShare(0.5), true},
		{"not by the settings", azurehitch.NewHedgeShare(0), azurehitch.NewHedgeShare(0.5), false},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			withSettings(t, func(s *gateway.Settings) { s.HedgeShare = test.setting }, func(env *testEnv) {
				var isSlow atomic.Bool
				for i := range 3 {
					env.startBackend(t, platformtest.BackendOptions{
						ID: fmt.Sprint("web-", i), Service: "web", Slots: 8, FailureDomain: "d", Incarnation: 1, Recorder: platformtest.DiscardRecorder{},
						WorkFor: func(azurehitch.CallerRequest) platformtest.Work {
							if i == 0 && isSlow.Load() {
								return platformtest.Work{Call: 600 * time.Millisecond}
							}
							return platformtest.Work{Call: 2 * time.Millisecond}
						},
					})
				}
				env.publishWeb(test.service)
				env.callWeb(120)
				isSlow.Store(true)
				env.callWeb(20)
				sent, won := env.daemon.Metrics.Get(metrics.HedgesSent), env.daemon.Metrics.Get(metrics.HedgesWon)
				env.Check(sent > 0, qt.Equals, test.isHedged)
				env.Check(won > 0, qt.Equals, test.isHedged)
			})
		})
	}
}

// publishWeb publishes a table with a route whose calls may be repeated.
func (env *testEnv) publishWeb(share azurehitch.HedgeShare) {
	env.Helper()
	env.version++
	env.Assert(env.store.PutRouting(azurehitch.RoutingTable{
		Version: env.version,
		Routes: []azurehitch.PathRoute{{
			Name: "web", Host: "a.example", PathPrefix: "/web/", Kind: azurehitch.RequestKindIdempotent, MaxAttempts: 2,
			Timeout: 2 * time.Second, Targets: []azurehitch.RouteTarget{{Service: "web", Weight: 1}},
		}},
		Services: map[string]azurehitch.BackendService{"web": {Name: "web", HedgeShare: share}},
	}), qt.IsNil)
	isServed := func() bool { return env.status(env.daemon.Addresses().Callers, "/web/x") == http.StatusOK }
	env.Assert(env.await(10*time.Second, isServed), qt.IsTrue)
}

// callWeb makes calls, one after the other. Each must be answered by a server.
func (env *testEnv) callWeb(n int) {
	env.Helper()
	conn, err := net.Dial("tcp", env.daemon.Addresses().Callers)
	env.Assert(err, qt.IsNil)
	defer conn.Close()
	caller := platformtest.NewCaller(conn)
	for i := range n {
		request := platformtest.CallerRequest{
			ID: fmt.Sprint("call-", n, "-", i), Method: http.MethodGet, Host: "a.example", URI: "/web/x", TimeLeft: 2 * time.Second,
		}
		env.Assert(caller.Send(request), qt.IsNil)
		answer, err := caller.Receive(request)
		env.Assert(err, qt.IsNil)
		env.Assert(answer.Status, qt.Equals, http.StatusOK)
		env.Assert(answer.Whole && answer.Signed && answer.Echoes, qt.IsTrue)
	}
}
