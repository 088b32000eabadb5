package sharedlimit_test

import (
	"testing"
	"time"

	"azurehitch/internal/allowance/sharedlimit"

	qt "github.com/frankban/quicktest"
)

// testLender sends reports to a coordinator and lends the whole limit to it.
type testLender struct {
	coordinator *sharedlimit.Coordinator
	now         time.Time
	report      sharedlimit.Report
	answer      sharedlimit.Answer
}

// newTestLender returns a lender whose loan has filled the bucket of the limit.
func newTestLender(limit *sharedlimit.Limit) *testLender {
	known := func(string) (sharedlimit.Limit, bool) { return *limit, true }
	l := &testLender{coordinator: sharedlimit.NewCoordinator(1, known), now: time.Unix(1000, 0)}
	for range 20 {
		l.exchange(nil, 0)
		l.now = l.now.Add(sharedlimit.ReportInterval)
	}
	return l
}

// exchange reports, and returns the units granted for a need.
func (l *testLender) exchange(returned []sharedlimit.Return, need float64) float64 {
	slot := sharedlimit.Slot{Count: 1}
	l.report = sharedlimit.Report{
		Lender: "a", Process: 1, Sequence: l.report.Sequence + 1, Echo: l.answer.Stamp, Share: 1, Slots: []sharedlimit.Slot{slot}, Returned: returned,
	}
	if need > 0 {
		l.report.Wants = []sharedlimit.Want{{Key: "account", Slot: slot, First: 1, Need: need}}
	}
	l.answer = l.coordinator.Handle(l.now, l.report)
	if need > 0 {
		return l.answer.Grants[0].Units
	}
	return 0
}

var thousand = sharedlimit.Limit{PerSecond: 1000, Burst: 500}

// TestReturnedUnits guards against a bucket that holds more than its capacity by units that are taken and returned:
// what it was refilled with meanwhile would have been too much if they had not been taken.
func TestReturnedUnits(t *testing.T) {
	c := qt.New(t)
	l := newTestLender(&thousand)
	c.Assert(l.exchange(nil, 500), qt.Equals, 500.0)
	since := l.answer.Stamp
	l.now = l.now.Add(300 * time.Millisecond)
	granted := l.exchange([]sharedlimit.Return{{Key: "account", Units: 500, Since: since}}, 2000)
	// In 300 ms, the bucket refills by 300 units times 1.04.
	c.Assert(granted < 313, qt.IsTrue, qt.Commentf("%v", granted))
	for range 10 {
		l.now = l.now.Add(sharedlimit.ReportInterval)
		l.exchange(nil, 2000)
	}
	// The bucket has been empty since then, so that these units were not refilled.
	since = l.answer.Stamp
	granted = l.exchange([]sharedlimit.Return{{Key: "account", Units: 200, Since: since}}, 2000)
	c.Assert(granted > 199 && granted < 201, qt.IsTrue, qt.Commentf("%v", granted))
}

// TestReportTwice guards against units that are credited twice, and a loan that is prolonged, by a report that
// arrives twice or after a later one.
func TestReportTwice(t *testing.T) {
	c := qt.New(t)
	l := newTestLender(&thousand)
	l.exchange(nil, 500)
	l.exchange([]sharedlimit.Return{{Key: "account", Units: 100, Since: l.answer.Stamp}}, 0)
	again := l.report
	c.Assert(l.coordinator.Handle(l.now, again).IsStale, qt.IsTrue)
	again.Sequence--
	c.Assert(l.coordinator.Handle(l.now, again).IsStale, qt.IsTrue)
	c.Assert(l.exchange(nil, 500) <= 100, qt.IsTrue)
}

// TestLoanEnds guards against grants of a coordinator that was paused for longer than its loans last.
func TestLoanEnds(t *testing.T) {
	c := qt.New(t)
	l := newTestLender(&thousand)
	l.now = l.now.Add(sharedlimit.LoanTime)
	c.Assert(l.coordinator.LentShare(l.now), qt.Equals, 0.0)
	l.report.Sequence++
	c.Assert(l.coordinator.Handle(l.now, l.report).IsStale, qt.IsFalse)
	c.Assert(l.coordinator.LentShare(l.now), qt.Equals, 0.0)
}

// TestLowerLimit guards against a bucket that holds more than a lower limit allows.
func TestLowerLimit(t *testing.T) {
	c := qt.New(t)
	limit := thousand
	l := newTestLender(&limit)
	c.Assert(l.exchange(nil, 1), qt.Equals, 1.0)
	limit = sharedlimit.Limit{PerSecond: 10, Burst: 5}
	c.Assert(l.exchange(nil, 500) <= 5, qt.IsTrue)
}
