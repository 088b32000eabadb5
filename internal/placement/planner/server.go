package planner

import (
	"time"

	"azurehitch"
	"azurehitch/internal/configuration/tables"
	"azurehitch/internal/proof/sabotage"
)

// booking is the memory that the plan reserves on a server for an artifact, together with what the
// plan knows about the artifact there.
type booking struct {
	azurehitch.Placement
	// draining is true from the decision to unload the artifact. It then gets no new requests, and
	// no adapters are loaded on it.
	draining bool
	// preempt is true if the unload cancels the requests of trials in progress.
	preempt bool
	// orderInFlight is true from when Decide returns an order until Finish gets its result.
	orderInFlight bool
	// uncertain is true if a load order sent to the engine had no clear result and may still
	// arrive. The booking then stays until the engine restarts.
	uncertain      bool
	uncertainSince time.Time
	// incarnation is the engine incarnation that the uncertain order was sent to.
	incarnation string
	// openIntents holds the log offsets of the open intents for this artifact on this server,
	// recorded by this holder or former ones. While an intent is open, a later holder assumes that
	// the load order may still arrive, so the artifact must not be unloaded.
	openIntents []int64
	// loadRepeated is true if this holder has repeated a load that it or a former holder had
	// ordered. If the engine then reports the artifact, either order may have loaded it, so the
	// report doesn't prove that the earlier order has arrived.
	loadRepeated bool
	// changedAt is when the booking was made or its last order ended. Reports that were read
	// before don't change its state. It is zero if the next report counts whenever it was read.
	changedAt time.Time
	lastUsed  time.Time
}

// server is what the plan knows about a backend server and its engine.
type server struct {
	tables.BackendServer
	// reached is true if the last read of the engine's state succeeded.
	reached bool
	// incarnation is the engine incarnation in the last state read; empty if this holder has not
	// read any.
	incarnation string
	// retired is true if the server is no longer in the table of the pool. Its artifacts are
	// unloaded.
	retired bool
	// heldByOtherPool is true if the server belonged to another pool before, and may still hold
	// artifacts of that pool. It gets no loads.
	heldByOtherPool bool
	// unlisted is true if the server is not in the platform's list of hosts, once it has been read.
	unlisted bool
	// listedLeaving and engineLeaving are true if the platform's list of hosts, or the engine
	// itself, reports the server as leaving.
	listedLeaving bool
	engineLeaving bool
	// failedAt is when an order last failed. The server gets no orders within orderBackoff of it.
	failedAt time.Time
	bookings map[azurehitch.Artifact]*booking
	// cached is where the server has checkpoints of artifacts, as the engine reports it.
	cached map[azurehitch.Artifact]azurehitch.CacheTier
}

func newServer(s tables.BackendServer) *server {
	return &server{
		BackendServer: s,
		bookings:      map[azurehitch.Artifact]*booking{},
		cached:        map[azurehitch.Artifact]azurehitch.CacheTier{},
	}
}

// Servers returns the servers in the scope, including retired ones.
func (p *Plan) Servers() []tables.BackendServer {
	var servers []tables.BackendServer
	for _, name := range p.serverNames {
		servers = append(servers, p.servers[name].BackendServer)
	}
	return servers
}

// SetHosts sets the states of the servers in the platform's list of hosts. A nil map means that
// the list has not been read yet; then no server counts as removed.
func (p *Plan) SetHosts(states map[string]azurehitch.HostState) {
	if states == nil {
		return
	}
	for name, s := range p.servers {
		state, listed := states[name]
		s.unlisted = !listed
		s.listedLeaving = state == azurehitch.HostStateLeaving
	}
}

// ReadyServers returns the servers on which an artifact is ready for new requests, sorted by name. An
// adapter is ready only if its base model is ready on the same server.
func (p *Plan) ReadyServers(artifact azurehitch.Artifact) []tables.BackendServer {
	var ready []tables.BackendServer
	for _, name := range p.serverNames {
		s := p.servers[name]
		if s.acceptsWork() && s.isReady(artifact) && s.isReady(artifact.WithoutAdapter()) {
			ready = append(ready, s.BackendServer)
		}
	}
	return ready
}

// acceptsWork reports whether new requests and loads may go to the server.
func (s *server) acceptsWork() bool { return s.reached && !s.isLeaving() && !s.unlisted && !s.retired }

func (s *server) isLeaving() bool {
	return (s.listedLeaving || s.engineLeaving) && !sabotage.Active(sabotage.IgnoreLeaving)
}

// isRemoved reports whether the server is neither in the platform's list of hosts nor reachable. Its
// bookings then no longer count towards replica limits.
func (s *server) isRemoved() bool { return s.unlisted && !s.reached }

func (s *server) isReady(artifact azurehitch.Artifact) bool {
	b, ok := s.bookings[artifact]
	return ok && b.State == azurehitch.PlacementReady && !b.draining
}

// memoryInUse returns the memory of all bookings on the server.
func (s *server) memoryInUse() azurehitch.ByteSize {
	var sum azurehitch.ByteSize
	for _, b := range s.bookings {
		if b.State == azurehitch.PlacementIntended && sabotage.Active(sabotage.SkipMemoryBooking) {
			continue
		}
		sum += b.Memory
	}
	return sum
}

func (s *server) freeMemory() azurehitch.ByteSize { return s.AcceleratorMemory - s.memoryInUse() }

// Usage is the state of one server in the plan, for operators and checks. MemoryInUse includes the
// memory of loads that are planned or in progress.
type Usage struct {
	Server  string
	Reached bool
	Leaving bool
	// Retired means that the server is no longer in the table.
	Retired     bool
	Memory      azurehitch.ByteSize
	MemoryInUse azurehitch.ByteSize
	Placements  []azurehitch.Placement
}

// Usage returns the state of each server, sorted by name.
func (p *Plan) Usage() []Usage {
	var usage []Usage
	for _, name := range p.serverNames {
		s := p.servers[name]
		u := Usage{
			Server: name, Reached: s.reached, Leaving: s.isLeaving(), Retired: s.retired,
			Memory: s.AcceleratorMemory, MemoryInUse: s.memoryInUse(),
		}
		for _, artifact := range sortedArtifacts(s.bookings) {
			u.Placements = append(u.Placements, s.bookings[artifact].Placement)
		}
		usage = append(usage, u)
	}
	return usage
}
