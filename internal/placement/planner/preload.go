package planner

import (
	"slices"
	"time"

	"azurehitch"
	"azurehitch/internal/placement/loadslots"
)

const (
	// preloadInterval is how often the profiles are checked for models to preload.
	preloadInterval = 30 * time.Second
	// minStartPause is the pause after which a use counts as the start of a period of use.
	minStartPause = 30 * time.Minute
)

// recordStart adds a use to the profile of times of day of a model, if it follows a pause longer than
// minStartPause or is the first. Adapters have no profile.
func (p *Plan) recordStart(artifact azurehitch.Artifact, now time.Time) {
	if last, used := p.lastPaidUse[artifact]; artifact.Adapter == "" && (!used || now.Sub(last) > minStartPause) {
		p.profiles[artifact] = p.profiles[artifact].WithStart(now)
	}
}

// preloadRequests returns loads of models for which no request waits but a use is expected soon, where
// sparing the cold start is worth more than the idle memory. It returns nil unless the pool enables
// this.
func (p *Plan) preloadRequests(now time.Time) []loadRequest {
	if !p.pool.WakeAhead {
		return nil
	}
	if now.Sub(p.preloadsPlannedAt) >= preloadInterval {
		p.preloadsPlannedAt = now
		p.planPreloads(now)
	}
	var requests []loadRequest
	for _, artifact := range sortedArtifacts(p.preloads) {
		memory, known := p.memory(artifact)
		if known && p.isPreloadActive(artifact, now) && !p.isBooked(artifact) {
			requests = append(requests, loadRequest{artifact: artifact, memory: memory, class: loadslots.ClassAhead, since: p.preloadsPlannedAt})
		}
	}
	return requests
}

// planPreloads decides which models to preload, and how long they stay loaded without a use.
func (p *Plan) planPreloads(now time.Time) {
	for artifact := range p.preloads {
		if !p.isPreloadActive(artifact, now) {
			delete(p.preloads, artifact)
		}
	}
	for artifact, profile := range p.profiles {
		if _, already := p.preloads[artifact]; already || p.isBooked(artifact) {
			continue
		}
		if until, pays := profile.PreloadUntil(now, p.pool.ColdStartPrice.Std()); pays {
			p.preloads[artifact] = until
		}
	}
}

// isBooked reports whether any server that is not removed has a booking for an artifact.
func (p *Plan) isBooked(artifact azurehitch.Artifact) bool {
	for _, s := range p.servers {
		if _, ok := s.bookings[artifact]; ok && !s.isRemoved() {
			return true
		}
	}
	return false
}

// isPreloadActive reports whether a model is to be loaded, or kept loaded, for a use that is expected
// soon.
func (p *Plan) isPreloadActive(artifact azurehitch.Artifact, now time.Time) bool {
	return now.Before(p.preloads[artifact])
}

// placePreload returns an order to preload a model on the preferred server with enough free memory. It
// never unloads anything for it, since no caller waits, and returns false if no server has enough.
func (p *Plan) placePreload(req loadRequest, now time.Time, budget Budget) (Action, bool) {
	if !p.allReached() || p.countReplicas(req.artifact.Model) >= p.maxReplicas[req.artifact.Model] {
		return Action{}, false
	}
	candidates := p.candidates(budget, func(s *server) bool { return s.freeMemory() >= req.memory })
	slices.SortStableFunc(candidates, p.byPreference(req.artifact))
	if len(candidates) == 0 {
		return Action{}, false
	}
	return p.loadOn(candidates[0], req, now, budget)
}
