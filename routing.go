package azurehitch

import "time"

// RequestKind says whether the requests of a route may be repeated and how they are answered.
type RequestKind string

// The kinds of requests.
const (
	// RequestKindIdempotent requests may run more than once.
	RequestKindIdempotent RequestKind = "Idempotent"
	// RequestKindNonIdempotent requests may run at most once.
	RequestKindNonIdempotent RequestKind = "NonIdempotent"
	// RequestKindStream requests are answered by a stream of events. They may run at most once,
	// unless their route is resumable.
	RequestKindStream RequestKind = "Stream"
)

// RoutingTable maps requests to services. It is immutable.
type RoutingTable struct {
	// Version is the version that the operators gave to the table; 0 means that there is no table.
	Version  int64
	Routes   []PathRoute
	Services map[string]BackendService
	Limits   CallerLimits
	// Faults are what the table shows otherwise than the operators have stated it.
	Faults []TableFault
	// Accounts are the entries of the list of accounts, including those that grant nothing. If there is any,
	// only requests with the key of an account are served, except on public routes.
	Accounts []AccountEntry
}

// TableFault is a value in a routing table that could not be taken as it is. The table has another one instead.
type TableFault struct {
	// Field is the path of the field in the operators' text.
	Field  string
	Reason string
}

// PathRoute routes the requests with a host and a path prefix to services.
type PathRoute struct {
	Name string
	Host string
	// PathPrefix begins and ends with a slash.
	PathPrefix string
	// Targets are the services among which the requests are distributed by weight.
	Targets []RouteTarget
	Kind    RequestKind
	// Timeout is the longest time for which a caller waits for the response.
	Timeout time.Duration
	// Objective is the latency objective of the response, or of the first event of a stream.
	Objective time.Duration
	// MaxPause is the objective for the longest time between two events of a stream.
	MaxPause time.Duration
	// MaxAttempts is the maximum number of backend servers that may run one request.
	MaxAttempts int
	// Priority is the rank of the route among the routes; 0 is the most urgent.
	Priority int
	// Public is true if the requests of the route need no key.
	Public bool
	// Resumable is true if the streams of the route can be resumed on another backend server.
	Resumable bool
}

// MayRepeat reports whether a request may run more than once.
func (r PathRoute) MayRepeat() bool {
	return r.Kind == RequestKindIdempotent || r.Kind == RequestKindStream && r.Resumable
}

// RouteTarget is a service that receives a share of the requests of a route.
type RouteTarget struct {
	Service string
	Weight  int
}

// BackendService is a group of interchangeable backend servers.
type BackendService struct {
	Name string
	// MaxConnections is the number of connections that one server accepts from all of its clients
	// together.
	MaxConnections int
	// HedgeShare limits the hedged requests of the service.
	HedgeShare HedgeShare
	// Engine is nil unless the servers are model engines.
	Engine *EngineLimits
}

// EngineLimits are the limits of the model engines of a service.
type EngineLimits struct {
	// Slots is the number of requests that a server runs at once.
	Slots int
	// Memory is the accelerator memory that a server has for models and adapters.
	Memory ByteSize
	// HostMemory and Disk are the sizes of a server's checkpoint caches in its host memory and on
	// its disk; 0 means unknown. The least recently used checkpoints are evicted first.
	HostMemory ByteSize
	Disk       ByteSize
	// AdapterSlots is the number of adapters that a server can have loaded.
	AdapterSlots int
	// RemoteLoadsPerSecond is the rate at which loads from the weight store may start on all
	// servers together.
	RemoteLoadsPerSecond float64
	Models               map[string]ModelLimits
}

// ModelLimits holds the memory that a model and each of its adapters occupy, and the load times of
// the model.
type ModelLimits struct {
	Memory        ByteSize
	AdapterMemory ByteSize
	// The duration of a load from the weight store, from disk and from host memory.
	RemoteLoad time.Duration
	DiskLoad   time.Duration
	MemoryLoad time.Duration
}

// LoadTime returns the duration of a load from a cache tier.
func (m ModelLimits) LoadTime(tier CacheTier) time.Duration {
	switch tier {
	case CacheTierMemory:
		return m.MemoryLoad
	case CacheTierDisk:
		return m.DiskLoad
	}
	return m.RemoteLoad
}

// CallerLimits are the limits for the connections and requests of callers.
type CallerLimits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// RoutingDecoder decodes the operators' routing table in a keyed stream.
type RoutingDecoder interface {
	// Stream returns the name of the stream and the key of the table in it.
	Stream() (stream, key string)
	Decode(value []byte) (RoutingTable, error)
}
