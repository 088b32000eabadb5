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
	seedCount    = flag.Int("soak.seeds", 0, "number of fresh seeds to play")
	firstSeed    = flag.Uint64("soak.first", 0, "first seed; 0 takes one from the clock")
	soakDuration = flag.Duration("soak.duration", 20*time.Second, "time in which faults begin")
	regressions  = flag.Bool("soak.regressions", false, "play the seeds that failed once")
	parallel     = flag.Int("soak.parallel", 4, "runs at once")
	logFolder    = flag.String("soak.logs", "", "folder that keeps the logs of runs that failed")
)

const (
	// shortSeed and shortDuration are the run of CI.
	shortSeed     = 20
	shortDuration = 8 * time.Second
	// recoveryTime is how long after the last fault all is served again.
	recoveryTime = 12 * time.Second
	// leastAnswered is the part of the requests that a run answers at least: one that is mostly
	// down proves little.
	leastAnswered = 0.25
	// regressionsFile holds the seeds that failed once, one in a line with its duration and its
	// cause.
	regressionsFile = "_fixtures/regressions.txt"
)

// binary builds the daemon once.
var binary = sync.OnceValues(func() (string, error) {
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

// TestMain removes the daemon that was built.
func TestMain(m *testing.M) {
	code := m.Run()
	if path, err := binary(); err == nil {
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
	first := *firstSeed
	if first == 0 {
		first = uint64(time.Now().UnixNano()) % 1e9
	}
	limit := make(chan struct{}, *parallel)
	for k := range *seedCount {
		seed := first + uint64(k)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			limit <- struct{}{}
			defer func() { <-limit }()
			soak(t, seed, *soakDuration)
		})
	}
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

// soak plays one seed and fails on any broken promise.
func soak(t *testing.T, seed uint64, duration time.Duration) {
	t.Helper()
	path, err := binary()
	qt.New(t).Assert(err, qt.IsNil)
	plan := newPlan(seed, duration)
	w := startWorld(t, path, seed)
	w.startCallers()
	w.play(plan)
	w.awaitRecovery()
	w.judge.finish()
	w.stop()
	w.report(plan)
}

// awaitRecovery checks that each daemon serves each kind of request again.
func (w *world) awaitRecovery() {
	var group errgroup.Group
	for i := range w.daemons {
		for _, route := range routes() {
			model := ""
			if route.Targets[0].Service == engineService {
				model = modelName(i % modelCount)
			}
			group.Go(func() error {
				w.await(fmt.Sprintf("daemon-%d serves %s", i, route.Name), recoveryTime, func() bool { return w.serves(i, route, model) })
				return nil
			})
		}
	}
	// The checks return no error.
	_ = group.Wait()
}

// report fails the test with all that is needed to trace a violation.
func (w *world) report(plan []act) {
	requests, answered := len(w.judge.records), w.judge.answered
	w.Logf("seed %d: %d requests, %d answered with success, %d faults", w.seed, requests, answered, len(plan))
	if float64(answered) < leastAnswered*float64(requests) {
		w.Errorf("only %d of %d requests were answered", answered, requests)
	}
	for _, v := range w.judge.found() {
		w.Errorf("seed %d: %v", w.seed, v)
	}
	if !w.Failed() {
		return
	}
	w.Logf("the run began at %s; its plan:\n%s", w.judge.began.Format(time.RFC3339Nano), describePlan(plan))
	if *logFolder == "" {
		return
	}
	kept := filepath.Join(*logFolder, fmt.Sprint(w.seed))
	w.Check(os.CopyFS(kept, os.DirFS(w.dir)), qt.IsNil)
}
