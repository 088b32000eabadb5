package soak_test

import (
	"slices"
	"testing"
	"time"

	"azurehitch/platform/platformtest"
)

// holderFaults returns the faults that change the holder of the leases.
func holderFaults() []fault {
	return []fault{
		{"planned stop of the holder", 3, atHolder(injectPlannedStop)},
		{"kill of the holder", 2, atHolder(injectKill)},
		{"freeze of the holder", 2, atHolder(injectFreeze)},
	}
}

// atHolder returns a fault of a daemon whose target is the daemon that gave the last order.
func atHolder(inject func(cl *cluster, a action)) func(cl *cluster, a action) {
	return func(cl *cluster, a action) {
		if name, _ := cl.checker.lastHolder(); name != "" {
			a.target = daemonNumber(name)
		}
		inject(cl, a)
	}
}

// silentServersFault makes half of the servers silent.
var silentServersFault = fault{name: silentServersName, inject: injectSilentServers}

const silentServersName = "silent servers"

func injectSilentServers(cl *cluster, a action) {
	end := cl.disturbances.beginServerFault(silentServersName)
	defer end()
	var silent []*platformtest.Backend
	for k := range engineCount / 2 {
		silent = append(silent, cl.servers[(a.target+k)%engineCount].backend())
	}
	for _, server := range silent {
		server.SetFault(platformtest.BackendSilent)
	}
	time.Sleep(a.duration)
	for _, server := range silent {
		server.SetFault(platformtest.BackendHealthy)
	}
}

const (
	// The holder is stopped, killed or frozen each minHolderGap to maxHolderGap.
	minHolderGap = 1500 * time.Millisecond
	maxHolderGap = 5 * time.Second
	// maxHolderFault is the longest freeze of a holder.
	maxHolderFault = 6500 * time.Millisecond
)

// holderTroubles returns the faults of the holder in a run, half of them beside silent servers.
func holderTroubles(seed uint64, duration time.Duration) []action {
	random := newRandom(seed, 13)
	var weighted []fault
	for _, f := range holderFaults() {
		weighted = append(weighted, slices.Repeat([]fault{f}, f.weight)...)
	}
	var troubles []action
	for at := firstFaultDelay; at < duration; at += between(random, minHolderGap, maxHolderGap) {
		a := action{
			fault: weighted[random.IntN(len(weighted))], startsAt: at, duration: between(random, minFaultDuration, maxHolderFault),
			target: random.IntN(daemonCount),
		}
		troubles = append(troubles, a)
		if random.IntN(2) == 0 {
			startsAt := at - between(random, 0, minHolderGap/3)
			troubles = append(troubles, action{fault: silentServersFault, startsAt: startsAt, duration: a.duration, target: random.IntN(engineCount)})
		}
	}
	return troubles
}

// twoHolderPlan returns all faults that may lead to two holders. Each kind has a random sequence of its own.
func twoHolderPlan(seed uint64, duration time.Duration) []action {
	return slices.Concat(
		newPlan(seed, duration),
		holderTroubles(seed, duration),
		olderCopies(seed, duration),
		droppedHistories(seed, duration),
		lateAppends(seed, duration),
	)
}

// runTwoHolderPlan runs all faults that may lead to two holders at servers that ignore tokens, with an earlier build in
// turn if the flags name one.
func runTwoHolderPlan(t *testing.T, seed uint64, duration time.Duration) {
	t.Helper()
	s := defaultSetup()
	s.ignoresTokens, s.otherBinary = true, *otherBinary
	runSetup(t, seed, twoHolderPlan(seed, duration), s)
}

func TestFreshSeedsWithTwoHolderTroubles(t *testing.T) {
	if *seedCount == 0 {
		t.Skip("needs -soak.seeds")
	}
	runSeeds(t, freshSeeds(), func(t *testing.T, seed uint64) { runTwoHolderPlan(t, seed, *soakDuration) })
}

// TestTwoHolderTroubles is the short run of CI.
func TestTwoHolderTroubles(t *testing.T) {
	t.Parallel()
	runTwoHolderPlan(t, shortSeed, shortDuration)
}
