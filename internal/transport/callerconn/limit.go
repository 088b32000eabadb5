package callerconn

import "time"

// WithMaxConns makes the listener close connections as soon as more than n are open: unused ones first, then those
// that send a request slowly, then idle ones; within each, those for longest. It returns the listener, and must be called before it is used.
func (l *Listener) WithMaxConns(n int) *Listener {
	l.maxConns = n
	return l
}

// slowAfter and slowRate define a slow sender: it has brought fewer bytes a second than slowRate for slowAfter. No
// client that sends a head within the usual timeout of 3 s is one.
const (
	slowAfter = 3 * time.Second
	slowRate  = 8 << 10
)

// surplusRank is the order in which connections are closed in favor of others.
type surplusRank int

const (
	rankUnused surplusRank = iota
	rankSlow
	rankIdle
	// rankNeeded is that of connections that are not closed.
	rankNeeded
)

// surplus is how a connection is used as far as the choice of a surplus one needs it.
type surplus struct {
	conn  *conn
	rank  surplusRank
	since time.Time
}

func (s surplus) isBefore(other surplus) bool {
	if s.rank != other.rank {
		return s.rank < other.rank
	}
	return s.since.Before(other.since)
}

// closeSurplus ends another connection than the new one, if too many are open. The caller holds l.mu.
func (l *Listener) closeSurplus(accepted *conn) {
	now := accepted.acceptedAt
	if l.maxConns <= 0 || len(l.conns) <= l.maxConns {
		return
	}
	first := surplus{rank: rankNeeded}
	for c := range l.conns {
		if s := c.surplus(now); c != accepted && s.isBefore(first) {
			first = s
		}
	}
	if first.conn != nil {
		first.conn.endAsSurplus(first, now)
	}
}

func (c *conn) surplus(now time.Time) surplus {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.surplusLocked(now)
}

func (c *conn) surplusLocked(now time.Time) surplus {
	s := surplus{conn: c, rank: rankNeeded, since: c.idleSince}
	sending := now.Sub(c.idleSince)
	switch {
	case c.isSurplus || !c.expiresAt.IsZero():
	case c.isIdle && !c.isUsed:
		s.rank = rankUnused
	case c.isIdle:
		s.rank = rankIdle
	case c.isReceiving && sending >= slowAfter && float64(c.unanswered) < slowRate*sending.Seconds():
		s.rank = rankSlow
	}
	return s
}

// endAsSurplus lets an idle connection expire, or interrupts the reception of a request, which is answered 408. It
// does nothing if the connection is used otherwise by now.
func (c *conn) endAsSurplus(chosen surplus, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.surplusLocked(now).rank != chosen.rank {
		return
	}
	c.isSurplus = true
	if c.isIdle {
		c.expireLocked(now)
		return
	}
	// A connection that can't take a deadline is closed already.
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
}
