package swap

import (
	"time"

	"azurehitch/internal/forward/priority"
)

// losses are the requests for a model by rank of urgency, to compare how the kinds fare that wait for the same
// servers.
type losses map[int]*kindLosses

// kindLosses are the requests of one kind.
type kindLosses struct {
	requested rate
	// lost are those that were refused, or could no longer be answered by their objective.
	lost rate
	// credit was computed at the last evaluation of the queue. It is constant until the next one, so that the
	// queue stays sorted.
	credit time.Duration
}

func (l losses) of(urgency int) *kindLosses {
	kind, ok := l[urgency]
	if !ok {
		kind = &kindLosses{}
		l[urgency] = kind
	}
	return kind
}

// lostShare returns the share of requests that were lost in the last seconds.
func (k *kindLosses) lostShare(now time.Time) float64 {
	requested := k.requested.perSecond(now)
	if requested <= 0 {
		return 0
	}
	return k.lost.perSecond(now) / requested
}

// countKind counts a new request for its kind, and gives it the credit of the kind. Requests of an account beyond its
// share don't count: what they lose is no reason to serve their kind earlier.
func (p *Plan) countKind(w *waiter, now time.Time) {
	kind := p.model(w.Model).losses.of(w.Urgency)
	w.credit = kind.credit
	if w.excess == 0 {
		kind.requested.add(1, now)
	}
}

// countLoss counts a request that is refused or has become late.
func (p *Plan) countLoss(w *waiter, now time.Time) {
	if w.excess == 0 {
		p.model(w.Model).losses.of(w.Urgency).lost.add(1, now)
	}
}

// updatedLosses returns the losses of a model with the current credit of each kind.
func (p *Plan) updatedLosses(model string, now time.Time) losses {
	kinds := p.model(model).losses
	for _, kind := range kinds {
		kind.credit = 0
		if kind.lost.value > 0 {
			kind.credit = priority.LossCredit(kind.lostShare(now))
		}
	}
	return kinds
}
