package passthrough

import (
	"context"
	"sync"
	"time"
)

// position is the place in a stream after the last event that was passed on.
type position struct {
	events int
	ids    eventIDs
	// lastEventAt is when the event was passed on, or when the request started if there is none.
	lastEventAt time.Time
}

// isResumable reports whether another server can go on with the stream from here.
func (p position) isResumable() bool { return p.events == 0 || p.ids.last != "" }

// contest decides whether a stream stays at its server or moves to another one that was asked meanwhile:
// an event that is passed on and the beginning of the other answer exclude each other. The zero value is
// a contest without an attempt. It is safe for concurrent use.
type contest struct {
	mu sync.Mutex
	// position is that of the relay, and silentSince since when it waits for an event; zero while it
	// does not wait.
	position    position
	silentSince time.Time
	// abandon ends the attempt in progress; nil if there is none that may still win.
	abandon context.CancelFunc
	// isClosed is true once the server or the caller has ended the stream.
	isClosed bool
	// winner is the server that has taken the stream over; nil before.
	winner *source
}

// waitsSince returns since when the relay waits for an event; zero if it does not.
func (c *contest) waitsSince() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.silentSince
}

// await records that the relay waits for an event from now on.
func (c *contest) await(at position, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.position, c.silentSince = at, now
}

// keep records that an event has arrived, and abandons an attempt in progress. It returns false if
// another server has taken the stream over: the event must then not be passed on.
func (c *contest) keep() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.winner != nil {
		return false
	}
	c.silentSince = time.Time{}
	c.abandonAttempt()
	return true
}

// begin begins an attempt, which ends with the returned context at the latest. It returns false if the
// relay does not wait since silentSince any more, or another server could not go on with the stream.
func (c *contest) begin(parent context.Context, silentSince time.Time) (ctx context.Context, at position, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isClosed || !c.silentSince.Equal(silentSince) || !c.position.isResumable() {
		return nil, position{}, false
	}
	ctx, c.abandon = context.WithCancel(parent)
	return ctx, c.position, true
}

// win makes the server of the attempt in progress the winner and returns true, unless the attempt was
// abandoned. Then it calls leave if the relay still waits for the silent server.
func (c *contest) win(next source, leave func()) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.abandon == nil {
		return false
	}
	// The context of the attempt is now that of the response.
	c.abandon = nil
	c.winner = &next
	if !c.isClosed {
		leave()
	}
	return true
}

// close records that the silent server is used no longer. An attempt in progress goes on. It reports
// whether another server has taken the stream over before.
func (c *contest) close() (isTakenOver bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isClosed = true
	return c.winner != nil
}

// endAttempt ends the attempt in progress unless it has won.
func (c *contest) endAttempt() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.abandonAttempt()
}

// abandonAttempt ends the attempt in progress, if any. The caller holds c.mu.
func (c *contest) abandonAttempt() {
	if c.abandon != nil {
		c.abandon()
		c.abandon = nil
	}
}

// result returns the server that has taken the stream over, and false if there is none.
func (c *contest) result() (next source, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.winner == nil {
		return source{}, false
	}
	return *c.winner, true
}
