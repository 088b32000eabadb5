package swap

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"azurehitch/internal/forward/priority"
)

// PinnedReplica is a pinned replica: daemons send requests for its busy model to it without asking
// the holder.
type PinnedReplica struct {
	Replica
	// Requests is the number of requests in progress at the server, from all daemons.
	Requests int
	// Slowness is as in ServerLoad.
	Slowness float64
}

// PinnedReplicas returns the replicas pinned by the last call of Decide, sorted by model.
func (p *Plan) PinnedReplicas() []PinnedReplica { return p.pinned }

// isPinned reports whether a replica is pinned and must not be unloaded.
func (p *Plan) isPinned(server, name string) bool {
	return p.pinnedSet[Replica{Server: server, Model: name}]
}

// pinReplicas chooses the pinned replicas of busy models.
func (p *Plan) pinReplicas(now time.Time) {
	var pinned []PinnedReplica
	for _, name := range slices.Sorted(maps.Keys(p.models)) {
		if !p.isBusy(name, now) {
			continue
		}
		for _, s := range p.serversToPin(name, now) {
			pinned = append(pinned, PinnedReplica{Replica: Replica{Server: s.ID, Model: name}, Requests: p.inProgress.servers[s.ID], Slowness: p.speeds.Slowness(s.ID, now)})
		}
	}
	p.pinned = pinned
	p.pinnedSet = map[Replica]bool{}
	for _, pin := range pinned {
		p.pinnedSet[pin.Replica] = true
	}
}

// serversToPin returns the servers on which a busy model is pinned: one in each failure domain, and
// as many as the demand requires. Requests for a server with a rate limit have to be counted by the
// holder, so nothing is pinned there. Servers where it was pinned before come first, then faster ones, then those
// with the most requests for it.
func (p *Plan) serversToPin(name string, now time.Time) []*server {
	ready := slices.DeleteFunc(p.readyServers(name), func(s *server) bool {
		return p.isDraining(s.ID, name) || s.hasRateLimit()
	})
	slices.SortStableFunc(ready, func(a, b *server) int {
		return cmp.Or(
			-priority.CompareBool(p.isPinned(a.ID, name), p.isPinned(b.ID, name)),
			p.compareSpeed(a, b, now),
			cmp.Compare(p.inProgress.replicas[Replica{Server: b.ID, Model: name}], p.inProgress.replicas[Replica{Server: a.ID, Model: name}]),
		)
	})
	needed := p.replicasNeeded(name, now)
	var pinned, others []*server
	domains := map[string]bool{}
	for _, s := range ready {
		if domains[s.domain] {
			others = append(others, s)
			continue
		}
		domains[s.domain] = true
		pinned = append(pinned, s)
	}
	extra := min(max(needed-len(pinned), 0), len(others))
	return append(pinned, others[:extra]...)
}
