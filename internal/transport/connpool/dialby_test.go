package connpool_test

import (
	"context"
	"net"
	"strconv"
	"testing"
	"time"

	"azurehitch"
	"azurehitch/internal/transport/connpool"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"
	"golang.org/x/sys/unix"
)

// TestDialCutShortIsNotHeldAgainstServer guards against a dial that ends at DialBy with the error of a server.
func TestDialCutShortIsNotHeldAgainstServer(t *testing.T) {
	c := qt.New(t)
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM, 0)
	c.Assert(err, qt.IsNil)
	defer unix.Close(fd)
	c.Assert(unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}), qt.IsNil)
	c.Assert(unix.Listen(fd, 0), qt.IsNil)
	bound, err := unix.Getsockname(fd)
	c.Assert(err, qt.IsNil)
	address := net.JoinHostPort("127.0.0.1", strconv.Itoa(bound.(*unix.SockaddrInet4).Port))
	queued, err := net.Dial("tcp", address)
	c.Assert(err, qt.IsNil)
	defer queued.Close()
	pool := connpool.New(azurehitch.SystemClock{}, connpool.DefaultLimits())
	var group errgroup.Group
	for range 200 {
		group.Go(func() error {
			_, err := pool.Do(context.Background(), address, connpool.Request{Method: "GET", URI: "/", Host: "a"},
				connpool.Options{Fresh: true, DialBy: time.Now().Add(30 * time.Millisecond)})
			c.Check(err, qt.ErrorIs, connpool.ErrDialDeadline)
			return nil
		})
	}
	c.Assert(group.Wait(), qt.IsNil)
}
