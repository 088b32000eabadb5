package quarantine

import (
	"cmp"
	"time"
)

// candidate is a subject that may have caused crashes which no held one explains.
type candidate struct {
	Subject
	position    int
	wasAnswered bool
	// crashes counts the crashes, those at the same moment once; lastAt is the time of the last.
	crashes int
	lastAt  time.Time
	// enoughAt is the time of the crash with which neededCrashes was reached.
	enoughAt time.Time
	// explainedBy are the held requests of which a crash was counted.
	explainedBy map[Subject]bool
}

// neededCrashes is the number of crashes with which the subject may be held. That a request was answered before
// does not make it less suspect: servers answer most requests once only.
func (c *candidate) neededCrashes() int {
	if c.wasAnswered && c.Kind == KindPart {
		return crashesToHoldAnswered
	}
	return crashesToHold
}

// add counts a crash as one or more, unless it came at the same moment as the last.
func (c *candidate) add(at time.Time, count int) {
	if c.crashes > 0 && at.Sub(c.lastAt) < simultaneous {
		return
	}
	hadEnough := c.crashes >= c.neededCrashes()
	c.crashes += count
	c.lastAt = at
	if !hadEnough && c.crashes >= c.neededCrashes() {
		c.enoughAt = at
	}
}

// dueAt returns when the subject is to be held.
func (c *candidate) dueAt() time.Time {
	if c.wasAnswered {
		return c.enoughAt.Add(settleTimeAnswered)
	}
	return c.enoughAt.Add(settleTime)
}

// compare orders candidates: requests before parts, since a hold of a request concerns no other one; then those
// that were never answered, then those that explain the most crashes, then those that stand last in the prompt,
// since fewer requests have them.
func (c *candidate) compare(other *candidate) int {
	switch {
	case c.Kind != other.Kind && c.Kind == KindRequest:
		return -1
	case c.Kind != other.Kind:
		return 1
	case c.wasAnswered != other.wasAnswered && !c.wasAnswered:
		return -1
	case c.wasAnswered != other.wasAnswered:
		return 1
	}
	return cmp.Or(
		cmp.Compare(other.crashes, c.crashes), cmp.Compare(other.position, c.position), compareSubjects(c.Subject, other.Subject),
	)
}

// isCounted reports whether a crash of each of some held requests was counted before, and notes those requests.
func (c *candidate) isCounted(requests []Subject) bool {
	isCounted := true
	for _, r := range requests {
		isCounted = isCounted && c.explainedBy[r]
		c.explainedBy[r] = true
	}
	return isCounted
}
