package soak_test

import (
	"bufio"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"
)

var (
	seedCount    = flag.Int("soak.seeds", 0, "number of fresh seeds to run")
	firstSeed    = flag.Uint64("soak.first", 0, "first seed; 0 derives one from the clock")
	soakDuration = flag.Duration("soak.duration", 20*time.Second, "period in which faults start")
	regressions  = flag.Bool("soak.regressions", false, "run the seeds that failed in the past")
	parallel     = flag.Int("soak.parallel", 4, "number of parallel runs")
	otherBinary  = flag.String("soak.other", "", "program of an earlier build, which runs in turn with this one")
	program      = flag.String("soak.program", "", "program of the daemons, in place of a fresh build")
	logFolder    = flag.String("soak.logs", "", "folder for the logs of failed runs")
)

const (
	// shortSeed and shortDuration are the seed and duration of the run in CI.
	shortSeed     = 20
	shortDuration = 8 * time.Second
	// recoveryTimeout is how long after the last fault each daemon must serve all routes again.
	recoveryTimeout = 12 * time.Second
	// minAnsweredShare is the smallest share of requests that must succeed: a run in which the
	// gateway is mostly down checks little.
	minAnsweredShare = 0.25
	// regressionsFile lists the seeds that failed in the past, one a line with duration and cause.
	regressionsFile = "_fixtures/regressions.txt"
)

// daemonBinary builds the daemon once and returns its path.
var daemonBinary = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		return "", err
	}
	path := filepath.Join(dir, "azurehitch")
	output, err := exec.Command("go", "build", "-o", path, "azurehitch/cmd/azurehitch").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("build: %w: %s", err, output)
	}
	return path, nil
})

// TestMain removes the daemon binary after the tests.
func TestMain(m *testing.M) {
	code := m.Run()
	if path, err := daemonBinary(); err == nil {
		_ = os.RemoveAll(filepath.Dir(path))
	}
	os.Exit(code)
}

// TestSoak is the short run of CI.
func TestSoak(t *testing.T) { soak(t, shortSeed, shortDuration) }

func TestFreshSeeds(t *testing.T) {
	if *seedCount == 0 {
		t.Skip("needs -soak.seeds")
	}
	runSeeds(t, freshSeeds(), func(t *testing.T, seed uint64) { soak(t, seed, *soakDuration) })
}

// freshSeeds returns the seeds that the flags ask for.
func freshSeeds() []uint64 {
	first := *firstSeed
	if first == 0 {
		first = uint64(time.Now().UnixNano()) % 1e9
	}
	var seeds []uint64
	for k := range *seedCount {
		seeds = append(seeds, first+uint64(k))
	}
	return seeds
}

// runSeeds makes a run for each seed, as many at a time as the flags allow.
func runSeeds(t *testing.T, seeds []uint64, run func(t *testing.T, seed uint64)) {
	t.Helper()
	runSlots := make(chan struct{}, *parallel)
	for _, seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			runSlots <- struct{}{}
			defer func() { <-runSlots }()
			run(t, seed)
		})
	}
}

// TestTwoBuilds lets each daemon run this build and an earlier one in turn, as in an upgrade and when it is taken back.
func TestTwoBuilds(t *testing.T) {
	runTwoBuilds(t, func(uint64) []action { return nil })
}

// TestTwoBuildsWithOlderCopies adds returns of the store from older copies to the plans of TestTwoBuilds.
func TestTwoBuildsWithOlderCopies(t *testing.T) {
	runTwoBuilds(t, func(seed uint64) []action { return olderCopies(seed, *soakDuration) })
}

// runTwoBuilds runs two builds in turn, with the faults of newPlan and further ones.
func runTwoBuilds(t *testing.T, further func(seed uint64) []action) {
	t.Helper()
	if *otherBinary == "" {
		t.Skip("needs -soak.other and -soak.seeds")
	}
	runSeeds(t, freshSeeds(), func(t *testing.T, seed uint64) {
		s := defaultSetup()
		s.otherBinary = *otherBinary
		plan := append(newPlan(seed, *soakDuration), rollingStops(seed, *soakDuration)...)
		runSetup(t, seed, append(plan, further(seed)...), s)
	})
}

// rollingStops returns planned stops of all daemons in turn, each of which changes the build.
func rollingStops(seed uint64, duration time.Duration) []action {
	random := newRandom(seed, 7)
	var stops []action
	for at, i := firstFaultDelay, 0; at < duration; at, i = at+between(random, time.Second, 3*time.Second), i+1 {
		stops = append(stops, action{fault: fault{name: "planned stop", inject: injectPlannedStop}, startsAt: at, target: i})
	}
	return stops
}

func TestRegressions(t *testing.T) {
	if !*regressions {
		t.Skip("needs -soak.regressions")
	}
	file, err := os.Open(regressionsFile)
	qt.New(t).Assert(err, qt.IsNil)
	defer file.Close()
	for lines := bufio.NewScanner(file); lines.Scan(); {
		fields := strings.Fields(lines.Text())
		if len(fields) < 2 || strings.HasPrefix(fields[0], "#") {
			continue
		}
		t.Run(fields[0], func(t *testing.T) {
			c := qt.New(t)
			seed, err := strconv.ParseUint(fields[0], 10, 64)
			c.Assert(err, qt.IsNil)
			duration, err := time.ParseDuration(fields[1])
			c.Assert(err, qt.IsNil)
			soak(t, seed, duration)
		})
	}
}

// soak runs the faults of one seed and fails the test on any violation.
func soak(t *testing.T, seed uint64, duration time.Duration) {
	t.Helper()
	runPlan(t, seed, newPlan(seed, duration))
}

// runPlan injects the faults of a plan while callers send the requests of a seed. It fails the test
// on any violation.
func runPlan(t *testing.T, seed uint64, plan []action) {
	t.Helper()
	runSetup(t, seed, plan, defaultSetup())
}

// runSetup is runPlan with a setup of its own.
func runSetup(t *testing.T, seed uint64, plan []action, s setup) {
	t.Helper()
	path, err := daemonBinary()
	qt.New(t).Assert(err, qt.IsNil)
	if *program != "" {
		path = *program
	}
	cl := startCluster(t, path, seed, s)
	cl.startCallers()
	cl.execute(plan)
	cl.isCalm.Store(s.plannedOnly || s.endsCalm)
	cl.checker.checkSoundRequests()
	cl.checker.checkResumedStreams()
	cl.awaitRecovery()
	cl.checker.finish()
	cl.stop()
	cl.checkStops()
	cl.checkFolds()
	if s.checkOrders != nil {
		s.checkOrders(cl)
	}
	if s.callersWait {
		cl.Check(cl.checker.takenUp() >= minResumed, qt.IsTrue, qt.Commentf("%d streams taken up", cl.checker.takenUp()))
	}
	cl.report(plan)
}

// awaitRecovery checks that each daemon serves each route again within recoveryTimeout.
func (cl *cluster) awaitRecovery() {
	var group errgroup.Group
	for i := range cl.daemons {
		for _, route := range cl.setup.routes {
			model := ""
			if route.Targets[0].Service == engineService {
				model = modelName(i % cl.setup.modelCount)
			}
			group.Go(func() error {
				cl.await(fmt.Sprintf("daemon-%d serves %s", i, route.Name), recoveryTimeout, func() bool { return cl.serves(i, route, model) })
				return nil
			})
		}
	}
	// The checks return no errors.
	_ = group.Wait()
}

// report fails the test on violations and logs what is needed to trace them.
func (cl *cluster) report(plan []action) {
	requests, answered := len(cl.checker.records), cl.checker.answered
	cl.Logf("seed %d: %d requests, %d answered with success, %d faults", cl.seed, requests, answered, len(plan))
	for _, part := range cl.checker.crashingParts {
		cl.Logf("%s: %d servers crashed, %d requests too late", part.id, part.crashes, part.lateSends)
	}
	for _, r := range cl.checker.deadlyRequests {
		cl.Logf("%s: %d servers crashed, %d requests too late", r.route.Name, r.crashes, r.lateSends)
	}
	cl.Logf("%d requests refused by mistake as those that crash servers", cl.checker.mistaken)
	cl.Logf("%d streams mixed, %s", len(cl.checker.mixedStreams), cl.checker.resumedStreams())
	if float64(answered) < minAnsweredShare*float64(requests) {
		cl.Errorf("only %d of %d requests were answered", answered, requests)
	}
	for _, v := range cl.checker.foundViolations() {
		cl.Errorf("seed %d: %v", cl.seed, v)
	}
	if !cl.Failed() {
		return
	}
	cl.Logf("the run started at %s with this plan:\n%s", cl.checker.startedAt.Format(time.RFC3339Nano), describePlan(plan))
	if *logFolder == "" {
		return
	}
	destination := filepath.Join(*logFolder, fmt.Sprint(cl.seed))
	cl.Check(os.CopyFS(destination, os.DirFS(cl.dir)), qt.IsNil)
}
