package planner

import (
	"time"

	"azurehitch"
	"azurehitch/internal/placement/keepalive"
)

// UsageHistory is the usage history of a pool, to be passed on to a later holder.
type UsageHistory struct {
	Models []ModelHistory
	// PoolGaps holds the gaps between uses of all artifacts of the pool.
	PoolGaps keepalive.History
}

// ModelHistory is the usage history of one version of a model.
type ModelHistory struct {
	Artifact azurehitch.Artifact
	// LastUsed is when a paying caller last used the model.
	LastUsed time.Time
	Gaps     keepalive.History
	Profile  keepalive.Profile
}

// UsageHistory returns the usage history that this plan has collected. It leaves out adapters: they
// load in milliseconds, so their history isn't worth passing on.
func (p *Plan) UsageHistory() UsageHistory {
	history := UsageHistory{PoolGaps: p.poolHistory}
	for _, artifact := range sortedArtifacts(p.lastPaidUse) {
		if artifact.Adapter != "" {
			continue
		}
		history.Models = append(history.Models, ModelHistory{
			Artifact: artifact, LastUsed: p.lastPaidUse[artifact], Gaps: p.histories[artifact], Profile: p.profiles[artifact],
		})
	}
	return history
}

// AddUsageHistory adds the usage history of an earlier holder. Models that paying callers have already
// used under this plan keep the history that this plan collected.
func (p *Plan) AddUsageHistory(history UsageHistory) {
	p.poolHistory = history.PoolGaps
	for _, m := range history.Models {
		if _, known := p.lastPaidUse[m.Artifact]; known {
			continue
		}
		p.lastPaidUse[m.Artifact] = m.LastUsed
		p.histories[m.Artifact] = m.Gaps
		p.profiles[m.Artifact] = m.Profile
	}
}
