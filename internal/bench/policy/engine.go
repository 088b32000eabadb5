package policy

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"

	"azurehitch"
)

// fakeEngine is what a server has loaded and cached.
type fakeEngine struct {
	name       string
	placements map[azurehitch.Artifact]*azurehitch.Placement
	cached     map[azurehitch.Artifact]azurehitch.CacheTier
}

// startEngines starts the engines with some checkpoints on their disks.
func (r *run) startEngines(random *rand.Rand) {
	for _, server := range r.plan.Servers() {
		e := &fakeEngine{
			name:       server.Name,
			placements: map[azurehitch.Artifact]*azurehitch.Placement{},
			cached:     map[azurehitch.Artifact]azurehitch.CacheTier{},
		}
		for range r.scenario.DiskModels {
			model := azurehitch.Artifact{Model: modelName(random.IntN(r.scenario.Models)), Version: "1"}
			e.cached[model] = azurehitch.CacheTierDisk
		}
		r.engines[server.Name] = e
		r.names = append(r.names, server.Name)
	}
	states := map[string]azurehitch.HostState{}
	for name := range r.engines {
		states[name] = azurehitch.HostStateLive
	}
	r.plan.SetHosts(states)
}

func (e *fakeEngine) reserve(artifact azurehitch.Artifact, memory azurehitch.ByteSize) {
	e.placements[artifact] = &azurehitch.Placement{Artifact: artifact, State: azurehitch.PlacementLoading, Memory: memory}
}

func (e *fakeEngine) ready(artifact azurehitch.Artifact) {
	if p, ok := e.placements[artifact]; ok {
		p.State = azurehitch.PlacementReady
	}
}

func (e *fakeEngine) begin(artifact azurehitch.Artifact) { e.changeActive(artifact, 1) }

func (e *fakeEngine) end(artifact azurehitch.Artifact) { e.changeActive(artifact, -1) }

func (e *fakeEngine) changeActive(artifact azurehitch.Artifact, n int) {
	if p, ok := e.placements[artifact]; ok {
		p.Active += n
	}
	if artifact.Adapter == "" {
		return
	}
	if p, ok := e.placements[artifact.WithoutAdapter()]; ok {
		p.Active += n
	}
}

func (e *fakeEngine) hasAdapters(artifact azurehitch.Artifact) bool {
	for other := range e.placements {
		if other.Adapter != "" && artifact.Adapter == "" && other.WithoutAdapter() == artifact {
			return true
		}
	}
	return false
}

// idleShare returns the part of the server's memory that holds loaded artifacts
// without a request.
func (e *fakeEngine) idleShare() float64 {
	var idle azurehitch.ByteSize
	for _, p := range e.placements {
		if p.State == azurehitch.PlacementReady && p.Active == 0 {
			idle += p.Memory
		}
	}
	return float64(idle) / float64(serverMemory)
}

func (e *fakeEngine) state() azurehitch.EngineState {
	state := azurehitch.EngineState{Name: e.name, Incarnation: "1", Memory: serverMemory, Cached: e.cached}
	for _, artifact := range sortedArtifacts(e.placements) {
		state.Placements = append(state.Placements, *e.placements[artifact])
	}
	return state
}

func sortedArtifacts[V any](m map[azurehitch.Artifact]V) []azurehitch.Artifact {
	return slices.SortedFunc(maps.Keys(m), func(a, b azurehitch.Artifact) int {
		return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.Version, b.Version), cmp.Compare(a.Adapter, b.Adapter))
	})
}
