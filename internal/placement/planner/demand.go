package planner

import (
	"cmp"
	"time"

	"azurehitch"
	"azurehitch/internal/configuration/tables"
	"azurehitch/internal/proof/sabotage"
)

// Demand is the number of requests for an artifact by the callers of one tier.
type Demand struct {
	Tier tables.Tier
	// Waiting is the number of requests that wait because no replica is ready.
	Waiting int
	// InProgress is the number of requests in progress.
	InProgress int
	// Deadline is the earliest time at which a waiting request must be refused; zero if unknown.
	Deadline time.Time
}

// artifactDemand is the demand for one artifact, by reporting daemon and tier. since is when it was
// first reported after a time without demand.
type artifactDemand struct {
	since    time.Time
	bySource map[demandSource]reportedDemand
}

// demandSource identifies a report of demand: each daemon reports each tier separately.
type demandSource struct {
	daemon string
	tier   tables.Tier
}

// reportedDemand is the last demand that a source reported. It expires demandTTL after reportedAt.
type reportedDemand struct {
	Demand
	reportedAt time.Time
}

// total returns the sum of the demands that have not expired; current is false if there are none.
// The tier of the sum is Paid if any of the demands is from paying callers. Its deadline is the
// earliest deadline of the demands of that tier.
func (d *artifactDemand) total(now time.Time) (sum Demand, current bool) {
	sum.Tier = tables.TierTrial
	for source, reported := range d.bySource {
		if now.Sub(reported.reportedAt) > demandTTL {
			continue
		}
		current = true
		sum.Waiting += reported.Waiting
		sum.InProgress += reported.InProgress
		if source.tier != tables.TierTrial && sum.Tier == tables.TierTrial {
			sum.Tier, sum.Deadline = tables.TierPaid, time.Time{}
		}
		if sum.Tier == source.tier {
			sum.Deadline = earlier(sum.Deadline, reported.Deadline)
		}
	}
	return sum, current
}

// earlier returns the earlier of two times. A zero time means none.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

// SetDemand records the demand for an artifact that a daemon reports. It replaces the daemon's last
// report for the same tier; an empty tier means Paid.
func (p *Plan) SetDemand(daemon string, artifact azurehitch.Artifact, demand Demand, now time.Time) {
	d, ok := p.demands[artifact]
	if !ok {
		d = &artifactDemand{since: now, bySource: map[demandSource]reportedDemand{}}
		p.demands[artifact] = d
	}
	demand.Tier = cmp.Or(demand.Tier, tables.TierPaid)
	d.bySource[demandSource{daemon: daemon, tier: demand.Tier}] = reportedDemand{Demand: demand, reportedAt: now}
	p.recordUse(artifact, demand.Tier, now)
}

// recordUse records a use of an artifact, and for an adapter also of its base model. Uses by paying
// callers go into the usage history and end the preload of the artifact; uses by trials don't.
func (p *Plan) recordUse(artifact azurehitch.Artifact, tier tables.Tier, now time.Time) {
	for _, used := range []azurehitch.Artifact{artifact, artifact.WithoutAdapter()} {
		p.lastUsed[used] = now
		if tier == tables.TierPaid || sabotage.Active(sabotage.TrialsLikePaid) {
			p.recordGap(used, now)
			p.recordStart(used, now)
			p.lastPaidUse[used] = now
			delete(p.preloads, used)
		}
		for _, s := range p.servers {
			if b, ok := s.bookings[used]; ok {
				b.lastUsed = now
			}
		}
	}
}

// recordGap adds the time since the last use by a paying caller to the history. Gaps up to minUseGap
// are left out, since they are part of one continuous use.
func (p *Plan) recordGap(artifact azurehitch.Artifact, now time.Time) {
	last, used := p.lastPaidUse[artifact]
	if gap := now.Sub(last); used && gap > minUseGap {
		p.histories[artifact] = p.histories[artifact].WithGap(gap)
		p.poolHistory = p.poolHistory.WithPoolGap(gap)
	}
}

// keepTime returns how long an artifact stays loaded after its last use.
func (p *Plan) keepTime(artifact azurehitch.Artifact) time.Duration {
	return p.keepTimeForPrice(artifact, p.pool.ColdStartPrice.Std())
}

// keepTimeOn returns how long an artifact stays loaded on a server after its last use. If the
// server has the checkpoint cached, a cold start is faster and costs less.
func (p *Plan) keepTimeOn(s *server, artifact azurehitch.Artifact) time.Duration {
	price := p.pool.ColdStartPrice.Std()
	return p.keepTimeForPrice(artifact, time.Duration(float64(price)*p.loadTimes.costShare(s.tier(artifact))))
}

// keepTimeForPrice returns the keep time of an artifact for a price of its cold start. Without a price in
// the table, it is the idle timeout of the pool.
func (p *Plan) keepTimeForPrice(artifact azurehitch.Artifact, price time.Duration) time.Duration {
	limit := p.pool.IdleTimeout.Std()
	if p.pool.ColdStartPrice == 0 {
		return limit
	}
	return max(p.histories[artifact].WithPrior(p.poolHistory).KeepTime(price, limit), minKeepTime)
}

// WaitingRequests returns the number of requests that wait for a replica.
func (p *Plan) WaitingRequests(now time.Time) int {
	sum := 0
	for _, d := range p.demands {
		demand, _ := d.total(now)
		sum += demand.Waiting
	}
	return sum
}
