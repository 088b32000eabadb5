package speed_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"azurehitch/internal/placement/speed"

	qt "github.com/frankban/quicktest"
)

// observe records 20 streams at each of the replicas of 30 models on 12 servers: each model is on three servers.
func observe(speedOf func(server int) float64) *speed.Recorder {
	random := rand.New(rand.NewPCG(1, 2))
	recorder := speed.NewRecorder()
	for i := range 30 {
		for k := range 3 {
			server := (i*5 + k*k + k) % 12
			for range 20 {
				pause := time.Duration(float64(time.Millisecond) * float64(10+i) / speedOf(server) * (0.8 + 0.4*random.Float64()))
				recorder.Add(fmt.Sprintf("s%d", server), fmt.Sprintf("m%d", i), pause)
			}
		}
	}
	return recorder
}

func TestSlowness(t *testing.T) {
	now := time.Unix(1000, 0)
	uneven := func(server int) float64 {
		if server%3 == 0 {
			return 1.7
		}
		return 0.7
	}
	t.Run("servers of speeds 0.7 and 1.7 are told apart whichever models they have", func(t *testing.T) {
		c := qt.New(t)
		table := speed.NewTable()
		table.Add(observe(uneven).Take(), now)
		for i := range 12 {
			slowness, server := table.Slowness(fmt.Sprintf("s%d", i), now), fmt.Sprintf("s%d", i)
			if i%3 == 0 {
				c.Assert(slowness > 0.3 && slowness < 0.55, qt.IsTrue, qt.Commentf("%s has %.2f", server, slowness))
				continue
			}
			c.Assert(slowness, qt.Equals, 1.0, qt.Commentf(server))
		}
	})
	t.Run("servers of one speed are equal", func(t *testing.T) {
		table := speed.NewTable()
		table.Add(observe(func(int) float64 { return 1 }).Take(), now)
		for i := range 12 {
			qt.New(t).Assert(table.Slowness(fmt.Sprintf("s%d", i), now), qt.Equals, 1.0)
		}
	})
	t.Run("old observations and unknown servers count for nothing", func(t *testing.T) {
		c := qt.New(t)
		table := speed.NewTable()
		table.Add(observe(uneven).Take(), now)
		c.Assert(table.Slowness("s12", now), qt.Equals, 1.0)
		c.Assert(table.Slowness("s0", now.Add(time.Minute)), qt.Equals, 1.0)
	})
	t.Run("one daemon with false values does not change the estimate at once", func(t *testing.T) {
		c := qt.New(t)
		table := speed.NewTable()
		table.Add(observe(func(int) float64 { return 1 }).Take(), now)
		table.Add([]speed.Observation{{Server: "s1", Model: "m1", Pause: 4 * time.Second}, {Server: "s1", Model: "m2", Pause: -1}}, now)
		c.Assert(table.Slowness("s1", now), qt.Equals, 1.0)
	})
}

// TestTake guards against reports that grow without bound, or repeat what was reported.
func TestTake(t *testing.T) {
	c := qt.New(t)
	recorder := speed.NewRecorder()
	for i := range 1000 {
		recorder.Add(fmt.Sprint(i), "m", 10*time.Millisecond)
	}
	c.Assert(recorder.Take(), qt.HasLen, 64)
	c.Assert(recorder.Take(), qt.HasLen, 0)
}
