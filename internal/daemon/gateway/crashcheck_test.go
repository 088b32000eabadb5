package gateway

import (
	"context"
	"net"
	"slices"
	"syscall"
	"testing"
	"time"

	"azurehitch"
	"azurehitch/internal/membership/fleet"
	"azurehitch/internal/transport/connpool"
	"azurehitch/internal/transport/serverpath"

	qt "github.com/frankban/quicktest"
)

// partlyReached is an azurehitch.EngineControl of a daemon that can't connect to some servers.
type partlyReached struct {
	azurehitch.EngineControl
	unreached []string
}

// Report implements azurehitch.EngineControl.
func (p partlyReached) Report(_ context.Context, server azurehitch.ServerIdentity) (azurehitch.ServerReport, error) {
	if slices.Contains(p.unreached, server.ID) {
		return azurehitch.ServerReport{}, &connpool.ErrExchange{Address: server.Address, Cause: syscall.ECONNREFUSED}
	}
	return azurehitch.ServerReport{Incarnation: server.Incarnation}, nil
}

// newPartlyCut returns a daemon that knows some servers and can't connect to those in unreached. The first letter
// of a server is its failure domain.
func newPartlyCut(servers []string, unreached ...string) *Daemon {
	decode := func(id string, _ []byte) (azurehitch.FleetServer, error) {
		identity := azurehitch.ServerIdentity{ID: id, Address: id, Incarnation: 1}
		return azurehitch.FleetServer{ServerIdentity: identity, Service: "llm", FailureDomain: id[:1]}, nil
	}
	platform := Platform{Engines: partlyReached{unreached: unreached}, Clock: azurehitch.SystemClock{}}
	d := &Daemon{Platform: platform, fleet: fleet.NewFold(decode, discardChanges{})}
	var records []azurehitch.KeyedRecord
	for _, id := range servers {
		records = append(records, azurehitch.KeyedRecord{Key: id, Value: []byte(id)})
	}
	d.fleet.Replace(records, time.Unix(1000, 0))
	d.paths = newTestPaths(unreached, nil)
	d.crashes = d.newCrashChecker()
	return d
}

// stubDialer is a serverpath.ConnDialer that can't connect to some servers.
type stubDialer struct{ reaches func(id string) bool }

// Dial implements serverpath.ConnDialer.
func (s stubDialer) Dial(_ context.Context, address string) (net.Conn, error) {
	if !s.reaches(address) {
		return nil, syscall.ECONNREFUSED
	}
	conn, _ := net.Pipe()
	return conn, nil
}

// newTestPaths returns the paths to servers of which this daemon does not reach some, and other daemons reach others.
func newTestPaths(unreached, reachedByOthers []string) *serverpath.Dialer {
	return serverpath.New(serverpath.Dependencies{
		Direct:   stubDialer{func(id string) bool { return !slices.Contains(unreached, id) }},
		Indirect: stubDialer{func(id string) bool { return slices.Contains(reachedByOthers, id) }},
		Servers:  func() []string { return []string{"a1", "a2", "a3", "b1", "b2", "b3"} },
		OnSilent: func(string) {}, Observer: discardPaths{}, Clock: azurehitch.SystemClock{},
	})
}

// discardPaths is a serverpath.Observer that ignores all events.
type discardPaths struct{}

// PathBlocked implements serverpath.Observer.
func (discardPaths) PathBlocked(string, error) {}

// PathOpen implements serverpath.Observer.
func (discardPaths) PathOpen(string, time.Duration) {}

// CutOffChanged implements serverpath.Observer.
func (discardPaths) CutOffChanged(bool) {}

// discardChanges is a fleet.Observer that ignores all events.
type discardChanges struct{}

// ServerChanged implements fleet.Observer.
func (discardChanges) ServerChanged(azurehitch.FleetServer, fleet.Change) {}

// ShutdownNoticed implements fleet.Observer.
func (discardChanges) ShutdownNoticed(azurehitch.ServerIdentity, fleet.Source) {}

// EntryUnreadable implements fleet.Observer.
func (discardChanges) EntryUnreadable(string, error) {}

// hasEndedAll returns which servers a daemon takes for crashed when they break off requests one after the other.
func hasEndedAll(d *Daemon, servers ...string) []string {
	var ended []string
	for _, id := range servers {
		if d.hasEnded(context.Background(), azurehitch.ServerIdentity{ID: id, Address: id, Incarnation: 1}) {
			ended = append(ended, id)
		}
	}
	return ended
}

func TestCutDaemonAccusesNoSoundServer(t *testing.T) {
	servers := []string{"a1", "a2", "a3", "a4", "b1", "b2", "b3", "b4"}
	t.Run("no server can be reached", func(t *testing.T) {
		qt.Assert(t, hasEndedAll(newPartlyCut(servers, servers...), "a1", "b1", "b2"), qt.HasLen, 0)
	})
	t.Run("no server of one failure domain can be reached", func(t *testing.T) {
		qt.Assert(t, hasEndedAll(newPartlyCut(servers, "a1", "a2", "a3", "a4"), "a1", "a3"), qt.HasLen, 0)
	})
}

func TestPartlyCutDaemonAccusesNoSoundServer(t *testing.T) {
	d := newPartlyCut([]string{"a1", "a2", "a3", "b1", "b2", "b3"}, "a1", "b1")
	d.paths = newTestPaths([]string{"a1", "b1"}, []string{"a1"})
	qt.Assert(t, hasEndedAll(d, "a1", "b1"), qt.DeepEquals, []string{"b1"})
}

func TestCrashedServersAreFound(t *testing.T) {
	t.Run("one of many", func(t *testing.T) {
		d := newPartlyCut([]string{"a1", "a2", "a3", "b1", "b2"}, "a2")
		qt.Assert(t, hasEndedAll(d, "a2"), qt.DeepEquals, []string{"a2"})
	})
	t.Run("the only one", func(t *testing.T) {
		d := newPartlyCut([]string{"a1"}, "a1")
		qt.Assert(t, hasEndedAll(d, "a1"), qt.DeepEquals, []string{"a1"})
	})
}

func TestServerThatAnswersHasNotCrashed(t *testing.T) {
	d := newPartlyCut([]string{"a1", "a2"})
	qt.Assert(t, hasEndedAll(d, "a1", "a2"), qt.HasLen, 0)
}
