// Package crashcheck finds out whether a backend server that broke off a request has crashed, or whether only this
// daemon can't reach it.
//
// # Usage
//
//	checker := crashcheck.New(dependencies)
//	hasCrashed := checker.HasCrashed(ctx, server)
//
// The server is asked for its report. If another server or another incarnation answers, the server has ended. A
// connection that fails shows less: a crashed server refuses connections, and so does a path that is cut. A server that
// another daemon reaches runs. If none does, the checker asks other servers for their reports, those in the failure
// domain of the server first. Only if at least half of them can be reached, the path is sound and the server has
// crashed. While the daemon is cut off from the servers, no
// server has crashed as far as the daemon knows.
package crashcheck

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"azurehitch"
	"azurehitch/internal/transport/connpool"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
)

const (
	// reportTimeout limits the wait for the report of the server that broke off requests, othersTimeout that for other
	// daemons to reach it, and witnessTimeout that for the reports of other servers.
	reportTimeout  = 500 * time.Millisecond
	othersTimeout  = 250 * time.Millisecond
	witnessTimeout = 250 * time.Millisecond
	// maxWitnesses is the number of other servers that are asked whether the path is sound.
	maxWitnesses = 3
	// maxCrashed limits the crashed servers that the checker remembers.
	maxCrashed = 256
)

// Finding is what a call for the report of a server shows.
type Finding string

// The findings.
const (
	// FindingRuns means that the server has answered.
	FindingRuns Finding = "Runs"
	// FindingReplaced means that another server or another incarnation of the server answers at its address.
	FindingReplaced Finding = "Replaced"
	// FindingUnconnected means that no connection could be opened, or that it was closed or reset.
	FindingUnconnected Finding = "Unconnected"
	// FindingSilent means that nothing has answered in time.
	FindingSilent Finding = "Silent"
)

// Find returns what the result of a call for the report of a server shows.
func Find(server azurehitch.ServerIdentity, report azurehitch.ServerReport, err error) Finding {
	var failed *connpool.ErrExchange
	var timeout interface{ Timeout() bool }
	switch {
	case err == nil && report.Incarnation != 0 && report.Incarnation != server.Incarnation:
		return FindingReplaced
	case errors.Is(err, azurehitch.ErrOtherServer):
		return FindingReplaced
	case errors.As(err, &timeout) && timeout.Timeout():
		return FindingSilent
	case errors.As(err, &failed):
		return FindingUnconnected
	}
	return FindingRuns
}

// isReached reports whether something has answered at the address of the server.
func (f Finding) isReached() bool { return f == FindingRuns || f == FindingReplaced }

// Dependencies holds what a Checker uses.
type Dependencies struct {
	// Report asks a server for its report.
	Report func(ctx context.Context, server azurehitch.ServerIdentity) (azurehitch.ServerReport, error)
	// IsReachedByOthers reports whether another daemon connects to a server, and this one does not.
	IsReachedByOthers func(ctx context.Context, server azurehitch.ServerIdentity) bool
	// Servers returns all servers that are known.
	Servers func() []azurehitch.FleetServer
	// IsCutOff reports whether this daemon can't open connections to any server.
	IsCutOff func() bool
}

// Checker finds out whether servers have crashed. It is safe for concurrent use.
type Checker struct {
	Dependencies
	mu sync.Mutex
	// checked are the servers that are being checked.
	checked map[azurehitch.ServerIdentity]bool
	// crashed are the last maxCrashed servers that have crashed, the oldest first.
	crashed []azurehitch.ServerIdentity
}

// New returns a checker that knows no crashes.
func New(dependencies Dependencies) *Checker {
	return &Checker{Dependencies: dependencies, checked: map[azurehitch.ServerIdentity]bool{}}
}

// HasCrashed reports whether an incarnation of a server that broke off a request has ended. If that is not known, it
// returns false.
func (c *Checker) HasCrashed(ctx context.Context, server azurehitch.ServerIdentity) bool {
	if c.IsCutOff() {
		return false
	}
	c.begin(server)
	hasCrashed := c.hasEnded(ctx, server) && ctx.Err() == nil && !c.IsCutOff()
	c.end(server, hasCrashed)
	return hasCrashed
}

func (c *Checker) hasEnded(ctx context.Context, server azurehitch.ServerIdentity) bool {
	switch c.find(ctx, server, reportTimeout) {
	case FindingReplaced:
		return true
	case FindingUnconnected:
		return !c.isReachedByOthers(ctx, server) && c.isPathSound(ctx, server)
	}
	return false
}

func (c *Checker) isReachedByOthers(ctx context.Context, server azurehitch.ServerIdentity) bool {
	ctx, cancel := context.WithTimeout(ctx, othersTimeout)
	defer cancel()
	return c.IsReachedByOthers(ctx, server)
}

// find asks a server for its report.
func (c *Checker) find(ctx context.Context, server azurehitch.ServerIdentity, timeout time.Duration) Finding {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	report, err := c.Report(ctx, server)
	if ctx.Err() != nil {
		return FindingSilent
	}
	return Find(server, report, err)
}

// begin records that a server is being checked.
func (c *Checker) begin(server azurehitch.ServerIdentity) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.checked[server] = true
}

// end records the result of a check.
func (c *Checker) end(server azurehitch.ServerIdentity, hasCrashed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.checked, server)
	if !hasCrashed {
		return
	}
	c.crashed = append(c.crashed, server)
	c.crashed = c.crashed[max(0, len(c.crashed)-maxCrashed):]
}

// isPathSound reports whether at least half of some other servers can be reached. It is true if there are none, or if
// all of them have crashed.
func (c *Checker) isPathSound(ctx context.Context, server azurehitch.ServerIdentity) bool {
	witnesses := c.witnesses(server)
	needed := int32(len(witnesses)+1) / 2
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var reached atomic.Int32
	var group errgroup.Group
	for _, witness := range witnesses {
		group.Go(func() error {
			if c.find(ctx, witness, witnessTimeout).isReached() && reached.Add(1) >= needed {
				cancel()
			}
			return nil
		})
	}
	return group.Wait() == nil && reached.Load() >= needed
}

// witnesses returns the servers whose reports show whether the path to a server is sound. A server that is being
// checked itself is asked only if there is no other one.
func (c *Checker) witnesses(server azurehitch.ServerIdentity) []azurehitch.ServerIdentity {
	candidates := c.candidates(server)
	c.mu.Lock()
	defer c.mu.Unlock()
	unchecked := slices.DeleteFunc(slices.Clone(candidates), func(s azurehitch.ServerIdentity) bool { return c.checked[s] })
	if len(unchecked) > 0 {
		candidates = unchecked
	}
	return candidates[:min(len(candidates), maxWitnesses)]
}

// candidates returns the other servers that run as far as this daemon knows, those in the failure domain of the server
// first. The order of the others depends on the server.
func (c *Checker) candidates(server azurehitch.ServerIdentity) []azurehitch.ServerIdentity {
	servers := c.Servers()
	domain := ""
	if i := slices.IndexFunc(servers, func(s azurehitch.FleetServer) bool { return s.ID == server.ID }); i >= 0 {
		domain = servers[i].FailureDomain
	}
	servers = slices.DeleteFunc(slices.Clone(servers), func(s azurehitch.FleetServer) bool {
		return s.ID == server.ID || s.ShuttingDown || s.Missing || c.hasCrashed(s.ServerIdentity)
	})
	distance := func(s azurehitch.FleetServer) int {
		if s.FailureDomain == domain {
			return 0
		}
		return 1
	}
	rank := func(s azurehitch.FleetServer) uint64 { return xxhash.Sum64String(s.ID + "\x00" + server.ID) }
	slices.SortFunc(servers, func(a, b azurehitch.FleetServer) int {
		return cmp.Or(cmp.Compare(distance(a), distance(b)), cmp.Compare(rank(a), rank(b)))
	})
	var identities []azurehitch.ServerIdentity
	for _, s := range servers {
		identities = append(identities, s.ServerIdentity)
	}
	return identities
}

// hasCrashed reports whether a check has found the crash of an incarnation of a server.
func (c *Checker) hasCrashed(server azurehitch.ServerIdentity) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Contains(c.crashed, server)
}
