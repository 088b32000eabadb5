// Package countconn counts the bytes of the connections that carry control
// traffic: the log, the list of hosts, orders and reports of engines, and other
// daemons. Requests of callers are not counted.
//
// # Usage
//
//	conn = countconn.Wrap(conn)
//	read, written := countconn.Totals()
//
// The totals are those of the process.
package countconn

import (
	"net"
	"sync/atomic"
)

var bytesRead, bytesWritten atomic.Int64

// Totals returns the bytes of all control connections of this process so far.
func Totals() (read, written int64) { return bytesRead.Load(), bytesWritten.Load() }

type conn struct{ net.Conn }

// Wrap returns a connection whose bytes are counted.
func Wrap(c net.Conn) net.Conn { return conn{c} }

// Read implements net.Conn.
func (c conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	bytesRead.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	bytesWritten.Add(int64(n))
	return n, err
}
