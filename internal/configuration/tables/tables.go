// Package tables parses and validates the two tables that operators publish: the table of
// routes and the table of pools.
//
// # Usage
//
//	configuration, err := tables.Parse(routesJSON, poolsJSON)
//
// Parse rejects unknown fields, names that are not defined, missing or negative limits, and
// promises above the capacity. It reports the place of each mistake. A value of type
// Configuration is valid and immutable.
package tables

import (
	"slices"

	"azurehitch"
)

// Tier is the service class of a caller.
type Tier string

const (
	// TierPaid is the tier of paying callers, for which capacity can be reserved.
	TierPaid Tier = "Paid"
	// TierTrial is the tier of free-trial callers.
	TierTrial Tier = "Trial"
)

// RouteTable defines which callers may use which models, adapters and versions.
type RouteTable struct {
	Callers []Caller
	Routes  []Route
}

// Caller is one customer.
type Caller struct {
	Name string
	// KeySHA256 is the hexadecimal SHA-256 digest of the caller's key. The tables don't
	// hold the key itself.
	KeySHA256 string
	Tier      Tier
	// RequestsPerSecond is the rate limit; requests above it are refused.
	RequestsPerSecond float64
	// Burst is the number of requests that may arrive at once without being refused.
	Burst int
}

// Route gives some callers access to a model, or to calls of a plain service (a pool whose servers
// are no model engines).
type Route struct {
	Name string
	// Callers and Pool are names of entries in the tables.
	Callers []string
	Pool    string
	// Model, Adapters and Versions are what callers may use in a pool of models. Requests without a
	// version get the first version.
	Model    string   `json:",omitempty"`
	Adapters []string `json:",omitempty"`
	Versions []string `json:",omitempty"`
	// PathPrefix selects, by the path, the calls that go to the pool of a plain service.
	PathPrefix string `json:",omitempty"`
}

// PoolKind is the kind of back end of a pool.
type PoolKind string

const (
	// PoolKindModels is a pool of model engines.
	PoolKindModels PoolKind = "Models"
	// PoolKindService is a pool of a plain service. It has no lease, loads or unloads.
	PoolKindService PoolKind = "Service"
)

// PoolTable defines the capacity that the routes use.
type PoolTable struct {
	Pools []Pool
}

// Pool is a group of backend servers. In a pool of models, one daemon, the holder of the pool's
// lease, decides about loads and unloads.
type Pool struct {
	Name           string
	Kind           PoolKind
	BackendServers []BackendServer
	Models         []Model `json:",omitempty"`
	Calls          []Call  `json:",omitempty"`
	// ConcurrentRequests limits the requests in progress in the whole pool.
	ConcurrentRequests int
	// PromisedToPaid is the part of ConcurrentRequests that is reserved for paid callers.
	PromisedToPaid int
	// PromisedMemoryToPaid is the part of the pool's accelerator memory that is reserved for
	// artifacts of paid callers. Artifacts that only trial callers use never occupy it.
	PromisedMemoryToPaid azurehitch.ByteSize `json:",omitempty"`
	// QueueLimit is the largest number of requests that may wait at one daemon.
	QueueLimit int
	// IdleTimeout is the longest time for which a replica without requests stays loaded.
	IdleTimeout azurehitch.Duration `json:",omitempty"`
	// ColdStartPrice is the price of one cold start, as the idle time of an accelerator that costs
	// as much. If it is set, the time for which an idle artifact stays loaded depends on when its
	// requests arrive. If it is 0, every idle artifact stays loaded for IdleTimeout.
	ColdStartPrice azurehitch.Duration `json:",omitempty"`
	// WakeAhead preloads models before the times of day at which they were used on earlier
	// days, if the expected saving is worth the idle time at ColdStartPrice.
	WakeAhead bool `json:",omitempty"`
	// LeaseDuration is how long the lease of the pool is valid without a renewal.
	LeaseDuration azurehitch.Duration `json:",omitempty"`
}

// TokenCheck is what a model engine does with the fencing tokens of orders.
type TokenCheck string

// The values of TokenCheck.
const (
	// TokenIgnored means that the engine carries out orders with an old token.
	TokenIgnored TokenCheck = "Ignored"
	// TokenChecked means that the engine rejects orders with an old token, but loses the newest
	// token at a restart.
	TokenChecked TokenCheck = "Checked"
	// TokenKept means that the engine rejects orders with an old token, also after a restart.
	TokenKept TokenCheck = "Kept"
)

// BackendServer is one server of a pool.
type BackendServer struct {
	Name          string
	Address       string
	FailureDomain string
	// FencingToken says whether the engine rejects orders with an old token.
	FencingToken      TokenCheck          `json:",omitempty"`
	AcceleratorMemory azurehitch.ByteSize `json:",omitempty"`
}

// Model is one model of a pool.
type Model struct {
	Name string
	// MaxReplicas is at most the number of backend servers of the pool.
	MaxReplicas int
	Versions    []ModelVersion
	Adapters    []Adapter `json:",omitempty"`
}

// ModelVersion is one version of a model.
type ModelVersion struct {
	Version string
	// Memory is the accelerator memory that the version occupies when loaded.
	Memory azurehitch.ByteSize
}

// Adapter is an adapter that can be loaded on top of the versions of a model.
type Adapter struct {
	Name string
	// Memory is the accelerator memory that the adapter occupies in addition to the version.
	Memory azurehitch.ByteSize
}

// Call describes the calls of a plain service with one method and path prefix. Calls that match
// no entry are not idempotent.
type Call struct {
	Method     string
	PathPrefix string
	Idempotent bool
}

// Pool returns a pool by name.
func (t PoolTable) Pool(name string) (Pool, bool) {
	i := slices.IndexFunc(t.Pools, func(p Pool) bool { return p.Name == name })
	if i < 0 {
		return Pool{}, false
	}
	return t.Pools[i], true
}

// Model returns a model by name.
func (p Pool) Model(name string) (Model, bool) {
	i := slices.IndexFunc(p.Models, func(m Model) bool { return m.Name == name })
	if i < 0 {
		return Model{}, false
	}
	return p.Models[i], true
}

// Server returns a backend server by name.
func (p Pool) Server(name string) (BackendServer, bool) {
	i := slices.IndexFunc(p.BackendServers, func(s BackendServer) bool { return s.Name == name })
	if i < 0 {
		return BackendServer{}, false
	}
	return p.BackendServers[i], true
}

// ArtifactMemory returns the accelerator memory of each artifact of the pool. The memory of an
// adapter does not include its base model.
func (p Pool) ArtifactMemory() map[azurehitch.Artifact]azurehitch.ByteSize {
	memories := map[azurehitch.Artifact]azurehitch.ByteSize{}
	for _, model := range p.Models {
		for _, version := range model.Versions {
			artifact := azurehitch.Artifact{Model: model.Name, Version: version.Version}
			memories[artifact] = version.Memory
			for _, adapter := range model.Adapters {
				artifact.Adapter = adapter.Name
				memories[artifact] = adapter.Memory
			}
		}
	}
	return memories
}

// Configuration is a valid pair of tables with its version.
type Configuration struct {
	// Version is the log offset of the publication that brought the tables into force; 0 means
	// that none did.
	Version int64
	Routes  RouteTable
	Pools   PoolTable
}

// WithVersion returns a copy with the version set.
func (c Configuration) WithVersion(version int64) Configuration {
	c.Version = version
	return c
}

// CallerByKey returns the caller whose key has the hexadecimal SHA-256 digest.
func (c Configuration) CallerByKey(digest string) (Caller, bool) {
	i := slices.IndexFunc(c.Routes.Callers, func(caller Caller) bool { return caller.KeySHA256 == digest })
	if i < 0 {
		return Caller{}, false
	}
	return c.Routes.Callers[i], true
}
