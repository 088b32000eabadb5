package swap

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Kept is a replica of a busy model, which daemons use without asking.
type Kept struct {
	Replica
	// Requests is the number of requests at its server from all daemons.
	Requests int
}

// Kept returns the kept replicas as of the last decision.
func (p *Plan) Kept() []Kept { return p.kept }

// isKept reports whether a replica is not to be unloaded.
func (p *Plan) isKept(server, name string) bool {
	return p.keptSet[Replica{Server: server, Model: name}]
}

// keep chooses the replicas of busy models that stay.
func (p *Plan) keep(now time.Time) {
	var kept []Kept
	for _, name := range slices.Sorted(maps.Keys(p.models)) {
		if !p.isBusy(name, now) {
			continue
		}
		for _, s := range p.keepOf(name, now) {
			kept = append(kept, Kept{Replica: Replica{Server: s.ID, Model: name}, Requests: p.progress.servers[s.ID]})
		}
	}
	p.kept = kept
	p.keptSet = map[Replica]bool{}
	for _, k := range kept {
		p.keptSet[k.Replica] = true
	}
}

// keepOf returns the replicas of a busy model that stay: one in each failure domain, and as
// many as the demand fills. Those that are in use or were kept before come first.
func (p *Plan) keepOf(name string, now time.Time) []*server {
	replicas := slices.DeleteFunc(p.replicas(name), func(s *server) bool { return p.isReleased(s.ID, name) })
	slices.SortStableFunc(replicas, func(a, b *server) int {
		return cmp.Or(
			-compareBool(p.isKept(a.ID, name), p.isKept(b.ID, name)),
			cmp.Compare(p.progress.replicas[Replica{Server: b.ID, Model: name}], p.progress.replicas[Replica{Server: a.ID, Model: name}]),
		)
	})
	needed := p.replicasNeeded(name, now)
	var stay, rest []*server
	domains := map[string]bool{}
	for _, s := range replicas {
		if domains[s.domain] {
			rest = append(rest, s)
			continue
		}
		domains[s.domain] = true
		stay = append(stay, s)
	}
	missing := min(max(needed-len(stay), 0), len(rest))
	return append(stay, rest[:missing]...)
}
