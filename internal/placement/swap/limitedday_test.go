package swap_test

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"azurehitch"
	"azurehitch/internal/placement/swap"
	"azurehitch/internal/proof/limitbound"

	qt "github.com/frankban/quicktest"
)

const (
	daySlots   = 32
	dayDomains = 4
	dayDaemons = 9
	dayRunTime = 2 * time.Second
	// dayAdapterShare of the requests for busy models are for one of dayAdapters.
	dayAdapterShare = 0.2
	dayAdapters     = 30
	dayStep         = 10 * time.Millisecond
	dayReportSteps  = 25
	// dayLimitAt is when servers name their limits, and dayDuration the length of the day.
	dayLimitAt  = 10 * time.Second
	dayDuration = 40 * time.Second
	// dayRateLimit is the limit of each limited server in requests per second.
	dayRateLimit = 1.2
)

// deployment is the size of a limitedDay: a few busy models take most requests, and many rare models
// share the remaining memory of the servers. Rates are in requests per second.
type deployment struct {
	name               string
	servers, limited   int
	models, busyModels int
	// cached is the number of checkpoints on the disk of a server.
	cached             int
	busyRate, rareRate float64
}

// limitedDay plays requests against a plan while some servers name rate limits.
type limitedDay struct {
	*fixture
	deployment
	random *rand.Rand

	orders  []runningOrder
	running []runningRequest
	// waiting holds the requests without a final verdict, by ID.
	waiting map[string]dayRequest
	// arrivals counts by daemon and model the requests placed without the holder since the last
	// report, and lastGrant is the last grant of each daemon.
	arrivals   []map[string]int
	lastGrant  []int64
	rateLimits map[azurehitch.ServerIdentity]float64
	// arrivedAt are the times of the requests at each limited server that count in its limit.
	arrivedAt map[string][]time.Time
	result    dayResult
}

type runningOrder struct {
	swap.Order
	endsAt time.Time
}

type runningRequest struct {
	replica swap.Replica
	daemon  int
	endsAt  time.Time
}

type dayRequest struct {
	swap.Request
	daemon    int
	arrivedAt time.Time
	rare      bool
}

// dayOutcome counts requests that arrived after the servers named their limits.
type dayOutcome struct{ requested, onTime, refused int }

func (o dayOutcome) onTimeShare() float64 { return float64(o.onTime) / float64(o.requested) }

func (o dayOutcome) plus(p dayOutcome) dayOutcome {
	return dayOutcome{requested: o.requested + p.requested, onTime: o.onTime + p.onTime, refused: o.refused + p.refused}
}

func (o dayOutcome) String() string {
	return fmt.Sprintf("%d requested, %.3f on time, %d refused", o.requested, o.onTimeShare(), o.refused)
}

type dayResult struct {
	busy, rare dayOutcome
	// orders counts all orders, and remote the loads from the weight store.
	orders, remote int
	// most is the highest number of requests in a window at a limited server.
	most int
}

func (r dayResult) String() string {
	return fmt.Sprintf("busy: %v; rare: %v; %d orders, %d loads from the weight store", r.busy, r.rare, r.orders, r.remote)
}

// newLimitedDay returns a day whose first servers name limits from dayLimitAt on.
func newLimitedDay(t *testing.T, seed uint64, size deployment) *limitedDay {
	t.Helper()
	f := newFixture(t, size.models)
	f.limits.Slots, f.limits.RemoteLoadsPerSecond, f.limits.AdapterSlots = daySlots, 6.7, 8
	f.plan.SetLimits(f.limits)
	d := &limitedDay{
		fixture: f, deployment: size, random: rand.New(rand.NewPCG(seed, 1)), waiting: map[string]dayRequest{},
		arrivals: make([]map[string]int, dayDaemons), lastGrant: make([]int64, dayDaemons),
		rateLimits: map[azurehitch.ServerIdentity]float64{}, arrivedAt: map[string][]time.Time{},
	}
	for i := range d.arrivals {
		d.arrivals[i] = map[string]int{}
	}
	for i := range size.servers {
		d.addDayServer(i)
	}
	f.plan.SetServers(f.servers)
	return d
}

// addDayServer adds a server with two models loaded, one of them busy.
func (d *limitedDay) addDayServer(i int) {
	loaded := []string{fmt.Sprintf("m%d", i%d.busyModels), fmt.Sprintf("m%d", d.busyModels+i)}
	onDisk := append([]string{}, loaded...)
	for len(onDisk) < d.cached {
		onDisk = append(onDisk, fmt.Sprintf("m%d", (i*d.cached+len(onDisk))%d.models))
	}
	s := d.addServer(fmt.Sprintf("s%02d", i), loaded, onDisk)
	d.fixture.servers[i].FailureDomain, d.fixture.servers[i].Slots = fmt.Sprint(i%dayDomains), daySlots
	if i < d.limited {
		d.rateLimits[s.ServerIdentity] = dayRateLimit
	}
}

// run plays the day and returns its result.
func (d *limitedDay) run() dayResult {
	for n := 0; d.now.Sub(start) < dayDuration; n++ {
		d.advance(dayStep)
		if d.now.Sub(start) >= dayLimitAt {
			d.plan.SetRateLimits(d.rateLimits, d.now)
		}
		d.endRequests()
		d.endOrders()
		if n%dayReportSteps == 0 {
			d.reportDemand()
		}
		d.arrive(n)
		for _, v := range d.plan.EvaluateWaiting(d.now, func(id string) bool { _, ok := d.waiting[id]; return ok }) {
			d.apply(d.waiting[v.ID], v.Verdict)
		}
		for _, id := range slices.Sorted(maps.Keys(d.waiting)) {
			d.apply(d.waiting[id], d.plan.Submit(d.waiting[id].Request, d.now))
		}
		d.startOrders()
	}
	for _, times := range d.arrivedAt {
		d.result.most = max(d.result.most, limitbound.MostInWindow(times))
	}
	return d.result
}

func (d *limitedDay) endRequests() {
	rest := d.running[:0]
	for _, r := range d.running {
		if d.now.Before(r.endsAt) {
			rest = append(rest, r)
		}
	}
	d.running = rest
}

func (d *limitedDay) endOrders() {
	rest := d.orders[:0]
	for _, o := range d.orders {
		if d.now.Before(o.endsAt) {
			rest = append(rest, o)
			continue
		}
		if count, ok := d.plan.AcceptedOrders(o.Order); ok {
			d.plan.SetAcceptedOrders(o.Order, count+1)
		}
		d.plan.Finish(o.Order, swap.OutcomeDone, d.now)
	}
	d.orders = rest
}

func (d *limitedDay) startOrders() {
	for _, o := range d.decide() {
		d.orders = append(d.orders, runningOrder{Order: o, endsAt: d.now.Add(max(o.Expected, 30*time.Millisecond))})
		if d.now.Sub(start) < dayLimitAt {
			continue
		}
		d.result.orders++
		if o.Kind == azurehitch.OrderLoad && o.Tier == azurehitch.CacheTierRemote {
			d.result.remote++
		}
	}
}

func (d *limitedDay) reportDemand() {
	for daemon := range dayDaemons {
		demand := swap.Demand{InProgress: map[swap.Replica]int{}, Arrivals: d.arrivals[daemon], LastGrant: d.lastGrant[daemon]}
		for _, r := range d.running {
			if r.daemon == daemon {
				demand.InProgress[r.replica]++
			}
		}
		d.plan.SetDemand(fmt.Sprint(daemon), demand, d.now)
		d.arrivals[daemon] = map[string]int{}
	}
}

// arrive sends the requests of one step. Their number has a geometric distribution.
func (d *limitedDay) arrive(n int) {
	for _, kind := range []struct {
		rate float64
		rare bool
	}{{d.busyRate, false}, {d.rareRate, true}} {
		for k := 0; d.random.Float64() < kind.rate*dayStep.Seconds(); k++ {
			daemon := d.random.IntN(dayDaemons)
			r := dayRequest{
				Request: d.newRequest(fmt.Sprintf("%d-%d-%v", n, k, kind.rare), d.model(kind.rare)), daemon: daemon,
				arrivedAt: d.now, rare: kind.rare,
			}
			r.Daemon, r.FailureDomain = fmt.Sprint(daemon), fmt.Sprint(daemon%dayDomains)
			if !kind.rare {
				r.Objective = d.now.Add(400 * time.Millisecond)
				if d.random.Float64() < dayAdapterShare {
					r.Adapter = fmt.Sprintf("a%d", d.random.IntN(dayAdapters))
				}
			}
			d.count(r).requested++
			if replica, ok := d.pinnedReplica(r); ok && r.Adapter == "" {
				d.arrivals[daemon][r.Model]++
				d.begin(r, replica)
				continue
			}
			d.waiting[r.ID] = r
		}
	}
}

// model returns the model of a request: the busy ones are asked for unevenly.
func (d *limitedDay) model(rare bool) string {
	if rare {
		return fmt.Sprintf("m%d", d.busyModels+d.random.IntN(d.models-d.busyModels))
	}
	return fmt.Sprintf("m%d", int(float64(d.busyModels)*math.Pow(d.random.Float64(), 2)))
}

// count returns the outcome to which a request counts. Those before the limits count to none.
func (d *limitedDay) count(r dayRequest) *dayOutcome {
	switch {
	case r.arrivedAt.Sub(start) < dayLimitAt:
		return &dayOutcome{}
	case r.rare:
		return &d.result.rare
	}
	return &d.result.busy
}

// pinnedReplica returns the pinned replica of the model with the fewest requests that has fewer than
// half of its slots in use.
func (d *limitedDay) pinnedReplica(r dayRequest) (swap.Replica, bool) {
	best, least := swap.Replica{}, daySlots/2
	for _, pin := range d.plan.PinnedReplicas() {
		if pin.Model == r.Model && pin.Requests < least {
			best, least = pin.Replica, pin.Requests
		}
	}
	return best, best.Server != ""
}

// begin starts to run a request at a replica.
func (d *limitedDay) begin(r dayRequest, replica swap.Replica) {
	runTime := time.Duration(d.random.ExpFloat64() * float64(dayRunTime))
	d.running = append(d.running, runningRequest{replica: replica, daemon: r.daemon, endsAt: d.now.Add(runTime)})
	if d.now.Before(r.Objective) {
		d.count(r).onTime++
	}
	if d.isLimited(replica.Server) && d.now.Sub(start) >= dayLimitAt+limitbound.NoticeTime {
		d.arrivedAt[replica.Server] = append(d.arrivedAt[replica.Server], d.now)
	}
}

func (d *limitedDay) isLimited(server string) bool {
	for id := range d.rateLimits {
		if id.ID == server {
			return true
		}
	}
	return false
}

// apply carries out the verdict on a request.
func (d *limitedDay) apply(r dayRequest, v swap.Verdict) {
	switch v.Kind {
	case swap.VerdictGranted:
		d.lastGrant[r.daemon] = max(d.lastGrant[r.daemon], v.Grant.Number)
		d.begin(r, swap.Replica{Server: v.Grant.Server.ID, Model: r.Model})
	case swap.VerdictRefused:
		d.count(r).refused++
	default:
		return
	}
	delete(d.waiting, r.ID)
}

const (
	// minBusyOnTime is the share of the requests for busy models that must begin in time, and
	// minRareOnTime the same for rare models, as a fraction of the share on the same day without
	// limits.
	minBusyOnTime = 0.98
	minRareOnTime = 0.95
	daySeeds      = 3
)

// TestLimitedDay plays days on which half of the servers name rate limits.
func TestLimitedDay(t *testing.T) {
	for _, size := range []deployment{
		{name: "18 servers", servers: 18, models: 96, busyModels: 5, cached: 19, busyRate: 34, rareRate: 4},
		{name: "6 servers", servers: 6, models: 30, busyModels: 2, cached: 12, busyRate: 12, rareRate: 2},
	} {
		t.Run(size.name, func(t *testing.T) {
			c := qt.New(t)
			unlimited := playDays(t, size)
			size.limited = size.servers / 2
			limited := playDays(t, size)
			c.Logf("without limits: %v", unlimited)
			c.Logf("with limits: %v", limited)
			c.Assert(float64(limited.most) <= limitbound.Allowed(dayRateLimit), qt.IsTrue, qt.Commentf("%d requests in a window", limited.most))
			c.Assert(limited.busy.onTimeShare() >= minBusyOnTime, qt.IsTrue)
			c.Assert(limited.rare.onTimeShare() >= minRareOnTime*unlimited.rare.onTimeShare(), qt.IsTrue)
		})
	}
}

// playDays returns the sum of the results of daySeeds days.
func playDays(t *testing.T, size deployment) dayResult {
	t.Helper()
	var sum dayResult
	for seed := range uint64(daySeeds) {
		r := newLimitedDay(t, seed, size).run()
		sum.busy, sum.rare = sum.busy.plus(r.busy), sum.rare.plus(r.rare)
		sum.orders, sum.remote, sum.most = sum.orders+r.orders, sum.remote+r.remote, max(sum.most, r.most)
	}
	return sum
}
