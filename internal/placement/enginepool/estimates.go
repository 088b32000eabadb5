package enginepool

import (
	"time"

	"azurehitch"
)

// EstimateResult says whether the estimated wait for a replica proved right. Requests are refused at
// once if the estimate exceeds their deadline.
type EstimateResult string

// The results of estimates.
const (
	// EstimateRight means that a request waited and got a replica before its deadline, or that it
	// was refused and no replica became ready by its deadline.
	EstimateRight EstimateResult = "Right"
	// EstimateTooLong means that a request was refused, but a replica became ready by its deadline.
	EstimateTooLong EstimateResult = "TooLong"
	// EstimateTooShort means that a request waited but got no replica in time.
	EstimateTooShort EstimateResult = "TooShort"
)

// refusedWait is a request that was refused because the estimated wait exceeded its deadline. Whether
// the estimate was right is known once the artifact is ready or the deadline has passed.
type refusedWait struct {
	artifact azurehitch.Artifact
	deadline time.Time
}

// maxRefusedWaits is the maximum number of refusals that await evaluation. Further ones are not
// evaluated.
const maxRefusedWaits = 1000

// trackRefusedWait records a refusal so that its estimate is evaluated later.
func (p *pool) trackRefusedWait(artifact azurehitch.Artifact, deadline time.Time) {
	if len(p.refusedWaits) < maxRefusedWaits {
		p.refusedWaits = append(p.refusedWaits, refusedWait{artifact: artifact, deadline: deadline})
	}
}

// evaluateRefusedWaits counts the refusals whose estimate has proved right or too long. If
// no other request used the artifact, nothing was loaded and the estimate counts as right.
func (p *pool) evaluateRefusedWaits(now time.Time) {
	var open []refusedWait
	for _, r := range p.refusedWaits {
		switch {
		case len(p.plan.ReadyServers(r.artifact)) > 0:
			p.Counters.EstimateEvaluated(p.name, EstimateTooLong)
		case !now.Before(r.deadline):
			p.Counters.EstimateEvaluated(p.name, EstimateRight)
		default:
			open = append(open, r)
		}
	}
	p.refusedWaits = open
}
