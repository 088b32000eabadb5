package tunnelpeer_test

import (
	"context"
	"net"
	"testing"
	"time"

	"azurehitch"

	qt "github.com/frankban/quicktest"
)

// TestTunnelOutlivesClientOfServerThatDoesNotRead guards against a tunnel that lives on after its client
// has given up a long request while the server did not read.
func TestTunnelOutlivesClientOfServerThatDoesNotRead(t *testing.T) {
	c := qt.New(t)
	ended := make(chan struct{})
	address := startServer(c, func(conn *net.TCPConn) {
		<-ended
		conn.Close()
	})
	c.Cleanup(func() { close(ended) })
	through := startDaemon(c, "a", 8)
	conn := dial(c, newClient(through), address)
	c.Assert(conn.SetWriteDeadline(time.Now().Add(500*time.Millisecond)), qt.IsNil)
	for err := error(nil); err == nil; {
		_, err = conn.Write(make([]byte, 64<<10))
	}
	c.Assert(conn.(interface{ SetLinger(int) error }).SetLinger(0), qt.IsNil)
	c.Assert(conn.Close(), qt.IsNil)
	ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer cancel()
	for through.server.Active() > 0 {
		c.Assert(azurehitch.SystemClock{}.Sleep(ctx, 5*time.Millisecond), qt.IsNil)
	}
}
