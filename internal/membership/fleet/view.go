// Package fleet keeps the backend servers as they describe themselves on the platform's
// list.
//
// # Usage
//
//	fold := fleet.NewFold(decode, clock, observer)
//	follower := compacted.NewFollower(log, stream, fold, clock, observer, pace)
//	servers := fold.View().Service("llm")
//
// The list lags, and entries lapse while the platform is away. An entry that went right
// after the list could not be read may come back: its server counts until some time has
// passed.
package fleet

import (
	"cmp"
	"slices"
	"time"

	"azurehitch"
)

// View is the servers as of one read. It is never changed.
type View struct {
	// ReadAt is when the list was last read; zero before the first time.
	ReadAt time.Time
	// Settled is false while servers may be missing from the list because it could not be
	// read a short time ago.
	Settled bool
	// Version counts the changes.
	Version  int64
	services map[string][]azurehitch.FleetServer
	servers  map[string]azurehitch.FleetServer
}

func newView(servers map[string]azurehitch.FleetServer, missing map[string]time.Time, version int64, readAt time.Time) *View {
	view := &View{
		ReadAt: readAt, Version: version,
		services: map[string][]azurehitch.FleetServer{}, servers: map[string]azurehitch.FleetServer{},
	}
	listed := map[string]bool{}
	for id, s := range servers {
		if _, gone := missing[id]; !gone && !s.Leaving {
			listed[s.Service] = true
		}
	}
	for id, s := range servers {
		_, gone := missing[id]
		s.Missing = gone && listed[s.Service]
		view.servers[id] = s
		view.services[s.Service] = append(view.services[s.Service], s)
	}
	for _, list := range view.services {
		slices.SortFunc(list, func(a, b azurehitch.FleetServer) int { return cmp.Compare(a.ID, b.ID) })
	}
	return view
}

// Service returns the servers of a service by id. They must not be changed.
func (v *View) Service(name string) []azurehitch.FleetServer { return v.services[name] }

// Server returns a server by id.
func (v *View) Server(id string) (azurehitch.FleetServer, bool) {
	s, ok := v.servers[id]
	return s, ok
}
