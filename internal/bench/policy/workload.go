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
	// WarmUp is the time at the beginning that does not count.
	WarmUp time.Duration
	Groups []Group
	// Trials is the requests of trials, for any model.
	Trials Group
	// PromisedServers is how many servers' memory is promised to paying callers.
	PromisedServers int
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
	// Attendance makes one session of each model begin at a time of its own between
	// From and To, the same each day but for Jitter, with this chance; Sessions does
	// not count then.
	Attendance float64
	Jitter     time.Duration
	// AdapterShare is the part of the requests that name an adapter.
	AdapterShare float64
}

const day = 24 * time.Hour

// CiliaLabs is the workload of Cilia Labs: salons that open, evening notes, weekly
// follow-ups, reaction checks, and visitors on trial.
func CiliaLabs() Scenario {
	return Scenario{
		Name: "CiliaLabs", Servers: 18, Models: 100, Adapters: 120,
		LoadsPerSecond: 7, ConcurrentLoads: 4, RemoteLoad: 20 * time.Second, DiskLoad: 5 * time.Second, DiskModels: 8,
		ColdStartPrice: 10 * time.Minute, Deadline: 2 * time.Minute, Length: 6 * day, WarmUp: 4 * day,
		PromisedServers: 15,
		Groups: []Group{
			{Name: "salons open", Share: 0.2, Requests: 8, Pause: time.Minute, From: 8.5, To: 8.6, Attendance: 0.95, Jitter: 3 * time.Minute, AdapterShare: 0.3},
			{Name: "evening notes", Share: 0.4, Sessions: 3, Requests: 12, Pause: 40 * time.Second, From: 17, To: 21, AdapterShare: 0.5},
			{Name: "weekly follow-ups", Share: 0.2, Sessions: 1, Requests: 6, Pause: 20 * time.Second, From: 8, To: 18, AdapterShare: 0.3},
			{Name: "reaction checks", Share: 0.2, Sessions: 10, Requests: 2, Pause: time.Minute, From: 0, To: 24, AdapterShare: 0.2},
		},
		Trials: Group{Name: "visitors", Share: 1, Sessions: 0.5, Requests: 5, Pause: 30 * time.Second, From: 7, To: 23, AdapterShare: 0.2},
	}
}

// DairyBoard is the workload of the Mekong Delta Dairy Utility Board: milking shifts,
// nightly reports, robot reads, and cooperatives on trial.
func DairyBoard() Scenario {
	return Scenario{
		Name: "DairyBoard", Servers: 9, Models: 50, Adapters: 40,
		LoadsPerSecond: 5, ConcurrentLoads: 4, RemoteLoad: 20 * time.Second, DiskLoad: 5 * time.Second, DiskModels: 8,
		ColdStartPrice: 2 * time.Minute, Deadline: 5 * time.Minute, Length: 6 * day, WarmUp: 4 * day,
		PromisedServers: 7,
		Groups: []Group{
			{Name: "morning shift", Share: 0.3, Requests: 20, Pause: 30 * time.Second, From: 4.5, To: 4.6, Attendance: 0.95, Jitter: 3 * time.Minute, AdapterShare: 0.4},
			{Name: "afternoon shift", Share: 0.3, Sessions: 2, Requests: 20, Pause: 30 * time.Second, From: 15, To: 18, AdapterShare: 0.4},
			{Name: "nightly reports", Share: 0.3, Sessions: 1, Requests: 4, Pause: 10 * time.Second, From: 1, To: 3},
			{Name: "robot reads", Share: 0.1, Sessions: 40, Requests: 10, Pause: 15 * time.Second, From: 0, To: 24},
		},
		Trials: Group{Name: "cooperatives on trial", Share: 1, Sessions: 0.5, Requests: 5, Pause: 30 * time.Second, From: 4, To: 20, AdapterShare: 0.2},
	}
}

// WithoutTrials returns the scenario without the requests of trials.
func (s Scenario) WithoutTrials() Scenario {
	s.Trials = Group{}
	return s
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
	tier     tables.Tier
	runTime  time.Duration
	// number is its place among the requests of paying callers after the warm-up.
	number int
}

const (
	meanRunTime        = 3 * time.Second
	concurrentAdapters = 30
)

func modelName(i int) string { return fmt.Sprintf("model-%d", i) }

// arrivals draws the requests of a run, by time. Those of paying callers are the same
// with and without trials.
func (s Scenario) arrivals(seed uint64) []arrival {
	random := rand.New(rand.NewPCG(seed, 0))
	var all []arrival
	model := 0
	for _, group := range s.Groups {
		for range int(math.Round(group.Share * float64(s.Models))) {
			all = append(all, s.modelArrivals(random, group, model, tables.TierPaid)...)
			model++
		}
	}
	trials := rand.New(rand.NewPCG(seed, 2))
	for model := range int(math.Round(s.Trials.Share * float64(s.Models))) {
		all = append(all, s.modelArrivals(trials, s.Trials, model, tables.TierTrial)...)
	}
	slices.SortStableFunc(all, func(a, b arrival) int { return cmp.Compare(a.at, b.at) })
	paid := 0
	for i := range all {
		if all[i].tier == tables.TierPaid && all[i].at >= s.WarmUp {
			all[i].number = paid
			paid++
		}
	}
	return all
}

func (s Scenario) modelArrivals(random *rand.Rand, group Group, model int, tier tables.Tier) []arrival {
	var arrivals []arrival
	usual := group.hour(random)
	for start := time.Duration(0); start < s.Length; start += day {
		for _, at := range group.sessions(random, usual) {
			at += start
			for range 1 + int(group.Requests*random.ExpFloat64()) {
				arrivals = append(arrivals, arrival{
					at: at, artifact: s.draw(random, group, model), tier: tier,
					runTime: time.Duration(random.ExpFloat64() * float64(meanRunTime)),
				})
				at += time.Duration(random.ExpFloat64() * float64(group.Pause))
			}
		}
	}
	return arrivals
}

// hour draws a time of day at which a session may begin.
func (g Group) hour(random *rand.Rand) time.Duration {
	hour := g.From + random.Float64()*(g.To-g.From)
	return time.Duration(hour * float64(time.Hour))
}

// sessions draws when the sessions of a day begin.
func (g Group) sessions(random *rand.Rand, usual time.Duration) []time.Duration {
	if g.Attendance > 0 {
		if random.Float64() >= g.Attendance {
			return nil
		}
		return []time.Duration{usual + time.Duration((2*random.Float64()-1)*float64(g.Jitter))}
	}
	var sessions []time.Duration
	for range int(g.Sessions*random.ExpFloat64() + 0.5) {
		sessions = append(sessions, g.hour(random))
	}
	return sessions
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
		PromisedMemoryToPaid: azurehitch.ByteSize(s.PromisedServers) * serverMemory,
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
