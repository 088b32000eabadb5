package swap

import (
	"maps"
	"slices"
	"time"

	"azurehitch"
	"azurehitch/internal/membership/serverlimit"
)

// replicaState is the lifecycle state of a model or an adapter on a server.
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
	// adapters are the adapters that occupy a slot, in any state, by name.
	adapters map[string]*adapter
}

// adapter is an adapter of a replica.
type adapter struct {
	state    replicaState
	lastUsed time.Time
}

// server is the holder's view of a backend server.
type server struct {
	azurehitch.ServerIdentity
	// listingID identifies the entry in the server list. A server that is removed and listed again
	// gets a new listingID.
	listingID       int64
	domain          string
	slots           int
	softwareVersion string
	shuttingDown    bool
	// missing is true while the server has no entry in the list and may have been removed.
	missing bool
	// shutdownReported is set once a daemon reports that the server is shutting down.
	shutdownReported bool
	// known is true if the server has reported and carries out no order unknown to this holder.
	known bool
	// unknownSince is the time of the first decision at which the server was unknown; zero while it
	// is known.
	unknownSince time.Time
	// lost is true if the server has been unknown for longer than lostAfter, so that its cached
	// checkpoints no longer count.
	lost bool
	// acceptedOrders is the number of orders that the server has accepted.
	acceptedOrders int64
	// modelOrder is the model load or unload in progress, if any, and freeAt the time at which it
	// is expected to end.
	modelOrder *Order
	freeAt     time.Time
	// adapterOrders is the number of adapter loads and unloads in progress.
	adapterOrders int
	// replicas are the models on the server, and tiers the cache tiers of its cached checkpoints,
	// both by model.
	replicas map[string]*replica
	tiers    map[string]azurehitch.CacheTier
	// cacheUsedAt is when each cached checkpoint was last loaded, by model.
	cacheUsedAt map[string]time.Time
	// prefillEnds are the expected end times of the long prompts in prefill.
	prefillEnds []time.Time
	// lastRemoteLoad is when the last load from the weight store was ordered.
	lastRemoteLoad time.Time
	// rateLimit counts the grants at a server that names a rate limit; nil if it names none.
	rateLimit *serverlimit.Bucket
	// lastFailure is when an order to the server or a read of its report last failed. The server
	// gets no orders for failureBackoff after that.
	lastFailure time.Time
}

func newServer(listingID int64) *server {
	return &server{listingID: listingID, replicas: map[string]*replica{}, tiers: map[string]azurehitch.CacheTier{}, cacheUsedAt: map[string]time.Time{}}
}

// applyListing applies an entry of the platform's server list.
func (s *server) applyListing(l azurehitch.FleetServer) {
	s.ServerIdentity = l.ServerIdentity
	s.domain = l.FailureDomain
	s.slots = l.Slots
	s.softwareVersion = l.SoftwareVersion
	s.shuttingDown = l.ShuttingDown || s.shutdownReported
	s.missing = l.Missing
	if !s.known && s.modelOrder == nil {
		s.setLoaded(l.Loaded)
	}
	s.setCached(l.Cached)
}

// applyReport applies a report. While an order that this holder did not give is in progress, the
// report does not show what is being loaded, so the server stays unknown.
func (s *server) applyReport(report azurehitch.ServerReport) {
	s.known = !report.Busy
	s.acceptedOrders = report.Orders
	s.setLoaded(report.Loaded)
	s.setCached(report.Cached)
}

// setLoaded replaces the set of loaded models.
func (s *server) setLoaded(loaded []azurehitch.LoadedModel) {
	replicas := map[string]*replica{}
	for _, l := range loaded {
		r := &replica{state: stateReady, adapters: map[string]*adapter{}}
		if previous, ok := s.replicas[l.Name]; ok {
			r.lastUsed = previous.lastUsed
		}
		for _, name := range l.Adapters {
			r.adapters[name] = &adapter{state: stateReady}
		}
		replicas[l.Name] = r
	}
	s.replicas = replicas
}

// setCached replaces the set of cached checkpoints. A loaded model counts as cached on disk even if
// it is not listed. Empty lists change nothing.
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

// tier returns the cache tier from which the server would load a model.
func (s *server) tier(name string) azurehitch.CacheTier {
	if tier, ok := s.tiers[name]; ok {
		return tier
	}
	return azurehitch.CacheTierRemote
}

// trackUnknown sets unknownSince at the first decision at which the server is unknown, and resets
// it once the server is known.
func (s *server) trackUnknown(now time.Time) {
	switch {
	case s.known:
		s.unknownSince = time.Time{}
	case s.unknownSince.IsZero():
		s.unknownSince = now
	}
}

// unknownFor returns how long the server has been unknown.
func (s *server) unknownFor(now time.Time) time.Duration {
	if s.known || s.unknownSince.IsZero() {
		return 0
	}
	return now.Sub(s.unknownSince)
}

// remainingLoadTime estimates the remaining time of the load in progress. A load that is late by
// some time is assumed to need the same time again.
func (s *server) remainingLoadTime(now time.Time) time.Duration { return s.freeAt.Sub(now).Abs() }

// acceptsRequests reports whether new requests may be sent to the server.
func (s *server) acceptsRequests() bool { return !s.shuttingDown && !s.missing }

// acceptsModelOrders reports whether a model order may be given now. A server refuses all orders
// while one is in progress.
func (s *server) acceptsModelOrders(now time.Time) bool {
	return s.acceptsAdapterOrders(now) && s.adapterOrders == 0
}

// acceptsAdapterOrders reports whether an adapter order may be given now. Several may be in
// progress at once.
func (s *server) acceptsAdapterOrders(now time.Time) bool {
	return s.known && !s.shuttingDown && !s.missing && s.modelOrder == nil && now.Sub(s.lastFailure) >= failureBackoff
}

// memoryInUse returns the accelerator memory booked for models and adapters.
func (s *server) memoryInUse(limits azurehitch.EngineLimits) azurehitch.ByteSize {
	var sum azurehitch.ByteSize
	for name, r := range s.replicas {
		m := limits.Models[name]
		sum += m.Memory + azurehitch.ByteSize(len(r.adapters))*m.AdapterMemory
	}
	return sum
}

// freeMemory returns the accelerator memory available to a further model. Memory reserved for
// adapters that the loaded models may still get is not available.
func (s *server) freeMemory(limits azurehitch.EngineLimits) azurehitch.ByteSize {
	var reserve azurehitch.ByteSize
	for name, r := range s.replicas {
		size := limits.Models[name].AdapterMemory
		reserve = max(reserve, size*azurehitch.ByteSize(limits.AdapterSlots-len(r.adapters)))
	}
	return limits.Memory - s.memoryInUse(limits) - reserve
}

// adapterCount returns the number of occupied adapter slots.
func (s *server) adapterCount() int {
	count := 0
	for _, r := range s.replicas {
		count += len(r.adapters)
	}
	return count
}

// modelNames returns the names of the models on the server, in any state, sorted.
func (s *server) modelNames() []string { return slices.Sorted(maps.Keys(s.replicas)) }
