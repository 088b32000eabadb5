package quarantine

import "time"

// adoptionMargin is the time before the last crash of a hold within which an answer speaks against
// the hold: the ages that daemons report to each other lack the time that the message takes.
const adoptionMargin = 5 * time.Second

// changesSince returns the evidence that has changed since a version of the ledger. If ownOnly is
// true, it leaves out crashes and clearances that other daemons have reported.
func (l *ledger) changesSince(version int64, ownOnly bool, now time.Time) Evidence {
	var e Evidence
	for server, c := range l.crashes {
		if c.version <= version {
			continue
		}
		exported := Crash{Server: server, Service: c.service, Age: now.Sub(c.at)}
		for subject, s := range c.suspects {
			if s.isOwn || !ownOnly {
				exported.Suspects = append(exported.Suspects, Suspect{Kind: subject.Kind, ID: subject.ID, Position: s.position})
			}
		}
		if len(exported.Suspects) > 0 {
			e.Crashes = append(e.Crashes, exported)
		}
	}
	for subject, c := range l.clearances {
		if c.version > version && (c.isOwn || !ownOnly) {
			e.Clearances = append(e.Clearances, Clearance{Subject: subject, Age: now.Sub(c.at)})
		}
	}
	for subject, h := range l.holds {
		if h.version > version {
			e.Holds = append(e.Holds, h.exported(subject, now))
		}
	}
	return e
}

// exported returns the hold of a subject as daemons report it to each other.
func (h *hold) exported(subject Subject, now time.Time) Hold {
	exported := Hold{Subject: subject, Age: now.Sub(h.lastCrashAt), Trials: h.trials, WasAnswered: h.wasAnswered}
	if h.trials > 0 {
		exported.TrialAge = now.Sub(h.trialAt)
	}
	return exported
}

// merge adds the evidence of another daemon, whose ages count back from now. It returns the subjects
// that are held or released because of it.
func (l *ledger) merge(e Evidence, now time.Time) (held, released []Subject) {
	for _, c := range e.Clearances {
		if l.mergeClearance(c, now) {
			released = append(released, c.Subject)
		}
	}
	for _, c := range e.Crashes {
		l.addCrash(c.Service, c.Server, c.Suspects, now.Add(-c.Age), false)
	}
	for _, h := range e.Holds {
		if l.mergeHold(h, now) {
			held = append(held, h.Subject)
		}
	}
	return held, released
}

// mergeClearance adds a clearance if it is news, and reports whether the subject was released. A
// clearance of a subject that is no suspect and was answered before is no news, so that two daemons
// don't report it to each other again and again.
func (l *ledger) mergeClearance(c Clearance, now time.Time) (released bool) {
	at := now.Add(-c.Age)
	if l.wasAnswered(c.Subject) && !l.clears(c.Subject, at) {
		return false
	}
	return l.addAnswer(c.Subject, at, false)
}

// clears reports whether an answer to a request of a subject speaks against any crash or hold.
func (l *ledger) clears(subject Subject, at time.Time) bool {
	if h, ok := l.holds[subject]; ok && at.After(h.lastCrashAt) {
		return true
	}
	for _, c := range l.crashes {
		if _, ok := c.suspects[subject]; ok && at.After(c.at) {
			return true
		}
	}
	return false
}

// mergeHold adds a hold, and reports whether the subject was not held before.
func (l *ledger) mergeHold(reported Hold, now time.Time) (held bool) {
	if known, ok := l.holds[reported.Subject]; ok {
		l.updateHold(known, reported, now)
		return false
	}
	lastCrashAt := now.Add(-reported.Age)
	if at, ok := l.answered.last(reported.Subject); ok && at.After(lastCrashAt.Add(-adoptionMargin)) || len(reported.ID) > maxSubjectIDBytes {
		return false
	}
	h := hold{lastCrashAt: lastCrashAt, trials: reported.Trials, wasAnswered: reported.WasAnswered}
	if reported.Trials > 0 {
		h.trialAt = now.Add(-reported.TrialAge)
	}
	l.addHold(reported.Subject, h)
	return true
}

// updateHold adds what another daemon knows of a hold. The time of the last crash follows from the
// crashes themselves.
func (l *ledger) updateHold(known *hold, reported Hold, now time.Time) {
	if reported.Trials > known.trials {
		known.trials, known.trialAt = reported.Trials, now.Add(-reported.TrialAge)
		known.version = l.nextVersion()
	}
}
