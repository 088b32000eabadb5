package sharedlimit

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestBacklogWait guards against callers that return while an excess lasts: they are refused again, and take the
// units of callers that come for the first time.
func TestBacklogWait(t *testing.T) {
	for _, test := range []struct {
		name           string
		excess         int
		shortest, most time.Duration
	}{
		{"no excess", 0, 0, 0},
		{"as much again", 1, 1200 * time.Millisecond, 3 * time.Second},
		{"three times as much", 3, 3800 * time.Millisecond, 8 * time.Second},
		{"without end", 60, maxBacklogWait, maxBacklogWait},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			b, now := backlog{}, time.Unix(1000, 0)
			for range 500 {
				now = now.Add(20 * time.Millisecond)
				b.grant(now, 10)
				for range test.excess {
					wait := b.refuse(now, 10)
					if now.Sub(time.Unix(1000, 0)) > 8*time.Second {
						c.Assert(wait >= test.shortest && wait <= test.most, qt.IsTrue, qt.Commentf("%v", wait))
					}
				}
			}
		})
	}
	t.Run("single refusals have the coordinator's estimate", func(t *testing.T) {
		b := backlog{}
		qt.New(t).Assert(b.refuse(time.Unix(1000, 0), 10), qt.Equals, time.Duration(0))
	})
}
