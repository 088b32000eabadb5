package gateway

import "azurehitch"

// daemonCount returns the number of known daemons.
func (d *Daemon) daemonCount() int { return len(d.members.Names()) }

// budgetMembers implements retrybudget.Members.
type budgetMembers struct{ daemon *Daemon }

// Count implements retrybudget.Members. It returns 0 before the other daemons have been read.
func (m budgetMembers) Count() int {
	return len(m.daemon.listedDaemons())
}

// IsRestart implements retrybudget.Members.
func (m budgetMembers) IsRestart() bool { return m.daemon.members.IsRestart() }

// rank returns the index of this daemon in the sorted names of the known daemons. It determines which
// daemon appends a snapshot first.
func (d *Daemon) rank() int {
	for i, name := range d.members.Names() {
		if name == d.settings.Name {
			return i
		}
	}
	return 0
}

// connectionShare returns the number of connections that this daemon may use of the
// MaxConnections of a server; 0 is unlimited. It is twice the even share, because callers are
// spread unevenly over daemons.
func (d *Daemon) connectionShare(service azurehitch.BackendService) int {
	if service.MaxConnections == 0 {
		return 0
	}
	const shareFactor, minConnections = 2, 8
	return max(shareFactor*service.MaxConnections/max(d.daemonCount(), 1), minConnections)
}
