// Package tcpoption sets options of TCP connections that the standard library has no function for.
//
// # Usage
//
//	dialer := net.Dialer{Control: tcpoption.UnackedTimeout(2 * time.Second)}
package tcpoption

import (
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// tcpUserTimeout is the number of the Linux socket option TCP_USER_TIMEOUT; its value is in milliseconds.
const tcpUserTimeout = 18

// lingerDefault is the value of SetLinger at which a closed connection sends the bytes in its buffer.
const lingerDefault = -1

// Conn is a connection whose socket options can be set, such as a *net.TCPConn.
type Conn interface {
	syscall.Conn
	SetLinger(seconds int) error
}

// UnackedTimeout returns a net.Dialer.Control that makes a connection fail when sent bytes stay
// unacknowledged for longer. The same time ends a connection whose keep-alive probes are not answered.
func UnackedTimeout(timeout time.Duration) func(network, address string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error { return setUnackedTimeout(raw, timeout) }
}

func setUnackedTimeout(raw syscall.RawConn, timeout time.Duration) error {
	var sockErr error
	if err := raw.Control(func(fd uintptr) {
		sockErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(timeout.Milliseconds()))
	}); err != nil {
		return err
	}
	return errors.Wrap(sockErr, "set timeout of unacknowledged bytes")
}

// DiscardUndelivered makes the kernel discard sent bytes that the peer's host does not acknowledge in time,
// or before the connection is closed, also by the end of the process. KeepUndelivered must be called before a
// regular close.
func DiscardUndelivered(conn Conn, timeout time.Duration) error {
	raw, err := conn.SyscallConn()
	if err != nil {
		return errors.Wrap(err, "socket of a connection")
	}
	// A timeout of 0 would mean the default of the kernel.
	if err := setUnackedTimeout(raw, max(timeout, time.Millisecond)); err != nil {
		return err
	}
	return errors.Wrap(conn.SetLinger(0), "discard unsent bytes at the close")
}

// KeepUndelivered ends the effect of DiscardUndelivered on the close of a connection.
func KeepUndelivered(conn Conn) error {
	return errors.Wrap(conn.SetLinger(lingerDefault), "send the bytes in the buffer at the close")
}
