package planner

import (
	"azurehitch"
	"azurehitch/internal/configuration/tables"
)

// Scope is what a plan decides on.
type Scope struct {
	Pool tables.Pool
	// Retired are the servers that the table no longer names and that may still
	// hold what was loaded there.
	Retired []tables.BackendServer
	// Foreign names the servers that another pool has not yet given up.
	Foreign map[string]bool
}

// SetScope applies a new version of the table. Retired servers are drained, and
// count until the scope no longer has them.
func (p *Plan) SetScope(scope Scope) {
	p.pool = scope.Pool
	p.memories = scope.Pool.Memories()
	p.maxReplicas = map[string]int{}
	for _, model := range scope.Pool.Models {
		p.maxReplicas[model.Name] = model.MaxReplicas
	}
	kept := map[string]bool{}
	for _, s := range scope.Pool.BackendServers {
		kept[s.Name] = true
		p.keep(s, false)
	}
	for _, s := range scope.Retired {
		if !kept[s.Name] {
			kept[s.Name] = true
			p.keep(s, true)
		}
	}
	for name, s := range p.servers {
		s.foreign = scope.Foreign[name]
		if !kept[name] {
			delete(p.servers, name)
			delete(p.emptied, name)
		}
	}
	p.names = sortedKeys(p.servers)
}

// memory returns the memory that an artifact needs by itself, and false if the pool
// doesn't have it.
func (p *Plan) memory(artifact azurehitch.Artifact) (azurehitch.ByteSize, bool) {
	memory, known := p.memories[artifact]
	return memory, known
}

func (p *Plan) keep(s tables.BackendServer, retired bool) {
	existing, ok := p.servers[s.Name]
	if !ok {
		existing = newServer(s)
		p.servers[s.Name] = existing
	}
	existing.BackendServer = s
	existing.retired = retired
}
