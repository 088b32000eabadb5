package swap

import "time"

// maxReturnSpread bounds the time over which refused callers come back.
const maxReturnSpread = time.Second

// returnSpread returns by how much later than the estimated wait a refused caller should come back. Callers that
// are refused within a second come back spread over the time that it takes to serve as many.
func (p *Plan) returnSpread(w *waiter, now time.Time) time.Duration {
	refused := p.model(w.Model).refusalRate.perSecond(now)
	spread := min(time.Duration(refused*float64(p.slotInterval(w.Model, now))), maxReturnSpread)
	const parts = 1 << 10
	return spread * time.Duration(rendezvous(w.Model, w.ID)%parts) / parts
}
