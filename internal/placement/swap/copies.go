package swap

import (
	"cmp"
	"slices"
	"time"

	"azurehitch"
)

// loaded notes that a load has left copies of a checkpoint in the memory and on the disk of a server.
// Copies that were not used for longest give way to it, as the server does it.
func (s *server) loaded(model string, limits azurehitch.EngineLimits, now time.Time) {
	s.tiers[model] = azurehitch.CacheTierMemory
	s.copiedAt[model] = now
	for _, name := range s.surplus(limits, limits.HostMemory, azurehitch.CacheTierMemory) {
		s.tiers[name] = azurehitch.CacheTierDisk
	}
	for _, name := range s.surplus(limits, limits.Disk, azurehitch.CacheTierMemory, azurehitch.CacheTierDisk) {
		delete(s.tiers, name)
	}
}

// surplus returns the copies in some tiers for which there is no room, as those that were used later
// take it. All fit where the room is unknown.
func (s *server) surplus(limits azurehitch.EngineLimits, room azurehitch.ByteSize, tiers ...azurehitch.CacheTier) []string {
	if room == 0 {
		return nil
	}
	var names []string
	for name, tier := range s.tiers {
		if slices.Contains(tiers, tier) {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(s.copiedAt[b].Compare(s.copiedAt[a]), cmp.Compare(a, b))
	})
	return slices.DeleteFunc(names, func(name string) bool {
		room -= limits.Models[name].Memory
		return room >= 0
	})
}
