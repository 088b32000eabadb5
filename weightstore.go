package azurehitch

import "context"

// CacheTier says where the checkpoint of a model lies.
type CacheTier string

// The cache tiers, fastest first.
const (
	CacheTierMemory CacheTier = "Memory"
	CacheTierDisk   CacheTier = "Disk"
	CacheTierRemote CacheTier = "Remote"
)

// WeightStoreLimits are the limits within which the weight store runs at full
// speed.
type WeightStoreLimits struct {
	// LoadsPerSecond is the rate of loads that may start.
	LoadsPerSecond float64
	// ConcurrentLoads is the number of model loads at full speed.
	ConcurrentLoads int
	// ConcurrentAdapterLoads is the number of adapter loads at full speed.
	ConcurrentAdapterLoads int
}

// WeightStore is the platform's rate-limited store of checkpoints.
type WeightStore interface {
	Limits(ctx context.Context) (WeightStoreLimits, error)
}
