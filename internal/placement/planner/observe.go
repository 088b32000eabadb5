package planner

import (
	"slices"
	"time"

	"azurehitch"
	"azurehitch/internal/configuration/tables"
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
	p.dropUnseen(s, report)
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
func (p *Plan) dropUnseen(s *server, report Report) {
	seen := map[azurehitch.Artifact]bool{}
	for _, placement := range report.State.Placements {
		seen[placement.Artifact] = true
	}
	for artifact, b := range s.bookings {
		p.settle(b, report)
		if !seen[artifact] && b.canNotArise(report) {
			delete(s.bookings, artifact)
		}
	}
}

// canNotArise reports whether a booking that the engine does not show can no
// longer come about.
func (b *booking) canNotArise(report Report) bool {
	return !b.ordered && !b.uncertain && len(b.intents) == 0 && b.changedAt.Before(report.StartedAt)
}

// settle clears what an order to an earlier incarnation, or a resolved intent,
// had left open. An order reaches only the incarnation that it was sent to.
func (p *Plan) settle(b *booking, report Report) {
	if b.uncertain && !b.ordered && b.incarnation != report.State.Incarnation {
		b.uncertain = false
	}
	var open []int64
	for _, intent := range b.intents {
		switch incarnation, isOpen := report.openIntent(intent); {
		case !isOpen:
		case incarnation == report.State.Incarnation:
			open = append(open, intent)
		default:
			p.startSettling(intent)
		}
	}
	b.intents = open
}

// openIntent returns the incarnation that an intent was for, if it is open.
func (r Report) openIntent(offset int64) (incarnation string, isOpen bool) {
	for _, open := range r.OpenIntents {
		if open.Offset == offset {
			return open.Incarnation, true
		}
	}
	return "", false
}

// see takes in one placement that the engine shows.
func (p *Plan) see(s *server, placement azurehitch.Placement, startedAt, now time.Time) {
	b, ok := s.bookings[placement.Artifact]
	if !ok {
		b = &booking{lastUsed: p.usedAt(placement.Artifact, now), changedAt: startedAt}
		if !p.isKnown(placement.Artifact) {
			// A former holder loaded it, perhaps for a paying caller.
			p.paidAt[placement.Artifact] = now
		}
		b.Placement = placement
		s.bookings[placement.Artifact] = b
	}
	if placement.Active > 0 {
		b.lastUsed = now
		p.lastUsed[placement.Artifact] = now
	}
	b.Active = placement.Active
	b.Memory = max(b.Memory, placement.Memory)
	if len(b.intents) == 1 && !b.repeated && !b.uncertain {
		p.startSettling(b.intents[0])
	}
	if b.ordered || b.changedAt.After(startedAt) {
		return
	}
	b.State = placement.State
}

// isKnown reports whether this holder, or one before it, knows of a use.
func (p *Plan) isKnown(artifact azurehitch.Artifact) bool {
	_, used := p.lastUsed[artifact]
	_, paid := p.paidAt[artifact]
	return used || paid
}

func (p *Plan) usedAt(artifact azurehitch.Artifact, now time.Time) time.Time {
	if at, ok := p.lastUsed[artifact]; ok {
		return at
	}
	return now
}

func (p *Plan) startSettling(intent int64) {
	if _, known := p.settling[intent]; !known {
		p.settling[intent] = time.Time{}
	}
}

// TakeSettled returns the intents whose order has arrived or never will, and whose
// resolution is due to be recorded. Each comes again until Resolved is called.
func (p *Plan) TakeSettled(now time.Time) []int64 {
	var due []int64
	for intent, tried := range p.settling {
		if now.Sub(tried) >= settleRetry {
			p.settling[intent] = now
			due = append(due, intent)
		}
	}
	return due
}

// TakeEmptied returns the retired servers that hold nothing any more, and whose
// record to that effect is due. Each comes again until the scope no longer has it.
func (p *Plan) TakeEmptied(now time.Time) []string {
	var due []string
	for _, name := range p.names {
		s := p.servers[name]
		if !s.retired || now.Sub(p.emptied[name]) < settleRetry {
			continue
		}
		if s.isGone() || s.reached && len(s.bookings) == 0 {
			p.emptied[name] = now
			due = append(due, name)
		}
	}
	return due
}

// Resolved notes that the resolution of an intent is recorded.
func (p *Plan) Resolved(intent int64) {
	delete(p.settling, intent)
	for _, s := range p.servers {
		for _, b := range s.bookings {
			b.intents = slices.DeleteFunc(b.intents, func(open int64) bool { return open == intent })
		}
	}
}

// Finished takes in how an action ended.
func (p *Plan) Finished(action Action, result Result, now time.Time) {
	if result.Intent != 0 && result.Outcome != OutcomeUnknown {
		p.startSettling(result.Intent)
	}
	s, ok := p.servers[action.Server]
	if !ok {
		return
	}
	if result.Outcome != OutcomeDone {
		s.failedAt = now
	}
	b, ok := s.bookings[action.Artifact]
	if !ok {
		return
	}
	if action.Kind == ActionLoad && action.Tier != "" && action.Artifact.Adapter == "" && result.Outcome == OutcomeDone {
		p.loadTimes.observe(action.Tier, now.Sub(b.changedAt))
	}
	b.ordered = false
	b.changedAt = now
	if action.Kind == ActionUnload {
		s.finishUnload(b, result)
		return
	}
	s.finishLoad(b, result, now)
}

func (s *server) finishUnload(b *booking, result Result) {
	if result.Outcome == OutcomeDone {
		delete(s.bookings, b.Artifact)
		return
	}
	// The next report tells.
	b.changedAt = time.Time{}
}

func (s *server) finishLoad(b *booking, result Result, now time.Time) {
	switch result.Outcome {
	case OutcomeDone:
		b.State = azurehitch.PlacementReady
		b.keepIntent(result.Intent)
	case OutcomeUnknown:
		if !b.uncertain {
			b.uncertainSince = now
		}
		b.uncertain = true
		b.incarnation = result.Incarnation
		b.keepIntent(result.Intent)
	case OutcomeRefused:
		if !b.uncertain && len(b.intents) == 0 {
			delete(s.bookings, b.Artifact)
		}
	}
}

func (b *booking) keepIntent(intent int64) {
	if intent != 0 {
		b.intents = append(b.intents, intent)
	}
}

// NeedsNewToken reports whether orders to engines that check tokens have been
// uncertain for some time. A new token ends that: engines that have seen it refuse
// the orders.
func (p *Plan) NeedsNewToken(now time.Time) bool {
	for _, s := range p.servers {
		if s.FencingToken == tables.TokenIgnored {
			continue
		}
		for _, b := range s.bookings {
			if b.uncertain && !b.ordered && now.Sub(b.uncertainSince) >= uncertainLimit {
				return true
			}
		}
	}
	return false
}
