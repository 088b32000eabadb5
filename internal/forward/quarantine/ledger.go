package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"azurehitch"
)

const (
	// crashesToHold is how many servers must have crashed, one after the other, under a subject before it
	// is held. A part with which a request was answered before the first crash needs crashesToHoldAnswered:
	// it is likely to be only in the company of the one that crashes.
	crashesToHold         = 3
	crashesToHoldAnswered = 5
	// crashesOfRequest is how many crashes a held request counts for a part of its prompt that was never answered,
	// however many it has caused: not enough to hold the part, but with a crash under another request it is. For
	// other parts it counts one.
	crashesOfRequest = crashesToHold - 1
	// simultaneous is the time within which several crashes count as one: a common cause, such as a
	// power failure, ends servers at the same moment.
	simultaneous = 15 * time.Millisecond
	// settleTime is the time from the last crash that is needed until a subject is held. In this time,
	// other daemons report which subjects they have seen answered. A subject of which that is known gets
	// settleTimeAnswered, in which it is likely to be answered again.
	settleTime         = 300 * time.Millisecond
	settleTimeAnswered = time.Second
	// crashTTL is how long a crash counts.
	crashTTL = 30 * time.Minute
	// The limits of what is kept. The oldest crashes and holds are dropped first.
	maxCrashes        = 256
	maxSuspects       = 128
	maxHolds          = 256
	maxClearances     = 1024
	maxPartsOfRequest = 32
	maxSubjectIDBytes = 128
)

// crash is what is known of the crash of one incarnation of a server.
type crash struct {
	service  string
	at       time.Time
	suspects map[Subject]suspect
	version  int64
}

// suspect is a subject of a request that was broken off.
type suspect struct {
	// position is the index of a part in the prompt.
	position int
	// isOwn is true if this daemon sent the request.
	isOwn bool
}

// hold is a subject whose requests are not sent.
type hold struct {
	lastCrashAt time.Time
	trials      int
	// trialAt is when the last trial began; zero before.
	trialAt time.Time
	// wasAnswered is true if requests of the subject were answered before it was held.
	wasAnswered bool
	version     int64
}

// clearance is a subject that was or is a suspect, and that was answered.
type clearance struct {
	at      time.Time
	isOwn   bool
	version int64
}

// ledger holds the evidence of one daemon and decides which subjects are held. It is not safe for
// concurrent use.
type ledger struct {
	// version increases with each change. Each record has the version of its last change.
	version    int64
	crashes    map[azurehitch.ServerIdentity]*crash
	holds      map[Subject]*hold
	clearances map[Subject]*clearance
	answered   *answeredSet
}

func newLedger() *ledger {
	return &ledger{
		crashes: map[azurehitch.ServerIdentity]*crash{}, holds: map[Subject]*hold{},
		clearances: map[Subject]*clearance{}, answered: newAnsweredSet(),
	}
}

func (l *ledger) nextVersion() int64 {
	l.version++
	return l.version
}

// addCrash records a crash, or further suspects of a known one. Subjects that were answered since the crash
// are no suspects.
func (l *ledger) addCrash(service string, server azurehitch.ServerIdentity, suspects []Suspect, at time.Time, isOwn bool) {
	known, ok := l.crashes[server]
	if !ok {
		l.makeRoomForCrash()
		known = &crash{service: service, at: at, suspects: map[Subject]suspect{}, version: l.nextVersion()}
		l.crashes[server] = known
	}
	for _, s := range suspects {
		l.addSuspect(known, s, isOwn)
	}
}

func (l *ledger) makeRoomForCrash() {
	for len(l.crashes) >= maxCrashes {
		oldest := slices.MinFunc(slices.Collect(maps.Keys(l.crashes)), func(a, b azurehitch.ServerIdentity) int {
			return l.crashes[a].at.Compare(l.crashes[b].at)
		})
		delete(l.crashes, oldest)
	}
}

// addSuspect adds a suspect to a crash. If there are too many, it replaces one that was answered at
// any time by one that was not.
func (l *ledger) addSuspect(c *crash, s Suspect, isOwn bool) {
	subject := s.subject(c.service)
	if at, ok := l.answered.last(subject); ok && at.After(c.at) || len(s.ID) > maxSubjectIDBytes {
		return
	}
	known, ok := c.suspects[subject]
	if ok && (known.isOwn || !isOwn) {
		return
	}
	if !ok && len(c.suspects) >= maxSuspects && (l.wasAnswered(subject) || !l.dropAnsweredSuspect(c)) {
		return
	}
	c.suspects[subject] = suspect{position: s.Position, isOwn: isOwn || known.isOwn}
	c.version = l.nextVersion()
	l.reportAnswered(subject)
	if h, ok := l.holds[subject]; ok && c.at.After(h.lastCrashAt) {
		h.lastCrashAt, h.version = c.at, l.nextVersion()
	}
}

// dropAnsweredSuspect removes a suspect that was answered before the crash, and returns false if
// there is none.
func (l *ledger) dropAnsweredSuspect(c *crash) bool {
	var answered []Subject
	for subject := range c.suspects {
		if l.wasAnswered(subject) {
			answered = append(answered, subject)
		}
	}
	if len(answered) == 0 {
		return false
	}
	delete(c.suspects, slices.MinFunc(answered, compareSubjects))
	return true
}

func compareSubjects(a, b Subject) int {
	return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Service, b.Service), cmp.Compare(a.ID, b.ID))
}

func (l *ledger) wasAnswered(subject Subject) bool {
	_, ok := l.answered.last(subject)
	return ok
}

// isSuspect reports whether a subject is held or a suspect of any crash.
func (l *ledger) isSuspect(subject Subject) bool {
	if _, ok := l.holds[subject]; ok {
		return true
	}
	for _, c := range l.crashes {
		if _, ok := c.suspects[subject]; ok {
			return true
		}
	}
	return false
}

// addAnswer records that a subject was answered. It is then no suspect of earlier crashes, and is released if
// it was held. It reports whether it was released. Of requests, only suspects are recorded: most never come
// again.
func (l *ledger) addAnswer(subject Subject, at time.Time, isOwn bool) (released bool) {
	if subject.Kind == KindRequest && !l.isSuspect(subject) {
		return false
	}
	if !l.answered.add(subject, at) {
		return false
	}
	wasSuspect := false
	for _, c := range l.crashes {
		if _, ok := c.suspects[subject]; ok && at.After(c.at) {
			delete(c.suspects, subject)
			wasSuspect = true
		}
	}
	if h, ok := l.holds[subject]; ok && at.After(h.lastCrashAt) {
		delete(l.holds, subject)
		wasSuspect, released = true, true
	}
	if wasSuspect || !isOwn {
		l.recordClearance(subject, at, isOwn)
	}
	return released
}

// reportAnswered makes this daemon report to the others that a suspect was answered before, unless it has
// done so or another has.
func (l *ledger) reportAnswered(subject Subject) {
	at, wasAnswered := l.answered.last(subject)
	if _, isReported := l.clearances[subject]; wasAnswered && !isReported {
		l.recordClearance(subject, at, true)
	}
}

func (l *ledger) recordClearance(subject Subject, at time.Time, isOwn bool) {
	for len(l.clearances) >= maxClearances {
		oldest := slices.MinFunc(slices.Collect(maps.Keys(l.clearances)), func(a, b Subject) int {
			return cmp.Compare(l.clearances[a].version, l.clearances[b].version)
		})
		delete(l.clearances, oldest)
	}
	l.clearances[subject] = &clearance{at: at, isOwn: isOwn, version: l.nextVersion()}
}

// evaluation is the result of an evaluation: the subjects that are held or released because of it, and
// when to evaluate again; zero if only after a change.
type evaluation struct {
	held     []Subject
	released []Subject
	next     time.Time
}

// evaluate holds the subjects that explain the crashes best: each time the best candidate, whose crashes
// then count no more for others.
func (l *ledger) evaluate(now time.Time) evaluation {
	maps.DeleteFunc(l.crashes, func(_ azurehitch.ServerIdentity, c *crash) bool { return now.Sub(c.at) >= crashTTL })
	var result evaluation
	for {
		enough := l.enoughCandidates()
		if len(enough) == 0 {
			return result
		}
		if due := enough[0].dueAt(); now.Before(due) {
			result.next = due
			return result
		}
		for _, c := range heldTogether(enough, now) {
			l.addHold(c.Subject, hold{lastCrashAt: c.lastAt, wasAnswered: c.wasAnswered})
			result.held = append(result.held, c.Subject)
			result.released = append(result.released, l.releaseExplained(c.Subject, now)...)
		}
	}
}

// enoughCandidates returns the candidates that have caused enough crashes, the best first.
func (l *ledger) enoughCandidates() []*candidate {
	var enough []*candidate
	for _, c := range l.candidates() {
		if c.crashes >= c.neededCrashes() {
			enough = append(enough, c)
		}
	}
	slices.SortFunc(enough, (*candidate).compare)
	return enough
}

// heldTogether returns which of some sorted candidates are held now: the first one and, if that is a request, the
// other requests that are due. Nothing tells apart requests that were at the same servers.
func heldTogether(enough []*candidate, now time.Time) []*candidate {
	held := 1
	for held < len(enough) && enough[0].Kind == KindRequest && enough[held].Kind == KindRequest && !now.Before(enough[held].dueAt()) {
		held++
	}
	return enough[:held]
}

// candidates returns the suspects of the crashes that no held part explains. A crash that a held request
// explains makes no other request suspect, and counts for parts only once for each such request: a part has
// caused the crashes only if several requests with it did.
func (l *ledger) candidates() map[Subject]*candidate {
	crashes := slices.SortedFunc(maps.Values(l.crashes), func(a, b *crash) int { return a.at.Compare(b.at) })
	found := map[Subject]*candidate{}
	for _, c := range crashes {
		if l.isExplained(c, KindPart, Subject{}) {
			continue
		}
		requests := l.heldSuspects(c, KindRequest)
		for subject, s := range c.suspects {
			if _, isHeld := l.holds[subject]; isHeld || subject.Kind == KindRequest && len(requests) > 0 {
				continue
			}
			known, ok := found[subject]
			if !ok {
				known = &candidate{Subject: subject, wasAnswered: l.wasAnswered(subject), explainedBy: map[Subject]bool{}}
				found[subject] = known
			}
			known.position = max(known.position, s.position)
			switch {
			case len(requests) == 0:
				known.add(c.at, 1)
			case known.isCounted(requests):
			case known.wasAnswered:
				known.add(c.at, 1)
			default:
				known.add(c.at, crashesOfRequest)
			}
		}
	}
	return found
}

// heldSuspects returns the suspects of a crash that are of a kind and held.
func (l *ledger) heldSuspects(c *crash, kind Kind) []Subject {
	var held []Subject
	for subject := range c.suspects {
		if _, ok := l.holds[subject]; ok && subject.Kind == kind {
			held = append(held, subject)
		}
	}
	return held
}

// isExplained reports whether a held subject of a kind other than except is among the suspects of a crash.
func (l *ledger) isExplained(c *crash, kind Kind, except Subject) bool {
	return slices.ContainsFunc(l.heldSuspects(c, kind), func(s Subject) bool { return s != except })
}

// releaseExplained releases the subjects that are held for crashes all of which have another suspect of the
// kind of added that is held too, now that added is: added alone explains them. One request does not release
// another: both may have been at the same servers.
func (l *ledger) releaseExplained(added Subject, now time.Time) []Subject {
	var released []Subject
	for _, subject := range slices.SortedFunc(maps.Keys(l.holds), compareSubjects) {
		if subject == added || subject.Service != added.Service || subject.Kind == KindRequest && added.Kind == KindRequest {
			continue
		}
		supported, explained := 0, 0
		for _, c := range l.crashes {
			if _, ok := c.suspects[subject]; !ok {
				continue
			}
			supported++
			if l.isExplained(c, added.Kind, subject) {
				explained++
			}
		}
		if supported > 0 && supported == explained && l.addAnswer(subject, now, true) {
			released = append(released, subject)
		}
	}
	return released
}

// addHold holds a subject. If there are too many, the one with the longest time since its last crash is
// released.
func (l *ledger) addHold(subject Subject, h hold) {
	for len(l.holds) >= maxHolds {
		oldest := slices.MinFunc(slices.Collect(maps.Keys(l.holds)), func(a, b Subject) int {
			return l.holds[a].lastCrashAt.Compare(l.holds[b].lastCrashAt)
		})
		delete(l.holds, oldest)
	}
	h.version = l.nextVersion()
	l.holds[subject] = &h
	delete(l.clearances, subject)
}
