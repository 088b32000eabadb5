package soak_test

import (
	"fmt"
	"time"

	"azurehitch"
	"azurehitch/platform/platformtest"
)

const (
	// lastSixth is the part of the stop timeout at whose beginning only a sixth of it is left.
	lastSixth = stopTimeout * 5 / 6
	// lateAcceptance is how long after SIGTERM the rule on lost requests excuses those that servers work on
	// in the last sixth.
	lateAcceptance = 3 * time.Second
	// noticeSlack is how long after it could notice SIGTERM a process may accept requests as before.
	noticeSlack = 100 * time.Millisecond
	// replacedSlack is how long before the end of a request its server must have answered it for the
	// answer to count as replaced.
	replacedSlack = 50 * time.Millisecond
	// silenceTime is the shortest pause of a server that counts as the cause of a cut stream.
	silenceTime = 200 * time.Millisecond
	// ownPauseTime is how long after a pause of its process the cut of a stream counts as its effect.
	ownPauseTime = 100 * time.Millisecond
)

// lossCause is the apparent cause of a loss.
type lossCause string

const (
	causeKilled         lossCause = "process killed after the stop timeout"
	causeSilence        lossCause = "cut while the server paused"
	causeOwnPause       lossCause = "cut by a process that had itself paused"
	causeAcceptedLate   lossCause = "accepted after SIGTERM and cut"
	causeBeforeNotice   lossCause = "accepted before the process could notice SIGTERM and cut"
	causeCutEarly       lossCause = "begun before SIGTERM and cut too early"
	causeNextProcess    lossCause = "lost by the next process"
	causeNoStop         lossCause = "lost without a stop"
	causeAnswerReplaced lossCause = "answered by the server and replaced"
)

// progress is how far a server has come with a request.
type progress struct {
	// pausedAt and resumedAt are the beginning and the end of its last pause; zero before.
	pausedAt  time.Time
	resumedAt time.Time
	// endedAt is when the work ended, with the whole answer if isAnswered is set; zero before.
	endedAt    time.Time
	isAnswered bool
}

// isPaused reports whether the work on a request has paused for silenceTime when it ends.
func (p progress) isPaused() bool {
	return !p.pausedAt.IsZero() && p.resumedAt.Before(p.pausedAt) && p.endedAt.Sub(p.pausedAt) > silenceTime
}

// Progressed implements platformtest.Recorder.
func (c *checker) Progressed(id string, server azurehitch.ServerIdentity, step platformtest.RunStep) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r, ok := c.records[id]
	if !ok {
		return
	}
	for i := range r.runs {
		p := &r.progress[i]
		if r.runs[i].Server != server || !p.endedAt.IsZero() {
			continue
		}
		switch step {
		case platformtest.RunPaused:
			p.pausedAt = time.Now()
		case platformtest.RunResumed:
			p.resumedAt = time.Now()
		default:
			p.endedAt, p.isAnswered = time.Now(), step == platformtest.RunAnswered
		}
	}
}

// recordStop records a planned stop that has ended, which must not need a kill.
func (c *checker) recordStop(s *stopRecord) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stops = append(c.stops, s)
	if !s.killedAt.IsZero() {
		c.addViolation(ruleExit, "daemon-%d still ran %v after SIGTERM (%s stop) and was killed", s.daemon, stopTimeout, s.form)
	}
}

// loss is a request that ended neither with its whole answer nor with a true refusal.
type loss struct {
	record *requestRecord
	// stop is the planned stop around the request; nil if there is none.
	stop  *stopRecord
	cause lossCause
	// isAfterPause is true if the process paused right before the end of the request.
	isAfterPause bool
	// isLostByRule is true if the rule of the pages on planned work counts the request.
	isLostByRule bool
}

// isServed reports whether the caller received the whole answer of a server.
func (x exchange) isServed() bool { return x.err == nil && x.answer.Whole && x.answer.HasSignature }

// isAnsweredBy reports whether a server had sent its whole answer before a time.
func (r *requestRecord) isAnsweredBy(at time.Time) bool {
	for _, p := range r.progress {
		if p.isAnswered && p.endedAt.Before(at) {
			return true
		}
	}
	return false
}

// workedAt reports whether a server worked on the request at a time or later.
func (r *requestRecord) workedAt(at time.Time) bool {
	for _, p := range r.progress {
		if p.endedAt.IsZero() || p.endedAt.After(at) {
			return true
		}
	}
	return false
}

// stopAround returns the last planned stop of the daemon of a request that began before the end of the
// request and whose effects had not ended when it was sent, or nil.
func (c *checker) stopAround(x exchange) *stopRecord {
	var last *stopRecord
	for _, s := range c.stops {
		isAround := s.daemon == x.daemon && s.signalledAt.Before(x.endedAt) && x.sentAt.Before(s.signalledAt.Add(stopTimeout+plannedSlack))
		if isAround && (last == nil || s.signalledAt.After(last.signalledAt)) {
			last = s
		}
	}
	return last
}

// findLoss returns the loss of a request, or nil if callers may expect what happened. wasRead says
// whether the daemon has read the request. The caller holds the mutex.
func (c *checker) findLoss(r *requestRecord, wasRead bool) *loss {
	x := r.exchange
	took := x.endedAt.Sub(x.sentAt)
	isUnread := len(r.runs) == 0 && (!wasRead || took <= lossSlack)
	if !r.ended || c.finished && x.endedAt.After(c.finishedAt) || !x.disconnectedAt.IsZero() || x.isServed() || took >= x.route.Timeout || isUnread && x.err != nil {
		return nil
	}
	found := &loss{record: r, stop: c.stopAround(x), cause: causeAnswerReplaced}
	found.isLostByRule = (x.err != nil || !x.answer.Whole) && c.isLostByRule(found)
	if r.isAnsweredBy(x.endedAt.Add(-replacedSlack)) {
		return found
	}
	if x.isRefused() || x.err == nil && x.answer.Status < 500 && x.answer.Whole {
		return nil
	}
	found.isAfterPause = c.disturbances.had(processPause, x.daemon, x.endedAt.Add(-ownPauseTime), x.endedAt)
	found.cause = found.findCause()
	if found.isExcused() && !found.isLostByRule {
		return nil
	}
	return found
}

// isExcused reports whether a stopping process had to cut the request: it was sent before the process
// could notice the signal, and a server was still at work in the last sixth of the stop timeout.
func (l *loss) isExcused() bool {
	s, x := l.stop, l.record.exchange
	if s == nil || x.sentAt.After(s.noticeableAt.Add(noticeSlack)) {
		return false
	}
	lastPart := s.signalledAt.Add(lastSixth)
	return l.record.workedAt(lastPart) && !x.endedAt.Before(lastPart)
}

// had reports whether a daemon had a disturbance with a name in a period.
func (l *disturbanceLog) had(name string, daemon int, from, to time.Time) bool {
	return l.firstOverlapping(&l.daemons, from, to, func(d *disturbance) bool { return d.name == name && d.daemon == daemon }) != nil
}

// isLostByRule reports whether the rule on requests lost around planned work counts a cut request. What
// the rule counts beside a change of the configuration only when it is frequent is left out: callers
// may expect none of it, so it is a loss in any case.
func (c *checker) isLostByRule(l *loss) bool {
	s, x := l.stop, l.record.exchange
	if c.disturbances.had(processPause, x.daemon, x.sentAt.Add(-settleTime), x.endedAt) {
		return false
	}
	if s == nil {
		return c.disturbances.had(settingsSignal, x.daemon, x.sentAt, x.endedAt)
	}
	return x.sentAt.After(s.signalledAt.Add(lateAcceptance)) || !l.record.workedAt(s.signalledAt.Add(lastSixth))
}

// findCause returns the apparent cause of a loss.
func (l *loss) findCause() lossCause {
	s, x := l.stop, l.record.exchange
	last := len(l.record.progress) - 1
	isSilent := last >= 0 && l.record.progress[last].isPaused()
	isEarly := s == nil || x.endedAt.Before(s.signalledAt.Add(lastSixth)) || x.sentAt.After(s.endedAt)
	switch {
	case s != nil && !s.killedAt.IsZero() && !x.endedAt.Before(s.killedAt) && x.sentAt.Before(s.endedAt):
		return causeKilled
	case isSilent && isEarly:
		return causeSilence
	case l.isAfterPause && isEarly:
		return causeOwnPause
	case s == nil:
		return causeNoStop
	case x.sentAt.After(s.endedAt):
		return causeNextProcess
	case x.sentAt.After(s.noticeableAt.Add(noticeSlack)):
		return causeAcceptedLate
	case x.sentAt.After(s.signalledAt):
		return causeBeforeNotice
	}
	return causeCutEarly
}

// String describes a loss, with times relative to SIGTERM or, without a stop, to the request.
func (l *loss) String() string {
	x, origin, around := l.record.exchange, l.record.exchange.sentAt, "no stop"
	if s := l.stop; s != nil {
		origin = s.signalledAt
		around = fmt.Sprintf("%s stop: SIGTERM at %s, noticeable %s, exit %s", s.form, origin.Format(time.TimeOnly), since(origin, s.noticeableAt), since(origin, s.endedAt))
		if !s.killedAt.IsZero() {
			around += ", killed"
		}
	}
	numbers, total, _ := x.answer.Events(x.ID)
	text := fmt.Sprintf("%s: %s on %s at daemon-%d (%s; by rule: %t): sent %s, head %s, end %s, status %d, whole %t, %d events after %d of %d, error %v",
		l.cause, x.ID, x.route.Name, x.daemon, around, l.isLostByRule, since(origin, x.sentAt), since(origin, x.answer.HeadAt), since(origin, x.endedAt),
		x.answer.Status, x.answer.Whole, len(numbers), x.LastEvent, total, x.err)
	for i, run := range l.record.runs {
		p := l.record.progress[i]
		text += fmt.Sprintf("; %s ran it %s to %s (answered %t, last pause %s to %s)", run.Server.ID, since(origin, l.record.runsAt[i]), since(origin, p.endedAt),
			p.isAnswered, since(origin, p.pausedAt), since(origin, p.resumedAt))
	}
	return text
}

// since formats a time relative to an origin.
func since(origin, at time.Time) string {
	if at.IsZero() {
		return "-"
	}
	return fmt.Sprintf("%+.3f s", at.Sub(origin).Seconds())
}
