package swap

import (
	"cmp"
	"slices"
	"time"

	"azurehitch/internal/placement/speed"
)

// crossDomainPenalty is added to the cost of servers outside the failure domain of the calling
// daemon: a local server is preferred unless its load is higher by this share of its slots.
const crossDomainPenalty = 0.1

// ServerLoad is what the cost of a further request at a server depends on.
type ServerLoad struct {
	Requests, Slots int
	// Slowness is the time that the server takes for a step, as a multiple of that of the median server; 0
	// means unknown, which counts as 1.
	Slowness      float64
	IsCrossDomain bool
}

// Cost is the load of a server as a share of its slots, plus a penalty if the server is in another
// failure domain. The server with the lowest cost takes the next request. With a slowness, the cost is
// proportional to the expected time of the next request: what the server has to do for it and for those in
// progress, at its speed.
func Cost(load ServerLoad) float64 {
	cost := float64(load.Requests) / float64(max(load.Slots, 1))
	if load.Slowness > 0 && load.Slowness != 1 {
		next := 1 / float64(max(load.Slots, 1))
		cost = (cost+next)*load.Slowness - next
	}
	if load.IsCrossDomain {
		cost += crossDomainPenalty
	}
	return cost
}

func (p *Plan) cost(s *server, domain string, now time.Time) float64 {
	load := ServerLoad{
		Requests: p.inProgress.servers[s.ID], Slots: s.slots, Slowness: p.speeds.Slowness(s.ID, now), IsCrossDomain: s.domain != domain,
	}
	return Cost(load) + prefillSlotShare*float64(s.activePrefills(now))
}

// addPauses adds the pauses that a daemon observed at known servers.
func (p *Plan) addPauses(pauses []speed.Observation, now time.Time) {
	p.speeds.Add(slices.DeleteFunc(slices.Clone(pauses), func(o speed.Observation) bool {
		_, isConfigured := p.limits.Models[o.Model]
		return p.servers[o.Server] == nil || !isConfigured
	}), now)
}

// compareSpeed orders faster servers first. Servers that differ little are equal.
func (p *Plan) compareSpeed(a, b *server, now time.Time) int {
	return cmp.Compare(p.speeds.Slowness(a.ID, now), p.speeds.Slowness(b.ID, now))
}
