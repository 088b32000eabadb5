package quarantine

import "time"

// adoptionMargin is the time before the last crash of a hold within which an answer speaks against
// the hold: the ages that daemons tell each other lack the time that the message takes.
const adoptionMargin = 5 * time.Second

// changesSince returns the evidence that has changed since a version of the ledger. If ownOnly is
// true, it leaves out crashes and clearances that other daemons have told.
func (l *ledger) changesSince(version int64, ownOnly bool, now time.Time) Evidence {
	var e Evidence
	for server, c := range l.crashes {
		if c.version <= version {
			continue
		}
		told := Crash{Server: server, Service: c.service, Age: now.Sub(c.at)}
		for id, s := range c.suspects {
			if s.isOwn || !ownOnly {
				told.Suspects = append(told.Suspects, Suspect{ID: id, Position: s.position})
			}
		}
		if len(told.Suspects) > 0 {
			e.Crashes = append(e.Crashes, told)
		}
	}
	for part, c := range l.clearances {
		if c.version > version && (c.isOwn || !ownOnly) {
			e.Clearances = append(e.Clearances, Clearance{Part: part, Age: now.Sub(c.at)})
		}
	}
	for part, h := range l.holds {
		if h.version > version {
			e.Holds = append(e.Holds, h.told(part, now))
		}
	}
	return e
}

// told returns the hold of a part as daemons tell it each other.
func (h *hold) told(part Part, now time.Time) Hold {
	told := Hold{Part: part, Age: now.Sub(h.lastCrashAt), Trials: h.trials, WasAnswered: h.wasAnswered}
	if h.trials > 0 {
		told.TrialAge = now.Sub(h.trialAt)
	}
	return told
}

// merge adds the evidence of another daemon, whose ages count back from now. It returns the parts
// that are held or released because of it.
func (l *ledger) merge(e Evidence, now time.Time) (held, released []Part) {
	for _, c := range e.Clearances {
		if l.mergeClearance(c, now) {
			released = append(released, c.Part)
		}
	}
	for _, c := range e.Crashes {
		l.addCrash(c.Service, c.Server, c.Suspects, now.Add(-c.Age), false)
	}
	for _, h := range e.Holds {
		if l.mergeHold(h, now) {
			held = append(held, h.Part)
		}
	}
	return held, released
}

// mergeClearance adds a clearance if it is news, and reports whether the part was released. A
// clearance of a part that is no suspect and was answered before is no news, so that two daemons
// don't tell it each other again and again.
func (l *ledger) mergeClearance(c Clearance, now time.Time) (released bool) {
	at := now.Add(-c.Age)
	if l.wasAnswered(c.Part) && !l.clears(c.Part, at) {
		return false
	}
	return l.addAnswer(c.Part, at, false)
}

// clears reports whether an answer to a request with a part speaks against any crash or hold.
func (l *ledger) clears(part Part, at time.Time) bool {
	if h, ok := l.holds[part]; ok && at.After(h.lastCrashAt) {
		return true
	}
	for _, c := range l.crashes {
		if _, ok := c.suspects[part.ID]; ok && c.service == part.Service && at.After(c.at) {
			return true
		}
	}
	return false
}

// mergeHold adds a hold, and reports whether the part was not held before.
func (l *ledger) mergeHold(told Hold, now time.Time) (held bool) {
	if known, ok := l.holds[told.Part]; ok {
		l.updateHold(known, told, now)
		return false
	}
	lastCrashAt := now.Add(-told.Age)
	if at, ok := l.answered.last(told.Part); ok && at.After(lastCrashAt.Add(-adoptionMargin)) || len(told.ID) > maxPartIDBytes {
		return false
	}
	h := hold{lastCrashAt: lastCrashAt, trials: told.Trials, wasAnswered: told.WasAnswered}
	if told.Trials > 0 {
		h.trialAt = now.Add(-told.TrialAge)
	}
	l.addHold(told.Part, h)
	return true
}

// updateHold adds what another daemon knows of a hold. The time of the last crash follows from the
// crashes themselves.
func (l *ledger) updateHold(known *hold, told Hold, now time.Time) {
	if told.Trials > known.trials {
		known.trials, known.trialAt = told.Trials, now.Add(-told.TrialAge)
		known.version = l.nextVersion()
	}
}
