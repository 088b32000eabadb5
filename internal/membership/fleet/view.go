// Package fleet tracks the backend servers by the entries that they write to the platform's list.
//
// # Usage
//
//	fold := fleet.NewFold(decode, observer)
//	follower := compacted.NewFollower(log, stream, fold, clock, observer, pace)
//	servers := fold.View().Service("llm")
//
// The list lags, and entries expire during an outage of the platform. A server whose entry is
// removed shortly after a failed read may still run and write its entry again, so it is kept for
// some time.
package fleet

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"azurehitch"
)

// View holds the servers as of one read. It is immutable.
type View struct {
	// ReadAt is when the list was last read; zero before the first time.
	ReadAt time.Time
	// Complete is false while entries of running servers may be missing because a read of the list
	// failed a short time ago.
	Complete bool
	// Version increases when a server or a shutdown notice changes, but not with each read.
	Version int64
	// services holds the servers of each service, sorted by ID.
	services map[string][]azurehitch.FleetServer
	// servers, notices and removed are keyed by the ID of the server.
	servers map[string]azurehitch.FleetServer
	notices map[string]shutdownNotice
	removed map[string]removal
}

// newView returns a view of a fold. The caller holds f.mu unless the fold is new.
func newView(f *Fold, readAt time.Time) *View {
	view := &View{
		ReadAt: readAt, Version: f.version, notices: maps.Clone(f.notices), removed: maps.Clone(f.removed),
		services: map[string][]azurehitch.FleetServer{}, servers: map[string]azurehitch.FleetServer{},
	}
	listed := map[string]bool{}
	isShuttingDown := func(s azurehitch.FleetServer) bool { return s.ShuttingDown || view.hasNotice(s.ServerIdentity) }
	for id, s := range f.servers {
		if _, isMissing := f.missing[id]; !isMissing && !isShuttingDown(s) {
			listed[s.Service] = true
		}
	}
	for id, s := range f.servers {
		_, isMissing := f.missing[id]
		s.Missing = isMissing && listed[s.Service]
		s.ShuttingDown = isShuttingDown(s)
		view.servers[id] = s
		view.services[s.Service] = append(view.services[s.Service], s)
	}
	for _, list := range view.services {
		slices.SortFunc(list, func(a, b azurehitch.FleetServer) int { return cmp.Compare(a.ID, b.ID) })
	}
	return view
}

func (v *View) hasNotice(server azurehitch.ServerIdentity) bool {
	n, ok := v.notices[server.ID]
	return ok && n.covers(server.Incarnation)
}

// HasDeparted reports whether an incarnation of a server is shutting down or no longer exists,
// according to the list or its shutdown notice. A server that was never listed has not departed: it
// may have started since this daemon last read the list.
func (v *View) HasDeparted(server azurehitch.ServerIdentity) bool {
	if v.hasNotice(server) {
		return true
	}
	listed, ok := v.servers[server.ID]
	if !ok {
		removed, wasListed := v.removed[server.ID]
		return wasListed && server.Incarnation <= removed.incarnation
	}
	return server.Incarnation < listed.Incarnation || server.Incarnation == listed.Incarnation && listed.ShuttingDown
}

// Service returns the servers of a service, sorted by ID. They must not be changed.
func (v *View) Service(name string) []azurehitch.FleetServer { return v.services[name] }

// Servers returns the servers of all services, sorted by ID.
func (v *View) Servers() []azurehitch.FleetServer {
	return slices.SortedFunc(maps.Values(v.servers), func(a, b azurehitch.FleetServer) int { return cmp.Compare(a.ID, b.ID) })
}

// Server returns a server by ID, and false if it is not known.
func (v *View) Server(id string) (azurehitch.FleetServer, bool) {
	s, ok := v.servers[id]
	return s, ok
}

// Addresses returns the addresses of the servers that are not shutting down, in any order.
func (v *View) Addresses() []string {
	var addresses []string
	for _, s := range v.servers {
		if !s.ShuttingDown {
			addresses = append(addresses, s.Address)
		}
	}
	return addresses
}

// HasAddress reports whether an address is that of a server.
func (v *View) HasAddress(address string) bool {
	for _, s := range v.servers {
		if s.Address == address {
			return true
		}
	}
	return false
}
