package swap

import "time"

const (
	// releaseTime is how long a replica that gives way is neither kept nor loaded again.
	releaseTime = 4 * time.Second
	// blockedPatience is how long requests wait for room at the homes of their model before a
	// replica gives way.
	blockedPatience = 600 * time.Millisecond
	// turnRatio is how many times as often as the waiting model one that gives its only replica
	// away may be asked for.
	turnRatio = 2
	// aloneTime is how long a replica counts as in the way after it was found so.
	aloneTime = time.Second
)

// letGiveWay lets a kept replica go where a model is asked for whose homes have no room
// that is not kept: its daemons stop using it, and once its requests have ended it is idle.
// One whose model has a ready replica elsewhere goes first; an only one gives way to a model
// that is asked for nearly as often.
func (p *Plan) letGiveWay(name string, now time.Time) {
	waiting := p.waiters.byModel[name]
	if len(waiting) == 0 || now.Sub(waiting[0].since) < blockedPatience {
		return
	}
	var best *server
	gives := ""
	for _, s := range p.homesOf(name) {
		if !s.takesOrders(now) {
			continue
		}
		if p.givesWay(s) {
			return
		}
		model := p.spare(s)
		if model == "" {
			p.noteAlone(s, now)
			continue
		}
		if best == nil || p.progress.servers[s.ID] < p.progress.servers[best.ID] {
			best, gives = s, model
		}
	}
	if best == nil {
		best, gives = p.takesTurn(name, now)
	}
	if best != nil {
		p.released[Replica{Server: best.ID, Model: gives}] = now.Add(releaseTime)
	}
}

// takesTurn returns the kept replica at the homes of a model whose own model is asked for
// least, and hardly more than this one: where more models are busy than there is room for, they
// take turns.
func (p *Plan) takesTurn(name string, now time.Time) (at *server, gives string) {
	least := turnRatio * p.model(name).rate.now(now)
	for _, s := range p.homesOf(name) {
		if !s.takesOrders(now) {
			continue
		}
		for _, model := range s.replicaNames() {
			if rate := p.model(model).rate.now(now); p.isKept(s.ID, model) && rate <= least {
				at, gives, least = s, model, rate
			}
		}
	}
	return at, gives
}

// noteAlone notes the least used of the kept replicas on a server that can't give way because
// they are the only ones: its model gets another, from the weight store if need be.
func (p *Plan) noteAlone(s *server, now time.Time) {
	if alone := p.leastUsed(s, func(model string) bool { return p.isKept(s.ID, model) }); alone != "" {
		p.model(alone).aloneAt = now
	}
}

// isAlone reports whether the only replica of a model keeps others from their home.
func (p *Plan) isAlone(name string, now time.Time) bool {
	m, ok := p.models[name]
	return ok && !m.aloneAt.IsZero() && now.Sub(m.aloneAt) < aloneTime && len(p.replicas(name))+len(p.loaders(name)) < 2
}

// givesWay reports whether a replica on a server already gives way.
func (p *Plan) givesWay(s *server) bool {
	for model := range s.replicas {
		if p.isReleased(s.ID, model) {
			return true
		}
	}
	return false
}

func (p *Plan) isReleased(server, model string) bool {
	_, released := p.released[Replica{Server: server, Model: model}]
	return released
}

// spare returns the kept replica on a server, if any, that is least used and whose model has
// another one.
func (p *Plan) spare(s *server) string {
	return p.leastUsed(s, func(model string) bool { return p.isKept(s.ID, model) && p.hasOther(model, s) })
}

// leastUsed returns the model with the fewest requests at a server among those that fit; none
// if none does.
func (p *Plan) leastUsed(s *server, fits func(model string) bool) string {
	least := ""
	for _, model := range s.replicaNames() {
		if fits(model) && (least == "" || p.requestsAt(s, model) < p.requestsAt(s, least)) {
			least = model
		}
	}
	return least
}

func (p *Plan) requestsAt(s *server, model string) int {
	return p.progress.replicas[Replica{Server: s.ID, Model: model}]
}

// hasOther reports whether a model has a ready replica beside that on a server, which does
// not give way itself.
func (p *Plan) hasOther(model string, s *server) bool {
	for _, other := range p.replicas(model) {
		if other != s && !p.isReleased(other.ID, model) {
			return true
		}
	}
	return false
}

func (p *Plan) expireReleased(now time.Time) {
	for r, until := range p.released {
		if !now.Before(until) {
			delete(p.released, r)
		}
	}
}
