package callerconn

import "time"

// WithMaxConns makes the listener close idle connections, unused ones first and then those that have been idle for
// longest, as soon as more than n are open. It returns the listener, and must be called before it is used.
func (l *Listener) WithMaxConns(n int) *Listener {
	l.maxConns = n
	return l
}

// expireSurplus expires an idle connection if too many are open. The caller holds l.mu.
func (l *Listener) expireSurplus(now time.Time) {
	if l.maxConns <= 0 || len(l.conns) <= l.maxConns {
		return
	}
	var oldest *conn
	var oldestState idleState
	for c := range l.conns {
		if state := c.idleState(); state.isIdle && (oldest == nil || state.isBefore(oldestState)) {
			oldest, oldestState = c, state
		}
	}
	if oldest != nil {
		oldest.expireAsSurplus(now)
	}
}

// idleState is how a connection is used as far as the choice of a surplus one needs it.
type idleState struct {
	// isIdle is true for an idle connection that does not expire yet.
	isIdle bool
	isUsed bool
	since  time.Time
}

func (s idleState) isBefore(other idleState) bool {
	if s.isUsed != other.isUsed {
		return !s.isUsed
	}
	return s.since.Before(other.since)
}

func (c *conn) idleState() idleState {
	c.mu.Lock()
	defer c.mu.Unlock()
	return idleState{isIdle: c.isIdle && c.expiresAt.IsZero(), isUsed: c.isUsed, since: c.idleSince}
}

// expireAsSurplus lets an idle connection expire in favor of another one.
func (c *conn) expireAsSurplus(now time.Time) {
	c.expire(now)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isSurplus = true
}
