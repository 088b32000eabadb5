package configlog

import (
	"fmt"
	"slices"

	"azurehitch/internal/configuration/tables"
	"azurehitch/internal/proof/sabotage"

	"github.com/pkg/errors"
)

// RetiredKey identifies a retired server by its pool and its name.
type RetiredKey struct {
	Pool   string
	Server string
}

// Retired is a backend server that a publication removed from a pool. The replicas on the server
// still count for the pool until the holder of the pool has seen that the server has none left.
type Retired struct {
	Pool   string
	Server tables.BackendServer
	// Since is the version that removed the server.
	Since int64
}

// Key returns the key of the retired server.
func (r Retired) Key() RetiredKey { return RetiredKey{Pool: r.Pool, Server: r.Server.Name} }

// WithSince returns a copy with Since set to a version.
func (r Retired) WithSince(version int64) Retired {
	r.Since = version
	return r
}

// Emptied is the log record which states that a retired server has no replicas of its pool any more.
// Only the holder of the pool can know this; it appends the record.
type Emptied struct {
	RetiredKey
	// Token is the fencing token of the holder that appended the record.
	Token int64
	// Since is the version that removed the server. The record has no effect if the server was
	// restored and removed again by a later version.
	Since int64
}

// ErrUnreadable means that this release can't parse the tables in force, and so can't
// determine what a publication changes.
type ErrUnreadable struct {
	Version int64
	Cause   error
}

// Error implements error.
func (e *ErrUnreadable) Error() string {
	return fmt.Sprintf("this release can't read the tables of version %d: %v", e.Version, e.Cause)
}

// Unwrap returns the cause.
func (e *ErrUnreadable) Unwrap() error { return e.Cause }

// Edit returns the publication that replaces the tables of the state by new ones, with the
// servers that it removes from their pools and those that it restores. The error is an
// *ErrUnreadable, a *tables.ErrTables if a server changes its address while it may hold
// replicas, or a parse error of the new tables.
func (s State) Edit(routes, pools []byte, author string) (Publication, error) {
	before, err := s.Configuration()
	if err != nil {
		return Publication{}, &ErrUnreadable{Version: s.Version, Cause: err}
	}
	entries, err := ParseEntries(routes, pools)
	if err != nil {
		return Publication{}, errors.Wrap(err, "new tables")
	}
	after, err := tables.ParseLenient(routes, pools)
	if err != nil {
		return Publication{}, errors.Wrap(err, "new tables")
	}
	if err := s.checkAddresses(before, after); err != nil {
		return Publication{}, err
	}
	p := Publication{Changes: s.ChangesTo(entries), Author: author}
	for _, r := range modelServers(before) {
		if _, found := findServer(after, r.Key()); !found {
			p.Retired = append(p.Retired, r)
		}
	}
	for _, r := range s.Retired {
		if _, found := findServer(after, r.Key()); found {
			p.Restored = append(p.Restored, r.Key())
		}
	}
	return p.WithBase(s.Version), nil
}

// checkAddresses returns a *tables.ErrTables if a server that may hold replicas at its
// current address has another address in the new tables.
func (s State) checkAddresses(before, after tables.Configuration) error {
	addresses := map[string]string{}
	for _, r := range append(modelServers(before), s.Retired...) {
		addresses[r.Server.Name] = r.Server.Address
	}
	var mistakes []tables.Mistake
	for i, pool := range after.Pools.Pools {
		for j, server := range pool.BackendServers {
			if old, known := addresses[server.Name]; known && old != server.Address {
				mistakes = append(mistakes, tables.Mistake{
					Place:  fmt.Sprintf("Pools.Pools[%d].BackendServers[%d].Address", i, j),
					Reason: fmt.Sprintf("server %q is at %s: take it out and wait until it is empty, or use another name", server.Name, old),
				})
			}
		}
	}
	if len(mistakes) > 0 {
		return &tables.ErrTables{Mistakes: mistakes}
	}
	return nil
}

// modelServers returns the servers of all pools of kind Models, as the values to which they are
// retired if a publication removes them. Their Since is 0.
func modelServers(c tables.Configuration) []Retired {
	var servers []Retired
	for _, pool := range c.Pools.Pools {
		if pool.Kind != tables.PoolKindModels {
			continue
		}
		for _, server := range pool.BackendServers {
			servers = append(servers, Retired{Pool: pool.Name, Server: server})
		}
	}
	return servers
}

// findServer returns the server with a key, and false if its pool does not contain it or is not of
// kind Models.
func findServer(c tables.Configuration, key RetiredKey) (tables.BackendServer, bool) {
	pool, ok := c.Pools.Pool(key.Pool)
	if !ok || pool.Kind != tables.PoolKindModels {
		return tables.BackendServer{}, false
	}
	return pool.Server(key.Server)
}

// retiredAfter returns the retired servers once the publication at an offset is applied.
func (s State) retiredAfter(offset int64, p Publication) []Retired {
	if sabotage.Active(sabotage.SkipRetired) {
		return nil
	}
	var retired []Retired
	for _, r := range s.Retired {
		if !slices.Contains(p.Restored, r.Key()) {
			retired = append(retired, r)
		}
	}
	for _, r := range p.Retired {
		retired = append(retired, r.WithSince(offset))
	}
	return retired
}

// WithoutRetired returns the state without a retired server that was found empty, and whether the
// record matched a retired server.
func (s State) WithoutRetired(emptied Emptied) (State, bool) {
	i := slices.IndexFunc(s.Retired, func(r Retired) bool { return r.Key() == emptied.RetiredKey && r.Since == emptied.Since })
	if i < 0 {
		return s, false
	}
	s.Retired = slices.Delete(slices.Clone(s.Retired), i, i+1)
	return s, true
}

// PoolRetired returns the retired servers of one pool. Servers that a publication has added again are
// not among them.
func (s State) PoolRetired(pool string) []Retired {
	return slices.DeleteFunc(slices.Clone(s.Retired), func(r Retired) bool { return r.Pool != pool })
}

// RetiredElsewhere returns the names of retired servers of other pools, which may still hold
// replicas of those pools.
func (s State) RetiredElsewhere(pool string) map[string]bool {
	names := map[string]bool{}
	for _, r := range s.Retired {
		if r.Pool != pool {
			names[r.Server.Name] = true
		}
	}
	return names
}
