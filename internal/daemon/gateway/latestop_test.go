package gateway_test

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"azurehitch"
	"azurehitch/internal/daemon/gateway"
	"azurehitch/platform/platformtest"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"
)

// runRecorder records the ids of the requests that servers began to run.
type runRecorder struct {
	platformtest.DiscardRecorder
	mu  sync.Mutex
	ran map[string]bool
}

// Ran implements platformtest.Recorder.
func (r *runRecorder) Ran(run platformtest.Run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ran[run.RequestID] = true
}

func (r *runRecorder) hasRun(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ran[id]
}

// lateCaller sends calls one after the other on a connection that it keeps while it can.
type lateCaller struct {
	env    *testEnv
	conn   net.Conn
	client *platformtest.Caller
}

// call makes a call. It returns false if the daemon took no connection or closed the one that was kept.
func (c *lateCaller) call(request platformtest.CallerRequest) (answer platformtest.Answer, wasTaken bool, err error) {
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.env.daemon.Addresses().Callers, time.Second)
		if err != nil {
			return answer, false, err
		}
		c.conn, c.client = conn, platformtest.NewCaller(conn)
	}
	if err = c.client.Send(request); err == nil {
		answer, err = c.client.Receive(request)
	}
	if err != nil || answer.Close {
		_ = c.conn.Close()
		c.conn = nil
	}
	return answer, true, err
}

// TestLateRequestCutByStop sends calls of both kinds with various deadlines through a whole planned stop. Each call
// that a server began to run must be answered.
func TestLateRequestCutByStop(t *testing.T) {
	t.Parallel()
	const stopTimeout, callers = 6 * time.Second, 24
	recorder := &runRecorder{ran: map[string]bool{}}
	withSettings(t, func(s *gateway.Settings) { s.StopTimeout = stopTimeout }, func(env *testEnv) {
		env.serveKinds(t, recorder)
		var group errgroup.Group
		for i := range callers {
			group.Go(func() error {
				env.callThroughStop(i, recorder)
				return nil
			})
		}
		time.Sleep(2 * time.Second)
		env.stop()
		env.Assert(group.Wait(), qt.IsNil)
	})
}

// serveKinds starts a backend server of calls that may be repeated and calls that may not.
func (env *testEnv) serveKinds(t *testing.T, recorder platformtest.Recorder) {
	env.startBackend(t, platformtest.BackendOptions{
		ID: "i-1", Service: "calls", FailureDomain: "z1", Slots: 1000,
		WorkFor: func(r azurehitch.CallerRequest) platformtest.Work {
			return platformtest.Work{Call: time.Duration(10+len(r.ID)%7*100) * time.Millisecond}
		},
		Recorder: recorder,
	})
	table := azurehitch.RoutingTable{Version: env.version + 1, Services: map[string]azurehitch.BackendService{"calls": {Name: "calls"}}}
	for name, kind := range map[string]azurehitch.RequestKind{"repeat": azurehitch.RequestKindIdempotent, "once": azurehitch.RequestKindNonIdempotent} {
		table.Routes = append(table.Routes, azurehitch.PathRoute{
			Name: name, Host: "a.example", PathPrefix: "/" + name + "/", Kind: kind, MaxAttempts: 2, Timeout: callTimeout,
			Targets: []azurehitch.RouteTarget{{Service: "calls", Weight: 1}},
		})
	}
	env.version++
	env.Assert(env.store.PutRouting(table), qt.IsNil)
	env.Assert(env.await(10*time.Second, func() bool { return env.status(env.daemon.Addresses().Callers, "/repeat/x") == http.StatusOK }), qt.IsTrue)
}

// callThroughStop makes calls until the daemon has ended.
func (env *testEnv) callThroughStop(number int, recorder *runRecorder) {
	caller := &lateCaller{env: env}
	for i := 0; ; i++ {
		select {
		case <-env.ended:
			return
		default:
		}
		kind := []string{"repeat", "once"}[i%2]
		// The length of the id determines the work.
		id := fmt.Sprintf("%d-%d-%0*d", number, i, 1+(number+i)%9, 0)
		request := platformtest.CallerRequest{
			ID: id, Method: http.MethodPost, Host: "a.example", URI: "/" + kind + "/x", Body: id,
			TimeLeft: []time.Duration{800 * time.Millisecond, 1500 * time.Millisecond, 4 * time.Second, callTimeout}[(number+i)%4],
		}
		answer, wasTaken, err := caller.call(request)
		if !wasTaken {
			time.Sleep(20 * time.Millisecond)
			continue
		}
		if recorder.hasRun(id) {
			env.Check(err, qt.IsNil, qt.Commentf("%s %s was run", kind, id))
			env.Check(answer.Whole && answer.Status == http.StatusOK, qt.IsTrue, qt.Commentf("%s %s was run: %d", kind, id, answer.Status))
		}
	}
}
