package swap

// index finds servers by model. It is built anew after what it holds has become stale.
type index struct {
	// holding are the servers on which a model is, in any state, and copies those that take
	// orders and have a copy of its checkpoint. All are in the order of the list.
	holding map[string][]*server
	copies  map[string][]*server
	// holdingStale and copiesStale are true after changes.
	holdingStale bool
	copiesStale  bool
}

// invalidate notes that servers came, left or were observed.
func (x *index) invalidate() { x.holdingStale, x.copiesStale = true, true }

// holdersOf returns the servers on which a model is, in any state.
func (p *Plan) holdersOf(name string) []*server {
	if p.index.holdingStale {
		p.index.holdingStale = false
		p.index.holding = map[string][]*server{}
		for _, s := range p.list {
			for model := range s.replicas {
				p.index.holding[model] = append(p.index.holding[model], s)
			}
		}
	}
	return p.index.holding[name]
}

// homesOf returns the servers with a copy of the checkpoint of a model, but for those that
// leave or are unknown for long.
func (p *Plan) homesOf(name string) []*server {
	if p.index.copiesStale {
		p.index.copiesStale = false
		p.index.copies = map[string][]*server{}
		for _, s := range p.list {
			if s.leaving || s.lost {
				continue
			}
			for model := range s.tiers {
				p.index.copies[model] = append(p.index.copies[model], s)
			}
		}
	}
	return p.index.copies[name]
}
