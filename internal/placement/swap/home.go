package swap

import (
	"cmp"
	"slices"
	"time"
)

// hasHome reports whether a server that takes orders has a copy of a model.
func (p *Plan) hasHome(name string) bool { return len(p.homesOf(name)) > 0 }

// loaders returns the servers that load a model.
func (p *Plan) loaders(name string) []*server {
	var loaders []*server
	for _, s := range p.holdersOf(name) {
		if s.replicas[name].state == stateLoading && !s.leaving {
			loaders = append(loaders, s)
		}
	}
	return loaders
}

func (p *Plan) isLoading(name string) bool { return len(p.loaders(name)) > 0 }

// bestHome returns the server with a copy from which the model is ready soonest.
func (p *Plan) bestHome(name string, now time.Time) *server {
	limits := p.limits.Models[name]
	var best *server
	var bestTime time.Duration
	for _, s := range p.homesOf(name) {
		if _, loaded := s.replicas[name]; loaded || !s.takesOrders(now) || p.isReleased(s.ID, name) {
			continue
		}
		took := limits.LoadTime(s.tier(name))
		if s.free(p.limits) < limits.Memory {
			if p.victim(s, limits.Memory) == "" {
				continue
			}
			took += p.settings.SwapTime
		}
		if best == nil || took < bestTime {
			best, bestTime = s, took
		}
	}
	return best
}

// bestForRemote returns the server for a load from the weight store: with room, with few
// copies that the load would hold up, and longest without such a load.
func (p *Plan) bestForRemote(name string, now time.Time) *server {
	memory := p.limits.Models[name].Memory
	var candidates []*server
	for _, s := range p.list {
		if _, loaded := s.replicas[name]; loaded || !s.takesOrders(now) {
			continue
		}
		if s.free(p.limits) >= memory || p.victim(s, memory) != "" {
			candidates = append(candidates, s)
		}
	}
	if len(candidates) == 0 {
		return nil
	}
	return slices.MinFunc(candidates, func(a, b *server) int {
		return cmp.Or(
			compareBool(a.free(p.limits) < memory, b.free(p.limits) < memory),
			cmp.Compare(len(a.tiers), len(b.tiers)),
			a.remoteAt.Compare(b.remoteAt),
		)
	})
}

// uncopied returns the models without a copy, the most asked for first.
func (p *Plan) uncopied() []string {
	var names []string
	for name := range p.limits.Models {
		if !p.hasHome(name) && !p.isLoading(name) {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(p.model(b).asks, p.model(a).asks), cmp.Compare(a, b))
	})
	return names
}
