package swap

import (
	"maps"
	"slices"
	"time"
)

// AwaitedServers returns the IDs of the servers for whose slots requests waited at the last call of
// EvaluateWaiting, sorted. A daemon whose request ends at one of them should report that soon: until then the
// slot counts as taken.
func (p *Plan) AwaitedServers() []string { return p.awaited }

// updateAwaited determines the servers for whose slots requests wait: those with a ready replica of a model
// that has requests waiting and no free slot.
func (p *Plan) updateAwaited(now time.Time) {
	awaited := map[string]bool{}
	for name := range p.waiters.byModel {
		ready := p.readyServers(name)
		if p.freeSlots(ready, now) > 0 {
			continue
		}
		for _, s := range ready {
			awaited[s.ID] = true
		}
	}
	p.awaited = slices.Sorted(maps.Keys(awaited))
}
