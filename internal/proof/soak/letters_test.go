package soak_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"azurehitch"
	"azurehitch/platform/platformtest"
)

const (
	// letterServerCount is the number of servers of each of the letterServices. Two of them have each software version.
	letterServerCount = 4
	// lettersOneIn: one in so many requests asks for a letter.
	lettersOneIn = 2
)

// letterServices are the plain services between which the route of letters is split. Their servers answer with streams.
var letterServices = []string{"letters-a", "letters-b"}

func isLetterService(name string) bool { return slices.Contains(letterServices, name) }

// letterRoute returns the route of letters.
func letterRoute() azurehitch.PathRoute {
	route := azurehitch.PathRoute{
		Name: "letter", Host: callerHost, PathPrefix: "/letter/", Kind: azurehitch.RequestKindStream,
		Timeout: 6 * time.Second, Objective: 400 * time.Millisecond, MaxPause: 300 * time.Millisecond, MaxAttempts: 2, Priority: 2, Resumable: true,
	}
	for _, name := range letterServices {
		route.Targets = append(route.Targets, azurehitch.RouteTarget{Service: name, Weight: 1})
	}
	return route
}

// addLetterServers adds the servers of the letterServices.
func (cl *cluster) addLetterServers() {
	for k, service := range letterServices {
		for i := range letterServerCount {
			cl.addServer(fmt.Sprintf("%s-%d", service, i), service, engineCount+deskCount+k*letterServerCount+i)
		}
	}
}

// injectUpgradeInPlace ends a server of letters and starts it again, under its id and at its address, with another version
// of the software. Its entry stays meanwhile.
func injectUpgradeInPlace(cl *cluster, a action) {
	first := engineCount + deskCount
	s := cl.servers[first+a.target%(len(cl.servers)-first)]
	if !s.replacing.TryLock() {
		return
	}
	defer s.replacing.Unlock()
	defer cl.disturbances.beginServerFault("upgrade in place")()
	old := s.unlist()
	entry := old.Entry()
	cl.checker.recordServing(entry.Service, entry.SoftwareVersion, -1)
	old.Kill()
	time.Sleep(a.duration / 8)
	s.mu.Lock()
	s.upgrades++
	s.generation--
	s.mu.Unlock()
	cl.startServer(s, azurehitch.CachedModels{})
}

// letterSetup returns the setup of runs with letters, whose streams last for some seconds.
func letterSetup() setup {
	s := defaultSetup()
	s.hasLetters, s.callersWait = true, true
	s.routes = append(s.routes, letterRoute())
	s.work = func(string, string) platformtest.Work {
		return platformtest.Work{Call: 15 * time.Millisecond, FirstEvent: 30 * time.Millisecond, Event: 250 * time.Millisecond, Events: streamEvents}
	}
	return s
}

// letterPlan returns kills of one and of all daemons, upgrades in place and crashes of servers, and resets of
// the callers' connections.
func letterPlan(seed uint64, duration time.Duration, isInPlace bool) []action {
	random := newRandom(seed, 8)
	kinds := []fault{
		{"kill", 3, injectKill}, {"kill of all daemons", 1, injectKillAll}, {"server crashes", 2, injectCrash},
		{"reset of caller connections", 4, injectCallerReset}, {"store malfunction", 1, injectStoreFault},
	}
	if isInPlace {
		kinds = append(kinds, fault{"upgrade in place", 4, injectUpgradeInPlace})
	}
	var weighted []fault
	for _, f := range kinds {
		for range f.weight {
			weighted = append(weighted, f)
		}
	}
	var plan []action
	for at := 2 * time.Second; at < duration; at += between(random, 200*time.Millisecond, maxFaultGap) {
		plan = append(plan, action{
			fault: weighted[random.IntN(len(weighted))], startsAt: at, target: random.IntN(1000), variant: random.IntN(variantCount),
			duration: between(random, minFaultDuration, maxFaultDuration),
		})
	}
	return plan
}

// TestLettersAreJoinedOrLost guards against streams of plain services and of a split route that go on at another
// service or software version, or not at all, when daemons are killed.
func TestLettersAreJoinedOrLost(t *testing.T) {
	t.Parallel()
	runSetup(t, shortSeed, letterPlan(shortSeed, 20*time.Second, false), letterSetup())
}

// TestFreshSeedsWithLetters makes runs like TestLettersAreJoinedOrLost. In each second seed, servers are upgraded in place.
func TestFreshSeedsWithLetters(t *testing.T) {
	if *seedCount == 0 {
		t.Skip("needs -soak.seeds")
	}
	runSeeds(t, freshSeeds(), func(t *testing.T, seed uint64) {
		runSetup(t, seed, letterPlan(seed, *soakDuration, seed%2 == 1), letterSetup())
	})
}
