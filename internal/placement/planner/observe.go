package planner

import (
	"slices"
	"time"

	"azurehitch"
	"azurehitch/internal/configuration/tables"
	"azurehitch/internal/lease/leaselog"
)

// Report is the state read from an engine.
type Report struct {
	State azurehitch.EngineState
	// StartedAt is when the read started. The state may lack the effect of later orders.
	StartedAt time.Time
	// OpenIntents holds the intents of the pool that were open when the read started.
	OpenIntents []leaselog.Intent
}

// Observe applies the state read from an engine to the plan. The engine must have received this holder's
// fencing token before the read, so that an engine that checks tokens rejects orders of former holders
// from then on.
func (p *Plan) Observe(name string, report Report, now time.Time) {
	s, ok := p.servers[name]
	if !ok {
		return
	}
	s.reached = true
	s.incarnation = report.State.Incarnation
	s.engineLeaving = report.State.Leaving
	s.cached = report.State.Cached
	p.dropUnreported(s, report)
	for _, placement := range report.State.Placements {
		p.observePlacement(s, placement, report.StartedAt, now)
	}
}

// MarkUnreachable records that a server does not answer. Its bookings still count towards the limits.
func (p *Plan) MarkUnreachable(name string) {
	if s, ok := p.servers[name]; ok {
		s.reached = false
	}
}

// dropUnreported drops the bookings of artifacts that are not in the engine's report and that no
// outstanding order can load.
func (p *Plan) dropUnreported(s *server, report Report) {
	reported := map[azurehitch.Artifact]bool{}
	for _, placement := range report.State.Placements {
		reported[placement.Artifact] = true
	}
	for artifact, b := range s.bookings {
		p.resolveOrders(b, report)
		if !reported[artifact] && b.isAbsent(report) {
			delete(s.bookings, artifact)
		}
	}
}

// isAbsent reports whether an artifact missing from a report is known to be absent: no order or
// intent can still load it, and the report was read after its last change.
func (b *booking) isAbsent(report Report) bool {
	return !b.orderInFlight && !b.uncertain && len(b.openIntents) == 0 && b.changedAt.Before(report.StartedAt)
}

// resolveOrders updates which orders for a booking may still arrive. An order reaches only the engine
// incarnation that it was sent to. So once the engine has restarted, an order sent before can no
// longer arrive: it is no longer uncertain, and its intent can be resolved. Intents that are not in
// the report's list of open intents have been resolved and are removed.
func (p *Plan) resolveOrders(b *booking, report Report) {
	if b.uncertain && !b.orderInFlight && b.incarnation != report.State.Incarnation {
		b.uncertain = false
	}
	var stillOpen []int64
	for _, intent := range b.openIntents {
		switch incarnation, isOpen := report.openIntent(intent); {
		case !isOpen:
		case incarnation == report.State.Incarnation:
			stillOpen = append(stillOpen, intent)
		default:
			p.markResolvable(intent)
		}
	}
	b.openIntents = stillOpen
}

// openIntent returns the incarnation that an open intent was recorded for.
func (r Report) openIntent(offset int64) (incarnation string, isOpen bool) {
	for _, open := range r.OpenIntents {
		if open.Offset == offset {
			return open.Incarnation, true
		}
	}
	return "", false
}

// observePlacement applies one artifact that the engine reports. An artifact without a booking was loaded
// by a former holder and is booked now.
func (p *Plan) observePlacement(s *server, placement azurehitch.Placement, startedAt, now time.Time) {
	b, ok := s.bookings[placement.Artifact]
	if !ok {
		b = &booking{lastUsed: p.lastUseOr(placement.Artifact, now), changedAt: startedAt}
		if !p.hasKnownUse(placement.Artifact) {
			// A former holder loaded it, perhaps for a paying caller.
			p.lastPaidUse[placement.Artifact] = now
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
	// If a single order can have loaded the artifact, that order has arrived.
	if len(b.openIntents) == 1 && !b.loadRepeated && !b.uncertain {
		p.markResolvable(b.openIntents[0])
	}
	if b.orderInFlight || b.changedAt.After(startedAt) {
		return
	}
	b.State = placement.State
}

// hasKnownUse reports whether this holder or an earlier one has recorded a use.
func (p *Plan) hasKnownUse(artifact azurehitch.Artifact) bool {
	_, used := p.lastUsed[artifact]
	_, paid := p.lastPaidUse[artifact]
	return used || paid
}

// lastUseOr returns when an artifact was last used, or now if this is not known.
func (p *Plan) lastUseOr(artifact azurehitch.Artifact, now time.Time) time.Time {
	if lastUsed, ok := p.lastUsed[artifact]; ok {
		return lastUsed
	}
	return now
}

// markResolvable notes that the order of an intent has arrived or can no longer arrive, so that
// TakeResolvableIntents returns the intent.
func (p *Plan) markResolvable(intent int64) {
	if _, known := p.resolvable[intent]; !known {
		p.resolvable[intent] = time.Time{}
	}
}

// TakeResolvableIntents returns the intents whose order has arrived or can no longer arrive, and
// whose resolution must be recorded. Each is returned again, at most every recordRetryInterval,
// until MarkResolved is called.
func (p *Plan) TakeResolvableIntents(now time.Time) []int64 {
	var due []int64
	for intent, lastTried := range p.resolvable {
		if now.Sub(lastTried) >= recordRetryInterval {
			p.resolvable[intent] = now
			due = append(due, intent)
		}
	}
	return due
}

// TakeEmptiedServers returns the retired servers that hold no artifacts any more, so that this is
// recorded in the log. Each is returned again, at most every recordRetryInterval, until a new scope
// no longer lists it.
func (p *Plan) TakeEmptiedServers(now time.Time) []string {
	var due []string
	for _, name := range p.serverNames {
		s := p.servers[name]
		if !s.retired || now.Sub(p.emptiedTriedAt[name]) < recordRetryInterval {
			continue
		}
		if s.isRemoved() || s.reached && len(s.bookings) == 0 {
			p.emptiedTriedAt[name] = now
			due = append(due, name)
		}
	}
	return due
}

// MarkResolved notes that the resolution of an intent has been recorded.
func (p *Plan) MarkResolved(intent int64) {
	delete(p.resolvable, intent)
	for _, s := range p.servers {
		for _, b := range s.bookings {
			b.openIntents = slices.DeleteFunc(b.openIntents, func(open int64) bool { return open == intent })
		}
	}
}

// Finish applies the result of an action that Decide returned.
func (p *Plan) Finish(action Action, result Result, now time.Time) {
	if result.Intent != 0 && result.Outcome != OutcomeUnknown {
		p.markResolvable(result.Intent)
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
	b.orderInFlight = false
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
	// The engine's next report determines the state, whenever its read started.
	b.changedAt = time.Time{}
}

func (s *server) finishLoad(b *booking, result Result, now time.Time) {
	switch result.Outcome {
	case OutcomeDone:
		b.State = azurehitch.PlacementReady
		b.addIntent(result.Intent)
	case OutcomeUnknown:
		if !b.uncertain {
			b.uncertainSince = now
		}
		b.uncertain = true
		b.incarnation = result.Incarnation
		b.addIntent(result.Intent)
	case OutcomeRefused:
		if !b.uncertain && len(b.openIntents) == 0 {
			delete(s.bookings, b.Artifact)
		}
	}
}

func (b *booking) addIntent(intent int64) {
	if intent != 0 {
		b.openIntents = append(b.openIntents, intent)
	}
}

// NeedsNewToken reports whether an order to an engine that checks tokens has been uncertain for
// uncertainTimeout. If the holder then gets a new token and fences the engines with it, they reject
// the old order, so it can no longer arrive.
func (p *Plan) NeedsNewToken(now time.Time) bool {
	for _, s := range p.servers {
		if s.FencingToken == tables.TokenIgnored {
			continue
		}
		for _, b := range s.bookings {
			if b.uncertain && !b.orderInFlight && now.Sub(b.uncertainSince) >= uncertainTimeout {
				return true
			}
		}
	}
	return false
}
