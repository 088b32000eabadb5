package swap

import (
	"maps"
	"slices"
	"time"

	"azurehitch"
)

// replicaState is the state of a model on a server.
type replicaState string

const (
	stateLoading   replicaState = "Loading"
	stateReady     replicaState = "Ready"
	stateUnloading replicaState = "Unloading"
)

// replica is a model on a server.
type replica struct {
	state    replicaState
	lastUsed time.Time
	adapters map[string]*adapter
}

// adapter is an adapter of a replica.
type adapter struct {
	state    replicaState
	lastUsed time.Time
}

// server is a server as the holder counts it.
type server struct {
	azurehitch.ServerIdentity
	// listing is the number of this stay on the list.
	listing int64
	domain  string
	slots   int
	leaving bool
	missing bool
	// left is true when a daemon's list shows that the server leaves.
	left bool
	// known is true when the server was reached and carries out no order that this holder
	// doesn't know.
	known bool
	// unknownSince is since when it is not known; zero while it is, and before the next
	// decision.
	unknownSince time.Time
	// lost is true when it is unknown for so long that its copies don't count.
	lost bool
	// orders is the number of orders that it has accepted.
	orders int64
	// order is the order for a model that is under way, and freeAt when it should end.
	order  *Order
	freeAt time.Time
	// adapterOrders is the number of orders for adapters that are under way.
	adapterOrders int
	replicas      map[string]*replica
	tiers         map[string]azurehitch.CacheTier
	// copiedAt is when each copy of a checkpoint was last used by a load.
	copiedAt map[string]time.Time
	// readUntil are the ends of the long prompts that it reads.
	readUntil []time.Time
	// remoteAt is when the last load from the weight store began.
	remoteAt time.Time
	failedAt time.Time
}

func newServer(listing int64) *server {
	return &server{listing: listing, replicas: map[string]*replica{}, tiers: map[string]azurehitch.CacheTier{}, copiedAt: map[string]time.Time{}}
}

// list takes in the description in the platform's list.
func (s *server) list(l azurehitch.FleetServer) {
	s.ServerIdentity = l.ServerIdentity
	s.domain = l.FailureDomain
	s.slots = l.Slots
	s.leaving = l.Leaving || s.left
	s.missing = l.Missing
	if !s.known && s.order == nil {
		s.setLoaded(l.Loaded)
	}
	s.setCached(l.Cached)
}

// observe takes in a report. While an order is carried out that this holder doesn't know,
// the report doesn't show what is being loaded: the server stays unknown.
func (s *server) observe(report azurehitch.ServerReport) {
	s.known = !report.Busy
	s.orders = report.Orders
	s.setLoaded(report.Loaded)
	s.setCached(report.Cached)
}

// setLoaded replaces what the server holds.
func (s *server) setLoaded(loaded []azurehitch.LoadedModel) {
	replicas := map[string]*replica{}
	for _, l := range loaded {
		r := &replica{state: stateReady, adapters: map[string]*adapter{}}
		if before, ok := s.replicas[l.Name]; ok {
			r.lastUsed = before.lastUsed
		}
		for _, name := range l.Adapters {
			r.adapters[name] = &adapter{state: stateReady}
		}
		replicas[l.Name] = r
	}
	s.replicas = replicas
}

// setCached replaces the tiers of the checkpoints. What is loaded has a copy.
func (s *server) setCached(cached azurehitch.CachedModels) {
	if len(cached.InMemory)+len(cached.OnDisk) == 0 {
		return
	}
	tiers := map[string]azurehitch.CacheTier{}
	for _, name := range cached.OnDisk {
		tiers[name] = azurehitch.CacheTierDisk
	}
	for _, name := range cached.InMemory {
		tiers[name] = azurehitch.CacheTierMemory
	}
	for name, r := range s.replicas {
		if _, ok := tiers[name]; !ok && r.state != stateLoading {
			tiers[name] = azurehitch.CacheTierDisk
		}
	}
	s.tiers = tiers
}

// tier returns where the checkpoint of a model lies as seen from the server.
func (s *server) tier(name string) azurehitch.CacheTier {
	if tier, ok := s.tiers[name]; ok {
		return tier
	}
	return azurehitch.CacheTierRemote
}

// notice keeps account of how long the server is unknown.
func (s *server) notice(now time.Time) {
	switch {
	case s.known:
		s.unknownSince = time.Time{}
	case s.unknownSince.IsZero():
		s.unknownSince = now
	}
}

// unknownFor is how long the server is unknown.
func (s *server) unknownFor(now time.Time) time.Duration {
	if s.known || s.unknownSince.IsZero() {
		return 0
	}
	return now.Sub(s.unknownSince)
}

// loadLeft is how long the load under way will still take. One that is overdue is expected to take
// as long again as it is late.
func (s *server) loadLeft(now time.Time) time.Duration { return s.freeAt.Sub(now).Abs() }

// takesRequests reports whether new requests may go to the server.
func (s *server) takesRequests() bool { return !s.leaving && !s.missing }

// takesOrders reports whether an order for a model may be given now. A server refuses any
// order while one is carried out.
func (s *server) takesOrders(now time.Time) bool {
	return s.takesAdapters(now) && s.adapterOrders == 0
}

// takesAdapters reports whether an order for an adapter may be given now. Several may be on
// their way at once.
func (s *server) takesAdapters(now time.Time) bool {
	return s.known && !s.leaving && !s.missing && s.order == nil && now.Sub(s.failedAt) >= failurePause
}

// memoryInUse is the accelerator memory that counts as taken.
func (s *server) memoryInUse(limits azurehitch.EngineLimits) azurehitch.ByteSize {
	var sum azurehitch.ByteSize
	for name, r := range s.replicas {
		m := limits.Models[name]
		sum += m.Memory + azurehitch.ByteSize(len(r.adapters))*m.AdapterMemory
	}
	return sum
}

// free is the accelerator memory that a further model may take. Room for the adapters
// that the server may still get is not part of it.
func (s *server) free(limits azurehitch.EngineLimits) azurehitch.ByteSize {
	var reserve azurehitch.ByteSize
	for name, r := range s.replicas {
		size := limits.Models[name].AdapterMemory
		reserve = max(reserve, size*azurehitch.ByteSize(limits.AdapterSlots-len(r.adapters)))
	}
	return limits.Memory - s.memoryInUse(limits) - reserve
}

// adapterCount is the number of adapters that take a place.
func (s *server) adapterCount() int {
	count := 0
	for _, r := range s.replicas {
		count += len(r.adapters)
	}
	return count
}

// replicaNames returns the models on the server in order.
func (s *server) replicaNames() []string { return slices.Sorted(maps.Keys(s.replicas)) }
