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

// UnackedTimeout returns a net.Dialer.Control that makes a connection fail when sent bytes stay unacknowledged for
// longer. The same time ends a connection whose keep-alive probes are not answered.
func UnackedTimeout(timeout time.Duration) func(network, address string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		var sockErr error
		if err := raw.Control(func(fd uintptr) {
			sockErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(timeout.Milliseconds()))
		}); err != nil {
			return err
		}
		return errors.Wrap(sockErr, "set timeout of unacknowledged bytes")
	}
}
