package planner

import "azurehitch"

// LoadsAhead describes the loads that must finish before an artifact can be ready. It is the input
// of an estimate of the wait.
type LoadsAhead struct {
	// BaseReady is true if the base model of an adapter is loaded.
	BaseReady bool
	// Remote is true if the checkpoint is cached on no server and must come from the weight store.
	Remote bool
	// RemoteLoads is the number of other requested models that are not ready and must be loaded
	// from the weight store.
	RemoteLoads int
}

// LoadsAhead returns the loads that must finish before an artifact can be ready.
func (p *Plan) LoadsAhead(artifact azurehitch.Artifact) LoadsAhead {
	base := artifact.WithoutAdapter()
	ahead := LoadsAhead{BaseReady: len(p.ReadyServers(base)) > 0, Remote: p.isOnlyInWeightStore(base)}
	for other := range p.demands {
		if other = other.WithoutAdapter(); other != base && p.isOnlyInWeightStore(other) && len(p.ReadyServers(other)) == 0 {
			ahead.RemoteLoads++
		}
	}
	return ahead
}

// isOnlyInWeightStore reports whether no server that accepts work has the checkpoint of an artifact cached.
func (p *Plan) isOnlyInWeightStore(artifact azurehitch.Artifact) bool {
	for _, s := range p.servers {
		if s.acceptsWork() && s.cacheRank(artifact) != cacheRankRemote {
			return false
		}
	}
	return true
}
