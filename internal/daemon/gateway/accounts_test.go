package gateway_test

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"azurehitch"
	"azurehitch/internal/account/report"
	"azurehitch/internal/daemon/gateway"
	"azurehitch/internal/telemetry/logging"
	"azurehitch/platform"
	"azurehitch/platform/platformtest"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"
)

// keyApplyTime is how long after its publication a change of keys must be in force.
const keyApplyTime = 3 * time.Second

// keyRecorder records the requests that a server has run.
type keyRecorder struct {
	platformtest.DiscardRecorder
	mu   sync.Mutex
	runs []platformtest.Run
}

// Ran implements platformtest.Recorder.
func (r *keyRecorder) Ran(run platformtest.Run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs = append(r.runs, run)
}

func (r *keyRecorder) all() []platformtest.Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs
}

// callWithKey sends a request with a key to a daemon on the route of the table with a version.
func callWithKey(c *qt.C, daemon *gateway.Daemon, version int64, key string) platformtest.Answer {
	c.Helper()
	conn, err := net.Dial("tcp", daemon.Addresses().Callers)
	c.Assert(err, qt.IsNil)
	defer conn.Close()
	request := platformtest.CallerRequest{
		ID: fmt.Sprintf("%s-%d", key, time.Now().UnixNano()), Method: "GET", Host: "a.example", URI: fmt.Sprintf("/v%d/x", version), TimeLeft: time.Second, Key: key,
	}
	caller := platformtest.NewCaller(conn)
	c.Assert(caller.Send(request), qt.IsNil)
	answer, err := caller.Receive(request)
	c.Assert(err, qt.IsNil)
	return answer
}

// callKey sends a request with a key on the route of the last table, and returns the status of the answer.
func (env *testEnv) callKey(key string) int {
	return callWithKey(env.C, env.daemon, env.version, key).Status
}

// publishKeys publishes a table in which the account salon has the keys.
func (env *testEnv) publishKeys(keys ...string) {
	env.accounts = []platformtest.Account{{ClientAccount: azurehitch.ClientAccount{Name: "salon"}, Keys: keys}}
	env.publish()
}

// TestKeys guards against a revoked key that is still served, a key or a forged account that reaches a server, and
// refusals that hide an unknown route.
func TestKeys(t *testing.T) {
	t.Parallel()
	withDaemon(t, func(env *testEnv) {
		recorder := &keyRecorder{}
		env.startBackend(t, platformtest.BackendOptions{ID: "desk-1", Service: "desk", Slots: 8, Incarnation: 1, Recorder: recorder})
		env.Assert(env.await(keyApplyTime, func() bool { return env.callKey("any") == 200 }), qt.IsTrue, qt.Commentf("without accounts"))
		env.Assert(recorder.all()[0].HasCredentials, qt.IsTrue)
		env.Assert(recorder.all()[0].Accounts, qt.DeepEquals, []string{platformtest.ForgedAccount})

		env.publishKeys("k1", "k2")
		env.Assert(env.await(keyApplyTime, func() bool { return env.callKey("k1") == 200 }), qt.IsTrue)
		run := recorder.all()[len(recorder.all())-1]
		env.Assert(run.HasCredentials, qt.IsFalse)
		env.Assert(run.Accounts, qt.DeepEquals, []string{"salon"})
		env.Assert(env.callKey("any"), qt.Equals, 401)
		env.Assert(env.callKey(""), qt.Equals, 401)
		env.Assert(callWithKey(env.C, env.daemon, 99, "any").Status, qt.Equals, 404)

		version := env.version
		env.publishKeys("k2")
		env.Assert(env.await(keyApplyTime, func() bool { return env.callKey("k1") == 401 }), qt.IsTrue)
		env.Assert(env.callKey("k2"), qt.Equals, 200)
		env.Assert(callWithKey(env.C, env.daemon, version, "k1").Status, qt.Equals, 404)

		daemon, err := report.Fetch(context.Background(), env.daemon.Addresses().Metrics)
		env.Assert(err, qt.IsNil)
		env.Assert(daemon.Accounts, qt.HasLen, 1)
		env.Assert(daemon.Accounts[0].Name, qt.Equals, "salon")
		env.Assert(daemon.Accounts[0].Served > 0, qt.IsTrue)
	})
}

// TestKeysOutOfTouch guards against a daemon that serves keys for too long without the store, and against one
// that refuses them while it reads the store or where it must go on.
func TestKeysOutOfTouch(t *testing.T) {
	t.Parallel()
	const maxAge = time.Second
	for name, test := range map[string]struct {
		age    time.Duration
		status int
	}{"closed": {maxAge, 503}, "open": {0, 200}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			withSettings(t, func(s *gateway.Settings) { s.MaxConfigurationAge = test.age }, func(env *testEnv) {
				env.startBackend(t, platformtest.BackendOptions{ID: "desk-1", Service: "desk", Slots: 8, Incarnation: 1, Recorder: platformtest.DiscardRecorder{}})
				env.publishKeys("k1")
				env.Assert(env.await(keyApplyTime, func() bool { return env.callKey("k1") == 200 }), qt.IsTrue)
				env.store.SetFault(platformtest.StoreRefuses)
				isRefused := env.await(2*maxAge, func() bool { return env.callKey("k1") == 503 })
				env.Assert(isRefused, qt.Equals, test.status == 503)
				env.Assert(env.callKey("k1"), qt.Equals, test.status)
				env.store.SetFault(platformtest.StoreHealthy)
				env.Assert(env.await(storeSettle, func() bool { return env.callKey("k1") == 200 }), qt.IsTrue)
				env.Assert(env.await(2*maxAge, func() bool { return env.callKey("k1") != 200 }), qt.IsFalse, qt.Commentf("the store answers"))
			})
		})
	}
}

// TestKeyBeforeTheConfiguration guards against a 401 for a key that this daemon can't know yet.
func TestKeyBeforeTheConfiguration(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	s := gateway.DefaultSettings()
	s.Name, s.Store = "daemon-1", "127.0.0.1:1"
	s.Callers, s.Ready, s.Peers, s.Metrics = anyPort, anyPort, anyPort, anyPort
	daemon, err := gateway.New(s, platform.Connect(s, azurehitch.SystemClock{}, logging.Discard()))
	c.Assert(err, qt.IsNil)
	ctx, stop := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return daemon.Run(ctx) })
	answer := callWithKey(c, daemon, 1, "k1")
	c.Check(answer.Status, qt.Equals, 503)
	c.Check(answer.RetryAfter > 0, qt.IsTrue)
	stop()
	c.Assert(group.Wait(), qt.IsNil)
}
