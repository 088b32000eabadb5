package breaker_test

import (
	"testing"
	"time"

	"azurehitch/internal/forward/breaker"

	qt "github.com/frankban/quicktest"
)

// cutBreakers are the breakers of a daemon that may be cut off from the servers.
type cutBreakers struct {
	*qt.C
	*breaker.Breakers
	isCutOff bool
}

func newCutBreakers(t *testing.T) *cutBreakers {
	b := &cutBreakers{C: qt.New(t)}
	b.Breakers = breaker.NewBreakers(&clock{now: time.Unix(1000, 0)}).WithCutOff(func() bool { return b.isCutOff })
	return b
}

// open makes the breakers of some servers open.
func (b *cutBreakers) open(addresses ...string) {
	for _, address := range addresses {
		for range 8 {
			b.Failed(address)
		}
		b.assertOpen(true, address)
	}
}

func (b *cutBreakers) assertOpen(want bool, addresses ...string) {
	b.Helper()
	for _, address := range addresses {
		b.Assert(b.IsOpen(address), qt.Equals, want, qt.Commentf("%s", address))
		b.Assert(b.Allow(address), qt.Equals, !want, qt.Commentf("%s", address))
	}
}

func TestBreakersStayOpenAfterCut(t *testing.T) {
	t.Run("failures before the cut is known", func(t *testing.T) {
		b := newCutBreakers(t)
		b.open("s1", "s2")
		b.isCutOff = true
		b.assertOpen(false, "s1", "s2")
	})
	t.Run("failures during the cut", func(t *testing.T) {
		b := newCutBreakers(t)
		b.isCutOff = true
		b.open("s1", "s2")
		b.isCutOff = false
		b.assertOpen(false, "s1", "s2")
	})
	t.Run("the servers that fail on", func(t *testing.T) {
		b := newCutBreakers(t)
		b.open("s1")
		b.isCutOff = true
		b.assertOpen(false, "s1")
		b.isCutOff = false
		b.open("s1")
		b.assertOpen(false, "s2")
	})
}
