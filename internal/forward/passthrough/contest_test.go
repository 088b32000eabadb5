package passthrough

import (
	"context"
	"testing"
	"time"

	"azurehitch"
	"azurehitch/internal/forward/place"

	qt "github.com/frankban/quicktest"
)

var (
	contestStart = time.Unix(1000, 0)
	otherServer  = source{choice: place.Choice{Server: azurehitch.ServerIdentity{ID: "other"}}}
)

// contestTest is a contest in which an attempt is in progress.
type contestTest struct {
	*qt.C
	contest
	attempt context.Context
	// isLeft is true once the silent server was left.
	isLeft bool
}

func newContestTest(t *testing.T) *contestTest {
	c := &contestTest{C: qt.New(t)}
	at := position{events: 2, ids: eventIDs{last: "2"}}
	c.await(at, contestStart)
	attempt, got, ok := c.begin(context.Background(), contestStart)
	c.Assert(ok, qt.IsTrue)
	c.Assert(got, qt.Equals, at)
	c.attempt = attempt
	return c
}

func (c *contestTest) answer() bool { return c.win(otherServer, func() { c.isLeft = true }) }

// assertStays checks that the stream stays at its server and that the attempt has ended.
func (c *contestTest) assertStays() {
	c.Helper()
	_, isMoved := c.result()
	c.Assert(isMoved, qt.IsFalse)
	c.Assert(c.isLeft, qt.IsFalse)
	c.Assert(c.attempt.Err(), qt.IsNotNil)
}

// assertMoves checks that the stream moves and that the exchange of the attempt goes on.
func (c *contestTest) assertMoves() {
	c.Helper()
	winner, _ := c.result()
	c.Assert(winner.choice.Server.ID, qt.Equals, "other")
	c.Assert(c.attempt.Err(), qt.IsNil)
}

func TestContest(t *testing.T) {
	t.Run("the event comes first", func(t *testing.T) {
		c := newContestTest(t)
		c.Assert(c.keep(), qt.IsTrue)
		c.Assert(c.answer(), qt.IsFalse)
		c.assertStays()
	})
	t.Run("the other answer comes first: the event is not passed on", func(t *testing.T) {
		c := newContestTest(t)
		c.Assert(c.answer(), qt.IsTrue)
		c.Assert(c.keep(), qt.IsFalse)
		c.endAttempt()
		c.assertMoves()
		c.Assert(c.isLeft, qt.IsTrue)
	})
	t.Run("the server ends the stream, then the other answers", func(t *testing.T) {
		c := newContestTest(t)
		c.Assert(c.close(), qt.IsFalse)
		c.Assert(c.answer(), qt.IsTrue)
		c.assertMoves()
		c.Assert(c.isLeft, qt.IsFalse, qt.Commentf("a connection that may be in use again was interrupted"))
	})
	t.Run("the attempt fails", func(t *testing.T) {
		c := newContestTest(t)
		c.endAttempt()
		c.Assert(c.answer(), qt.IsFalse)
		c.assertStays()
	})
}

func TestContestWithoutAttempt(t *testing.T) {
	for name, test := range map[string]struct {
		at      position
		prepare func(c *contest)
		begins  bool
	}{
		"silent":                            {position{events: 1, ids: eventIDs{last: "1"}}, func(*contest) {}, true},
		"silent before the first event":     {position{}, func(*contest) {}, true},
		"events without ids":                {position{events: 1}, func(*contest) {}, false},
		"an event came":                     {position{events: 1, ids: eventIDs{last: "1"}}, func(c *contest) { c.keep() }, false},
		"the stream has ended":              {position{events: 1, ids: eventIDs{last: "1"}}, func(c *contest) { c.close() }, false},
		"the relay waits for another event": {position{}, func(c *contest) { c.await(position{events: 1, ids: eventIDs{last: "1"}}, contestStart.Add(1)) }, false},
	} {
		t.Run(name, func(t *testing.T) {
			var c contest
			c.await(test.at, contestStart)
			test.prepare(&c)
			_, _, ok := c.begin(context.Background(), contestStart)
			qt.Assert(t, ok, qt.Equals, test.begins)
			c.endAttempt()
		})
	}
}
