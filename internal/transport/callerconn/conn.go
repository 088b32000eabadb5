// Package callerconn detects that a caller has disconnected while its request is handled, and closes
// idle connections of callers without losing a request that has just been read.
//
// # Usage
//
//	listener := callerconn.Listen(inner, clock, onClosed)
//	server.ConnState = callerconn.StateChanged
//	...
//	stop := callerconn.Watch(conn, cancel)
//	defer stop()
//	...
//	err = listener.Shutdown(ctx, server)
//
// The HTTP library doesn't read from a connection while a handler runs, so it would not notice the
// disconnect. This package reads one byte in the background meanwhile. If a byte arrives, it
// belongs to the next request and is returned by the next Read; a later disconnect is then not
// detected.
//
// When the HTTP library closes idle connections itself, it drops requests that it has read at the same
// time. CloseIdle lets their next read fail instead: a request that was read before is handled.
package callerconn

import (
	"net"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
)

// conn is a connection that can be watched.
type conn struct {
	net.Conn
	listener *Listener
	group    errgroup.Group

	mu       sync.Mutex
	stopping bool
	// isIdle is true while no part of a request has been read. expiresAt is when an idle connection
	// is closed; zero until CloseIdle.
	isIdle    bool
	expiresAt time.Time
	// idleSince is when the connection was accepted or became idle last, or when the reception of the current request
	// began. isReceiving is true from then on until the request is handled.
	idleSince   time.Time
	isReceiving bool
	// readDeadline is the last one that was set. It is not in force while the connection expires.
	readDeadline time.Time
	// readAhead holds the bytes that were read while the connection was watched, one each time.
	readAhead []byte
	// readErr is the error of the background read; later reads return it.
	readErr error

	acceptedAt time.Time
	// unanswered is the number of bytes that were read since the last write, and isUsed is true once
	// anything was read.
	unanswered int
	isUsed     bool
	// lastErr is the error of the last read; nil if it had none.
	lastErr error
	// isStuck is true once the caller has read nothing of a response for too long.
	isStuck bool
	// isSurplus is true if the connection expired because too many were open.
	isSurplus bool

	// writeBy is the write deadline in force, and onBlocked is called while a write makes no progress; nil for
	// nothing. Only the writer uses them.
	writeBy   time.Time
	onBlocked func()
}

// Watch calls onDisconnect when the caller closes a connection that a listener of Listen accepted,
// or the connection fails, until stop is called. stop must be called before the connection is read
// again. Watch does nothing for other connections.
func Watch(c net.Conn, onDisconnect func()) (stop func()) {
	watched, ok := c.(*conn)
	if !ok {
		return func() {}
	}
	watched.mu.Lock()
	watched.stopping = false
	watched.isReceiving = false
	watched.mu.Unlock()
	// The deadline for reading a request must not bound the time to handle it. A connection that
	// can't take a deadline is closed already.
	_ = watched.SetReadDeadline(time.Time{})
	watched.group.Go(func() error {
		watched.awaitRead(onDisconnect)
		return nil
	})
	return watched.stop
}

// awaitRead reads one byte, and calls onDisconnect if that fails before stop is called.
func (c *conn) awaitRead(onDisconnect func()) {
	var buf [1]byte
	n, err := c.Conn.Read(buf[:])
	c.mu.Lock()
	if n > 0 {
		c.readAhead = append(c.readAhead, buf[0])
	}
	disconnected := err != nil && !c.stopping
	if disconnected {
		c.readErr = err
	}
	c.mu.Unlock()
	if disconnected {
		onDisconnect()
	}
}

// stop ends the background read by a deadline in the past and waits for it.
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
	if n, ok, err := c.readStored(p); ok {
		return n, err
	}
	n, err := c.Conn.Read(p)
	c.recordRead(n, err)
	if n > 0 {
		return n, c.setBusy()
	}
	if errors.Is(err, os.ErrDeadlineExceeded) && c.isExpired() {
		return 0, net.ErrClosed
	}
	return n, err
}

// readStored returns the result of the background read; false if there is none.
func (c *conn) readStored(p []byte) (n int, ok bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.readErr != nil {
		return 0, true, c.readErr
	}
	if len(c.readAhead) == 0 || len(p) == 0 {
		return 0, false, nil
	}
	n = copy(p, c.readAhead)
	c.readAhead = c.readAhead[n:]
	c.unanswered += n
	return n, true, c.setBusyLocked()
}

// SetReadDeadline implements net.Conn. A connection that expires keeps its deadline until it is read.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline = t
	if !c.expiresAt.IsZero() {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// NetConn returns the connection that this one reads from.
func (c *conn) NetConn() net.Conn { return c.Conn }

// Close implements net.Conn.
func (c *conn) Close() error {
	c.listener.observe(c)
	c.listener.remove(c)
	return c.Conn.Close()
}

// recordRead records what a read returned.
func (c *conn) recordRead(n int, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unanswered += n
	c.isUsed = c.isUsed || n > 0
	c.lastErr = err
}

func (c *conn) setBusy() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.setBusyLocked()
}

// setBusyLocked records that a part of a request has been read. The request has its usual time.
func (c *conn) setBusyLocked() error {
	if c.isIdle {
		c.isIdle, c.isReceiving, c.idleSince = false, true, c.listener.clock.Now()
	}
	if c.expiresAt.IsZero() {
		return nil
	}
	c.expiresAt, c.isSurplus = time.Time{}, false
	return c.Conn.SetReadDeadline(c.readDeadline)
}

func (c *conn) setIdle(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isIdle, c.isReceiving = true, false
	c.idleSince = now
}

func (c *conn) isExpired() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.expiresAt.IsZero()
}

// expire lets the reads of an idle connection fail after a short time.
func (c *conn) expire(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expireLocked(now)
}

func (c *conn) expireLocked(now time.Time) {
	if !c.isIdle {
		return
	}
	grace := idleGrace
	if !c.isUsed {
		grace = unusedGrace
	}
	c.expiresAt = now.Add(grace)
	// A connection that can't take a deadline is closed already.
	_ = c.Conn.SetReadDeadline(c.expiresAt)
}
