package planner

import (
	"time"

	"azurehitch"
	"azurehitch/internal/lease/leaselog"
)

// Report is what was read from an engine.
type Report struct {
	State azurehitch.EngineState
	// StartedAt is when the read was started. What was ordered since may be
	// missing from the state.
	StartedAt time.Time
	// OpenIntents are the intents that were open when the read was started.
	OpenIntents []leaselog.Intent
}

// Observe takes in the state of an engine that the holder has fenced with its
// token.
func (p *Plan) Observe(name string, report Report, now time.Time) {
	s, ok := p.servers[name]
	if !ok {
		return
	}
	s.reached = true
	s.incarnation = report.State.Incarnation
	s.saysLeaving = report.State.Leaving
	s.cached = report.State.Cached
	s.dropUnseen(report)
	for _, placement := range report.State.Placements {
		p.see(s, placement, report.StartedAt, now)
	}
}

// Unreachable notes that a server does not answer. What it holds still counts.
func (p *Plan) Unreachable(name string) {
	if s, ok := p.servers[name]; ok {
		s.reached = false
	}
}

// dropUnseen drops the bookings of which the engine is known to be free.
func (s *server) dropUnseen(report Report) {
	seen := map[azurehitch.Artifact]bool{}
	for _, placement := range report.State.Placements {
		seen[placement.Artifact] = true
	}
	for artifact, b := range s.bookings {
		b.settle(report)
		if !seen[artifact] && s.isFreeOf(b, report) {
			delete(s.bookings, artifact)
		}
	}
}

// isFreeOf reports whether a booking that the engine does not show can no longer
// come about.
func (s *server) isFreeOf(b *booking, report Report) bool {
	return !b.ordered && !b.uncertain && b.intent == 0 && b.changedAt.Before(report.StartedAt)
}

// settle clears what an order to an earlier incarnation, or a resolved intent,
// had left open. An order reaches only the incarnation that it was sent to.
func (b *booking) settle(report Report) {
	if b.uncertain && !b.ordered && b.incarnation != report.State.Incarnation {
		b.uncertain = false
	}
	if b.intent != 0 && !report.mayArrive(b.intent) {
		b.intent = 0
	}
}

// mayArrive reports whether the order of an intent may still reach the engine.
func (r Report) mayArrive(offset int64) bool {
	for _, open := range r.OpenIntents {
		if open.Offset == offset {
			return open.Incarnation == r.State.Incarnation
		}
	}
	return false
}

// see takes in one placement that the engine shows.
func (p *Plan) see(s *server, placement azurehitch.Placement, startedAt, now time.Time) {
	b, ok := s.bookings[placement.Artifact]
	if !ok {
		b = &booking{lastUsed: p.usedAt(placement.Artifact, now), changedAt: startedAt}
		b.Placement = placement
		s.bookings[placement.Artifact] = b
	}
	if placement.Active > 0 {
		b.lastUsed = now
	}
	b.Active = placement.Active
	b.Memory = max(b.Memory, placement.Memory)
	if b.intent != 0 && !b.repeated {
		p.arrived = append(p.arrived, b.intent)
	}
	if b.ordered || b.changedAt.After(startedAt) {
		return
	}
	b.State = placement.State
}

func (p *Plan) usedAt(artifact azurehitch.Artifact, now time.Time) time.Time {
	if at, ok := p.lastUsed[artifact]; ok {
		return at
	}
	return now
}

// TakeArrived returns the adopted intents whose order has arrived, so that their
// resolution can be recorded.
func (p *Plan) TakeArrived() []int64 {
	arrived := p.arrived
	p.arrived = nil
	return arrived
}

// Finished takes in how an action ended, and which incarnation of the engine it
// was sent to.
func (p *Plan) Finished(action Action, outcome Outcome, incarnation string, now time.Time) {
	s, ok := p.servers[action.Server]
	if !ok {
		return
	}
	b, ok := s.bookings[action.Artifact]
	if !ok {
		return
	}
	b.ordered = false
	b.changedAt = now
	switch {
	case action.Kind == ActionUnload && outcome == OutcomeDone:
		delete(s.bookings, action.Artifact)
	case action.Kind == ActionUnload:
		// The next report tells.
		b.changedAt = time.Time{}
	case outcome == OutcomeDone:
		b.State = azurehitch.PlacementReady
	case outcome == OutcomeRefused && !b.uncertain && b.intent == 0:
		delete(s.bookings, action.Artifact)
	case outcome == OutcomeUnknown:
		b.uncertain = true
		b.incarnation = incarnation
	}
}
