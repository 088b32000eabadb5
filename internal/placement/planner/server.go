package planner

import (
	"time"

	"azurehitch"
	"azurehitch/internal/configuration/tables"
	"azurehitch/internal/proof/sabotage"
)

// booking is an artifact on a server as the holder counts it.
type booking struct {
	azurehitch.Placement
	// draining is true from the decision to unload it: it gets no new work, and no
	// adapter is loaded on it.
	draining bool
	// preempt is true when requests of trials on it are cancelled.
	preempt bool
	// ordered is true while an own order is under way.
	ordered bool
	// uncertain is true when an order to this incarnation may still arrive. The
	// artifact then counts until the engine starts anew.
	uncertain      bool
	uncertainSince time.Time
	incarnation    string
	// intents are the offsets of open intents, of former holders and of this one.
	// While one is open, a successor counts its order as one that may arrive, so
	// the artifact must not be unloaded.
	intents []int64
	// repeated is true when this holder ordered the load of an adopted intent
	// itself, so that seeing it loaded does not show that the first order arrived.
	repeated  bool
	changedAt time.Time
	lastUsed  time.Time
}

type server struct {
	tables.BackendServer
	reached     bool
	incarnation string
	// retired means that the table no longer names the server. It is drained.
	retired bool
	// foreign means that another pool has not yet given the server up. It gets no
	// loads.
	foreign bool
	// unlisted means that the platform's list doesn't show the server.
	unlisted bool
	// listedLeaving and saysLeaving are the two signals that the server leaves.
	listedLeaving bool
	saysLeaving   bool
	// failedAt is when an order last failed.
	failedAt time.Time
	bookings map[azurehitch.Artifact]*booking
	cached   map[azurehitch.Artifact]azurehitch.CacheTier
}

func newServer(s tables.BackendServer) *server {
	return &server{
		BackendServer: s,
		bookings:      map[azurehitch.Artifact]*booking{},
		cached:        map[azurehitch.Artifact]azurehitch.CacheTier{},
	}
}

// Servers returns the servers with their addresses that the plan counts.
func (p *Plan) Servers() []tables.BackendServer {
	var servers []tables.BackendServer
	for _, name := range p.names {
		servers = append(servers, p.servers[name].BackendServer)
	}
	return servers
}

// SetHosts tells which servers the platform's list shows, and which of them leave.
// With nil, the list was not read yet, and no server counts as gone.
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

// Ready returns the servers on which an artifact is ready for new requests.
func (p *Plan) Ready(artifact azurehitch.Artifact) []tables.BackendServer {
	var ready []tables.BackendServer
	for _, name := range p.names {
		s := p.servers[name]
		if s.accepts() && s.isReady(artifact) && s.isReady(artifact.WithoutAdapter()) {
			ready = append(ready, s.BackendServer)
		}
	}
	return ready
}

// accepts reports whether new work may go to the server.
func (s *server) accepts() bool { return s.reached && !s.isLeaving() && !s.unlisted && !s.retired }

func (s *server) isLeaving() bool {
	return (s.listedLeaving || s.saysLeaving) && !sabotage.Active(sabotage.IgnoreLeaving)
}

// isGone reports whether the server is gone: the list doesn't show it, and it
// doesn't answer.
func (s *server) isGone() bool { return s.unlisted && !s.reached }

func (s *server) isReady(artifact azurehitch.Artifact) bool {
	b, ok := s.bookings[artifact]
	return ok && b.State == azurehitch.PlacementReady && !b.draining
}

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

func (s *server) free() azurehitch.ByteSize { return s.AcceleratorMemory - s.memoryInUse() }

// Usage is what a plan counts, for operators and for checks.
type Usage struct {
	Server  string
	Reached bool
	Leaving bool
	// Retired means that the table no longer names the server.
	Retired     bool
	Memory      azurehitch.ByteSize
	MemoryInUse azurehitch.ByteSize
	Placements  []azurehitch.Placement
}

// Usage returns what the plan counts on each server.
func (p *Plan) Usage() []Usage {
	var usage []Usage
	for _, name := range p.names {
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
