package policy

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"

	"azurehitch"
)

// memoryModels is how many checkpoints the memory of a host keeps.
const memoryModels = 4

// fakeEngine is what a server has loaded and cached.
type fakeEngine struct {
	name       string
	placements map[azurehitch.Artifact]*azurehitch.Placement
	cached     map[azurehitch.Artifact]azurehitch.CacheTier
	// inMemory are the checkpoints in the host's memory, the last one loaded last;
	// onDisk are those on its disk.
	inMemory []azurehitch.Artifact
	onDisk   map[azurehitch.Artifact]bool
	// removed is told what was unloaded.
	removed func(azurehitch.Artifact)
}

// startEngines starts the engines with some checkpoints on their disks.
func (r *run) startEngines(random *rand.Rand) {
	for _, server := range r.scenario.pool(0, 0).BackendServers {
		e := &fakeEngine{
			name:       server.Name,
			placements: map[azurehitch.Artifact]*azurehitch.Placement{},
			cached:     map[azurehitch.Artifact]azurehitch.CacheTier{},
			onDisk:     map[azurehitch.Artifact]bool{},
			removed:    func(artifact azurehitch.Artifact) { r.unloaded(artifact) },
		}
		for range r.scenario.DiskModels {
			model := azurehitch.Artifact{Model: modelName(random.IntN(r.scenario.Models)), Version: "1"}
			e.cached[model] = azurehitch.CacheTierDisk
			e.onDisk[model] = true
		}
		r.engines[server.Name] = e
		r.names = append(r.names, server.Name)
	}
}

func (r *run) unloaded(artifact azurehitch.Artifact) {
	if artifact.Adapter == "" {
		r.replicas[artifact.Model]--
	}
}

// reserve takes the memory of a load. It returns false if there is not enough.
func (e *fakeEngine) reserve(artifact azurehitch.Artifact, memory azurehitch.ByteSize) bool {
	free := serverMemory - memory
	for _, p := range e.placements {
		free -= p.Memory
	}
	if _, loaded := e.placements[artifact]; loaded || free < 0 {
		return false
	}
	e.placements[artifact] = &azurehitch.Placement{Artifact: artifact, State: azurehitch.PlacementLoading, Memory: memory}
	return true
}

func (e *fakeEngine) remove(artifact azurehitch.Artifact) {
	if _, ok := e.placements[artifact]; ok {
		delete(e.placements, artifact)
		e.removed(artifact)
	}
}

// ready notes the end of a load, after which the checkpoint of a model lies in the
// host's memory. That holds a few, of which the one loaded longest ago goes.
func (e *fakeEngine) ready(artifact azurehitch.Artifact) {
	if p, ok := e.placements[artifact]; ok {
		p.State = azurehitch.PlacementReady
	}
	if artifact.Adapter != "" {
		return
	}
	e.inMemory = append(slices.DeleteFunc(e.inMemory, func(a azurehitch.Artifact) bool { return a == artifact }), artifact)
	e.cached[artifact] = azurehitch.CacheTierMemory
	if len(e.inMemory) <= memoryModels {
		return
	}
	oldest := e.inMemory[0]
	e.inMemory = e.inMemory[1:]
	delete(e.cached, oldest)
	if e.onDisk[oldest] {
		e.cached[oldest] = azurehitch.CacheTierDisk
	}
}

func (e *fakeEngine) begin(artifact azurehitch.Artifact) { e.changeActive(artifact, 1) }

func (e *fakeEngine) end(artifact azurehitch.Artifact) { e.changeActive(artifact, -1) }

func (e *fakeEngine) changeActive(artifact azurehitch.Artifact, n int) {
	if p, ok := e.placements[artifact]; ok {
		p.Active = max(p.Active+n, 0)
	}
	if artifact.Adapter == "" {
		return
	}
	if p, ok := e.placements[artifact.WithoutAdapter()]; ok {
		p.Active = max(p.Active+n, 0)
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
	return slices.SortedFunc(maps.Keys(m), compareArtifacts)
}

func compareArtifacts(a, b azurehitch.Artifact) int {
	return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.Version, b.Version), cmp.Compare(a.Adapter, b.Adapter))
}
