package serverpath_test

import (
	"context"
	"fmt"
	"net"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"azurehitch"
	"azurehitch/internal/transport/serverpath"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
)

// way is what a dial to a server does.
type way string

// The ways. A dial to a server that has none succeeds at once.
const (
	wayOpen    way = "Open"
	wayHangs   way = "Hangs"
	wayRefused way = "Refused"
	wayNobody  way = "Nobody"
)

// network dials servers as its table says.
type network struct {
	mu   sync.Mutex
	ways map[string]way
	// dials counts the dials.
	dials int
}

func (n *network) set(w way, addresses ...string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.ways = map[string]way{}
	for _, address := range addresses {
		n.ways[address] = w
	}
}

func (n *network) count() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.dials
}

var errNobody = errors.New("nobody opens a tunnel")

// Dial implements serverpath.ConnDialer.
func (n *network) Dial(ctx context.Context, address string) (net.Conn, error) {
	n.mu.Lock()
	n.dials++
	w := n.ways[address]
	n.mu.Unlock()
	switch w {
	case wayHangs:
		<-ctx.Done()
		return nil, ctx.Err()
	case wayRefused:
		return nil, syscall.ECONNREFUSED
	case wayNobody:
		return nil, errNobody
	}
	conn, other := net.Pipe()
	return conn, other.Close()
}

// testDialer is a Dialer for servers that are reached in two ways.
type testDialer struct {
	*qt.C
	*serverpath.Dialer
	direct   *network
	indirect *network
	servers  []string

	mu      sync.Mutex
	silent  []string
	changes []bool
	group   errgroup.Group
}

// withDialer runs a test in virtual time with a dialer for a number of servers, and Run in the background.
func withDialer(t *testing.T, servers int, run func(d *testDialer)) {
	synctest.Test(t, func(t *testing.T) {
		d := &testDialer{C: qt.New(t), direct: &network{}, indirect: &network{}}
		for i := range servers {
			d.servers = append(d.servers, fmt.Sprintf("10.0.0.%d:80", i))
		}
		d.Dialer = serverpath.New(serverpath.Dependencies{
			Direct: d.direct, Indirect: d.indirect, Servers: func() []string { return d.servers }, OnSilent: d.addSilent,
			Observer: d, Clock: azurehitch.SystemClock{},
		})
		ctx, stop := context.WithCancel(context.Background())
		d.group.Go(func() error { return d.Dialer.Run(ctx) })
		defer func() {
			stop()
			d.Check(d.group.Wait(), qt.IsNil)
		}()
		run(d)
	})
}

func (d *testDialer) addSilent(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.silent = append(d.silent, address)
}

// PathBlocked implements serverpath.Observer.
func (d *testDialer) PathBlocked(string, error) {}

// PathOpen implements serverpath.Observer.
func (d *testDialer) PathOpen(string, time.Duration) {}

// CutOffChanged implements serverpath.Observer.
func (d *testDialer) CutOffChanged(isCutOff bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.changes = append(d.changes, isCutOff)
}

// dial dials a server, and returns how long it took.
func (d *testDialer) dial(server int) (time.Duration, error) {
	startedAt := time.Now()
	conn, err := d.Dial(context.Background(), d.servers[server])
	if err == nil {
		d.Assert(conn.Close(), qt.IsNil)
	}
	return time.Since(startedAt), err
}

// assertDials checks that a dial succeeds within a time.
func (d *testDialer) assertDials(server int, within time.Duration) {
	d.Helper()
	took, err := d.dial(server)
	d.Assert(err, qt.IsNil)
	d.Assert(took <= within, qt.IsTrue, qt.Commentf("took %v", took))
}

func (d *testDialer) pass(duration time.Duration) {
	d.Assert(azurehitch.SystemClock{}.Sleep(context.Background(), duration), qt.IsNil)
	synctest.Wait()
}

func TestOtherDaemonIsNotAskedWhileServersAreReached(t *testing.T) {
	withDialer(t, 4, func(d *testDialer) {
		for i := range d.servers {
			d.assertDials(i, 0)
		}
		d.Assert(d.indirect.count(), qt.Equals, 0)
		d.Assert(d.direct.count(), qt.Equals, len(d.servers))
	})
}

func TestFirstRequestOfCutDaemonWaitsOnceOnly(t *testing.T) {
	for _, w := range []way{wayHangs, wayRefused} {
		t.Run(string(w), func(t *testing.T) {
			withDialer(t, 20, func(d *testDialer) {
				d.direct.set(w, d.servers...)
				d.assertDials(0, 200*time.Millisecond)
				d.assertDials(0, 0)
				d.pass(time.Second)
				d.Assert(d.IsCutOff(), qt.IsTrue)
				for i := range d.servers {
					d.assertDials(i, 0)
				}
			})
		})
	}
}

func TestOpenConnectionsLiveOnWhileNewOnesAreRefused(t *testing.T) {
	for w, wantClosed := range map[way]bool{wayHangs: true, wayRefused: false} {
		t.Run(string(w), func(t *testing.T) {
			withDialer(t, 5, func(d *testDialer) {
				d.direct.set(w, d.servers...)
				d.assertDials(0, 200*time.Millisecond)
				d.pass(time.Second)
				d.Assert(len(d.silent) > 0, qt.Equals, wantClosed)
			})
		})
	}
}

func TestServerThatNobodyReachesBlocksNoPath(t *testing.T) {
	for direct, indirect := range map[way]way{wayRefused: wayRefused, wayHangs: wayHangs} {
		t.Run(string(direct), func(t *testing.T) {
			withDialer(t, 5, func(d *testDialer) {
				d.direct.set(direct, d.servers...)
				d.indirect.set(indirect, d.servers...)
				for i := range d.servers {
					_, err := d.dial(i)
					d.Assert(err, qt.IsNotNil)
					d.Assert(d.IsBlocked(d.servers[i]), qt.IsFalse)
				}
				d.Assert(d.IsCutOff(), qt.IsFalse)
			})
		})
	}
}

func TestDaemonWithoutOthersReportsFailureOfServer(t *testing.T) {
	withDialer(t, 5, func(d *testDialer) {
		d.direct.set(wayRefused, d.servers...)
		d.indirect.set(wayNobody, d.servers...)
		_, err := d.dial(0)
		d.Assert(err, qt.ErrorIs, syscall.ECONNREFUSED)
	})
}

func TestCutDaemonBlamesNoServerForMissingTunnel(t *testing.T) {
	withDialer(t, 5, func(d *testDialer) {
		d.direct.set(wayHangs, d.servers...)
		d.assertDials(0, 200*time.Millisecond)
		d.indirect.set(wayNobody, d.servers...)
		took, err := d.dial(0)
		var noPath *serverpath.ErrNoPath
		d.Assert(err, qt.ErrorAs, &noPath)
		d.Assert(took, qt.Equals, time.Duration(0))
	})
}

func TestEndOfCutIsFoundWithoutRequests(t *testing.T) {
	withDialer(t, 20, func(d *testDialer) {
		d.direct.set(wayHangs, d.servers...)
		d.assertDials(0, 200*time.Millisecond)
		d.pass(time.Second)
		d.Assert(d.IsCutOff(), qt.IsTrue)
		d.direct.set(wayOpen)
		d.pass(time.Second)
		d.Assert(d.IsCutOff(), qt.IsFalse)
		d.Assert(d.changes, qt.DeepEquals, []bool{true, false})
		d.pass(5 * time.Second)
		before := d.indirect.count()
		for i := range d.servers {
			d.assertDials(i, 0)
		}
		d.Assert(d.indirect.count(), qt.Equals, before)
	})
}

func TestCutFromSomeServersBlocksThoseOnly(t *testing.T) {
	withDialer(t, 20, func(d *testDialer) {
		d.direct.set(wayHangs, d.servers[:5]...)
		for range 20 {
			for i := range d.servers {
				d.assertDials(i, 200*time.Millisecond)
			}
			d.pass(100 * time.Millisecond)
			d.Assert(d.IsCutOff(), qt.IsFalse)
		}
		for i, address := range d.servers {
			d.Assert(d.IsBlocked(address), qt.Equals, i < 5)
		}
	})
}

func TestSilentConnectionShowsCutDaemon(t *testing.T) {
	withDialer(t, 5, func(d *testDialer) {
		d.direct.set(wayHangs, d.servers...)
		d.Suspect(d.servers[0])
		d.pass(time.Second)
		d.Assert(d.IsCutOff(), qt.IsTrue)
	})
}

func TestSilentServerIsCheckedRarelyWhileOthersAnswer(t *testing.T) {
	withDialer(t, 5, func(d *testDialer) {
		for range 100 {
			d.Suspect(d.servers[0])
			d.pass(100 * time.Millisecond)
		}
		d.Assert(d.direct.count() <= 12, qt.IsTrue, qt.Commentf("%d dials in 10 s", d.direct.count()))
	})
}
