package fleet

import (
	"azurehitch"
	"azurehitch/internal/configuration/tables"
)

const (
	requestsPerSecond  = 1_000_000
	concurrentRequests = 4096
)

// tables returns the tables of a fleet: a pool of models on the engines and a service
// pool on the services.
func (f *Fleet) tables() (tables.RouteTable, tables.PoolTable) {
	routes := tables.RouteTable{
		Callers: []tables.Caller{
			{Name: "salon", KeySHA256: Digest(PaidKey), Tier: tables.TierPaid, RequestsPerSecond: requestsPerSecond, Burst: requestsPerSecond},
			{Name: "visitor", KeySHA256: Digest(TrialKey), Tier: tables.TierTrial, RequestsPerSecond: requestsPerSecond, Burst: requestsPerSecond},
		},
	}
	var pools tables.PoolTable
	if len(f.Engines) > 0 {
		pools.Pools = append(pools.Pools, f.modelPool())
		routes.Routes = append(routes.Routes,
			tables.Route{Name: "care-notes", Callers: []string{"salon", "visitor"}, Pool: "language", Model: "care-note", Adapters: []string{"lash"}, Versions: []string{"1"}},
			tables.Route{Name: "follow-ups", Callers: []string{"salon"}, Pool: "language", Model: "follow-up", Versions: []string{"1"}},
		)
	}
	if len(f.Services) > 0 {
		pools.Pools = append(pools.Pools, f.servicePool())
		routes.Routes = append(routes.Routes, tables.Route{
			Name: "booking", Callers: []string{"salon"}, Pool: "booking-desk", PathPrefix: "/booking",
		})
	}
	return routes, pools
}

func (f *Fleet) modelPool() tables.Pool {
	pool := tables.Pool{
		Name: "language", Kind: tables.PoolKindModels,
		Models: []tables.Model{
			{
				Name: "care-note", MaxReplicas: 1,
				Versions: []tables.ModelVersion{{Version: "1", Memory: 40 * azurehitch.Gibibyte}},
				Adapters: []tables.Adapter{{Name: "lash", Memory: azurehitch.Gibibyte}},
			},
			{Name: "follow-up", MaxReplicas: 1, Versions: []tables.ModelVersion{{Version: "1", Memory: 40 * azurehitch.Gibibyte}}},
		},
		ConcurrentRequests: concurrentRequests, PromisedToPaid: concurrentRequests / 2, QueueLimit: concurrentRequests,
		IdleTimeout: azurehitch.Duration(10 * 60 * 1e9), LeaseDuration: azurehitch.Duration(f.Options.LeaseDuration),
	}
	for i, b := range f.Engines {
		pool.BackendServers = append(pool.BackendServers, tables.BackendServer{
			Name: b.Name, Address: b.Address, FailureDomain: "reduit",
			FencingToken: f.tokenCheck(i), AcceleratorMemory: 80 * azurehitch.Gibibyte,
		})
	}
	return pool
}

func (f *Fleet) servicePool() tables.Pool {
	pool := tables.Pool{
		Name: "booking-desk", Kind: tables.PoolKindService,
		Calls:              []tables.Call{{Method: "GET", PathPrefix: "/booking", Idempotent: true}},
		ConcurrentRequests: concurrentRequests, PromisedToPaid: concurrentRequests / 2, QueueLimit: concurrentRequests,
	}
	for _, b := range f.Services {
		pool.BackendServers = append(pool.BackendServers, tables.BackendServer{Name: b.Name, Address: b.Address, FailureDomain: "reduit"})
	}
	return pool
}
