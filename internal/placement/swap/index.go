package swap

// index finds servers by model. Each map is rebuilt on the first use after a change.
type index struct {
	// byReplica lists, by model, the servers that have the model in any state. byCheckpoint lists,
	// by model, the servers that have a cached checkpoint of the model and are neither shutting
	// down nor lost. The servers are sorted by ID.
	byReplica    map[string][]*server
	byCheckpoint map[string][]*server
	// replicasStale and checkpointsStale are true if byReplica or byCheckpoint has to be rebuilt
	// before the next use.
	replicasStale    bool
	checkpointsStale bool
}

// invalidate marks both maps as stale. It must be called after each change of the set of servers,
// of a server's replicas or cached checkpoints, or of whether a server is lost or shutting down. An
// order that affects only one of the maps sets the flag of that map instead.
func (x *index) invalidate() { x.replicasStale, x.checkpointsStale = true, true }

// serversWith returns the servers that have a model in any state.
func (p *Plan) serversWith(name string) []*server {
	if p.index.replicasStale {
		p.index.replicasStale = false
		p.index.byReplica = map[string][]*server{}
		for _, s := range p.sortedServers {
			for model := range s.replicas {
				p.index.byReplica[model] = append(p.index.byReplica[model], s)
			}
		}
	}
	return p.index.byReplica[name]
}

// cachedServers returns the servers with a cached checkpoint of a model, except those that are
// shutting down or lost.
func (p *Plan) cachedServers(name string) []*server {
	if p.index.checkpointsStale {
		p.index.checkpointsStale = false
		p.index.byCheckpoint = map[string][]*server{}
		for _, s := range p.sortedServers {
			if s.shuttingDown || s.lost {
				continue
			}
			for model := range s.tiers {
				p.index.byCheckpoint[model] = append(p.index.byCheckpoint[model], s)
			}
		}
	}
	return p.index.byCheckpoint[name]
}
