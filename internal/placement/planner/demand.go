package planner

import (
	"cmp"
	"time"

	"azurehitch"
	"azurehitch/internal/configuration/tables"
	"azurehitch/internal/proof/sabotage"
)

// Demand is what the callers of one tier want of an artifact.
type Demand struct {
	Tier tables.Tier
	// Waiting is the number of requests that wait for the first replica.
	Waiting int
	// InProgress is the number of requests that run.
	InProgress int
	// Deadline is when the first of the waiting requests has to be refused; zero if
	// that is not known.
	Deadline time.Time
}

// want is the demand for one artifact, by the daemon and tier that reported it.
type want struct {
	since   time.Time
	demands map[demandSource]reportedDemand
}

type demandSource struct {
	daemon string
	tier   tables.Tier
}

type reportedDemand struct {
	Demand
	at time.Time
}

// total returns the sum of the demands that still count. Its tier is Paid if there is
// a paying caller among them; its deadline is the first of that tier.
func (w *want) total(now time.Time) (sum Demand, current bool) {
	sum.Tier = tables.TierTrial
	for source, d := range w.demands {
		if now.Sub(d.at) > demandTTL {
			continue
		}
		current = true
		sum.Waiting += d.Waiting
		sum.InProgress += d.InProgress
		if source.tier != tables.TierTrial && sum.Tier == tables.TierTrial {
			sum.Tier, sum.Deadline = tables.TierPaid, time.Time{}
		}
		if sum.Tier == source.tier {
			sum.Deadline = earlier(sum.Deadline, d.Deadline)
		}
	}
	return sum, current
}

// earlier returns the earlier of two times, of which zero is none.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

// Want tells what the callers of one daemon want of an artifact.
func (p *Plan) Want(daemon string, artifact azurehitch.Artifact, demand Demand, now time.Time) {
	w, ok := p.wants[artifact]
	if !ok {
		w = &want{since: now, demands: map[demandSource]reportedDemand{}}
		p.wants[artifact] = w
	}
	demand.Tier = cmp.Or(demand.Tier, tables.TierPaid)
	w.demands[demandSource{daemon: daemon, tier: demand.Tier}] = reportedDemand{Demand: demand, at: now}
	p.touch(artifact, demand.Tier, now)
}

func (p *Plan) touch(artifact azurehitch.Artifact, tier tables.Tier, now time.Time) {
	for _, used := range []azurehitch.Artifact{artifact, artifact.WithoutAdapter()} {
		p.lastUsed[used] = now
		if tier == tables.TierPaid || sabotage.Active(sabotage.TrialsLikePaid) {
			p.noteGap(used, now)
			p.noteStart(used, now)
			p.paidAt[used] = now
			delete(p.wakes, used)
		}
		for _, s := range p.servers {
			if b, ok := s.bookings[used]; ok {
				b.lastUsed = now
			}
		}
	}
}

// noteGap learns from a paying caller's use after a pause.
func (p *Plan) noteGap(artifact azurehitch.Artifact, now time.Time) {
	last, used := p.paidAt[artifact]
	if gap := now.Sub(last); used && gap > shortestGap {
		p.histories[artifact] = p.histories[artifact].WithGap(gap)
		p.poolHistory = p.poolHistory.WithPoolGap(gap)
	}
}

// keepTime returns how long an artifact is kept after its last use.
func (p *Plan) keepTime(artifact azurehitch.Artifact) time.Duration {
	return p.keepTimeAt(artifact, p.pool.ColdStartPrice.Std())
}

// keepTimeOn returns how long an artifact is kept on a server. Where its checkpoint lies
// near, a cold start takes less time and costs less.
func (p *Plan) keepTimeOn(s *server, artifact azurehitch.Artifact) time.Duration {
	price := p.pool.ColdStartPrice.Std()
	return p.keepTimeAt(artifact, time.Duration(float64(price)*p.loadTimes.share(s.tier(artifact))))
}

func (p *Plan) keepTimeAt(artifact azurehitch.Artifact, price time.Duration) time.Duration {
	limit := p.pool.IdleTimeout.Std()
	if p.pool.ColdStartPrice == 0 {
		return limit
	}
	return max(p.histories[artifact].WithPrior(p.poolHistory).KeepTime(price, limit), minimumKeep)
}

// Waiting returns the number of requests that wait.
func (p *Plan) Waiting(now time.Time) int {
	sum := 0
	for _, w := range p.wants {
		demand, _ := w.total(now)
		sum += demand.Waiting
	}
	return sum
}
