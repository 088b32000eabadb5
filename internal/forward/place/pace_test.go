package place_test

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"azurehitch/internal/forward/place"

	qt "github.com/frankban/quicktest"
)

// plainLoad is 90 requests per second that 66 daemons send to a plain service of three servers with six slots.
type plainLoad struct {
	// slowBy is by how much the first server is slower than the others.
	slowBy float64
	// isBlind is true if the daemons learn nothing from answers.
	isBlind bool
}

const (
	loadDaemons   = 66
	loadSlots     = 6
	loadWorkTime  = 60 * time.Millisecond
	loadObjective = 300 * time.Millisecond
	loadPerSecond = 90
	loadRequests  = 9000
)

// plainDay plays a plainLoad.
type plainDay struct {
	*qt.C
	plainLoad
	clock   *steppedClock
	random  *rand.Rand
	placers []*place.Placer
	running []plainRun
	// arrivals counts requests at servers, rejections those that found no free slot, and late the requests that
	// took longer than loadObjective or found no server.
	arrivals, rejections, late int
}

// plainRun is a request in progress at a server.
type plainRun struct {
	endsAt time.Time
	choice place.Choice
	took   time.Duration
}

// run returns the share of arrivals that full servers rejected, and the share of requests that were late.
func (l plainLoad) run(t *testing.T) (rejected, late float64) {
	d := &plainDay{C: qt.New(t), plainLoad: l, clock: &steppedClock{now: time.Unix(1000, 0)}, random: rand.New(rand.NewPCG(1, 2))}
	for range loadDaemons {
		placer := newPlacer(map[string]string{"s1": "a", "s2": "b", "s3": "c"})
		placer.FailureDomain = []string{"a", "b", "c"}[d.random.IntN(3)]
		placer.Clock = d.clock
		d.placers = append(d.placers, placer)
	}
	for i := range loadRequests {
		d.clock.now = d.clock.now.Add(time.Duration(d.random.ExpFloat64() * float64(time.Second) / loadPerSecond))
		d.endRequests()
		d.request(i)
	}
	return float64(d.rejections) / float64(d.arrivals), float64(d.late) / loadRequests
}

func (d *plainDay) endRequests() {
	still := d.running[:0]
	for _, r := range d.running {
		if r.endsAt.After(d.clock.now) {
			still = append(still, r)
			continue
		}
		r.choice.End()
		d.observe(r.choice, place.Answer{Took: r.took})
	}
	d.running = still
}

func (d *plainDay) observe(choice place.Choice, answer place.Answer) {
	if !d.isBlind {
		choice.Observe(answer)
	}
}

// request sends a request of any daemon to one server after the other until one has a free slot.
func (d *plainDay) request(i int) {
	placer := d.placers[d.random.IntN(loadDaemons)]
	var tried []string
	for len(tried) < 3 {
		choice, err := placer.Place(context.Background(), plainRequest(i, tried...))
		d.Assert(err, qt.IsNil)
		d.arrivals++
		if d.inProgressAt(choice.Server.ID) < loadSlots {
			d.begin(choice)
			return
		}
		d.rejections++
		choice.End()
		d.observe(choice, place.Answer{Rejected: true})
		tried = append(tried, choice.Server.ID)
	}
	d.late++
}

func (d *plainDay) inProgressAt(server string) int {
	count := 0
	for _, r := range d.running {
		if r.choice.Server.ID == server {
			count++
		}
	}
	return count
}

func (d *plainDay) begin(choice place.Choice) {
	took := time.Duration(float64(loadWorkTime) * (0.5 + d.random.ExpFloat64()/2))
	if choice.Server.ID == "s1" {
		took = time.Duration(float64(took) * d.slowBy)
	}
	d.running = append(d.running, plainRun{endsAt: d.clock.now.Add(took), choice: choice, took: took})
	if took > loadObjective {
		d.late++
	}
}

// TestPaces covers plain services, whose servers are chosen by each daemon from what it knows itself.
func TestPaces(t *testing.T) {
	t.Run("a server that is four times as slow gets fewer requests", func(t *testing.T) {
		c := qt.New(t)
		rejectedBlind, lateBlind := plainLoad{slowBy: 4, isBlind: true}.run(t)
		rejected, late := plainLoad{slowBy: 4}.run(t)
		c.Assert(rejected < rejectedBlind/2, qt.IsTrue, qt.Commentf("%.3f rejected, %.3f blind", rejected, rejectedBlind))
		c.Assert(late < 0.6*lateBlind, qt.IsTrue, qt.Commentf("%.3f late, %.3f blind", late, lateBlind))
	})
	t.Run("with equal servers, nothing is lost", func(t *testing.T) {
		rejectedBlind, _ := plainLoad{slowBy: 1, isBlind: true}.run(t)
		rejected, _ := plainLoad{slowBy: 1}.run(t)
		qt.New(t).Assert(rejected < rejectedBlind+0.003, qt.IsTrue, qt.Commentf("%.4f rejected, %.4f blind", rejected, rejectedBlind))
	})
}
