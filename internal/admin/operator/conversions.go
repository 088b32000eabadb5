package operator

import (
	"azurehitch/internal/configuration/configlog"
	"azurehitch/internal/configuration/tables"
	"azurehitch/internal/forward/caller"
	"azurehitch/internal/lease/leaselog"
	"azurehitch/internal/peer/peerpb"
	"azurehitch/internal/placement/enginepool"
	"azurehitch/internal/placement/planner"
)

func tablesFromState(s configlog.State) Tables {
	return Tables{Version: s.Version, Author: s.Author, Routes: s.RouteTable(), Pools: s.PoolTable()}
}

func mistakesFrom(err *tables.ErrTables) []Mistake {
	var mistakes []Mistake
	for _, m := range err.Mistakes {
		mistakes = append(mistakes, Mistake{Place: m.Place, Reason: m.Reason})
	}
	return mistakes
}

func statusFromProto(m *peerpb.StatusResponse) DaemonStatus {
	return DaemonStatus{
		Daemon:               m.GetDaemon(),
		Incarnation:          m.GetIncarnation(),
		Reached:              true,
		ConfigurationVersion: m.GetConfigurationVersion(),
		FoldedTo:             m.GetFoldedTo(),
		Draining:             m.GetDraining(),
		RequestsInProgress:   m.GetRequestsInProgress(),
		PoolsHeld:            m.GetPoolsHeld(),
	}
}

func poolFrom(name string, lease leaselog.Lease, usage caller.PoolUsage) PoolStatus {
	return PoolStatus{
		Name: name, Holder: lease.Holder.Daemon, Incarnation: lease.Holder.Incarnation, Token: lease.Token,
		Running: usage.Running, Waiting: usage.Waiting,
	}
}

func heldFrom(s enginepool.Status) *HeldPool {
	held := &HeldPool{LeaseValid: s.Valid, Waiting: s.Waiting}
	for _, u := range s.Servers {
		held.Servers = append(held.Servers, serverFrom(u))
	}
	return held
}

func serverFrom(u planner.Usage) ServerStatus {
	server := ServerStatus{
		Name: u.Server, Reached: u.Reached, Leaving: u.Leaving, Retired: u.Retired, Memory: u.Memory, MemoryInUse: u.MemoryInUse,
		Replicas: []Replica{},
	}
	for _, p := range u.Placements {
		server.Replicas = append(server.Replicas, Replica{
			Artifact: p.Artifact.String(), State: p.State, Memory: p.Memory, Active: p.Active,
		})
	}
	return server
}
