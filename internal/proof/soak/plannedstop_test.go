package soak_test

import (
	"bufio"
	"encoding/json"
	"flag"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var stoppedDaemons = flag.Int("soak.daemons", 5, "daemons of a run with planned work only")

// plannedStopDuration is the period in which planned stops start in a run of CI.
const plannedStopDuration = 12 * time.Second

// maxTraces bounds the losses of each cause that a test prints; the file losses.txt has all of them.
const maxTraces = 4

// TestPlannedStopCutsAnswers runs daemons under planned work only.
func TestPlannedStopCutsAnswers(t *testing.T) {
	seeds, duration := []uint64{20, 21}, plannedStopDuration
	if *seedCount > 0 {
		seeds, duration = freshSeeds(), *soakDuration
	}
	runSeeds(t, seeds, func(t *testing.T, seed uint64) {
		runSetup(t, seed, plannedOnly(seed, duration, *stoppedDaemons), plannedOnlySetup(seed, *stoppedDaemons))
	})
}

// logLine is a line in the log of a daemon, as far as a trace needs it.
type logLine struct {
	Time     string `json:"time"`
	Message  string `json:"message"`
	Request  string
	Reason   string
	Attempts string
	Placed   float64
	Took     float64
}

// requestLines returns the last line about each request in the logs of the daemons.
func (cl *cluster) requestLines() map[string]logLine {
	lines := map[string]logLine{}
	for _, d := range cl.daemons {
		file, err := os.Open(filepath.Join(cl.dir, d.settings.Name+".log"))
		cl.Assert(err, qt.IsNil)
		defer file.Close()
		scanner := bufio.NewScanner(file)
		for scanner.Buffer(nil, 1<<20); scanner.Scan(); {
			var line logLine
			if json.Unmarshal(scanner.Bytes(), &line) == nil && line.Request != "" {
				lines[line.Request] = line
			}
		}
		cl.Check(scanner.Err(), qt.IsNil)
	}
	return lines
}

// checkStops checks all requests of a run with planned work only, once it has ended.
func (cl *cluster) checkStops() {
	if !cl.setup.plannedOnly {
		return
	}
	lines, c := cl.requestLines(), cl.checker
	c.mu.Lock()
	defer c.mu.Unlock()
	byCause := map[lossCause][]string{}
	for _, id := range slices.Sorted(maps.Keys(c.records)) {
		line, wasRead := lines[id]
		l := c.findLoss(c.records[id], wasRead)
		if l == nil {
			continue
		}
		trace := fmt.Sprintf("%v; log: %s %q, placed %.0f ms, took %.0f ms, attempts %q", l, line.Time, line.Reason, line.Placed, line.Took, line.Attempts)
		byCause[l.cause] = append(byCause[l.cause], trace)
	}
	var all []string
	for _, cause := range slices.Sorted(maps.Keys(byCause)) {
		traces := byCause[cause]
		all = append(all, traces...)
		cl.Errorf("seed %d: %d times %s\n%s", cl.seed, len(traces), cause, strings.Join(traces[:min(maxTraces, len(traces))], "\n"))
	}
	cl.Check(os.WriteFile(filepath.Join(cl.dir, "losses.txt"), []byte(strings.Join(all, "\n")), 0o600), qt.IsNil)
	cl.Logf("seed %d: %s", cl.seed, c.describeStops())
}

// outcome counts how the requests of a kind ended for their callers.
type outcome struct {
	sent, served, refused, servedElsewhere, cut, wentOn, overdue, unread int
	// failed counts the others by status; 0 if there was no answer.
	failed map[int]int
	// longestRefusal is the longest time from a request to its refusal.
	longestRefusal time.Duration
}

func newOutcome() *outcome { return &outcome{failed: map[int]int{}} }

// add counts a request and what followed it.
func (o *outcome) add(r *requestRecord, following map[string]*requestRecord) {
	o.sent++
	next := following[r.exchange.ID]
	isNextServed := next != nil && next.exchange.isServed()
	x := r.exchange
	if x.isRefused() {
		o.longestRefusal = max(o.longestRefusal, x.endedAt.Sub(x.sentAt))
	}
	switch {
	case x.isServed():
		o.served++
	case x.isRefused() && isNextServed:
		o.refused++
		o.servedElsewhere++
	case x.isRefused():
		o.refused++
	case x.isCutStream() && isNextServed:
		o.cut++
		o.wentOn++
	case x.endedAt.Sub(x.sentAt) >= x.route.Timeout:
		o.overdue++
	case x.err == nil && !x.answer.Whole:
		o.cut++
	case x.err != nil && len(r.runs) == 0:
		o.unread++
	default:
		o.failed[x.answer.Status]++
	}
}

// String returns the counts in words.
func (o *outcome) String() string {
	return fmt.Sprintf("%d sent, %d served, %d refused (%d of them served elsewhere, the slowest refusal after %.1f s), %d cut (%d of them whole elsewhere), %d overdue, %d closed before they ran, others by status %v",
		o.sent, o.served, o.refused, o.servedElsewhere, o.longestRefusal.Seconds(), o.cut, o.wentOn, o.overdue, o.unread, o.failed)
}

// describeStops counts both sides of the planned stops: what stopping daemons served, and what they
// refused or cut. The caller holds the mutex.
func (c *checker) describeStops() string {
	following := map[string]*requestRecord{}
	for _, r := range c.records {
		following[r.exchange.follows] = r
	}
	before, after, others := newOutcome(), newOutcome(), newOutcome()
	for _, r := range c.records {
		x := r.exchange
		if !r.ended || !x.disconnectedAt.IsZero() {
			continue
		}
		count := others
		if s := c.stopAround(x); s != nil && x.sentAt.Before(s.signalledAt) {
			count = before
		} else if s != nil && x.sentAt.Before(s.endedAt) {
			count = after
		}
		count.add(r, following)
	}
	longest, killed := time.Duration(0), 0
	for _, s := range c.stops {
		if longest = max(longest, s.endedAt.Sub(s.signalledAt)); !s.killedAt.IsZero() {
			killed++
		}
	}
	return fmt.Sprintf("%d planned stops, longest %v, %d killed\nin progress at SIGTERM: %v\nsent after SIGTERM: %v\nothers: %v", len(c.stops), longest, killed, before, after, others)
}
