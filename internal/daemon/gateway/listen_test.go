package gateway_test

import (
	"context"
	"encoding/json"
	"net"
	"testing"
	"time"

	"azurehitch/internal/daemon/gateway"
	"azurehitch/internal/membership/members"
	"azurehitch/platform"

	qt "github.com/frankban/quicktest"
)

func TestChosenPortsAreReported(t *testing.T) {
	t.Parallel()
	withDaemon(t, func(env *testEnv) {
		addresses := env.daemon.Addresses()
		for _, address := range []string{addresses.Callers, addresses.Ready, addresses.Peers, addresses.Metrics} {
			conn, err := net.DialTimeout("tcp", address, time.Second)
			env.Assert(err, qt.IsNil)
			env.Assert(conn.Close(), qt.IsNil)
		}
		env.Assert(env.await(time.Second, func() bool { return env.publishedPeerAddress() == addresses.Peers }), qt.IsTrue)
	})
}

// publishedPeerAddress returns the address at which other daemons find the only daemon, or an empty string.
func (env *testEnv) publishedPeerAddress() string {
	batch, err := platform.NewStore(env.settings.Store, "test", env.settings.MaxStoreAnswer).Newest(context.Background(), "members")
	env.Assert(err, qt.IsNil)
	var member members.Member
	for _, record := range batch.Records {
		env.Assert(json.Unmarshal(record.Value, &member), qt.IsNil)
	}
	return member.Address
}

func TestFailedStartKeepsNoListener(t *testing.T) {
	c := qt.New(t)
	taken, err := net.Listen("tcp", anyPort)
	c.Assert(err, qt.IsNil)
	defer taken.Close()
	s := gateway.DefaultSettings()
	s.Callers, s.Ready, s.Peers, s.Metrics = anyPort, anyPort, anyPort, taken.Addr().String()
	daemon, err := gateway.New(s, gateway.Platform{})
	c.Assert(err, qt.ErrorMatches, "listen for metrics on .*")
	c.Assert(daemon, qt.IsNil)
}
