package soak_test

import (
	"syscall"
	"testing"
	"time"
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
