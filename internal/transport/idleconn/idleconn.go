// Package idleconn keeps bytes that arrive on an idle connection from being read as the response to the next
// request.
//
// # Usage
//
//	client := fasthttp.Client{Dial: func(address string) (net.Conn, error) {
//		conn, err := fasthttp.Dial(address)
//		return idleconn.Wrap(conn), err
//	}}
//	err := idleconn.Send(func() error { return client.Do(request, response) })
//
// Client libraries reuse a connection after a complete response. If the server has written more since then, or
// closed the connection, the next request is not sent on it.
package idleconn

import (
	"net"
	"syscall"

	"github.com/pkg/errors"
)

// ErrStale is returned for a request that was not sent, because its connection was closed or had bytes that
// belong to no request.
var ErrStale = errors.New("the idle connection is closed or has unread bytes")

// maxStale is how many stale connections Send tries.
const maxStale = 8

// Send calls send, and again after ErrStale, since nothing was sent then.
func Send(send func() error) error {
	err := send()
	for attempt := 1; attempt < maxStale && errors.Is(err, ErrStale); attempt++ {
		err = send()
	}
	return err
}

// IsUsable reports whether an idle connection is open and has no unread bytes.
func IsUsable(conn net.Conn) bool {
	raw, ok := conn.(syscall.Conn)
	if !ok {
		return true
	}
	rawConn, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	isUsable := false
	if err := rawConn.Read(func(fd uintptr) bool {
		var buf [1]byte
		_, err := syscall.Read(int(fd), buf[:])
		isUsable = err == syscall.EAGAIN
		return true
	}); err != nil {
		return false
	}
	return isUsable
}

// Conn is a connection of a client that sends one request after the other. It is not safe for concurrent use.
type Conn struct {
	net.Conn
	// hasRead is true from a read to the next write, which begins a request.
	hasRead bool
}

// Wrap returns a connection that sends no request after unread bytes. It takes over conn, which may be nil.
func Wrap(conn net.Conn) net.Conn {
	if conn == nil {
		return nil
	}
	return &Conn{Conn: conn}
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	c.hasRead = true
	return c.Conn.Read(p)
}

// Write implements net.Conn. The error is ErrStale if the connection can't be used for another request.
func (c *Conn) Write(p []byte) (int, error) {
	if c.hasRead && !IsUsable(c.Conn) {
		return 0, ErrStale
	}
	c.hasRead = false
	return c.Conn.Write(p)
}
