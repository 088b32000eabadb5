// Package policy runs the decision code of one pool against small fakes on a
// virtual clock, to compare policies of keeping and loading. It models no network,
// no membership and no processes.
//
// # Usage
//
//	result := policy.Run(policy.CiliaLabs(), policy.Learned, seed)
//
// The same scenario, policy and seed give the same result, byte for byte.
package policy

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"azurehitch"
	"azurehitch/internal/configuration/tables"
	"azurehitch/internal/placement/loadslots"
)

// Scenario is a workload at the size of one user.
type Scenario struct {
	Name     string
	Servers  int
	Models   int
	Adapters int
	// LoadsPerSecond and ConcurrentLoads are the weight store's limits.
	LoadsPerSecond  float64
	ConcurrentLoads int
	// RemoteLoad and DiskLoad are the load times of a model.
	RemoteLoad time.Duration
	DiskLoad   time.Duration
	// DiskModels is how many checkpoints lie on the disk of each server.
	DiskModels int
	// ColdStartPrice is how long an accelerator may be idle to spare a cold start.
	ColdStartPrice time.Duration
	// Deadline is the time that a request has.
	Deadline time.Duration
	Length   time.Duration
	Groups   []Group
}

// Group is models that are used alike.
type Group struct {
	Name string
	// Share is the part of the models that belongs to the group.
	Share float64
	// Sessions is the mean number of sessions of each model in a day.
	Sessions float64
	// Requests is the mean number of requests of a session.
	Requests float64
	// Pause is the mean time between the requests of a session.
	Pause time.Duration
	// From and To are the hours of the day in which sessions begin.
	From, To float64
	// AdapterShare is the part of the requests that name an adapter.
	AdapterShare float64
}

const day = 24 * time.Hour

// CiliaLabs is the workload of Cilia Labs: evening notes, weekly follow-ups,
// reaction checks.
func CiliaLabs() Scenario {
	return Scenario{
		Name: "CiliaLabs", Servers: 18, Models: 100, Adapters: 120,
		LoadsPerSecond: 7, ConcurrentLoads: 4, RemoteLoad: 20 * time.Second, DiskLoad: 5 * time.Second, DiskModels: 8,
		ColdStartPrice: 10 * time.Minute, Deadline: 2 * time.Minute, Length: day,
		Groups: []Group{
			{"evening notes", 0.5, 3, 12, 40 * time.Second, 17, 21, 0.5},
			{"weekly follow-ups", 0.3, 1, 6, 20 * time.Second, 8, 18, 0.3},
			{"reaction checks", 0.2, 10, 2, 60 * time.Second, 0, 24, 0.2},
		},
	}
}

// DairyBoard is the workload of the Mekong Delta Dairy Utility Board: shifts,
// nightly reports, robot reads.
func DairyBoard() Scenario {
	return Scenario{
		Name: "DairyBoard", Servers: 9, Models: 50, Adapters: 40,
		LoadsPerSecond: 5, ConcurrentLoads: 4, RemoteLoad: 20 * time.Second, DiskLoad: 5 * time.Second, DiskModels: 8,
		ColdStartPrice: 2 * time.Minute, Deadline: 5 * time.Minute, Length: day,
		Groups: []Group{
			{"morning shift", 0.3, 2, 20, 30 * time.Second, 4, 7, 0.4},
			{"afternoon shift", 0.3, 2, 20, 30 * time.Second, 15, 18, 0.4},
			{"nightly reports", 0.3, 1, 4, 10 * time.Second, 1, 3, 0},
			{"robot reads", 0.1, 40, 10, 15 * time.Second, 0, 24, 0},
		},
	}
}

// limits returns the limits of the weight store.
func (s Scenario) limits() loadslots.Limits {
	return loadslots.NewLimits(azurehitch.WeightStoreLimits{
		LoadsPerSecond: s.LoadsPerSecond, ConcurrentLoads: s.ConcurrentLoads, ConcurrentAdapterLoads: concurrentAdapters,
	})
}

// arrival is one request.
type arrival struct {
	at       time.Duration
	artifact azurehitch.Artifact
	runTime  time.Duration
}

const (
	meanRunTime        = 3 * time.Second
	concurrentAdapters = 30
)

func modelName(i int) string { return fmt.Sprintf("model-%d", i) }

// arrivals draws the requests of a run, by time.
func (s Scenario) arrivals(random *rand.Rand) []arrival {
	var all []arrival
	model := 0
	for _, group := range s.Groups {
		for range int(math.Round(group.Share * float64(s.Models))) {
			all = append(all, s.modelArrivals(random, group, model)...)
			model++
		}
	}
	slices.SortStableFunc(all, func(a, b arrival) int { return cmp.Compare(a.at, b.at) })
	return all
}

func (s Scenario) modelArrivals(random *rand.Rand, group Group, model int) []arrival {
	var arrivals []arrival
	for start := time.Duration(0); start < s.Length; start += day {
		sessions := int(group.Sessions*random.ExpFloat64() + 0.5)
		for range sessions {
			hour := group.From + random.Float64()*(group.To-group.From)
			at := start + time.Duration(hour*float64(time.Hour))
			for range 1 + int(group.Requests*random.ExpFloat64()) {
				arrivals = append(arrivals, arrival{
					at: at, artifact: s.draw(random, group, model),
					runTime: time.Duration(random.ExpFloat64() * float64(meanRunTime)),
				})
				at += time.Duration(random.ExpFloat64() * float64(group.Pause))
			}
		}
	}
	return arrivals
}

func (s Scenario) draw(random *rand.Rand, group Group, model int) azurehitch.Artifact {
	artifact := azurehitch.Artifact{Model: modelName(model), Version: "1"}
	if adapters := s.adaptersOf(model); len(adapters) > 0 && random.Float64() < group.AdapterShare {
		artifact.Adapter = adapters[random.IntN(len(adapters))].Name
	}
	return artifact
}

func (s Scenario) adaptersOf(model int) []tables.Adapter {
	var adapters []tables.Adapter
	for i := model; i < s.Adapters; i += s.Models {
		adapters = append(adapters, tables.Adapter{Name: fmt.Sprintf("adapter-%d", i), Memory: azurehitch.Gibibyte})
	}
	return adapters
}

const (
	serverMemory = 80 * azurehitch.Gibibyte
	modelMemory  = 30 * azurehitch.Gibibyte
)

// pool returns the table of the pool.
func (s Scenario) pool(keep, price time.Duration) tables.Pool {
	pool := tables.Pool{
		Name: s.Name, Kind: tables.PoolKindModels, ConcurrentRequests: 1000, QueueLimit: 1000,
		IdleTimeout: azurehitch.Duration(keep), ColdStartPrice: azurehitch.Duration(price),
	}
	for i := range s.Servers {
		pool.BackendServers = append(pool.BackendServers, tables.BackendServer{
			Name: fmt.Sprintf("server-%02d", i), FencingToken: tables.TokenChecked, AcceleratorMemory: serverMemory,
		})
	}
	for i := range s.Models {
		pool.Models = append(pool.Models, tables.Model{
			Name: modelName(i), MaxReplicas: 1, Adapters: s.adaptersOf(i),
			Versions: []tables.ModelVersion{{Version: "1", Memory: modelMemory}},
		})
	}
	return pool
}
