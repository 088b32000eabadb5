package soak_test

import (
	"testing"
	"time"

	"azurehitch/platform/platformtest"
)

// injectLateAppends delays what daemons append to the store, and gives them no answer.
func injectLateAppends(cl *cluster, a action) {
	end := cl.disturbances.beginStoreFault("store appends late")
	cl.store.SetFault(platformtest.StoreAppendsLate)
	time.Sleep(a.duration)
	cl.store.SetFault(platformtest.StoreHealthy)
	end()
}

// lateAppends returns the faults of a run in which the store carries out appends late.
func lateAppends(seed uint64, duration time.Duration) []action {
	random := newRandom(seed, 8)
	var late []action
	for range 1 + random.IntN(3) {
		late = append(late, action{
			fault:    fault{name: "store appends late", inject: injectLateAppends},
			startsAt: firstFaultDelay + time.Duration(random.Int64N(int64(duration))), duration: between(random, minFaultDuration, maxFaultDuration),
		})
	}
	return late
}

// TestFreshSeedsWithLateAppends adds late appends, and returns of the store from older copies in half of the seeds,
// to the plans of TestFreshSeeds.
func TestFreshSeedsWithLateAppends(t *testing.T) {
	if *seedCount == 0 {
		t.Skip("needs -soak.seeds")
	}
	runSeeds(t, freshSeeds(), func(t *testing.T, seed uint64) {
		plan := append(newPlan(seed, *soakDuration), lateAppends(seed, *soakDuration)...)
		if seed%2 == 1 {
			plan = append(plan, olderCopies(seed, *soakDuration)...)
		}
		runPlan(t, seed, plan)
	})
}
