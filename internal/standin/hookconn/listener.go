// Package hookconn has connections by which tests fix the order of events that otherwise come at the same time.
//
// # Usage
//
//	hooked := &hookconn.Listener{Listener: listener}
//	hooked.CallOnRead(stopServer) // just as a request arrives
//
//	pool.WithDialer(hookconn.Dialer{Dialer: dialer}) // writes see the end of a connection before reads
package hookconn

import (
	"net"
	"sync/atomic"
)

// Listener calls a function between the arrival of a request and its receipt by the server.
type Listener struct {
	net.Listener
	hook atomic.Pointer[func()]
}

// CallOnRead makes the next read of a connection that receives bytes call a function before it returns.
func (l *Listener) CallOnRead(hook func()) { l.hook.Store(&hook) }

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: accepted, listener: l}, nil
}

// conn is a connection of a Listener.
type conn struct {
	net.Conn
	listener *Listener
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	if hook := c.listener.hook.Swap(nil); hook != nil {
		(*hook)()
	}
	return n, err
}
