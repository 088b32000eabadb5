package poolworld

import (
	"sync"

	"azurehitch"
	"azurehitch/internal/placement/loadslots"
)

// freeSlots grants all loads: a world has one pool, whose holder is alone.
type freeSlots struct {
	// wake tells a pool that something was granted to it, as the scheduler's client does.
	wake    func(pool string)
	mu      sync.Mutex
	granted map[azurehitch.Artifact]bool
}

func newFreeSlots(wake func(pool string)) *freeSlots {
	return &freeSlots{wake: wake, granted: map[azurehitch.Artifact]bool{}}
}

// Want implements enginepool.Slots.
func (s *freeSlots) Want(pool string, wants []loadslots.Want) {
	s.mu.Lock()
	defer s.mu.Unlock()
	granted := map[azurehitch.Artifact]bool{}
	isNew := false
	for _, want := range wants {
		granted[want.Artifact] = true
		isNew = isNew || !s.granted[want.Artifact]
	}
	s.granted = granted
	if isNew {
		s.wake(pool)
	}
}

// Granted implements enginepool.Slots.
func (s *freeSlots) Granted(string) map[azurehitch.Artifact]bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.granted
}

// Begin implements enginepool.Slots.
func (s *freeSlots) Begin(string, azurehitch.Artifact) {}

// End implements enginepool.Slots.
func (s *freeSlots) End(string, azurehitch.Artifact) {}

// Ahead implements enginepool.Slots.
func (s *freeSlots) Ahead(string, azurehitch.Artifact) (ahead, concurrent int, known bool) {
	return 0, remoteLoads, false
}
