package callerconn_test

import (
	"net"
	"syscall"
	"testing"

	"azurehitch"
	"azurehitch/internal/transport/callerconn"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"
)

// failingListener is a listener whose next calls of Accept fail.
type failingListener struct {
	net.Listener
	failures []error
}

// Accept implements net.Listener.
func (l *failingListener) Accept() (net.Conn, error) {
	if len(l.failures) == 0 {
		return l.Listener.Accept()
	}
	err := l.failures[0]
	l.failures = l.failures[1:]
	return nil, &net.OpError{Op: "accept", Net: "tcp", Err: err}
}

func TestListenerEndsAfterPassingError(t *testing.T) {
	for name, failure := range map[string]error{
		"too many open files":         syscall.EMFILE,
		"too many open files, system": syscall.ENFILE,
		"no buffers":                  syscall.ENOBUFS,
		"no memory":                   syscall.ENOMEM,
		"unreachable caller":          syscall.EHOSTUNREACH,
		"aborted connection":          syscall.ECONNABORTED,
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			inner, err := net.Listen("tcp", "127.0.0.1:0")
			c.Assert(err, qt.IsNil)
			failing := &failingListener{Listener: inner, failures: []error{failure, failure}}
			var losses []callerconn.Loss
			listener := callerconn.Listen(failing, azurehitch.SystemClock{}, func(closure callerconn.Closure) { losses = append(losses, closure.Loss) })
			c.Cleanup(func() { listener.Close() })
			peer, err := net.Dial("tcp", inner.Addr().String())
			c.Assert(err, qt.IsNil)
			c.Cleanup(func() { peer.Close() })
			accepted, err := listener.Accept()
			c.Assert(err, qt.IsNil)
			c.Assert(accepted.Close(), qt.IsNil)
			c.Assert(losses, qt.DeepEquals, []callerconn.Loss{callerconn.LossUnaccepted, callerconn.LossUnaccepted})
		})
	}
	t.Run("a closed listener ends", func(t *testing.T) {
		a := accept(t)
		a.closeIdle()
		_, err := a.listener.Accept()
		a.Assert(errors.Is(err, net.ErrClosed), qt.IsTrue)
	})
}
