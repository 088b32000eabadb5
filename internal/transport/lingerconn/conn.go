// Package lingerconn closes TCP connections without losing a response that the peer has not read
// yet.
//
// # Usage
//
//	listener = lingerconn.Listen(listener, clock, lingerconn.Limits{Bytes: 1 << 20, Time: time.Second})
//	...
//	lingerconn.Linger(conn)
//	conn.Close()
//
// If a connection is closed while received bytes of a request are unread, the operating system
// resets it, and the peer may lose the response. A lingering connection first shuts down its
// sending side and discards what the peer still sends, within limits, and is then closed.
package lingerconn

import (
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"azurehitch"
)

// Limits bound the cost of a lingering connection.
type Limits struct {
	// Bytes is the maximum number of bytes that are read and discarded.
	Bytes int64
	// Time is how long to wait for the peer to stop sending.
	Time time.Duration
}

type listener struct {
	net.Listener
	clock  azurehitch.Clock
	limits Limits
}

// Listen returns a listener whose connections can linger.
func Listen(l net.Listener, clock azurehitch.Clock, limits Limits) net.Listener {
	return &listener{Listener: l, clock: clock, limits: limits}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: accepted, listener: l}, nil
}

type conn struct {
	net.Conn
	listener *listener
	// shouldLinger is true if Close must linger.
	shouldLinger atomic.Bool
}

// Linger makes Close linger for a connection that a listener of Listen accepted, or one around it
// with a method NetConn. It does nothing for other connections.
func Linger(c net.Conn) {
	if outer, ok := c.(interface{ NetConn() net.Conn }); ok {
		c = outer.NetConn()
	}
	if lingering, ok := c.(*conn); ok {
		lingering.shouldLinger.Store(true)
	}
}

// NetConn returns the connection that this one reads from.
func (c *conn) NetConn() net.Conn { return c.Conn }

// SyscallConn implements syscall.Conn.
func (c *conn) SyscallConn() (syscall.RawConn, error) {
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, syscall.EINVAL
	}
	return raw.SyscallConn()
}

// Close implements net.Conn. If Linger was called, it blocks until the peer stops sending or a
// limit is reached.
func (c *conn) Close() error {
	if c.shouldLinger.Swap(false) {
		c.discard()
	}
	return c.Conn.Close()
}

// discard shuts down the sending side, and reads and discards what the peer still sends. Errors are
// ignored: they mean that nothing more can be read.
func (c *conn) discard() {
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok || tcp.CloseWrite() != nil {
		return
	}
	limits := c.listener.limits
	if err := tcp.SetReadDeadline(c.listener.clock.Now().Add(limits.Time)); err != nil {
		return
	}
	_, _ = io.CopyN(io.Discard, tcp, limits.Bytes)
}
