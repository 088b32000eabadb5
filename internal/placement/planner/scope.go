package planner

import (
	"azurehitch"
	"azurehitch/internal/configuration/tables"
)

// Scope is the part of the tables that a plan decides on.
type Scope struct {
	Pool tables.Pool
	// Retired holds the servers that are no longer in the table and may still hold artifacts.
	Retired []tables.BackendServer
	// HeldByOtherPool names the servers that another pool has not released yet.
	HeldByOtherPool map[string]bool
}

// SetScope applies a new version of the tables. The artifacts on retired servers are unloaded. Their
// bookings count towards the limits until a later scope no longer lists the server.
func (p *Plan) SetScope(scope Scope) {
	p.pool = scope.Pool
	p.memories = scope.Pool.ArtifactMemory()
	p.maxReplicas = map[string]int{}
	for _, model := range scope.Pool.Models {
		p.maxReplicas[model.Name] = model.MaxReplicas
	}
	inScope := map[string]bool{}
	for _, s := range scope.Pool.BackendServers {
		inScope[s.Name] = true
		p.setServer(s, false)
	}
	for _, s := range scope.Retired {
		if !inScope[s.Name] {
			inScope[s.Name] = true
			p.setServer(s, true)
		}
	}
	for name, s := range p.servers {
		s.heldByOtherPool = scope.HeldByOtherPool[name]
		if !inScope[name] {
			delete(p.servers, name)
			delete(p.emptiedTriedAt, name)
		}
	}
	p.serverNames = sortedKeys(p.servers)
}

// memory returns the memory of an artifact by itself, and false if the pool doesn't have it.
func (p *Plan) memory(artifact azurehitch.Artifact) (azurehitch.ByteSize, bool) {
	memory, known := p.memories[artifact]
	return memory, known
}

func (p *Plan) setServer(s tables.BackendServer, retired bool) {
	existing, ok := p.servers[s.Name]
	if !ok {
		existing = newServer(s)
		p.servers[s.Name] = existing
	}
	existing.BackendServer = s
	existing.retired = retired
}
