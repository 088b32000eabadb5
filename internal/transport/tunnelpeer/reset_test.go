package tunnelpeer_test

import (
	"io"
	"net"
	"testing"

	"azurehitch/internal/standin/hookconn"
	"azurehitch/internal/transport/connpool"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"
)

// TestResetDuringUploadIsNoEnd guards against a tunnel that ends in order although the server has reset its connection:
// the write of the request at the daemon on the way sees the reset, and the read of the answer then only an end.
func TestResetDuringUploadIsNoEnd(t *testing.T) {
	const (
		plays      = 20
		requestLen = 1 << 20
	)
	for name, test := range map[string]struct {
		dialer connpool.Dialer
		plays  int
	}{
		"seen by the write":      {hookconn.Dialer{Dialer: connpool.DirectDialer{}}, 1},
		"seen by whatever comes": {connpool.DirectDialer{}, plays},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			address := startServer(c, func(conn *net.TCPConn) {
				defer conn.Close()
				_, _ = conn.Read(make([]byte, 1<<10))
				_, _ = conn.Write([]byte("half"))
				_ = conn.SetLinger(0)
			})
			client := newClient(startDaemonWithDialer(c, "a", 8, test.dialer))
			for range test.plays {
				conn := dial(c, client, address)
				var group errgroup.Group
				group.Go(func() error {
					// The tunnel may end at any time.
					_, _ = conn.Write(make([]byte, requestLen))
					return nil
				})
				_, err := io.ReadAll(conn)
				c.Check(err, qt.IsNotNil)
				c.Assert(conn.Close(), qt.IsNil)
				c.Assert(group.Wait(), qt.IsNil)
			}
		})
	}
}
