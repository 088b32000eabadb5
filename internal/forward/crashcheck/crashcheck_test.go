package crashcheck_test

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"

	"azurehitch"
	"azurehitch/internal/forward/crashcheck"
	"azurehitch/internal/transport/connpool"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"
)

// servers are the servers of a daemon and what it can reach. The first letter of a server is its failure domain.
type servers struct {
	all       []string
	unreached []string
	replaced  []string
	// reachedByOthers are the servers that other daemons reach.
	reachedByOthers []string
	isCutOff        atomic.Bool
	// onReport, if not nil, is called before each report with the ID of the server.
	onReport func(id string)
}

func identity(id string) azurehitch.ServerIdentity {
	return azurehitch.ServerIdentity{ID: id, Address: id, Incarnation: 1}
}

func (s *servers) report(_ context.Context, server azurehitch.ServerIdentity) (azurehitch.ServerReport, error) {
	if s.onReport != nil {
		s.onReport(server.ID)
	}
	switch {
	case slices.Contains(s.unreached, server.ID):
		return azurehitch.ServerReport{}, &connpool.ErrExchange{Address: server.Address, Cause: syscall.ECONNRESET}
	case slices.Contains(s.replaced, server.ID):
		return azurehitch.ServerReport{Incarnation: server.Incarnation + 1}, nil
	}
	return azurehitch.ServerReport{Incarnation: server.Incarnation}, nil
}

func (s *servers) list() []azurehitch.FleetServer {
	var list []azurehitch.FleetServer
	for _, id := range s.all {
		list = append(list, azurehitch.FleetServer{ServerIdentity: identity(id), FailureDomain: id[:1]})
	}
	return list
}

func (s *servers) checker() *crashcheck.Checker {
	return crashcheck.New(crashcheck.Dependencies{
		IsReachedByOthers: func(_ context.Context, server azurehitch.ServerIdentity) bool {
			return slices.Contains(s.reachedByOthers, server.ID)
		},
		Report: s.report, Servers: s.list, IsCutOff: s.isCutOff.Load,
	})
}

// assertCrashed checks, one after the other, whether a checker takes servers for crashed.
func assertCrashed(t *testing.T, checker *crashcheck.Checker, want bool, ids ...string) {
	t.Helper()
	for _, id := range ids {
		qt.Assert(t, checker.HasCrashed(context.Background(), identity(id)), qt.Equals, want, qt.Commentf("%s", id))
	}
}

func TestHasCrashed(t *testing.T) {
	all := []string{"a1", "a2", "a3", "b1", "b2", "b3"}
	t.Run("another incarnation answers", func(t *testing.T) {
		s := &servers{all: all, replaced: []string{"a1"}}
		assertCrashed(t, s.checker(), true, "a1")
	})
	t.Run("not while the daemon is cut off", func(t *testing.T) {
		s := &servers{all: all, replaced: []string{"a1"}, unreached: []string{"a2"}}
		s.isCutOff.Store(true)
		assertCrashed(t, s.checker(), false, "a1", "a2")
	})
	t.Run("not if the daemon turns out to be cut off", func(t *testing.T) {
		s := &servers{all: all, unreached: []string{"a1"}}
		s.onReport = func(string) { s.isCutOff.Store(true) }
		assertCrashed(t, s.checker(), false, "a1")
	})
	t.Run("others in its failure domain are reached", func(t *testing.T) {
		s := &servers{all: all, unreached: []string{"a1", "b1", "b2", "b3"}}
		assertCrashed(t, s.checker(), true, "a1")
	})
	t.Run("not if another daemon reaches it", func(t *testing.T) {
		s := &servers{all: all, unreached: []string{"a1"}, reachedByOthers: []string{"a1"}}
		assertCrashed(t, s.checker(), false, "a1")
	})
	t.Run("one after the other, until none is left", func(t *testing.T) {
		s := &servers{all: []string{"a1", "a2"}, unreached: []string{"a1"}}
		checker := s.checker()
		assertCrashed(t, checker, true, "a1")
		s.unreached = append(s.unreached, "a2")
		assertCrashed(t, checker, true, "a2")
	})
	t.Run("restarted servers show that the path is sound", func(t *testing.T) {
		s := &servers{all: []string{"a1", "a2", "a3"}, unreached: []string{"a1"}, replaced: []string{"a2", "a3"}}
		assertCrashed(t, s.checker(), true, "a1")
	})
}

// TestConnectionsLostAtOnce checks two servers whose connections break at the same moment.
func TestConnectionsLostAtOnce(t *testing.T) {
	s := &servers{all: []string{"a1", "a2"}, unreached: []string{"a1", "a2"}}
	var began sync.WaitGroup
	began.Add(2)
	var once [2]sync.Once
	s.onReport = func(id string) {
		once[int(id[1]-'1')].Do(began.Done)
		began.Wait()
	}
	checker := s.checker()
	var group errgroup.Group
	for _, id := range s.all {
		group.Go(func() error {
			assertCrashed(t, checker, false, id)
			return nil
		})
	}
	qt.Assert(t, group.Wait(), qt.IsNil)
}
