package callerconn

import (
	"net"
	"os"
	"time"

	"github.com/pkg/errors"
)

const (
	// stuckTime is how long a caller may read nothing of a response that fills the buffers of its connection.
	// Servers cut off a response that stays unread for longer.
	stuckTime = 4 * time.Second
	// A write that makes no progress is noticed after minWriteTime to maxWriteTime. The difference is the time in
	// which further writes don't set the deadline again.
	minWriteTime = 500 * time.Millisecond
	maxWriteTime = 1500 * time.Millisecond
	// sendBufferBytes and receiveBufferBytes bound what the system holds for a connection. With a larger send buffer,
	// the system would report no progress of a slow reader for longer than stuckTime.
	sendBufferBytes    = 64 << 10
	receiveBufferBytes = 64 << 10
)

// errStuck is the error of a write to a caller that reads nothing.
var errStuck = errors.New("the caller reads nothing")

// OnBlocked calls onBlocked from a write to a connection that a listener of Listen accepted, as long as the caller
// accepts nothing, until stop is called. It does nothing for other connections. Neither may be called during a write.
func OnBlocked(c net.Conn, onBlocked func()) (stop func()) {
	blocking, ok := c.(*conn)
	if !ok {
		return func() {}
	}
	blocking.onBlocked = onBlocked
	return func() { blocking.onBlocked = nil }
}

// Write implements net.Conn. It fails when the caller reads nothing for stuckTime.
func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	c.unanswered = 0
	c.isReceiving = false
	c.mu.Unlock()
	written := 0
	var blockedSince time.Time
	for {
		now, err := c.extendWrite()
		if err != nil {
			return written, err
		}
		n, err := c.Conn.Write(p[written:])
		written += n
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return written, err
		}
		if n > 0 || blockedSince.IsZero() {
			blockedSince = now
		}
		if c.listener.clock.Now().Sub(blockedSince) >= stuckTime {
			c.setStuck()
			return written, errStuck
		}
		if c.onBlocked != nil {
			c.onBlocked()
		}
	}
}

// extendWrite sets the write deadline if less than minWriteTime is left until it. It returns the time.
func (c *conn) extendWrite() (now time.Time, err error) {
	now = c.listener.clock.Now()
	if c.writeBy.Sub(now) >= minWriteTime {
		return now, nil
	}
	c.writeBy = now.Add(maxWriteTime)
	return now, c.Conn.SetWriteDeadline(c.writeBy)
}

// setStuck records that the caller reads nothing, and makes Close drop what the system still holds for it.
func (c *conn) setStuck() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isStuck = true
	if tcp := tcpConn(c.Conn); tcp != nil {
		// A connection that can't take an option is closed already.
		_ = tcp.SetLinger(0)
	}
}

// limitBuffers bounds what the system holds for a connection. An error means that it is closed already.
func limitBuffers(c net.Conn) {
	if tcp := tcpConn(c); tcp != nil {
		_ = tcp.SetReadBuffer(receiveBufferBytes)
		_ = tcp.SetWriteBuffer(sendBufferBytes)
	}
}

// tcpConn returns the TCP connection inside of others that have a method NetConn; nil if there is none.
func tcpConn(c net.Conn) *net.TCPConn {
	for {
		switch inner := c.(type) {
		case *net.TCPConn:
			return inner
		case interface{ NetConn() net.Conn }:
			c = inner.NetConn()
		default:
			return nil
		}
	}
}
