package soak_test

import (
	"math/rand/v2"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
)

// droppedHistoryFault lets the store drop its history while a daemon that holds no lease starts again.
var droppedHistoryFault = fault{name: droppedHistoryName, inject: injectDroppedHistory}

const droppedHistoryName = "store drops its history while a daemon starts"

// controlTopic is the topic of the leases.
const controlTopic = "control"

func injectDroppedHistory(cl *cluster, a action) {
	holder := cl.awaitHolder(func(string) bool { return true })
	started := (holder + 1 + a.target%(len(cl.daemons)-1)) % len(cl.daemons)
	endDaemon := cl.disturbances.beginDaemonFault(started, "kill")
	endStore := cl.disturbances.beginStoreFault(droppedHistoryName)
	end := cl.store.End(controlTopic)
	cl.await("a record of the leases", 2*leaseDuration, func() bool { return cl.store.End(controlTopic) > end })
	cl.daemons[started].signal(syscall.SIGKILL, 0)
	cl.store.DropHistory()
	cl.awaitRestart(started)
	endStore()
	endDaemon()
	time.Sleep(a.duration)
}

// TestTwoHoldersAfterStoreDroppedHistory guards against two daemons that order the same servers, after one of them has found
// no record of the leases at its start.
func TestTwoHoldersAfterStoreDroppedHistory(t *testing.T) {
	t.Parallel()
	var plan []action
	for i := range 3 {
		plan = append(plan, action{fault: droppedHistoryFault, startsAt: time.Duration(2+9*i) * time.Second, duration: 4 * time.Second, target: i})
	}
	runPlan(t, shortSeed+2, plan)
}

// plainDropFault lets the store drop its history at once.
var plainDropFault = fault{name: plainDropName, inject: injectPlainDrop}

const plainDropName = "store drops its history"

func injectPlainDrop(cl *cluster, _ action) {
	end := cl.disturbances.beginStoreFault(plainDropName)
	cl.store.DropHistory()
	end()
}

const (
	// maxDrops bounds how often the store drops its history in a run, and maxDropOffset how much earlier or later
	// the fault beside it starts.
	maxDrops      = 4
	maxDropOffset = 500 * time.Millisecond
)

// droppedHistories returns the moments of a run at which the store drops its history, half of them right beside
// a restart, a freeze or a kill.
func droppedHistories(seed uint64, duration time.Duration) []action {
	random := newRandom(seed, 12)
	beside := []fault{
		{name: "planned stop", inject: injectPlannedStop}, {name: "kill", inject: injectKill}, {name: "freeze", inject: injectFreeze},
		{name: "kill of all daemons", inject: injectKillAll},
	}
	var drops []action
	for range 1 + random.IntN(maxDrops) {
		drop := action{fault: plainDropFault, startsAt: firstFaultDelay + time.Duration(random.Int64N(int64(duration)))}
		drops = append(drops, drop)
		if random.IntN(2) == 0 {
			drops = append(drops, besideDrop(random, drop, beside[random.IntN(len(beside))]))
		}
	}
	return drops
}

// besideDrop returns a fault that starts up to maxDropOffset before or after the store drops its history.
func besideDrop(random *rand.Rand, drop action, f fault) action {
	return action{
		fault: f, startsAt: max(0, drop.startsAt+between(random, -maxDropOffset, maxDropOffset)),
		duration: between(random, minFaultDuration, maxFaultDuration), target: random.IntN(daemonCount),
	}
}

// TestFreshSeedsWithDroppedHistory adds moments at which the store drops its history to the plans of TestFreshSeeds.
func TestFreshSeedsWithDroppedHistory(t *testing.T) {
	if *seedCount == 0 {
		t.Skip("needs -soak.seeds")
	}
	runSeeds(t, freshSeeds(), func(t *testing.T, seed uint64) {
		runPlan(t, seed, append(newPlan(seed, *soakDuration), droppedHistories(seed, *soakDuration)...))
	})
}

// injectDropAndKillAll lets the store drop its history and kills all daemons. The history is dropped again while no
// daemon runs, so that they find no snapshot.
func injectDropAndKillAll(cl *cluster, a action) {
	cl.awaitHolder(func(string) bool { return true })
	endStore := cl.disturbances.beginStoreFault(plainDropName)
	cl.store.DropHistory()
	var group errgroup.Group
	group.Go(func() error {
		injectKillAll(cl, a)
		return nil
	})
	time.Sleep(restartPause)
	cl.store.DropHistory()
	// The kills return no errors.
	_ = group.Wait()
	endStore()
	restartedAt := time.Now()
	cl.await("a server accepts an order", recoveryTimeout, func() bool {
		_, at := cl.checker.lastHolder()
		return at.After(restartedAt)
	})
}

// TestNoHolderAfterDroppedHistoryAndKillOfAll guards against daemons that wait for good for a snapshot that no
// daemon can write.
func TestNoHolderAfterDroppedHistoryAndKillOfAll(t *testing.T) {
	t.Parallel()
	runPlan(t, shortSeed+2, []action{{
		fault: fault{name: "store drops its history before a kill of all", inject: injectDropAndKillAll}, startsAt: 2 * time.Second, duration: 3 * time.Second,
	}})
}
