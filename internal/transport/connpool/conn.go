package connpool

import (
	"bufio"
	"net"
	"syscall"
	"time"

	"azurehitch/internal/transport/idleconn"

	"github.com/pkg/errors"
)

const (
	writeBufferBytes = 4 << 10
	// tcpUserTimeout is the number of the Linux socket option TCP_USER_TIMEOUT; its value is in
	// milliseconds.
	tcpUserTimeout = 18
)

// conn is one connection to a backend server.
type conn struct {
	tcp    net.Conn
	reader *bufio.Reader
	// expires is when the idle connection must be closed; zero until it first becomes idle.
	expires time.Time
}

// newConn returns a connection whose read buffer has headBytes, which bounds the size of a response
// head.
func newConn(tcp net.Conn, headBytes int) *conn {
	return &conn{tcp: tcp, reader: bufio.NewReaderSize(tcp, headBytes)}
}

// isNew reports whether the connection was dialed for the current exchange.
func (c *conn) isNew() bool { return c.expires.IsZero() }

// setUnackedTimeout makes a connection fail when sent bytes stay unacknowledged for unackedTimeout.
func setUnackedTimeout(_, _ string, raw syscall.RawConn) error {
	var sockErr error
	if err := raw.Control(func(fd uintptr) {
		sockErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(unackedTimeout.Milliseconds()))
	}); err != nil {
		return err
	}
	return errors.Wrap(sockErr, "set timeout of unacknowledged bytes")
}

// isHealthy reports whether an idle connection is open and has no unread data. Data that arrives
// on an idle connection belongs to no request, so that the connection can't be reused.
func (c *conn) isHealthy() bool {
	return c.reader.Buffered() == 0 && idleconn.IsUsable(c.tcp)
}

// interrupt makes reads and writes in progress fail, by a deadline in the past.
func (c *conn) interrupt() {
	// A connection that can't take a deadline is closed already.
	_ = c.tcp.SetDeadline(time.Unix(1, 0))
}

// reset closes a connection whose exchange is incomplete. Bytes that were written but not delivered
// are discarded, so that they can't reach the server later.
func (c *conn) reset() {
	if tcp, ok := c.tcp.(interface{ SetLinger(seconds int) error }); ok {
		// A connection that can't take the option is closed already.
		_ = tcp.SetLinger(0)
	}
	c.close()
}

func (c *conn) close() {
	// The connection is not used any more, even if closing it fails.
	_ = c.tcp.Close()
}
