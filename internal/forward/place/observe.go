package place

import (
	"time"

	"azurehitch"
)

// Answer is what a daemon observes of a server's answer.
type Answer struct {
	// Rejected is true if the server rejected the request without running it. Otherwise it took the given time
	// to begin its answer.
	Rejected bool
	Took     time.Duration
}

// Observe records the answer of the server.
func (c Choice) Observe(answer Answer) {
	if c.observe != nil {
		c.observe(answer)
	}
}

// observer returns the function that records the answer of a server of a plain service. It returns nil for
// replicas of models, which the holder compares.
func (p *Placer) observer(server azurehitch.ServerIdentity, sel selection) func(answer Answer) {
	if sel.isReplica {
		return nil
	}
	return func(answer Answer) {
		if answer.Rejected {
			p.paces.rejected(server, p.Clock.Now())
			return
		}
		p.paces.answered(server, answer.Took, p.Clock.Now())
	}
}
