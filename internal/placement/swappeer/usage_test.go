package swappeer

import (
	"testing"
	"time"

	"azurehitch/internal/placement/swap"

	qt "github.com/frankban/quicktest"
)

// TestFreed guards against reports that leave a slot idle for which requests wait, and against reports that
// nobody waits for.
func TestFreed(t *testing.T) {
	now := time.Unix(1000, 0)
	awaited, other := swap.Replica{Server: "s1", Model: "m"}, swap.Replica{Server: "s2", Model: "m"}
	u := newUsage()
	u.setAnswer(swap.DemandAnswer{Awaited: []string{"s1"}}, now)
	c := qt.New(t)
	u.addInProgress(awaited, 1)
	u.addInProgress(other, 1)
	u.addInProgress(other, -1)
	c.Assert(u.hasFreed(), qt.IsFalse)
	u.addInProgress(awaited, -1)
	c.Assert(u.hasFreed(), qt.IsTrue)
	_, _, due := u.takeDemand(now)
	c.Assert(due, qt.IsTrue)
	c.Assert(u.hasFreed(), qt.IsFalse)
	u.setAnswer(swap.DemandAnswer{}, now)
	u.addInProgress(awaited, 1)
	u.addInProgress(awaited, -1)
	c.Assert(u.hasFreed(), qt.IsFalse)
}
