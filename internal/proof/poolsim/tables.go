package poolsim

import (
	"context"
	"encoding/json"
	"time"

	"azurehitch"
	"azurehitch/internal/configuration/tables"
	"azurehitch/internal/oplog/control"
)

// Publish publishes tables with one pool through a daemon, based on the version that the daemon
// knows.
func (sim *Simulation) Publish(ctx context.Context, daemon string, pool tables.Pool) (control.Verdict, error) {
	d := sim.Daemon(daemon)
	if d == nil {
		return control.Verdict{}, errNotRunning
	}
	return sim.PublishFrom(ctx, daemon, d.Store.Published().Version, pool, daemon)
}

// PublishFrom publishes tables with one pool through a daemon. The publication conflicts if another
// version than base is in force.
func (sim *Simulation) PublishFrom(ctx context.Context, daemon string, base int64, pool tables.Pool, author string) (control.Verdict, error) {
	pools, err := json.Marshal(tables.PoolTable{Pools: []tables.Pool{pool}})
	if err != nil {
		return control.Verdict{}, err
	}
	d := sim.Daemon(daemon)
	if d == nil {
		return control.Verdict{}, errNotRunning
	}
	publication, err := d.Store.Published().Edit([]byte(`{}`), pools, author)
	if err != nil {
		return control.Verdict{}, err
	}
	publication = publication.WithBase(base)
	return d.Writer.Append(ctx, control.Record{Publication: &publication})
}

// Pool returns the table entry of a pool that uses all engines.
func (sim *Simulation) Pool(lease time.Duration, models ...tables.Model) tables.Pool {
	pool := tables.Pool{
		Name: PoolName, Kind: tables.PoolKindModels, Models: models, ConcurrentRequests: 100, QueueLimit: 100,
		IdleTimeout: azurehitch.Duration(time.Hour), LeaseDuration: azurehitch.Duration(lease),
	}
	for i := range sim.Options.Engines {
		pool.BackendServers = append(pool.BackendServers, tables.BackendServer{
			Name: EngineName(i), Address: EngineName(i), AcceleratorMemory: sim.Options.Memory,
			FencingToken: sim.tokenCheck(i),
		})
	}
	return pool
}

func (sim *Simulation) tokenCheck(i int) tables.TokenCheck {
	switch checkingEngines := sim.Options.Engines - sim.Options.TokenIgnoringEngines; {
	case i >= checkingEngines:
		return tables.TokenIgnored
	case sim.Options.KeepTokens:
		return tables.TokenKept
	}
	return tables.TokenChecked
}
