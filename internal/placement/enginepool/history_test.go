package enginepool

import (
	"testing"
	"time"

	"azurehitch"
	"azurehitch/internal/configuration/tables"
	"azurehitch/internal/placement/planner"

	qt "github.com/frankban/quicktest"
)

// TestLearned teaches a plan over several days, and hands what it has learnt to another:
// both wake the model at the same time.
func TestLearned(t *testing.T) {
	c := qt.New(t)
	const memory = 30 * azurehitch.Gibibyte
	note := azurehitch.Artifact{Model: "note", Version: "1"}
	server := tables.BackendServer{Name: "a", Address: "a", FencingToken: tables.TokenChecked, AcceleratorMemory: 2 * memory}
	scope := planner.Scope{Pool: tables.Pool{
		Name: "llm", BackendServers: []tables.BackendServer{server}, IdleTimeout: azurehitch.Duration(time.Hour),
		ColdStartPrice: azurehitch.Duration(10 * time.Minute), WakeAhead: true,
		Models: []tables.Model{{Name: "note", MaxReplicas: 1, Versions: []tables.ModelVersion{{Version: "1", Memory: memory}}}},
	}}
	opening := time.Date(2026, 1, 5, 8, 30, 0, 0, time.UTC)
	first := planner.New(scope, nil, opening)
	for day := range 6 {
		first.Want("daemon-1", note, planner.Demand{Waiting: 1}, opening.AddDate(0, 0, day))
	}
	encoded, err := encodeLearned(first.Learned())
	c.Assert(err, qt.IsNil)
	decoded, err := decodeLearned(encoded)
	c.Assert(err, qt.IsNil)
	c.Run("encoding again gives the same bytes", func(c *qt.C) {
		again, err := encodeLearned(decoded)
		c.Assert(err, qt.IsNil)
		c.Assert(again, qt.DeepEquals, encoded)
	})
	second := planner.New(scope, nil, opening)
	second.Learn(decoded)
	for name, plan := range map[string]*planner.Plan{"the one that learnt": first, "a later one": second} {
		c.Run(name, func(c *qt.C) { assertWakes(c, plan, note, opening.AddDate(0, 0, 6)) })
	}
	c.Run("one that knows nothing wakes nothing", func(c *qt.C) {
		c.Assert(wakesBetween(planner.New(scope, nil, opening), opening.AddDate(0, 0, 6).Add(-time.Hour), time.Hour), qt.HasLen, 0)
	})
}

// assertWakes checks that a plan wakes a model shortly before a time, and not earlier.
func assertWakes(c *qt.C, plan *planner.Plan, artifact azurehitch.Artifact, at time.Time) {
	c.Helper()
	c.Assert(wakesBetween(plan, at.Add(-3*time.Hour), 2*time.Hour), qt.HasLen, 0)
	woken := wakesBetween(plan, at.Add(-30*time.Minute), 29*time.Minute)
	c.Assert(woken, qt.HasLen, 1)
	c.Assert(woken[0].Artifact, qt.Equals, artifact)
}

// wakesBetween returns the loads that a plan orders by itself in a time.
func wakesBetween(plan *planner.Plan, from time.Time, length time.Duration) []planner.Action {
	var actions []planner.Action
	plan.SetHosts(map[string]azurehitch.HostState{"a": azurehitch.HostStateLive})
	plan.Observe("a", planner.Report{State: azurehitch.EngineState{Incarnation: "1"}, StartedAt: from}, from)
	slots := map[azurehitch.Artifact]bool{{Model: "note", Version: "1"}: true}
	for now := from; now.Before(from.Add(length)); now = now.Add(30 * time.Second) {
		actions = append(actions, plan.Decide(now, planner.Budget{Slots: slots, LeaseValid: true, LogWorks: true})...)
	}
	return actions
}
