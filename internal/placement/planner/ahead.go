package planner

import "azurehitch"

// LoadsAhead is what an estimate of a wait needs.
type LoadsAhead struct {
	// BaseReady tells that the model under an adapter is loaded.
	BaseReady bool
	// Remote tells that the checkpoint lies only in the weight store.
	Remote bool
	// Remotes is the number of wanted models that come from the weight store and
	// are not ready, this one not counted.
	Remotes int
}

// LoadsAhead returns what stands before the load of an artifact.
func (p *Plan) LoadsAhead(artifact azurehitch.Artifact) LoadsAhead {
	base := artifact.WithoutAdapter()
	ahead := LoadsAhead{BaseReady: len(p.Ready(base)) > 0, Remote: p.isRemote(base)}
	for other := range p.wants {
		if other = other.WithoutAdapter(); other != base && p.isRemote(other) && len(p.Ready(other)) == 0 {
			ahead.Remotes++
		}
	}
	return ahead
}

func (p *Plan) isRemote(artifact azurehitch.Artifact) bool {
	for _, s := range p.servers {
		if s.accepts() && s.distance(artifact) != distanceRemote {
			return false
		}
	}
	return true
}
