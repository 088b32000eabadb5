// Package callerconn tells while a request is handled that its caller has gone.
//
// # Usage
//
//	listener = callerconn.Listen(listener)
//	...
//	stop := callerconn.Watch(conn, cancel)
//	defer stop()
//
// The HTTP library doesn't read from a connection while a handler runs. A watched
// connection is read by one byte meanwhile, which is kept for the next request.
package callerconn

import (
	"net"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

type listener struct{ net.Listener }

// Listen returns a listener whose connections can be watched.
func Listen(l net.Listener) net.Listener { return listener{Listener: l} }

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: accepted}, nil
}

// conn is a connection that can be watched.
type conn struct {
	net.Conn
	group errgroup.Group

	mu       sync.Mutex
	stopping bool
	early    []byte
	failed   error
}

// Watch calls gone when the other side closes a connection of Listen, until the returned
// function is called. That function must be called before the connection is read again.
// Other connections are not watched.
func Watch(c net.Conn, gone func()) (stop func()) {
	watched, ok := c.(*conn)
	if !ok {
		return func() {}
	}
	watched.mu.Lock()
	watched.stopping = false
	watched.mu.Unlock()
	// The time to read a request doesn't bound the time to handle it. A connection that
	// can't take a deadline is closed already.
	_ = watched.SetReadDeadline(time.Time{})
	watched.group.Go(func() error {
		watched.await(gone)
		return nil
	})
	return watched.stop
}

func (c *conn) await(gone func()) {
	var one [1]byte
	n, err := c.Conn.Read(one[:])
	c.mu.Lock()
	if n > 0 {
		c.early = []byte{one[0]}
	}
	ended := err != nil && !c.stopping
	if ended {
		c.failed = err
	}
	c.mu.Unlock()
	if ended {
		gone()
	}
}

func (c *conn) stop() {
	c.mu.Lock()
	c.stopping = true
	c.mu.Unlock()
	// A connection that can't take a deadline is closed already.
	_ = c.SetReadDeadline(time.Unix(1, 0))
	_ = c.group.Wait()
	_ = c.SetReadDeadline(time.Time{})
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	c.mu.Lock()
	if c.failed != nil {
		defer c.mu.Unlock()
		return 0, c.failed
	}
	if len(c.early) > 0 && len(p) > 0 {
		defer c.mu.Unlock()
		p[0] = c.early[0]
		c.early = nil
		return 1, nil
	}
	c.mu.Unlock()
	return c.Conn.Read(p)
}
