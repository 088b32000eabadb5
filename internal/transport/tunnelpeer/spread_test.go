package tunnelpeer_test

import (
	"fmt"
	"io"
	"net"
	"testing"

	"azurehitch"
	"azurehitch/internal/transport/tunnelpeer"

	qt "github.com/frankban/quicktest"
)

const (
	// domains is the number of failure domains, and tunnelsEach how many tunnels each cut daemon opens.
	domains     = 4
	tunnelsEach = 8
)

func TestCutDaemonsLoadOthersEvenly(t *testing.T) {
	for name, test := range map[string]struct {
		daemons int
		isCut   func(i int) bool
	}{
		"9, half of all":                {9, func(i int) bool { return i%2 == 1 }},
		"9, a failure domain":           {9, func(i int) bool { return i%domains == 0 }},
		"95, half of all":               {95, func(i int) bool { return i%2 == 1 }},
		"95, a failure domain":          {95, func(i int) bool { return i%domains == 0 }},
		"95, half of a failure domain":  {95, func(i int) bool { return i%(2*domains) == 0 }},
		"300, half of all":              {300, func(i int) bool { return i%2 == 1 }},
		"300, a failure domain":         {300, func(i int) bool { return i%domains == 0 }},
		"300, half of a failure domain": {300, func(i int) bool { return i%(2*domains) == 0 }},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			s := openFromCutDaemons(c, test.daemons, test.isCut)
			c.Logf("%d tunnels, %.2f daemons asked for each, at most %d through one daemon, %.1f on average",
				s.tunnels, float64(s.asked)/float64(s.tunnels), s.most, s.mean)
			c.Check(float64(s.asked)/float64(s.tunnels) <= 2.5, qt.IsTrue)
			c.Check(s.most <= 3*tunnelsEach, qt.IsTrue, qt.Commentf("one daemon has more than the load of three"))
		})
	}
}

// spread is how the tunnels of cut daemons are spread over the others.
type spread struct {
	tunnels int
	// asked is the number of daemons that were asked, and most and mean the tunnels through one daemon.
	asked int
	most  int
	mean  float64
}

// openFromCutDaemons opens tunnelsEach tunnels from each cut daemon, one daemon after the other.
func openFromCutDaemons(c *qt.C, count int, isCut func(i int) bool) spread {
	address := startServer(c, func(conn *net.TCPConn) {
		defer conn.Close()
		_, _ = io.ReadAll(conn)
	})
	var all []*daemon
	for i := range count {
		d := startDaemon(c, fmt.Sprint("daemon-", i), count)
		d.peer.FailureDomain = fmt.Sprint("z", i%domains)
		d.isBlocked.Store(isCut(i))
		all = append(all, d)
	}
	var s spread
	for i, d := range all {
		if !isCut(i) {
			continue
		}
		client := newClientAt(d, all)
		for range tunnelsEach {
			dial(c, client, address)
			s.tunnels++
		}
	}
	open := 0
	for i, d := range all {
		s.asked += int(d.served.Load())
		s.most = max(s.most, d.server.Active())
		if !isCut(i) {
			open++
		}
	}
	s.mean = float64(s.tunnels) / float64(open)
	return s
}

// newClientAt returns the client of one of the daemons.
func newClientAt(self *daemon, all []*daemon) *tunnelpeer.Client {
	return tunnelpeer.NewClient(tunnelpeer.ClientDependencies{
		Self: self.peer.Name, FailureDomain: self.peer.FailureDomain, Clock: azurehitch.SystemClock{}, OnOutcome: func(tunnelpeer.Outcome) {},
		Peers: func() []tunnelpeer.Peer {
			var peers []tunnelpeer.Peer
			for _, d := range all {
				peers = append(peers, d.peer)
			}
			return peers
		},
	})
}
