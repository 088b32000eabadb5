package drain_test

import (
	"testing"
	"time"

	"azurehitch/internal/forward/drain"

	qt "github.com/frankban/quicktest"
)

var pendingSince = time.Unix(1000, 0)

func at(d time.Duration) time.Time { return pendingSince.Add(d) }

// seconds returns the time since pendingSince.
func seconds(t time.Time) float64 { return t.Sub(pendingSince).Seconds() }

func TestSteps(t *testing.T) {
	for _, test := range []struct {
		name           string
		timing         drain.Timing
		cancel, exitAt float64
	}{
		{"on time", drain.Timing{StopTimeout: 8 * time.Second}, 7.5, 7.6},
		{"late", drain.Timing{StopTimeout: 8 * time.Second, Lateness: 300 * time.Millisecond}, 7.2, 7.36},
		{"very late", drain.Timing{StopTimeout: 8 * time.Second, Lateness: time.Minute}, 7, 7.2},
		{"short", drain.Timing{StopTimeout: 2 * time.Second}, 1.75, 1.8},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			test.timing.PendingSince = pendingSince
			c.Assert(seconds(test.timing.CancelAt()), qt.Equals, test.cancel)
			c.Assert(seconds(test.timing.ExitAt()), qt.Equals, test.exitAt)
		})
	}
}

func TestStopCancelsUnreadAnswers(t *testing.T) {
	timing := drain.Timing{PendingSince: pendingSince, StopTimeout: 8 * time.Second}
	for name, test := range map[string]struct {
		now, heldUpUntil time.Duration
		want             bool
	}{
		"before the cancellation":     {7400 * time.Millisecond, 0, false},
		"on time":                     {7500 * time.Millisecond, 0, true},
		"just held up":                {7520 * time.Millisecond, 7500 * time.Millisecond, false},
		"held up, answers read":       {7560 * time.Millisecond, 7500 * time.Millisecond, true},
		"held up again until the end": {7600 * time.Millisecond, 7590 * time.Millisecond, true},
	} {
		t.Run(name, func(t *testing.T) {
			qt.New(t).Assert(timing.IsCancelDue(at(test.now), at(test.heldUpUntil)), qt.Equals, test.want)
		})
	}
}

func TestAccepts(t *testing.T) {
	const long, short = 4 * time.Second, 500 * time.Millisecond
	for _, test := range []struct {
		name     string
		now      time.Duration
		request  drain.Request
		lateness time.Duration
		want     bool
	}{
		{"fits", time.Second, drain.Request{Estimate: long, MayRepeat: true}, 0, true},
		{"fits just", 3500*time.Millisecond - time.Second, drain.Request{Estimate: 5 * time.Second, MayRepeat: true}, 0, true},
		{"does not fit", 2600 * time.Millisecond, drain.Request{Estimate: 5 * time.Second, MayRepeat: true}, 0, false},
		{"does not fit, as the process runs late", 2500 * time.Millisecond, drain.Request{Estimate: 5 * time.Second, MayRepeat: true}, 100 * time.Millisecond, false},
		{"once only: does not fit with its margin", 2500 * time.Millisecond, drain.Request{Estimate: 5 * time.Second}, 0, false},
		{"once only: fits with its margin", time.Second, drain.Request{Estimate: 5 * time.Second}, 0, true},
		{"after the load balancer has noticed", 2800 * time.Millisecond, drain.Request{Estimate: short, MayRepeat: true}, 0, false},
		{"deadline before the end", 5 * time.Second, drain.Request{Estimate: long, Deadline: at(7 * time.Second)}, 0, true},
		{"deadline before the end, but canceled already", 7600 * time.Millisecond, drain.Request{Estimate: short, Deadline: at(7500 * time.Millisecond)}, 0, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			timing := drain.Timing{PendingSince: pendingSince, StopTimeout: 8 * time.Second, Lateness: test.lateness}
			if test.request.Deadline.IsZero() {
				test.request.Deadline = at(test.now + 12*time.Second)
			}
			qt.New(t).Assert(timing.Accepts(at(test.now), test.request), qt.Equals, test.want)
		})
	}
}

func TestLatestStart(t *testing.T) {
	timing := drain.Timing{PendingSince: pendingSince, StopTimeout: 8 * time.Second}
	t.Run("a long request", func(t *testing.T) {
		latest := timing.LatestStart(drain.Request{Estimate: 3 * time.Second, Deadline: at(time.Minute), MayRepeat: true})
		qt.New(t).Assert(seconds(latest), qt.Equals, 4.5)
	})
	t.Run("a request that ends by its deadline", func(t *testing.T) {
		latest := timing.LatestStart(drain.Request{Estimate: 30 * time.Second, Deadline: at(6 * time.Second)})
		qt.New(t).Assert(seconds(latest), qt.Equals, 6.0)
	})
}

func TestPendingSince(t *testing.T) {
	noticedAt := at(time.Hour)
	for name, test := range map[string]struct{ late, want time.Duration }{
		"on time":               {30 * time.Millisecond, 30 * time.Millisecond},
		"late":                  {time.Second, time.Second},
		"suspended for minutes": {10 * time.Minute, 4 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			since := drain.PendingSince(noticedAt, noticedAt.Add(-test.late), 8*time.Second)
			qt.New(t).Assert(noticedAt.Sub(since), qt.Equals, test.want)
		})
	}
}
