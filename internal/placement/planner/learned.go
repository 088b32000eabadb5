package planner

import (
	"time"

	"azurehitch"
	"azurehitch/internal/placement/keepalive"
)

// Learned is what a plan has learnt of the use of its pool, for a later holder.
type Learned struct {
	Models []LearnedModel
	// PoolHistory is the gaps of all artifacts.
	PoolHistory keepalive.History
}

// LearnedModel is what was learnt of one version of a model.
type LearnedModel struct {
	Artifact azurehitch.Artifact
	// LastUsed is when a paying caller last used it.
	LastUsed time.Time
	History  keepalive.History
	Profile  keepalive.Profile
}

// Learned returns what the plan has learnt. What is known of adapters stays with this
// holder: they are loaded in milliseconds.
func (p *Plan) Learned() Learned {
	learned := Learned{PoolHistory: p.poolHistory}
	for _, artifact := range sortedArtifacts(p.paidAt) {
		if artifact.Adapter != "" {
			continue
		}
		learned.Models = append(learned.Models, LearnedModel{
			Artifact: artifact, LastUsed: p.paidAt[artifact], History: p.histories[artifact], Profile: p.profiles[artifact],
		})
	}
	return learned
}

// Learn takes in what an earlier holder has learnt. What this plan knows already stays.
func (p *Plan) Learn(learned Learned) {
	p.poolHistory = learned.PoolHistory
	for _, m := range learned.Models {
		if _, known := p.paidAt[m.Artifact]; known {
			continue
		}
		p.paidAt[m.Artifact] = m.LastUsed
		p.histories[m.Artifact] = m.History
		p.profiles[m.Artifact] = m.Profile
	}
}
