package gateway

import (
	"sync/atomic"

	"azurehitch/internal/allowance/allowancepeer"
	"azurehitch/internal/allowance/sharedlimit"
	"azurehitch/internal/forward/router"
)

// accountLimits are the limits of the accounts of a routing table by their names.
type accountLimits struct {
	index  *router.PathIndex
	limits map[string]sharedlimit.Limit
}

// limitCache keeps the limits of the routing table in force, so that each table is read once.
type limitCache struct {
	index  func() *router.PathIndex
	cached atomic.Pointer[accountLimits]
}

// current returns the limits of the routing table in force.
func (c *limitCache) current() map[string]sharedlimit.Limit {
	index := c.index()
	if cached := c.cached.Load(); cached != nil && cached.index == index {
		return cached.limits
	}
	limits := map[string]sharedlimit.Limit{}
	for _, account := range index.Accounts.Accounts() {
		if limit, ok := allowancepeer.LimitOf(account.Allowance); ok {
			limits[account.Name] = limit
		}
	}
	c.cached.Store(&accountLimits{index: index, limits: limits})
	return limits
}

// limit returns the limit of an account, and false if it has none.
func (c *limitCache) limit(account string) (sharedlimit.Limit, bool) {
	limit, ok := c.current()[account]
	return limit, ok
}

func (c *limitCache) hasLimits() bool { return len(c.current()) > 0 }

// assembleAllowances assembles what charges requests to the allowances of their accounts.
func (d *Daemon) assembleAllowances() {
	limits := &limitCache{index: d.routing.Index}
	d.allowances = allowancepeer.NewClient(allowancepeer.Dependencies{
		Self: d.settings.Name, Fleet: d.allowanceFleet, Address: d.members.Address, Limit: limits.limit, HasLimits: limits.hasLimits,
		Peers: d.peers, Clock: d.LeaseClock, Logs: d.Logs, Metrics: d.Metrics,
	})
}

// allowanceFleet returns what this daemon knows of the others. It has no share while entries of daemons that
// started together for the first time may still be missing: its share would be too large. After a restart, the
// first list has the entries of all daemons that ran before.
func (d *Daemon) allowanceFleet() sharedlimit.Fleet {
	if !d.members.IsListed() {
		return sharedlimit.Fleet{}
	}
	fleet := sharedlimit.Fleet{Candidates: d.members.StrongDaemons()}
	if !d.members.IsIncomplete() || d.members.IsRestart() {
		fleet.Daemons = d.daemonCount()
	}
	return fleet
}
