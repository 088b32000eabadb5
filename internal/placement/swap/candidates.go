package swap

import (
	"cmp"
	"slices"
	"time"

	"azurehitch"
	"azurehitch/internal/forward/priority"
)

// hasCachedServer reports whether cachedServers returns any server for a model.
func (p *Plan) hasCachedServer(name string) bool { return len(p.cachedServers(name)) > 0 }

// loadingServers returns the servers that are loading a model.
func (p *Plan) loadingServers(name string) []*server {
	var loading []*server
	for _, s := range p.serversWith(name) {
		if s.replicas[name].state == stateLoading && !s.shuttingDown {
			loading = append(loading, s)
		}
	}
	return loading
}

func (p *Plan) isLoading(name string) bool { return len(p.loadingServers(name)) > 0 }

// bestCachedServer returns the server of the right software version that can load a model from its
// cached checkpoint soonest, or nil if no cached server accepts orders and can free enough memory. For a
// busy model, servers with a rate limit are chosen last, and faster servers before the others.
func (p *Plan) bestCachedServer(name string, version azurehitch.VersionBound, now time.Time) *server {
	limits := p.limits.Models[name]
	isBusy := p.isBusy(name, now)
	isUnfit := func(s *server) bool { return isBusy && s.hasRateLimit() }
	var best *server
	var bestLoadTime time.Duration
	for _, s := range p.cachedServers(name) {
		_, loaded := s.replicas[name]
		if loaded || !version.Allows(s.softwareVersion) || !s.acceptsModelOrders(now) || p.isDraining(s.ID, name) {
			continue
		}
		loadTime := limits.LoadTime(s.tier(name)) + p.rateLimitWait(s, now)
		if s.freeMemory(p.limits) < limits.Memory {
			if p.victim(s, limits.Memory) == "" {
				continue
			}
			loadTime += p.settings.SwapOverhead
		}
		if best == nil || cmp.Or(
			priority.CompareBool(isUnfit(s), isUnfit(best)), p.compareForBusy(isBusy, s, best, now), cmp.Compare(loadTime, bestLoadTime),
		) < 0 {
			best, bestLoadTime = s, loadTime
		}
	}
	return best
}

// bestRemoteTarget returns the server of the right software version for a load from the weight store, or
// nil if no server can free enough memory. For a busy model, it first prefers servers without a rate limit, then faster
// ones. Then it prefers servers with enough free memory, then those with the fewest cached checkpoints, because the load
// blocks quick swaps on its server, then the server whose last load from the weight store was ordered
// longest ago.
func (p *Plan) bestRemoteTarget(name string, version azurehitch.VersionBound, now time.Time) *server {
	memory := p.limits.Models[name].Memory
	isBusy := p.isBusy(name, now)
	var candidates []*server
	for _, s := range p.sortedServers {
		if _, loaded := s.replicas[name]; loaded || !version.Allows(s.softwareVersion) || !s.acceptsModelOrders(now) {
			continue
		}
		if s.freeMemory(p.limits) >= memory || p.victim(s, memory) != "" {
			candidates = append(candidates, s)
		}
	}
	if len(candidates) == 0 {
		return nil
	}
	return slices.MinFunc(candidates, func(a, b *server) int {
		return cmp.Or(
			priority.CompareBool(isBusy && a.hasRateLimit(), isBusy && b.hasRateLimit()),
			p.compareForBusy(isBusy, a, b, now),
			priority.CompareBool(a.freeMemory(p.limits) < memory, b.freeMemory(p.limits) < memory),
			cmp.Compare(len(a.tiers), len(b.tiers)),
			a.lastRemoteLoad.Compare(b.lastRemoteLoad),
		)
	})
}

// compareForBusy orders faster servers first for a busy model, which has requests all the time. A rare model
// goes where it is loaded soonest.
func (p *Plan) compareForBusy(isBusy bool, a, b *server, now time.Time) int {
	if !isBusy {
		return 0
	}
	return p.compareSpeed(a, b, now)
}

// uncachedModels returns the models without a cached checkpoint, most requested first.
func (p *Plan) uncachedModels() []string {
	var names []string
	for name := range p.limits.Models {
		if !p.hasCachedServer(name) && !p.isLoading(name) {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(p.model(b).requests, p.model(a).requests), cmp.Compare(a, b))
	})
	return names
}
