package quarantine

import "time"

// maxAnswered limits the subjects in each of the two generations of an answeredSet.
const maxAnswered = 4096

// answeredSet remembers for a bounded number of subjects when they were last answered. It
// forgets those that were not answered for longest.
type answeredSet struct {
	// recent and older are two generations: when recent is full, it replaces older.
	recent map[Subject]time.Time
	older  map[Subject]time.Time
}

func newAnsweredSet() *answeredSet {
	return &answeredSet{recent: map[Subject]time.Time{}}
}

// add records that a subject was answered, and returns false if a later answer is known.
func (s *answeredSet) add(subject Subject, at time.Time) bool {
	if known, ok := s.last(subject); ok && !at.After(known) {
		return false
	}
	if _, ok := s.recent[subject]; !ok && len(s.recent) >= maxAnswered {
		s.recent, s.older = map[Subject]time.Time{}, s.recent
	}
	s.recent[subject] = at
	return true
}

// last returns when a subject was last answered, and false if that is not known.
func (s *answeredSet) last(subject Subject) (time.Time, bool) {
	if at, ok := s.recent[subject]; ok {
		return at, true
	}
	at, ok := s.older[subject]
	return at, ok
}
