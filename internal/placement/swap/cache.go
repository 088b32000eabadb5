package swap

import (
	"cmp"
	"slices"
	"time"

	"azurehitch"
)

// cacheCheckpoint records that a load has left copies of the checkpoint in the server's host memory
// and on its disk. Like the server, it evicts the least recently used copies. Copies evicted from
// the host memory stay on the disk.
func (s *server) cacheCheckpoint(model string, limits azurehitch.EngineLimits, now time.Time) {
	s.tiers[model] = azurehitch.CacheTierMemory
	s.cacheUsedAt[model] = now
	for _, name := range s.cacheOverflow(limits, limits.HostMemory, azurehitch.CacheTierMemory) {
		s.tiers[name] = azurehitch.CacheTierDisk
	}
	for _, name := range s.cacheOverflow(limits, limits.Disk, azurehitch.CacheTierMemory, azurehitch.CacheTierDisk) {
		delete(s.tiers, name)
	}
}

// cacheOverflow returns the cached checkpoints in the given tiers that have to be evicted because
// the more recently used ones fill capacity. A capacity of 0 means that it is unknown, and nothing
// is evicted.
func (s *server) cacheOverflow(limits azurehitch.EngineLimits, capacity azurehitch.ByteSize, tiers ...azurehitch.CacheTier) []string {
	if capacity == 0 {
		return nil
	}
	var names []string
	for name, tier := range s.tiers {
		if slices.Contains(tiers, tier) {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(s.cacheUsedAt[b].Compare(s.cacheUsedAt[a]), cmp.Compare(a, b))
	})
	return slices.DeleteFunc(names, func(name string) bool {
		capacity -= limits.Models[name].Memory
		return capacity >= 0
	})
}
