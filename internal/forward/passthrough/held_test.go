package passthrough_test

import (
	"net"
	"strconv"
	"testing"
	"time"

	"azurehitch"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sys/unix"
)

const (
	// callerPatience is how long callers wait for the first event of a stream, and the time limit of
	// the calls of these tests.
	callerPatience = 2 * time.Second
	// unreachableBackends is more servers than a request is sent to.
	unreachableBackends = 8
)

// newUnreachableBackend returns a server on which connections are never established: its queue of new
// connections is full.
func newUnreachableBackend(t *testing.T) *backend {
	t.Helper()
	c := qt.New(t)
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM, 0)
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = unix.Close(fd) })
	c.Assert(unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}), qt.IsNil)
	c.Assert(unix.Listen(fd, 0), qt.IsNil)
	bound, err := unix.Getsockname(fd)
	c.Assert(err, qt.IsNil)
	address := net.JoinHostPort("127.0.0.1", strconv.Itoa(bound.(*unix.SockaddrInet4).Port))
	queued, err := net.Dial("tcp", address)
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { queued.Close() })
	return &backend{address: address}
}

// unreachable returns servers on which connections are never established.
func unreachable(t *testing.T) []*backend {
	backends := make([]*backend, unreachableBackends)
	for i := range backends {
		backends[i] = newUnreachableBackend(t)
	}
	return backends
}

// assertRefusedInTime checks that a caller who leaves after callerPatience gets a refusal before.
func (g *gateway) assertRefusedInTime(fields map[string]string) {
	g.Helper()
	began := time.Now()
	got := g.sendWith("POST", "/x/y", "", fields)
	took := time.Since(began)
	g.Check(took < callerPatience, qt.IsTrue, qt.Commentf("refused after %v", took))
	g.Assert(got.status, qt.Equals, 503)
}

func TestRequestHeldUntilItsCallerLeaves(t *testing.T) {
	limit := map[string]string{"X-Left": strconv.FormatInt(callerPatience.Milliseconds(), 10)}
	for name, test := range map[string]struct {
		route  azurehitch.PathRoute
		fields map[string]string
	}{
		"resumable stream": {route: resumable},
		"once-only stream": {route: stream},
		"call":             {route: idempotent, fields: limit},
	} {
		test.route.Timeout = 6 * time.Second
		for place, backends := range map[string]func(*testing.T) []*backend{
			"no connection is established": unreachable,
			"no server is free":            func(*testing.T) []*backend { return nil },
		} {
			t.Run(name+", "+place, func(t *testing.T) {
				t.Parallel()
				withGateway(t, test.route, backends(t), func(g *gateway) { g.assertRefusedInTime(test.fields) })
			})
		}
	}
}
