package connpool

import (
	"bufio"
	"net"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const (
	writeBufferBytes = 4 << 10
	// tcpUserTimeout is TCP_USER_TIMEOUT of Linux, in milliseconds.
	tcpUserTimeout = 18
)

// conn is one connection.
type conn struct {
	tcp    net.Conn
	reader *bufio.Reader
	// expires is until when it is kept idle; zero before its first stay among the idle ones.
	expires time.Time
}

// newConn returns a connection whose buffer holds a head.
func newConn(tcp net.Conn, headBytes int) *conn {
	return &conn{tcp: tcp, reader: bufio.NewReaderSize(tcp, headBytes)}
}

// isNew reports whether the connection was made for the first request on it.
func (c *conn) isNew() bool { return c.expires.IsZero() }

// setUnackedTimeout makes a connection fail when what was sent stays unacknowledged.
func setUnackedTimeout(_, _ string, raw syscall.RawConn) error {
	var failed error
	if err := raw.Control(func(fd uintptr) {
		failed = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(unackedTimeout.Milliseconds()))
	}); err != nil {
		return err
	}
	return errors.Wrap(failed, "set timeout of unacknowledged bytes")
}

// isSilent reports whether an idle connection is open and nothing has come on it. What
// comes on an idle connection belongs to no request.
func (c *conn) isSilent() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, ok := c.tcp.(syscall.Conn)
	if !ok {
		return true
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	silent := false
	if err := control.Read(func(fd uintptr) bool {
		var one [1]byte
		_, err := syscall.Read(int(fd), one[:])
		silent = err == syscall.EAGAIN
		return true
	}); err != nil {
		return false
	}
	return silent
}

// interrupt ends the reads and writes in progress.
func (c *conn) interrupt() {
	// A connection that can't take a deadline is closed already.
	_ = c.tcp.SetDeadline(time.Unix(1, 0))
}

// abandon closes a connection whose exchange is not over. What was sent and not yet delivered is
// dropped, so that it can't arrive later.
func (c *conn) abandon() {
	if tcp, ok := c.tcp.(*net.TCPConn); ok {
		// A connection that can't be set is closed already.
		_ = tcp.SetLinger(0)
	}
	c.close()
}

func (c *conn) close() {
	// The connection is given up either way.
	_ = c.tcp.Close()
}
