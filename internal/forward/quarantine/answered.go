package quarantine

import "time"

// maxAnsweredParts limits the parts in each of the two generations of an answeredSet.
const maxAnsweredParts = 4096

// answeredSet remembers for a bounded number of parts when a request with them was last answered. It
// forgets those that were not answered for longest.
type answeredSet struct {
	// recent and older are two generations: when recent is full, it replaces older.
	recent map[Part]time.Time
	older  map[Part]time.Time
}

func newAnsweredSet() *answeredSet {
	return &answeredSet{recent: map[Part]time.Time{}}
}

// add records that a request with a part was answered, and returns false if a later answer is known.
func (s *answeredSet) add(part Part, at time.Time) bool {
	if known, ok := s.last(part); ok && !at.After(known) {
		return false
	}
	if _, ok := s.recent[part]; !ok && len(s.recent) >= maxAnsweredParts {
		s.recent, s.older = map[Part]time.Time{}, s.recent
	}
	s.recent[part] = at
	return true
}

// last returns when a request with a part was last answered, and false if that is not known.
func (s *answeredSet) last(part Part) (time.Time, bool) {
	if at, ok := s.recent[part]; ok {
		return at, true
	}
	at, ok := s.older[part]
	return at, ok
}
