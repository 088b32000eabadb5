package connpool

import (
	"bufio"
	"net"
	"time"

	"azurehitch/internal/transport/idleconn"
	"azurehitch/internal/transport/responsehead"
	"azurehitch/internal/transport/tcpoption"
)

const writeBufferBytes = 4 << 10

// conn is one connection to a backend server.
type conn struct {
	tcp net.Conn
	// responses reads from tcp, and reader from responses.
	responses *responsehead.Reader
	reader    *bufio.Reader
	// expires is when the idle connection must be closed; zero until it first becomes idle.
	expires time.Time
	// discardsUndelivered is true after discardUndelivered.
	discardsUndelivered bool
}

// newConn returns a connection whose read buffer has headBytes, which bounds the size of a response
// head.
func newConn(tcp net.Conn, headBytes int) *conn {
	responses := responsehead.NewReader(tcp)
	return &conn{tcp: tcp, responses: responses, reader: bufio.NewReaderSize(responses, headBytes)}
}

// isNew reports whether the connection was dialed for the current exchange.
func (c *conn) isNew() bool { return c.expires.IsZero() }

// isSingleUse reports whether the connection must not be kept for a later exchange.
func (c *conn) isSingleUse() bool {
	single, ok := c.tcp.(interface{ IsSingleUse() bool })
	return ok && single.IsSingleUse()
}

// through returns the name of the daemon that the connection leads through; empty for a direct connection.
func (c *conn) through() string {
	if tunnel, ok := c.tcp.(interface{ Through() string }); ok {
		return tunnel.Through()
	}
	return ""
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

// discardUndelivered makes the kernel discard bytes that the server's host has not received after a timeout, or when this
// process ends. It has no effect on connections of other kinds than TCP.
func (c *conn) discardUndelivered(timeout time.Duration) error {
	tcp, ok := c.tcp.(tcpoption.Conn)
	if !ok {
		return nil
	}
	c.discardsUndelivered = true
	return tcpoption.DiscardUndelivered(tcp, timeout)
}

// reset closes a connection whose exchange is incomplete. Bytes that were written but not delivered
// are discarded, so that they can't reach the server later.
func (c *conn) reset() {
	if tcp, ok := c.tcp.(interface{ SetLinger(seconds int) error }); ok {
		// A connection that can't take the option is closed already.
		_ = tcp.SetLinger(0)
	}
	// The connection is not used any more, even if closing it fails.
	_ = c.tcp.Close()
}

func (c *conn) close() {
	if tcp, ok := c.tcp.(tcpoption.Conn); ok && c.discardsUndelivered {
		// A connection that can't take the option is closed already.
		_ = tcpoption.KeepUndelivered(tcp)
	}
	// The connection is not used any more, even if closing it fails.
	_ = c.tcp.Close()
}
