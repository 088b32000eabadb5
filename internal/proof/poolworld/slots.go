package poolworld

import (
	"sync"

	"azurehitch"
	"azurehitch/internal/placement/loadslots"
)

// freeSlots grants all loads: a world has one pool, whose holder is alone.
type freeSlots struct {
	mu      sync.Mutex
	granted map[azurehitch.Artifact]bool
}

func newFreeSlots() *freeSlots { return &freeSlots{granted: map[azurehitch.Artifact]bool{}} }

// Want implements enginepool.Slots.
func (s *freeSlots) Want(_ string, wants []loadslots.Want) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.granted = map[azurehitch.Artifact]bool{}
	for _, want := range wants {
		s.granted[want.Artifact] = true
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
