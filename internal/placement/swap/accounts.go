package swap

import "time"

// takeTurn sets by how much a new request waits behind those of other accounts. Without accounts, and while no request
// waits for its model, it does nothing.
func (p *Plan) takeTurn(w *waiter, now time.Time) {
	m := p.model(w.Model)
	waiting := p.waiters.byModel[w.Model]
	if len(waiting) == 0 {
		m.turns.Reset()
	}
	if w.Account == "" {
		return
	}
	w.turn = m.turns.Take(w.Account)
	others := map[string]bool{}
	for _, other := range waiting {
		if other.Account != "" && other.Account != w.Account {
			others[other.Account] = true
		}
	}
	if len(others) > 0 {
		w.excess = m.turns.Excess(w.turn, len(others), p.slotInterval(w.Model, now))
	}
}

// slotInterval returns the mean time between two starts of requests for a model on its replicas, or 0 if it has
// none.
func (p *Plan) slotInterval(name string, now time.Time) time.Duration {
	usable := p.usableSlots(p.readyServers(name), name, now)
	if usable <= 0 {
		return 0
	}
	return time.Duration(float64(p.runTime(name, now)) / usable)
}
