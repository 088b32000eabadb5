package tunnelpeer_test

import (
	"context"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"azurehitch"
	"azurehitch/internal/transport/connpool"
	"azurehitch/internal/transport/tunnelpeer"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"
)

// testTimeout bounds the reads of a test.
const testTimeout = 5 * time.Second

// daemon is a daemon that opens tunnels.
type daemon struct {
	*qt.C
	server     *tunnelpeer.Server
	peer       tunnelpeer.Peer
	stop       context.CancelFunc
	isStopping atomic.Bool
	isBlocked  atomic.Bool
	isUnlisted atomic.Bool
	served     atomic.Int64
}

// startDaemon starts a daemon that opens at most maxTunnels tunnels.
func startDaemon(c *qt.C, name string, maxTunnels int) *daemon {
	return startDaemonWithDialer(c, name, maxTunnels, connpool.DirectDialer{})
}

// startDaemonWithDialer starts a daemon that opens its connections to servers with a Dialer.
func startDaemonWithDialer(c *qt.C, name string, maxTunnels int, dialer connpool.Dialer) *daemon {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	d := &daemon{C: c, peer: tunnelpeer.Peer{Name: name, Address: listener.Addr().String()}}
	d.server = tunnelpeer.NewServer(listener, tunnelpeer.ServerDependencies{
		Dialer: dialer, IsServer: func(string) bool { return !d.isUnlisted.Load() },
		IsBlocked: func(string) bool { return d.isBlocked.Load() }, IsStopping: d.isStopping.Load, OnFailed: func() {},
		MaxTunnels: maxTunnels, Clock: azurehitch.SystemClock{}, OnOutcome: func(tunnelpeer.Outcome) { d.served.Add(1) },
	})
	ctx, stop := context.WithCancel(context.Background())
	d.stop = stop
	var group errgroup.Group
	group.Go(func() error { return d.server.Run(ctx) })
	c.Cleanup(func() {
		stop()
		c.Check(group.Wait(), qt.IsNil)
	})
	return d
}

// newClient returns a client that asks some daemons.
func newClient(daemons ...*daemon) *tunnelpeer.Client {
	return tunnelpeer.NewClient(tunnelpeer.ClientDependencies{
		Self: "client", Clock: azurehitch.SystemClock{}, OnOutcome: func(tunnelpeer.Outcome) {},
		Peers: func() []tunnelpeer.Peer {
			var peers []tunnelpeer.Peer
			for _, d := range daemons {
				peers = append(peers, d.peer)
			}
			return peers
		},
	})
}

// startServer starts a server whose connections are handled by handle, and returns its address.
func startServer(c *qt.C, handle func(conn *net.TCPConn)) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	var group errgroup.Group
	group.Go(func() error {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return nil
			}
			group.Go(func() error {
				handle(conn.(*net.TCPConn))
				return nil
			})
		}
	})
	c.Cleanup(func() {
		c.Check(listener.Close(), qt.IsNil)
		c.Check(group.Wait(), qt.IsNil)
	})
	return listener.Addr().String()
}

// dial opens a tunnel whose reads fail after testTimeout.
func dial(c *qt.C, client *tunnelpeer.Client, server string) net.Conn {
	conn, err := client.Dial(context.Background(), server)
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { conn.Close() })
	c.Assert(conn.SetDeadline(time.Now().Add(testTimeout)), qt.IsNil)
	return conn
}

// await polls a condition for at most testTimeout.
func await(c *qt.C, condition func() bool) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	for !condition() {
		c.Assert(azurehitch.SystemClock{}.Sleep(ctx, 5*time.Millisecond), qt.IsNil)
	}
}

func TestBytesPassUnchanged(t *testing.T) {
	c := qt.New(t)
	address := startServer(c, func(conn *net.TCPConn) {
		defer conn.Close()
		request := make([]byte, 100_000)
		_, err := io.ReadFull(conn, request)
		c.Check(err, qt.IsNil)
		_, err = conn.Write(request)
		c.Check(err, qt.IsNil)
	})
	through := startDaemon(c, "a", 8)
	conn := dial(c, newClient(through), address)
	request := make([]byte, 100_000)
	for i := range request {
		request[i] = byte(i % 251)
	}
	_, err := conn.Write(request)
	c.Assert(err, qt.IsNil)
	answer, err := io.ReadAll(conn)
	c.Assert(err, qt.IsNil)
	c.Assert(answer, qt.DeepEquals, request)
	c.Assert(conn.Close(), qt.IsNil)
	await(c, func() bool { return through.server.Active() == 0 })
}

func TestAnswerThatIsBrokenOffIsNotComplete(t *testing.T) {
	for name, breakOff := range map[string]func(through *daemon, conn *net.TCPConn){
		"by the server": func(_ *daemon, conn *net.TCPConn) {
			_ = conn.SetLinger(0)
			_ = conn.Close()
		},
		"by the end of the daemon on the way": func(through *daemon, _ *net.TCPConn) { through.stop() },
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			through := startDaemon(c, "a", 8)
			wasRead := make(chan struct{})
			address := startServer(c, func(conn *net.TCPConn) {
				defer conn.Close()
				_, err := conn.Write([]byte("half"))
				c.Check(err, qt.IsNil)
				<-wasRead
				breakOff(through, conn)
				_, _ = io.ReadAll(conn)
			})
			conn := dial(c, newClient(through), address)
			_, err := io.ReadFull(conn, make([]byte, len("half")))
			c.Assert(err, qt.IsNil)
			close(wasRead)
			rest, err := io.ReadAll(conn)
			c.Assert(err, qt.IsNotNil)
			c.Assert(rest, qt.HasLen, 0)
		})
	}
}

func TestServerSeesThatCallerHasGone(t *testing.T) {
	c := qt.New(t)
	ended := make(chan error, 1)
	address := startServer(c, func(conn *net.TCPConn) {
		defer conn.Close()
		_, err := io.ReadAll(conn)
		ended <- err
	})
	conn := dial(c, newClient(startDaemon(c, "a", 8)), address)
	_, err := conn.Write([]byte("request"))
	c.Assert(err, qt.IsNil)
	c.Assert(conn.Close(), qt.IsNil)
	select {
	case <-ended:
	case <-time.After(500 * time.Millisecond):
		c.Fatal("the server still works half a second after the caller has gone")
	}
}

func TestServerThatAnswersBeforeItHasReadIsHeard(t *testing.T) {
	c := qt.New(t)
	address := startServer(c, func(conn *net.TCPConn) {
		_, err := conn.Write([]byte("early"))
		c.Check(err, qt.IsNil)
		c.Check(conn.CloseWrite(), qt.IsNil)
		_, _ = io.ReadAll(conn)
		conn.Close()
	})
	conn := dial(c, newClient(startDaemon(c, "a", 8)), address)
	_, err := conn.Write(make([]byte, 64<<10))
	c.Assert(err, qt.IsNil)
	answer, err := io.ReadAll(conn)
	c.Assert(err, qt.IsNil)
	c.Assert(string(answer), qt.Equals, "early")
}

func TestOtherDaemonIsAsked(t *testing.T) {
	for name, prepare := range map[string]func(first *daemon){
		"the first stops":                           func(first *daemon) { first.isStopping.Store(true) },
		"the first does not reach the server":       func(first *daemon) { first.isBlocked.Store(true) },
		"the first does not know the server":        func(first *daemon) { first.isUnlisted.Store(true) },
		"the first has ended":                       func(first *daemon) { first.stop() },
		"the first does not answer":                 func(first *daemon) { first.peer.Address = silentAddress(first.C) },
		"the first has an address that is not used": func(first *daemon) { first.peer.Address = unusedAddress(first.C) },
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			address := startServer(c, func(conn *net.TCPConn) { conn.Close() })
			first, second := startDaemon(c, "a", 8), startDaemon(c, "b", 8)
			prepare(first)
			client := newClient(first, second)
			for range 8 {
				c.Assert(dial(c, client, address).(*tunnelpeer.Conn).Through(), qt.Equals, "b")
			}
			c.Assert(first.served.Load() <= 1, qt.IsTrue)
		})
	}
}

// silentAddress returns an address that accepts connections and never answers.
func silentAddress(c *qt.C) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { listener.Close() })
	return listener.Addr().String()
}

func TestDaemonsThatDoNotAnswerCostLittleTime(t *testing.T) {
	c := qt.New(t)
	address := startServer(c, func(conn *net.TCPConn) { conn.Close() })
	var daemons []*daemon
	for _, name := range []string{"a", "b", "c"} {
		d := startDaemon(c, name, 8)
		d.peer.Address = silentAddress(c)
		daemons = append(daemons, d)
	}
	sound := startDaemon(c, "d", 8)
	sound.peer.FailureDomain = "other"
	client := newClient(append(daemons, sound)...)
	for range 4 {
		startedAt := time.Now()
		dial(c, client, address)
		c.Assert(time.Since(startedAt) < 250*time.Millisecond, qt.IsTrue)
	}
}

// unusedAddress returns an address that refuses connections.
func unusedAddress(c *qt.C) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Assert(listener.Close(), qt.IsNil)
	return listener.Addr().String()
}

func TestServerThatRefusesIsReported(t *testing.T) {
	c := qt.New(t)
	client := newClient(startDaemon(c, "a", 8), startDaemon(c, "b", 8))
	_, err := client.Dial(context.Background(), unusedAddress(c))
	c.Assert(err, qt.ErrorIs, syscall.ECONNREFUSED)
}

func TestDaemonThatHasEndedIsNotTakenForServer(t *testing.T) {
	c := qt.New(t)
	gone := startDaemon(c, "a", 8)
	gone.peer.Address = unusedAddress(c)
	_, err := newClient(gone).Dial(context.Background(), unusedAddress(c))
	c.Assert(err, qt.IsNotNil)
	c.Assert(err, qt.Not(qt.ErrorIs), syscall.ECONNREFUSED)
}

func TestTunnelsAreBoundedAndSpread(t *testing.T) {
	c := qt.New(t)
	const each = 4
	address := startServer(c, func(conn *net.TCPConn) {
		defer conn.Close()
		_, _ = io.ReadAll(conn)
	})
	first, second := startDaemon(c, "a", each), startDaemon(c, "b", each)
	client := newClient(first, second)
	for range 2 * each {
		dial(c, client, address)
	}
	c.Assert(first.server.Active(), qt.Equals, each)
	c.Assert(second.server.Active(), qt.Equals, each)
	_, err := client.Dial(context.Background(), address)
	var failed *tunnelpeer.ErrTunnel
	c.Assert(err, qt.ErrorAs, &failed)
	c.Assert(failed.Outcome, qt.Equals, tunnelpeer.OutcomeBusy)
}
