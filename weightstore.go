package azurehitch

import "context"

// CacheTier is the place from which a server loads the checkpoint of a model.
type CacheTier string

// The cache tiers, fastest first.
const (
	// CacheTierMemory is the host memory of the server.
	CacheTierMemory CacheTier = "Memory"
	// CacheTierDisk is the disk of the server.
	CacheTierDisk CacheTier = "Disk"
	// CacheTierRemote is the weight store.
	CacheTierRemote CacheTier = "Remote"
)

// WeightStoreLimits are the limits within which the weight store serves loads at full speed.
type WeightStoreLimits struct {
	// LoadsPerSecond is the rate at which loads may start.
	LoadsPerSecond float64
	// ConcurrentLoads is the number of model loads that run at full speed at once.
	ConcurrentLoads int
	// ConcurrentAdapterLoads is the number of adapter loads that run at full speed at once.
	ConcurrentAdapterLoads int
}

// WeightStore is the platform's rate-limited store of checkpoints.
type WeightStore interface {
	Limits(ctx context.Context) (WeightStoreLimits, error)
}
