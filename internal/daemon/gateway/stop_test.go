package gateway_test

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"azurehitch"
	"azurehitch/internal/daemon/gateway"
	"azurehitch/platform/platformtest"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"
)

// skippingClock is a clock that can skip time, as the clock of a process does that has not run.
type skippingClock struct {
	azurehitch.SystemClock
	skipped atomic.Int64
}

// Now implements azurehitch.Clock.
func (c *skippingClock) Now() time.Time {
	return c.SystemClock.Now().Add(time.Duration(c.skipped.Load()))
}

func (c *skippingClock) skip(d time.Duration) { c.skipped.Add(int64(d)) }

const (
	// callTime is how long calls take at the backend server, and callTimeout the timeout of their route.
	callTime    = 1500 * time.Millisecond
	callTimeout = 12 * time.Second
	// learningCalls is the number of calls from which a daemon learns how long they take, of which
	// parallelCalls are made at a time.
	learningCalls = 120
	parallelCalls = 40
	// promptly is how long a refusal takes at most.
	promptly = 400 * time.Millisecond
)

// call is the outcome of a call.
type call struct {
	status int
	took   time.Duration
	err    error
}

// withCalls calls run with a daemon that has learnt how long the calls of its only route take.
func withCalls(t *testing.T, stopTimeout time.Duration, run func(env *testEnv)) {
	t.Helper()
	withSettings(t, func(s *gateway.Settings) { s.StopTimeout = stopTimeout }, func(env *testEnv) {
		env.serveCalls(t)
		var group errgroup.Group
		group.SetLimit(parallelCalls)
		for i := range learningCalls {
			group.Go(func() error {
				env.Check(env.call(fmt.Sprint("learn-", i)).status, qt.Equals, http.StatusOK)
				return nil
			})
		}
		env.Assert(group.Wait(), qt.IsNil)
		run(env)
	})
}

// serveCalls starts a backend server of plain calls, and waits until the daemon uses it.
func (env *testEnv) serveCalls(t *testing.T) {
	env.startBackend(t, platformtest.BackendOptions{
		ID: "i-1", Service: "calls", FailureDomain: "z1", Slots: 2 * learningCalls,
		Work: platformtest.Work{Call: callTime}, Recorder: platformtest.DiscardRecorder{},
	})
	env.version++
	env.Assert(env.store.PutRouting(azurehitch.RoutingTable{
		Version: env.version,
		Routes: []azurehitch.PathRoute{{
			Name: "calls", Host: "a.example", PathPrefix: "/calls/", Kind: azurehitch.RequestKindIdempotent, MaxAttempts: 2,
			Timeout: callTimeout, Targets: []azurehitch.RouteTarget{{Service: "calls", Weight: 1}},
		}},
		Services: map[string]azurehitch.BackendService{"calls": {Name: "calls"}},
	}), qt.IsNil)
	env.Assert(env.await(10*time.Second, func() bool { return env.call("first").status == http.StatusOK }), qt.IsTrue)
}

// call makes a call on a new connection.
func (env *testEnv) call(id string) call {
	began := time.Now()
	conn, err := net.DialTimeout("tcp", env.daemon.Addresses().Callers, time.Second)
	if err != nil {
		return call{err: err}
	}
	defer conn.Close()
	request := platformtest.CallerRequest{ID: id, Method: http.MethodPost, Host: "a.example", URI: "/calls/" + id, TimeLeft: callTimeout}
	caller := platformtest.NewCaller(conn)
	if err := caller.Send(request); err != nil {
		return call{err: err}
	}
	answer, err := caller.Receive(request)
	return call{status: answer.Status, took: time.Since(began), err: err}
}

// assertRefused checks that a call was refused at once as not run.
func (env *testEnv) assertRefused(got call) {
	env.Helper()
	env.Assert(got.err, qt.IsNil)
	env.Assert(got.status, qt.Equals, http.StatusServiceUnavailable, qt.Commentf("after %v", got.took))
	env.Assert(got.took < promptly, qt.IsTrue, qt.Commentf("after %v", got.took))
}

// assertEndedBy checks that the daemon ends within a time from began.
func (env *testEnv) assertEndedBy(began time.Time, timeout time.Duration) {
	env.Helper()
	<-env.ended
	took := time.Since(began)
	env.Assert(took < timeout, qt.IsTrue, qt.Commentf("%v", took))
}

func TestStopAcceptsRequestsThatItCuts(t *testing.T) {
	withCalls(t, 3*time.Second, func(env *testEnv) {
		env.stop()
		time.Sleep(1300 * time.Millisecond)
		env.assertRefused(env.call("late"))
	})
}

func TestStopAnswersRequestsThatFit(t *testing.T) {
	withCalls(t, 4*time.Second, func(env *testEnv) {
		env.stop()
		got := env.call("early")
		env.Assert(got.err, qt.IsNil)
		env.Assert(got.status, qt.Equals, http.StatusOK)
	})
}

func TestStopIsNoticedLate(t *testing.T) {
	withCalls(t, 4*time.Second, func(env *testEnv) {
		env.leaseClock.skip(1800 * time.Millisecond)
		env.stop()
		time.Sleep(300 * time.Millisecond)
		env.assertRefused(env.call("late"))
	})
}

func TestStopTakesLongerThanShortTimeout(t *testing.T) {
	withCalls(t, 2*time.Second, func(env *testEnv) {
		began := time.Now()
		env.stop()
		env.assertEndedBy(began, 2*time.Second)
	})
}

func TestStopEndsWithoutAnswerToRequestInProgress(t *testing.T) {
	withCalls(t, time.Second, func(env *testEnv) {
		var group errgroup.Group
		group.Go(func() error {
			got := env.call("in-progress")
			env.Check(got.err, qt.IsNil)
			env.Check(got.status, qt.Equals, http.StatusBadGateway, qt.Commentf("after %v", got.took))
			return nil
		})
		time.Sleep(300 * time.Millisecond)
		env.stop()
		env.Assert(group.Wait(), qt.IsNil)
	})
}

func TestStopCountsFromItsNotice(t *testing.T) {
	withCalls(t, 8*time.Second, func(env *testEnv) {
		time.Sleep(300 * time.Millisecond)
		env.leaseClock.skip(1500 * time.Millisecond)
		began := time.Now()
		env.stop()
		// Without requests, it ends when the load balancer has noticed it.
		env.assertEndedBy(began, 2*time.Second)
	})
}

func TestStopForgetsEarlierPauses(t *testing.T) {
	withCalls(t, 5*time.Second, func(env *testEnv) {
		env.leaseClock.skip(1500 * time.Millisecond)
		time.Sleep(500 * time.Millisecond)
		env.stop()
		time.Sleep(1900 * time.Millisecond)
		env.assertRefused(env.call("late"))
	})
}

func TestStopTimeoutShortenedDuringStop(t *testing.T) {
	withCalls(t, 8*time.Second, func(env *testEnv) {
		began := time.Now()
		env.stop()
		time.Sleep(300 * time.Millisecond)
		env.settings.StopTimeout = 2 * time.Second
		env.daemon.Reload(env.settings)
		time.Sleep(400 * time.Millisecond)
		env.assertRefused(env.call("late"))
		env.assertEndedBy(began, 2*time.Second)
	})
}

func TestStopResetsLateConnections(t *testing.T) {
	withCalls(t, 8*time.Second, func(env *testEnv) {
		env.stop()
		time.Sleep(1900 * time.Millisecond)
		var inProgress sync.WaitGroup
		var group errgroup.Group
		inProgress.Add(1)
		group.Go(func() error {
			inProgress.Done()
			env.Check(env.call("in-progress").status, qt.Equals, http.StatusOK)
			return nil
		})
		inProgress.Wait()
		time.Sleep(950 * time.Millisecond)
		env.assertRefused(env.call("late"))
		env.Assert(group.Wait(), qt.IsNil)
	})
}

func TestStopAfterSuspensionEndsAtOnce(t *testing.T) {
	withCalls(t, 4*time.Second, func(env *testEnv) {
		var group errgroup.Group
		group.Go(func() error {
			env.Check(env.call("in-progress").status, qt.Equals, http.StatusOK)
			return nil
		})
		time.Sleep(300 * time.Millisecond)
		env.leaseClock.skip(time.Hour)
		env.stop()
		env.Assert(group.Wait(), qt.IsNil)
		select {
		case <-env.ended:
			env.Fatal("the daemon ended before its answer")
		default:
		}
	})
}
