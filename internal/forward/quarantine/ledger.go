package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"azurehitch"
)

const (
	// crashesToHold is how many servers must have crashed, one after the other, under requests with a
	// part before the part is held. A part with which a request was answered before the first crash
	// needs crashesToHoldAnswered: it is likely to be only in the company of the one that crashes.
	crashesToHold         = 3
	crashesToHoldAnswered = 5
	// simultaneous is the time within which several crashes count as one: a common cause, such as a
	// power failure, ends servers at the same moment.
	simultaneous = 15 * time.Millisecond
	// settleTime is the time from the last crash that is needed until a part is held. In this time,
	// other daemons tell which parts they have seen answered. A part of which that is known gets
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
	maxPartIDBytes    = 128
)

// crash is what is known of the crash of one incarnation of a server.
type crash struct {
	service  string
	at       time.Time
	suspects map[string]suspect
	version  int64
}

// suspect is a part of a request that was broken off.
type suspect struct {
	position int
	// isOwn is true if this daemon sent the request.
	isOwn bool
}

// hold is a part with which no requests are sent.
type hold struct {
	lastCrashAt time.Time
	trials      int
	// trialAt is when the last trial began; zero before.
	trialAt time.Time
	// wasAnswered is true if requests with the part were answered before it was held.
	wasAnswered bool
	version     int64
}

// clearance is a part that was or is a suspect, and with which a request was answered.
type clearance struct {
	at      time.Time
	isOwn   bool
	version int64
}

// ledger holds the evidence of one daemon and decides which parts are held. It is not safe for
// concurrent use.
type ledger struct {
	// version increases with each change. Each record has the version of its last change.
	version    int64
	crashes    map[azurehitch.ServerIdentity]*crash
	holds      map[Part]*hold
	clearances map[Part]*clearance
	answered   *answeredSet
}

func newLedger() *ledger {
	return &ledger{
		crashes: map[azurehitch.ServerIdentity]*crash{}, holds: map[Part]*hold{},
		clearances: map[Part]*clearance{}, answered: newAnsweredSet(),
	}
}

func (l *ledger) nextVersion() int64 {
	l.version++
	return l.version
}

// addCrash records a crash, or further suspects of a known one. Parts that were answered since the crash
// are no suspects.
func (l *ledger) addCrash(service string, server azurehitch.ServerIdentity, suspects []Suspect, at time.Time, isOwn bool) {
	known, ok := l.crashes[server]
	if !ok {
		l.makeRoomForCrash()
		known = &crash{service: service, at: at, suspects: map[string]suspect{}, version: l.nextVersion()}
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
	part := Part{Service: c.service, ID: s.ID}
	if at, ok := l.answered.last(part); ok && at.After(c.at) || len(s.ID) > maxPartIDBytes {
		return
	}
	known, ok := c.suspects[s.ID]
	if ok && (known.isOwn || !isOwn) {
		return
	}
	if !ok && len(c.suspects) >= maxSuspects && (l.wasAnswered(part) || !l.dropAnsweredSuspect(c)) {
		return
	}
	c.suspects[s.ID] = suspect{position: s.Position, isOwn: isOwn || known.isOwn}
	c.version = l.nextVersion()
	l.tellAnswered(part)
	if h, ok := l.holds[part]; ok && c.at.After(h.lastCrashAt) {
		h.lastCrashAt, h.version = c.at, l.nextVersion()
	}
}

// dropAnsweredSuspect removes a suspect that was answered before the crash, and returns false if
// there is none.
func (l *ledger) dropAnsweredSuspect(c *crash) bool {
	for _, id := range slices.Sorted(maps.Keys(c.suspects)) {
		if l.wasAnswered(Part{Service: c.service, ID: id}) {
			delete(c.suspects, id)
			return true
		}
	}
	return false
}

func (l *ledger) wasAnswered(part Part) bool {
	_, ok := l.answered.last(part)
	return ok
}

// addAnswer records that a request with a part was answered. The part is then no suspect of earlier
// crashes, and is released if it was held. It reports whether it was released.
func (l *ledger) addAnswer(part Part, at time.Time, isOwn bool) (released bool) {
	if !l.answered.add(part, at) {
		return false
	}
	wasSuspect := false
	for _, c := range l.crashes {
		if _, ok := c.suspects[part.ID]; ok && c.service == part.Service && at.After(c.at) {
			delete(c.suspects, part.ID)
			wasSuspect = true
		}
	}
	if h, ok := l.holds[part]; ok && at.After(h.lastCrashAt) {
		delete(l.holds, part)
		wasSuspect, released = true, true
	}
	if wasSuspect || !isOwn {
		l.recordClearance(part, at, isOwn)
	}
	return released
}

// tellAnswered makes this daemon tell the others that a suspect was answered before, unless it has
// done so or heard it from another.
func (l *ledger) tellAnswered(part Part) {
	at, wasAnswered := l.answered.last(part)
	if _, isTold := l.clearances[part]; wasAnswered && !isTold {
		l.recordClearance(part, at, true)
	}
}

func (l *ledger) recordClearance(part Part, at time.Time, isOwn bool) {
	for len(l.clearances) >= maxClearances {
		oldest := slices.MinFunc(slices.Collect(maps.Keys(l.clearances)), func(a, b Part) int {
			return cmp.Compare(l.clearances[a].version, l.clearances[b].version)
		})
		delete(l.clearances, oldest)
	}
	l.clearances[part] = &clearance{at: at, isOwn: isOwn, version: l.nextVersion()}
}

// candidate is a part that may have caused crashes which no held part explains.
type candidate struct {
	Part
	position    int
	wasAnswered bool
	// crashes counts the crashes, those at the same moment once; lastAt is the time of the last.
	crashes int
	lastAt  time.Time
	// enoughAt is the time of the crash with which neededCrashes was reached.
	enoughAt time.Time
}

// neededCrashes is the number of crashes with which the part may be held.
func (c *candidate) neededCrashes() int {
	if c.wasAnswered {
		return crashesToHoldAnswered
	}
	return crashesToHold
}

func (c *candidate) add(at time.Time) {
	if c.crashes > 0 && at.Sub(c.lastAt) < simultaneous {
		return
	}
	c.crashes++
	c.lastAt = at
	if c.crashes == c.neededCrashes() {
		c.enoughAt = at
	}
}

// dueAt returns when the part is to be held.
func (c *candidate) dueAt() time.Time {
	if c.wasAnswered {
		return c.enoughAt.Add(settleTimeAnswered)
	}
	return c.enoughAt.Add(settleTime)
}

// compare orders candidates: first those that were never answered, then those that explain the most
// crashes, then those that stand last in the prompt, since fewer requests have them.
func (c *candidate) compare(other *candidate) int {
	switch {
	case c.wasAnswered != other.wasAnswered && !c.wasAnswered:
		return -1
	case c.wasAnswered != other.wasAnswered:
		return 1
	}
	return cmp.Or(
		cmp.Compare(other.crashes, c.crashes), cmp.Compare(other.position, c.position),
		cmp.Compare(c.Service, other.Service), cmp.Compare(c.ID, other.ID),
	)
}

// evaluation is the result of an evaluation: the parts that are held or released because of it, and
// when to evaluate again; zero if only after a change.
type evaluation struct {
	held     []Part
	released []Part
	next     time.Time
}

// evaluate holds the parts that explain the crashes best: each time the best candidate, whose crashes
// then count for no other part.
func (l *ledger) evaluate(now time.Time) evaluation {
	maps.DeleteFunc(l.crashes, func(_ azurehitch.ServerIdentity, c *crash) bool { return now.Sub(c.at) >= crashTTL })
	var result evaluation
	for {
		best := l.bestCandidate()
		if best == nil {
			return result
		}
		if due := best.dueAt(); now.Before(due) {
			result.next = due
			return result
		}
		l.addHold(best.Part, hold{lastCrashAt: best.lastAt, wasAnswered: best.wasAnswered})
		result.held = append(result.held, best.Part)
		result.released = append(result.released, l.releaseExplained(best.Part, now)...)
	}
}

// bestCandidate returns the first of the candidates that have caused enough crashes, or nil.
func (l *ledger) bestCandidate() *candidate {
	var enough []*candidate
	for _, c := range l.candidates() {
		if c.crashes >= c.neededCrashes() {
			enough = append(enough, c)
		}
	}
	if len(enough) == 0 {
		return nil
	}
	return slices.MinFunc(enough, (*candidate).compare)
}

// candidates returns the suspects of the crashes that no held part explains.
func (l *ledger) candidates() map[Part]*candidate {
	crashes := slices.SortedFunc(maps.Values(l.crashes), func(a, b *crash) int { return a.at.Compare(b.at) })
	found := map[Part]*candidate{}
	for _, c := range crashes {
		if l.isExplained(c, Part{}) {
			continue
		}
		for id, s := range c.suspects {
			part := Part{Service: c.service, ID: id}
			known, ok := found[part]
			if !ok {
				known = &candidate{Part: part, wasAnswered: l.wasAnswered(part)}
				found[part] = known
			}
			known.position = max(known.position, s.position)
			known.add(c.at)
		}
	}
	return found
}

// isExplained reports whether a held part other than except is among the suspects of a crash.
func (l *ledger) isExplained(c *crash, except Part) bool {
	for id := range c.suspects {
		part := Part{Service: c.service, ID: id}
		if _, ok := l.holds[part]; ok && part != except {
			return true
		}
	}
	return false
}

// releaseExplained releases the parts that are held for crashes all of which have another suspect
// that is held too, now that added is: added alone explains them.
func (l *ledger) releaseExplained(added Part, now time.Time) []Part {
	var released []Part
	parts := slices.SortedFunc(maps.Keys(l.holds), func(a, b Part) int { return cmp.Compare(a.ID, b.ID) })
	for _, part := range parts {
		if part == added || part.Service != added.Service {
			continue
		}
		supported, explained := 0, 0
		for _, c := range l.crashes {
			if _, ok := c.suspects[part.ID]; !ok || c.service != part.Service {
				continue
			}
			supported++
			if l.isExplained(c, part) {
				explained++
			}
		}
		if supported > 0 && supported == explained && l.addAnswer(part, now, true) {
			released = append(released, part)
		}
	}
	return released
}

// addHold holds a part. If there are too many, the one with the longest time since its last crash is
// released.
func (l *ledger) addHold(part Part, h hold) {
	for len(l.holds) >= maxHolds {
		oldest := slices.MinFunc(slices.Collect(maps.Keys(l.holds)), func(a, b Part) int {
			return l.holds[a].lastCrashAt.Compare(l.holds[b].lastCrashAt)
		})
		delete(l.holds, oldest)
	}
	h.version = l.nextVersion()
	l.holds[part] = &h
	delete(l.clearances, part)
}
