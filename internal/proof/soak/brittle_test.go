package soak_test

import (
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"azurehitch/platform/platformtest"
)

const (
	// stableTime is the earliest time at which brittle servers let fewer requests wait.
	stableTime = 3 * time.Second
	// brittleTime is how long the servers of a service are brittle.
	brittleTime = 12 * time.Second
	// brittleDowntime is how long a server that fell over is down.
	brittleDowntime = 2 * time.Second
	// The servers of a service may fall over toleratedFalls times while they are brittle, and
	// toleratedFallsPerServer times more for each server.
	toleratedFalls          = 2
	toleratedFallsPerServer = 0.1
	// brittleSlots is the number of slots of a server in the runs with brittle servers, and brittleQueue the
	// number of requests that wait there before the server is brittle.
	brittleSlots = 4
	brittleQueue = 12
	// brittleCallers is the number of callers in these runs. They use most of the slots of the
	// service in the mean.
	brittleCallers = 80
	brittleCall    = 200 * time.Millisecond
)

// brittleFault makes all servers of a service brittle; the target selects one of its servers, and the variant
// is the allowance.
var brittleFault = fault{name: "servers of a service are brittle", inject: injectBrittle}

func injectBrittle(cl *cluster, a action) {
	service := cl.targetServer(a).service
	servers := slices.DeleteFunc(slices.Clone(cl.servers), func(s *backendServer) bool { return s.service != service })
	random := newRandom(cl.seed, 2000+a.target)
	var falls atomic.Int64
	rejected := 0
	for _, s := range servers {
		rejected -= s.backend().Rejections()
		s.backend().SetBrittle(&platformtest.Brittleness{
			Allowance: a.variant, Downtime: brittleDowntime,
			LowerAfter: stableTime + time.Duration(random.Int64N(int64(stableTime))), Fell: func() { falls.Add(1) },
		})
	}
	time.Sleep(a.duration)
	for _, s := range servers {
		rejected += s.backend().Rejections()
		s.backend().SetBrittle(nil)
	}
	cl.Logf("%s: allowance %d, %d falls, %d requests rejected for lack of capacity", service, a.variant, falls.Load(), rejected)
	if float64(falls.Load()) > toleratedFalls+toleratedFallsPerServer*float64(len(servers)) {
		cl.checker.mu.Lock()
		defer cl.checker.mu.Unlock()
		cl.checker.addViolation(ruleBrittleServers, "the %d servers of %s fell over %d times", len(servers), service, falls.Load())
	}
}

// brittleSetup returns the setup of runs with brittle servers: their load comes near their capacity.
func brittleSetup() setup {
	s := defaultSetup()
	s.slots, s.queue, s.callerCount, s.endsCalm = brittleSlots, brittleQueue, brittleCallers, true
	s.work = func(string, string) platformtest.Work {
		return platformtest.Work{Call: brittleCall, FirstEvent: 30 * time.Millisecond, Event: 35 * time.Millisecond, Events: streamEvents}
	}
	return s
}

// runBrittle runs callers while the servers of a service are brittle, without other faults.
func runBrittle(t *testing.T, target int) {
	t.Helper()
	t.Parallel()
	const allowance = 3
	seeds := []uint64{shortSeed}
	if *seedCount > 0 {
		seeds = freshSeeds()
	}
	runSeeds(t, seeds, func(t *testing.T, seed uint64) {
		plan := []action{{fault: brittleFault, startsAt: 2 * time.Second, duration: brittleTime, target: target, variant: allowance}}
		runSetup(t, seed, plan, brittleSetup())
	})
}

func TestBrittleServersFallOverByRejections(t *testing.T) { runBrittle(t, engineCount) }

func TestBrittleEnginesFallOverByRejections(t *testing.T) { runBrittle(t, 0) }
