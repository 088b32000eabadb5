package poolsim

import (
	"sync"

	"azurehitch"
	"azurehitch/internal/placement/loadslots"
)

// unlimitedSlots grants every load at once: a simulation has one pool, so its holder competes with
// no other holder for the weight store.
type unlimitedSlots struct {
	// notifyGranted notifies a pool of new grants, as the client of the scheduler does.
	notifyGranted func(pool string)
	mu            sync.Mutex
	granted       map[azurehitch.Artifact]bool
}

func newUnlimitedSlots(notifyGranted func(pool string)) *unlimitedSlots {
	return &unlimitedSlots{notifyGranted: notifyGranted, granted: map[azurehitch.Artifact]bool{}}
}

// SetRequests implements enginepool.Slots.
func (s *unlimitedSlots) SetRequests(pool string, requests []loadslots.LoadRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	granted := map[azurehitch.Artifact]bool{}
	isNew := false
	for _, request := range requests {
		granted[request.Artifact] = true
		isNew = isNew || !s.granted[request.Artifact]
	}
	s.granted = granted
	if isNew {
		s.notifyGranted(pool)
	}
}

// Granted implements enginepool.Slots.
func (s *unlimitedSlots) Granted(string) map[azurehitch.Artifact]bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.granted
}

// Begin implements enginepool.Slots.
func (s *unlimitedSlots) Begin(string, azurehitch.Artifact) {}

// End implements enginepool.Slots.
func (s *unlimitedSlots) End(string, azurehitch.Artifact) {}

// LoadsAhead implements enginepool.Slots.
func (s *unlimitedSlots) LoadsAhead(string, azurehitch.Artifact) (ahead, concurrent int, known bool) {
	return 0, concurrentRemoteLoads, false
}
