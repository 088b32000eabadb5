package place

import (
	"time"

	"azurehitch"
	"azurehitch/internal/placement/swap"
)

// Answer is what a daemon observes of a server's answer.
type Answer struct {
	// Rejected is true if the server rejected the request without running it. Otherwise it took the given time
	// to begin its answer.
	Rejected bool
	Took     time.Duration
	// Pause is the mean pause between the events of a stream; 0 if this is no observation of a stream. The
	// other fields don't count then.
	Pause time.Duration
}

// Observe records the answer of the server.
func (c Choice) Observe(answer Answer) {
	if c.observe != nil {
		c.observe(answer)
	}
}

// BrokeOff records that the server broke off the request, or could not be connected to.
func (c Choice) BrokeOff() {
	if c.brokeOff != nil {
		c.brokeOff()
	}
}

// observer returns the function that records the answer of a server. The holder compares the replicas of
// models, by the pauses in their streams.
func (p *Placer) observer(r Request, server azurehitch.ServerIdentity, sel selection) func(answer Answer) {
	return func(answer Answer) {
		switch {
		case sel.isReplica && answer.Pause > 0:
			p.Holders.ObservePause(r.Service.Name, swap.Replica{Server: server.ID, Model: r.Model}, answer.Pause)
		case sel.isReplica || answer.Pause > 0:
		case answer.Rejected:
			p.paces.rejected(server, p.Clock.Now())
		default:
			p.paces.answered(server, answer.Took, p.Clock.Now())
		}
	}
}
