// Package countconn counts the bytes on connections that carry control traffic: to the log, the
// host list, engines (orders and reports) and other daemons. Traffic of callers is not counted.
//
// # Usage
//
//	conn = countconn.Wrap(conn)
//	read, written := countconn.Totals()
//
// The totals are per process.
package countconn

import (
	"net"
	"sync/atomic"
)

var bytesRead, bytesWritten atomic.Int64

// Totals returns the bytes read and written on all wrapped connections since the process started.
func Totals() (read, written int64) { return bytesRead.Load(), bytesWritten.Load() }

type conn struct{ net.Conn }

// Wrap returns a connection whose bytes count towards Totals.
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
