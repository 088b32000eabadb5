// Package lingerconn closes TCP connections in a way that does not destroy an
// answer which the other side has not read yet.
//
// # Usage
//
//	listener = lingerconn.Listen(listener, clock, lingerconn.Limits{Bytes: 1 << 20, Time: time.Second})
//	...
//	lingerconn.Linger(conn)
//	conn.Close()
//
// When a connection is closed while bytes of a request are unread, the operating
// system resets it, and the answer may be lost on its way. A lingering connection
// ends its sending side, reads and drops what still comes, within limits, and is
// closed then.
package lingerconn

import (
	"io"
	"net"
	"sync/atomic"
	"time"

	"azurehitch"
)

// Limits bound what a lingering connection costs.
type Limits struct {
	// Bytes is the most that is read and dropped.
	Bytes int64
	// Time is how long the other side has to stop sending.
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
	lingers  atomic.Bool
}

// Linger makes a connection of Listen linger at its close. Others are left as
// they are.
func Linger(c net.Conn) {
	if lingering, ok := c.(*conn); ok {
		lingering.lingers.Store(true)
	}
}

// Close implements net.Conn.
func (c *conn) Close() error {
	if c.lingers.Swap(false) {
		c.drop()
	}
	return c.Conn.Close()
}

// drop reads what still comes. Its errors mean that there is nothing more to read.
func (c *conn) drop() {
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
