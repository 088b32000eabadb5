package enginepool

import (
	"time"

	"azurehitch"
)

// EstimateEnd is how an estimate of a wait turned out.
type EstimateEnd string

// The ends of estimates.
const (
	// EstimateRight is a wait that ended in time, or a refusal without a replica by its
	// deadline.
	EstimateRight EstimateEnd = "Right"
	// EstimateTooLong is a refusal although a replica was ready by the deadline.
	EstimateTooLong EstimateEnd = "TooLong"
	// EstimateTooShort is a wait that the estimate allowed and that ended without a
	// replica.
	EstimateTooShort EstimateEnd = "TooShort"
)

// refusedWait is a request that was refused by its estimate. Whether that was right is
// known when the artifact is ready, or at the deadline.
type refusedWait struct {
	artifact azurehitch.Artifact
	deadline time.Time
}

// maxRefusedWaits bounds the refusals that are followed up.
const maxRefusedWaits = 1000

// followUp remembers a refusal by an estimate.
func (p *pool) followUp(artifact azurehitch.Artifact, deadline time.Time) {
	if len(p.refused) < maxRefusedWaits {
		p.refused = append(p.refused, refusedWait{artifact: artifact, deadline: deadline})
	}
}

// judge counts the refusals of which it is known now whether they were right. Those
// whose artifact nobody else wanted count as right: nothing was loaded for them.
func (p *pool) judge(now time.Time) {
	var open []refusedWait
	for _, r := range p.refused {
		switch {
		case len(p.plan.Ready(r.artifact)) > 0:
			p.Counters.EstimateEnded(p.name, EstimateTooLong)
		case !now.Before(r.deadline):
			p.Counters.EstimateEnded(p.name, EstimateRight)
		default:
			open = append(open, r)
		}
	}
	p.refused = open
}
