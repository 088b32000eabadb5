package soak_test

import (
	"net/http"
	"testing"
	"time"

	"azurehitch/platform/platformtest"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"
)

// madeUpRequest is a made-up request with its run; all times are relative to SIGTERM.
type madeUpRequest struct {
	sentAt, endedAt time.Duration
	// status is 0 if there was no answer.
	status         int
	isWhole        bool
	isSigned       bool
	ranTo          time.Duration
	isAnswered     bool
	pausedAt       time.Duration
	isUnread       bool
	processPauseAt time.Duration
}

// cutAt returns a stream that was cut while its server worked.
func cutAt(sentAt, endedAt time.Duration) madeUpRequest {
	return madeUpRequest{sentAt: sentAt, endedAt: endedAt, status: http.StatusOK, isSigned: true, ranTo: endedAt}
}

// with returns a changed copy.
func (m madeUpRequest) with(change func(m *madeUpRequest)) madeUpRequest {
	change(&m)
	return m
}

// findMadeUpLoss returns what the checker finds in a made-up request beside a planned stop.
func findMadeUpLoss(m madeUpRequest, s *stopRecord) *loss {
	c := newCheckerHarness()
	sigterm := time.Now()
	if s != nil {
		s.signalledAt, s.endedAt = sigterm, sigterm.Add(stopTimeout-time.Second)
		s.noticeableAt = sigterm
		c.stops = append(c.stops, s)
	}
	if m.processPauseAt > 0 {
		pausedAt := sigterm.Add(m.processPauseAt)
		c.disturbances.daemons = []*disturbance{{name: processPause, planned: true, from: pausedAt, to: pausedAt.Add(time.Second)}}
	}
	x := exchange{route: plannedOnlySetup(0, daemonCount).routes[0], sentAt: sigterm.Add(m.sentAt), endedAt: sigterm.Add(m.endedAt)}
	x.answer = platformtest.Answer{Status: m.status, Whole: m.isWhole, HasSignature: m.isSigned, IsStream: m.isSigned}
	if m.status == 0 {
		x.err = errors.New("connection closed")
	}
	r := &requestRecord{exchange: x, ended: true}
	if m.ranTo != 0 {
		p := progress{endedAt: sigterm.Add(m.ranTo), isAnswered: m.isAnswered}
		if m.pausedAt != 0 {
			p.pausedAt = sigterm.Add(m.pausedAt)
		}
		r.runs, r.progress = []platformtest.Run{{}}, []progress{p}
	}
	return c.findLoss(r, !m.isUnread)
}

// TestPlannedStopChecks feeds the checker losses beside a planned stop, and similar cases that are allowed.
func TestPlannedStopChecks(t *testing.T) {
	const second = time.Second
	for name, test := range map[string]struct {
		request madeUpRequest
		noStop  bool
		want    lossCause
		byRule  bool
	}{
		"begun before and whole":                  {request: cutAt(-second, second).with(func(m *madeUpRequest) { m.isWhole = true })},
		"begun before and cut in the last sixth":  {request: cutAt(-second, 7*second)},
		"begun before and cut early":              {request: cutAt(-second, 5*second), want: causeCutEarly, byRule: true},
		"accepted and cut in the last sixth":      {request: cutAt(second, 7*second), want: causeAcceptedLate},
		"accepted late and cut in the last sixth": {request: cutAt(3500*time.Millisecond, 7*second), want: causeAcceptedLate, byRule: true},
		"accepted and failed":                     {request: madeUpRequest{sentAt: second, endedAt: 2 * second, status: http.StatusBadGateway, isWhole: true, ranTo: 2 * second}, want: causeAcceptedLate},
		"accepted and refused":                    {request: madeUpRequest{sentAt: second, endedAt: 2 * second, status: http.StatusServiceUnavailable, isWhole: true}},
		"answered and refused": {request: madeUpRequest{
			sentAt: second, endedAt: 2 * second, status: http.StatusServiceUnavailable, isWhole: true, ranTo: 1500 * time.Millisecond, isAnswered: true,
		}, want: causeAnswerReplaced},
		"answered and cut":                 {request: cutAt(-second, 7*second).with(func(m *madeUpRequest) { m.ranTo, m.isAnswered = 6800*time.Millisecond, true }), want: causeAnswerReplaced},
		"cut while its server paused":      {request: cutAt(-second, 2*second).with(func(m *madeUpRequest) { m.pausedAt = second }), want: causeSilence, byRule: true},
		"cut after a pause of the process": {request: cutAt(-second, 1010*time.Millisecond).with(func(m *madeUpRequest) { m.processPauseAt = 10 * time.Millisecond }), want: causeOwnPause},
		"cut without a stop":               {request: cutAt(-second, 2*second), noStop: true, want: causeNoStop},
		"cut at the timeout":               {request: cutAt(-9*second, 3*second)},
		"lost by the next process":         {request: cutAt(7500*time.Millisecond, 8*second), want: causeNextProcess, byRule: true},
		"closed and not read":              {request: madeUpRequest{sentAt: second, endedAt: 2 * second, isUnread: true}},
		"read and closed":                  {request: madeUpRequest{sentAt: second, endedAt: 2 * second}, want: causeAcceptedLate, byRule: true},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			s := &stopRecord{form: stopPlain}
			if test.noStop {
				s = nil
			}
			found := findMadeUpLoss(test.request, s)
			if test.want == "" {
				c.Assert(found, qt.IsNil)
				return
			}
			c.Assert(found, qt.IsNotNil)
			c.Check(found.cause, qt.Equals, test.want)
			c.Check(found.isLostByRule, qt.Equals, test.byRule)
		})
	}
}
