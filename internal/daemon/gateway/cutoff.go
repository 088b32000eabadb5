package gateway

import (
	"slices"

	"azurehitch"
)

// isCutOff reports whether this daemon can't open connections to any backend server, while callers, the platform and
// the other daemons still reach it.
func (d *Daemon) isCutOff() bool { return d.paths.IsCutOff() }

// isUnreachable reports whether this daemon reaches no server of a service, while other daemons do.
func (d *Daemon) isUnreachable(service string) bool {
	servers := d.fleet.View().Service(service)
	isReached := func(s azurehitch.FleetServer) bool { return !s.Missing && !d.paths.IsBlocked(s.Address) }
	return d.isCutOff() || len(servers) > 0 && !slices.ContainsFunc(servers, isReached)
}
