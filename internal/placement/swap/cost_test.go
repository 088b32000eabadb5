package swap_test

import (
	"fmt"
	"testing"
	"time"

	"azurehitch/internal/placement/speed"
	"azurehitch/internal/placement/swap"

	qt "github.com/frankban/quicktest"
)

// speedLoad is 60 requests per second for a model with six replicas. A server takes stepTime for a step of a
// request that it runs alone, and up to twice as long with all slots taken, divided by its speed.
type speedLoad struct {
	speedOf func(server int) float64
	// hasPauses is true if daemons report the pauses in streams.
	hasPauses bool
}

// run returns the mean time to the first event after the first ten seconds, and the servers in the order of the
// grants.
func (l speedLoad) run(t *testing.T) (firstEvent time.Duration, servers []string) {
	const replicas, perSecond, requests, measuredFrom, stepTime, steps = 6, 60, 1800, 600, 30 * time.Millisecond, 20
	f := newFixture(t, 1)
	speeds := map[string]float64{}
	for i := range replicas {
		id := fmt.Sprintf("s%d", i)
		f.addServer(id, []string{"m0"}, modelNames("m", 0, 1))
		speeds[id] = l.speedOf(i)
	}
	running, sum, lastGrant := map[string][]time.Time{}, time.Duration(0), int64(0)
	for i := range requests {
		f.advance(time.Second / perSecond)
		demand := swap.Demand{InProgress: map[swap.Replica]int{}, LastGrant: lastGrant}
		for id, ends := range running {
			var still []time.Time
			for _, end := range ends {
				if end.After(f.now) {
					still = append(still, end)
				}
			}
			running[id] = still
			demand.InProgress[swap.Replica{Server: id, Model: "m0"}] = len(still)
			if pause := time.Duration(float64(stepTime) / speeds[id]); l.hasPauses {
				demand.Pauses = append(demand.Pauses, speed.Observation{Server: id, Model: "m0", Pause: pause})
			}
		}
		f.plan.SetDemand("daemon-1", demand, f.now)
		verdict := f.submit(f.newRequest(fmt.Sprintf("r%d", i), "m0"))
		f.assertKind(verdict, swap.VerdictGranted)
		id := verdict.Grant.Server.ID
		servers, lastGrant = append(servers, id), verdict.Grant.Number
		step := time.Duration(float64(stepTime) / speeds[id] * (1 + float64(len(running[id]))/slots))
		running[id] = append(running[id], f.now.Add(steps*step))
		if i >= measuredFrom {
			sum += 2 * step
		}
	}
	return sum / (requests - measuredFrom), servers
}

// TestSlowServers covers engines of speeds 0.7, 0.7 and 1.7. Placed by counts, the fast third of the servers gets hardly
// more than a third of the requests.
func TestSlowServers(t *testing.T) {
	uneven := func(server int) float64 { return []float64{0.7, 0.7, 1.7}[server%3] }
	even := func(int) float64 { return 1 }
	t.Run("fast servers get more, so first events come sooner", func(t *testing.T) {
		byCounts, _ := speedLoad{speedOf: uneven}.run(t)
		bySpeed, _ := speedLoad{speedOf: uneven, hasPauses: true}.run(t)
		qt.New(t).Assert(bySpeed < byCounts*9/10, qt.IsTrue, qt.Commentf("%v to the first event, %v by counts", bySpeed, byCounts))
	})
	t.Run("servers of one speed get the same requests as by counts", func(t *testing.T) {
		_, byCounts := speedLoad{speedOf: even}.run(t)
		_, bySpeed := speedLoad{speedOf: even, hasPauses: true}.run(t)
		qt.New(t).Assert(bySpeed, qt.DeepEquals, byCounts)
	})
}
