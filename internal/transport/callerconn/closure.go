package callerconn

import (
	"net"
	"syscall"
	"time"
)

// Loss is what was lost when a connection was closed.
type Loss string

// The losses. Their values are labels of the metric ConnectionsLost.
const (
	lossNone Loss = ""
	// LossRead is a request of which bytes were read, and no byte of a response was written.
	LossRead Loss = "Read"
	// LossUnread is a request whose bytes had arrived and were not read when its idle connection was closed.
	LossUnread Loss = "Unread"
	// LossUnused is a new connection that was closed by CloseIdle before its first request arrived.
	LossUnused Loss = "Unused"
	// LossStuck is a response that was cut because its caller read nothing for some seconds.
	LossStuck Loss = "Stuck"
	// LossSurplus is an idle connection that was closed because too many were open.
	LossSurplus Loss = "Surplus"
	// LossUnaccepted is a connection that could not be accepted.
	LossUnaccepted Loss = "Unaccepted"
)

// Closure describes a connection that was closed without an answer to the last request on it.
type Closure struct {
	Loss Loss
	// Caller is the address of the caller; empty if it is not known.
	Caller string
	// BytesRead is how much of the request was read.
	BytesRead int
	// Age is the time since the connection was accepted.
	Age time.Duration
	// Expired is true if CloseIdle ended the connection.
	Expired bool
	// Cause is the error of the last read; nil if it had none.
	Cause error
}

// Observer receives closures. It must be safe for concurrent use.
type Observer func(Closure)

// closure returns how the connection is being closed. The caller holds c.mu.
func (c *conn) closure(now time.Time) Closure {
	closure := Closure{BytesRead: c.unanswered, Age: now.Sub(c.acceptedAt), Expired: !c.expiresAt.IsZero(), Cause: c.lastErr}
	switch {
	case c.isStuck:
		closure.Loss = LossStuck
	case c.unanswered > 0:
		closure.Loss = LossRead
	case closure.Expired && hasUnread(c.Conn):
		closure.Loss = LossUnread
	case closure.Expired && c.isSurplus:
		closure.Loss = LossSurplus
	case closure.Expired && !c.isUsed:
		closure.Loss = LossUnused
	}
	return closure
}

// hasUnread reports whether bytes have arrived on a connection that is being closed. It may read one of them.
func hasUnread(c net.Conn) bool {
	raw, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	rawConn, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	n := 0
	if err := rawConn.Control(func(fd uintptr) {
		var buf [1]byte
		n, _ = syscall.Read(int(fd), buf[:])
	}); err != nil {
		return false
	}
	return n > 0
}
