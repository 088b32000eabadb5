package gateway

import (
	"context"
	"testing"

	"azurehitch"
	"azurehitch/internal/membership/fleet"

	qt "github.com/frankban/quicktest"
)

// newPartlyBlocked returns a daemon with two servers of the service a and four of b, after it has dialed all of them:
// those in blocked are reached by other daemons only. The first letter of a server is its service.
func newPartlyBlocked(blocked ...string) *Daemon {
	decode := func(id string, _ []byte) (azurehitch.FleetServer, error) {
		return azurehitch.FleetServer{ServerIdentity: azurehitch.ServerIdentity{ID: id, Address: id}, Service: id[:1]}, nil
	}
	servers := []string{"a1", "a2", "b1", "b2", "b3", "b4"}
	d := &Daemon{fleet: fleet.NewFold(decode, discardChanges{}), paths: newTestPaths(blocked, servers)}
	var records []azurehitch.KeyedRecord
	for _, id := range servers {
		records = append(records, azurehitch.KeyedRecord{Key: id, Value: []byte(id)})
	}
	d.fleet.Replace(records, azurehitch.SystemClock{}.Now())
	for _, id := range servers {
		if conn, err := d.paths.Dial(context.Background(), id); err == nil {
			conn.Close()
		}
	}
	return d
}

func assertUnreachable(t *testing.T, d *Daemon, service string, want bool) {
	t.Helper()
	qt.Assert(t, d.isUnreachable(service), qt.Equals, want, qt.Commentf("service %s", service))
}

func TestLeaseHeldWithoutServersOfItsService(t *testing.T) {
	t.Run("some servers are reached", func(t *testing.T) {
		d := newPartlyBlocked("a1", "b3")
		assertUnreachable(t, d, "a", false)
		assertUnreachable(t, d, "b", false)
	})
	t.Run("none of one service", func(t *testing.T) {
		d := newPartlyBlocked("a1", "a2")
		assertUnreachable(t, d, "a", true)
		assertUnreachable(t, d, "b", false)
	})
	t.Run("a service without servers", func(t *testing.T) {
		assertUnreachable(t, newPartlyBlocked("a1"), "c", false)
	})
}
