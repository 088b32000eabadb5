// Package tables holds the two tables that operators publish: the table of
// routes and the table of pools.
//
// # Usage
//
//	configuration, err := tables.Parse(routesJSON, poolsJSON)
//
// Parse refuses unknown fields, dangling names, missing or negative limits and
// promises larger than the capacity, and names the place of each mistake. A
// value of type Configuration is valid and is never changed.
package tables

import (
	"slices"

	"azurehitch"
)

// Tier is the class of a caller.
type Tier string

// The tiers.
const (
	TierPaid  Tier = "Paid"
	TierTrial Tier = "Trial"
)

// RouteTable says which callers reach which model, adapter and version.
type RouteTable struct {
	Callers []Caller
	Routes  []Route
}

// Caller is one customer.
type Caller struct {
	Name string
	// KeySHA256 is the hexadecimal SHA-256 digest of the caller's key. The key
	// itself is in no table.
	KeySHA256 string
	Tier      Tier
	// RequestsPerSecond is the rate above which requests are refused.
	RequestsPerSecond float64
	// Burst is the number of requests that may come at once.
	Burst int
}

// Route leads some callers to a model, or to the calls of a plain service.
type Route struct {
	Name    string
	Callers []string
	Pool    string
	// Model, Adapters and Versions name what callers reach in a pool of models.
	// The first version serves requests that name none.
	Model    string   `json:",omitempty"`
	Adapters []string `json:",omitempty"`
	Versions []string `json:",omitempty"`
	// PathPrefix selects the calls that go to a pool of a plain service.
	PathPrefix string `json:",omitempty"`
}

// PoolKind is what stands behind a pool.
type PoolKind string

// The kinds of pools.
const (
	PoolKindModels  PoolKind = "Models"
	PoolKindService PoolKind = "Service"
)

// PoolTable says what capacity stands behind the routes.
type PoolTable struct {
	Pools []Pool
}

// Pool is capacity with one decision maker.
type Pool struct {
	Name           string
	Kind           PoolKind
	BackendServers []BackendServer
	Models         []Model `json:",omitempty"`
	Calls          []Call  `json:",omitempty"`
	// ConcurrentRequests is the number of requests in progress in the whole pool.
	ConcurrentRequests int
	// PromisedToPaid is the part of ConcurrentRequests that trials never use.
	PromisedToPaid int
	// PromisedMemoryToPaid is the part of the accelerator memory that artifacts which
	// only trials use never occupy.
	PromisedMemoryToPaid azurehitch.ByteSize `json:",omitempty"`
	// QueueLimit is the number of requests that may wait at one daemon.
	QueueLimit int
	// IdleTimeout is how long a replica without requests stays loaded at most.
	IdleTimeout azurehitch.Duration `json:",omitempty"`
	// ColdStartPrice is how long an accelerator may be idle to spare one cold
	// start. With it, each artifact is kept as its own arrivals suggest; without
	// it, all are kept for IdleTimeout.
	ColdStartPrice azurehitch.Duration `json:",omitempty"`
	// WakeAhead wakes models before the times of day at which they were used on earlier
	// days, where that pays at ColdStartPrice.
	WakeAhead bool `json:",omitempty"`
	// LeaseDuration is how long the holder of the pool stays in office without a
	// renewal.
	LeaseDuration azurehitch.Duration `json:",omitempty"`
}

// TokenCheck is what a model engine does with the fencing tokens of orders.
type TokenCheck string

// The kinds of engines.
const (
	// TokenIgnored engines carry out orders with an old token.
	TokenIgnored TokenCheck = "Ignored"
	// TokenChecked engines refuse them, and forget the newest token at a restart.
	TokenChecked TokenCheck = "Checked"
	// TokenKept engines refuse them, also after a restart.
	TokenKept TokenCheck = "Kept"
)

// BackendServer is one server of a pool.
type BackendServer struct {
	Name          string
	Address       string
	FailureDomain string
	// FencingToken tells what the engine does with orders that carry an old token.
	FencingToken      TokenCheck          `json:",omitempty"`
	AcceleratorMemory azurehitch.ByteSize `json:",omitempty"`
}

// Model is one model of a pool.
type Model struct {
	Name        string
	MaxReplicas int
	Versions    []ModelVersion
	Adapters    []Adapter `json:",omitempty"`
}

// ModelVersion is one version of a model.
type ModelVersion struct {
	Version string
	Memory  azurehitch.ByteSize
}

// Adapter is an adapter of a model.
type Adapter struct {
	Name   string
	Memory azurehitch.ByteSize
}

// Call describes calls of a plain service. Calls that match none are not
// idempotent.
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

// Memories returns the accelerator memory that each artifact of the pool needs by
// itself.
func (p Pool) Memories() map[azurehitch.Artifact]azurehitch.ByteSize {
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

// Configuration is a valid pair of tables, with the version that the log gave it.
type Configuration struct {
	// Version is the offset of the record that brought it into force; 0 is none.
	Version int64
	Routes  RouteTable
	Pools   PoolTable
}

// WithVersion returns a copy with the version set.
func (c Configuration) WithVersion(version int64) Configuration {
	c.Version = version
	return c
}

// CallerByKey returns the caller whose key has a digest.
func (c Configuration) CallerByKey(digest string) (Caller, bool) {
	i := slices.IndexFunc(c.Routes.Callers, func(caller Caller) bool { return caller.KeySHA256 == digest })
	if i < 0 {
		return Caller{}, false
	}
	return c.Routes.Callers[i], true
}
