package sharedlimit

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestShareRises guards against units that are granted twice after a partition: what a bucket was refilled with while
// its pool had a small share must not count up to the capacity of the whole share, which another pool has just used.
func TestShareRises(t *testing.T) {
	limit := Limit{PerSecond: 100, Burst: 100}
	for name, isUsed := range map[string]bool{"a bucket that is idle": true, "a bucket that was never used": false} {
		t.Run(name, func(t *testing.T) {
			c, start := qt.New(t), time.Unix(1000, 0)
			p := newPool(start)
			p.setLoan("a", loan{share: 0.1, until: farAhead})
			if isUsed {
				p.bucket("account", limit)
			}
			p.advance(start.Add(20 * time.Second))
			p.setLoan("b", loan{share: 0.9, until: farAhead})
			level := p.bucket("account", limit).level
			c.Assert(level <= 0.1*limit.capacity(), qt.IsTrue, qt.Commentf("%v", level))
			p.advance(start.Add(22 * time.Second))
			b := p.bucket("account", limit)
			b.settle(p)
			c.Assert(b.level, qt.Equals, limit.capacity())
		})
	}
}
