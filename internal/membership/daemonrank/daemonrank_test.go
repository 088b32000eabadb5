package daemonrank_test

import (
	"fmt"
	"testing"

	"azurehitch/internal/membership/daemonrank"

	qt "github.com/frankban/quicktest"
)

func TestIndex(t *testing.T) {
	daemons := []string{"a", "b", "c", "d"}
	t.Run("each daemon has an index of its own", func(t *testing.T) {
		for i := range 50 {
			seen := map[int]bool{}
			for _, daemon := range daemons {
				seen[daemonrank.Index(fmt.Sprint(i), daemon, daemons)] = true
			}
			qt.Assert(t, seen, qt.DeepEquals, map[int]bool{0: true, 1: true, 2: true, 3: true})
		}
	})
	t.Run("a daemon that is not listed counts", func(t *testing.T) {
		qt.Assert(t, daemonrank.Index("key", "alone", nil), qt.Equals, 0)
	})
}
