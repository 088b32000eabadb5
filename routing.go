package azurehitch

import "time"

// RequestKind says what may be repeated of the requests of a route.
type RequestKind string

// The kinds of requests.
const (
	// RequestKindIdempotent requests may run more than once.
	RequestKindIdempotent RequestKind = "Idempotent"
	// RequestKindNonIdempotent requests may run at most once.
	RequestKindNonIdempotent RequestKind = "NonIdempotent"
	// RequestKindStream requests are answered by a series of events. They may run at
	// most once, unless their route is resumable.
	RequestKindStream RequestKind = "Stream"
)

// RoutingTable says which requests go to which services. A table is never changed.
type RoutingTable struct {
	// Version is the operators' version; 0 is no table.
	Version  int64
	Routes   []PathRoute
	Services map[string]BackendService
	Limits   CallerLimits
}

// PathRoute leads the requests of a host and a path prefix to services.
type PathRoute struct {
	Name string
	Host string
	// PathPrefix begins and ends with a slash.
	PathPrefix string
	// Targets are the services that share the requests by weight.
	Targets []RouteTarget
	Kind    RequestKind
	// Timeout is the longest time that a caller is kept waiting.
	Timeout time.Duration
	// Objective is the time within which an answer, or the first event of a stream, is
	// on time.
	Objective time.Duration
	// MaxPause is the longest pause between events with which a stream is on time.
	MaxPause time.Duration
	// MaxAttempts is the number of backend servers that may run one request.
	MaxAttempts int
	// Priority is the rank among the routes; 0 is the most urgent.
	Priority int
	// Resumable streams may go on at another backend server.
	Resumable bool
}

// MayRepeat reports whether a request may run more than once.
func (r PathRoute) MayRepeat() bool {
	return r.Kind == RequestKindIdempotent || r.Kind == RequestKindStream && r.Resumable
}

// RouteTarget is a service that gets a part of the requests of a route.
type RouteTarget struct {
	Service string
	Weight  int
}

// BackendService is a group of backend servers that answer the same requests.
type BackendService struct {
	Name string
	// MaxConnections is the number of connections that one server accepts from all
	// callers together.
	MaxConnections int
	// Engine is set when the servers are model engines.
	Engine *EngineLimits
}

// EngineLimits bound the model engines of a service.
type EngineLimits struct {
	// Slots is the number of requests that run at once.
	Slots int
	// Memory is the accelerator memory of a server for models and adapters.
	Memory ByteSize
	// HostMemory and Disk are what a server has for copies of checkpoints, in its own memory and on
	// its disk; 0 is unknown. Those that were not used for longest give way.
	HostMemory ByteSize
	Disk       ByteSize
	// AdapterSlots is the number of adapters that a server holds.
	AdapterSlots int
	// RemoteLoadsPerSecond is the rate at which loads from the weight store may begin
	// over all servers.
	RemoteLoadsPerSecond float64
	Models               map[string]ModelLimits
}

// ModelLimits is what a model needs.
type ModelLimits struct {
	Memory        ByteSize
	AdapterMemory ByteSize
	// The times that a load takes, by where the checkpoint lies.
	RemoteLoad time.Duration
	DiskLoad   time.Duration
	MemoryLoad time.Duration
}

// LoadTime returns how long a load takes from a cache tier.
func (m ModelLimits) LoadTime(tier CacheTier) time.Duration {
	switch tier {
	case CacheTierMemory:
		return m.MemoryLoad
	case CacheTierDisk:
		return m.DiskLoad
	}
	return m.RemoteLoad
}

// CallerLimits bound what callers may send.
type CallerLimits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// RoutingDecoder reads the operators' table from a keyed stream.
type RoutingDecoder interface {
	// Stream returns the stream and the key of the table.
	Stream() (stream, key string)
	Decode(value []byte) (RoutingTable, error)
}
