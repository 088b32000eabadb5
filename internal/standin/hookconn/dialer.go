package hookconn

import (
	"context"
	"net"
	"os"
	"sync"

	"github.com/pkg/errors"
)

// writeBufferBytes is the write buffer of a Dialer's connections. A long request doesn't fit into it, so that the
// write lasts until the server reads or ends the connection.
const writeBufferBytes = 4 << 10

// Dialer opens connections on which only writes see that the server has ended them: each read waits until a write
// has failed, other than by its deadline.
type Dialer struct {
	Dialer interface {
		Dial(ctx context.Context, address string) (net.Conn, error)
	}
}

// Dial returns a connection of the inner Dialer.
func (d Dialer) Dial(ctx context.Context, address string) (net.Conn, error) {
	dialed, err := d.Dialer.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	if buffered, ok := dialed.(interface{ SetWriteBuffer(bytes int) error }); ok {
		if err := buffered.SetWriteBuffer(writeBufferBytes); err != nil {
			dialed.Close()
			return nil, err
		}
	}
	c := &writeFirstConn{Conn: dialed, failed: make(chan struct{})}
	c.fail = sync.OnceFunc(func() { close(c.failed) })
	return c, nil
}

// writeFirstConn is a connection whose reads wait until a write has failed or the connection is closed.
type writeFirstConn struct {
	net.Conn
	failed chan struct{}
	// fail closes failed.
	fail func()
}

// Read implements net.Conn.
func (c *writeFirstConn) Read(p []byte) (int, error) {
	<-c.failed
	return c.Conn.Read(p)
}

// Write implements net.Conn.
func (c *writeFirstConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.fail()
	}
	return n, err
}

// Close implements net.Conn.
func (c *writeFirstConn) Close() error {
	c.fail()
	return c.Conn.Close()
}
