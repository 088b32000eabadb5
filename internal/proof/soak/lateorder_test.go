package soak_test

import (
	"cmp"
	"flag"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"azurehitch/platform/platformtest"

	qt "github.com/frankban/quicktest"
)

var (
	lateOrders   = flag.String("soak.late", string(readAtOnce), "when servers read or carry out orders in TestFreshSeedsWithLateOrders")
	lateActions  = flag.Int("soak.actions", 3, "changes of holder in a run of TestFreshSeedsWithLateOrders")
	maxReadDelay = flag.Duration("soak.readdelay", 2*time.Second, "how much later than all else silent servers read orders at most")
)

// lateness is when servers read or carry out orders that got no answer.
type lateness string

const (
	// readAtOnce means that a silent server reads all that has arrived at once when it goes on.
	readAtOnce lateness = "ReadAtOnce"
	// readLate means that a silent server, when it goes on, reads the orders that have arrived up to
	// *maxReadDelay later than all else.
	readLate lateness = "ReadLate"
	// leaseReturns means that all is read at once, and that the lease returns to the former holder soon after.
	leaseReturns lateness = "LeaseReturns"
	// carriedOutLate means that servers carry out a share of the orders late, and answer all else at once.
	carriedOutLate lateness = "CarriedOutLate"
)

const (
	// minSilence and maxSilence bound how long servers are silent.
	minSilence = 800 * time.Millisecond
	maxSilence = 6 * time.Second
	// minLateness and maxLateness bound how late orders are carried out, and lateShare is the share of orders.
	minLateness = 2 * time.Second
	maxLateness = 12 * time.Second
	lateShare   = 0.3
	// silentServers is the number of model engines that are silent at a time.
	silentServers = 3
	// orderWait is how long an action waits for an order to a silent server.
	orderWait = 4 * time.Second
	// afterSilence is how long an action goes on after servers have read all orders.
	afterSilence = time.Second
	// frozenTime is how long a holder is frozen: until another daemon holds its lease.
	frozenTime = leaseDuration * 3 / 2
	// lateOrderSpan is the time from one action to the next.
	lateOrderSpan = 9 * time.Second
)

// interruptions are what happens to a holder while its orders are in flight.
var interruptions = []func(cl *cluster, holder int){interruptByStop, interruptByKill, interruptByFreeze}

func interruptByStop(cl *cluster, holder int) { cl.stopDaemon(holder) }

func interruptByKill(cl *cluster, holder int) { injectKill(cl, action{target: holder}) }

func interruptByFreeze(cl *cluster, holder int) {
	injectFreeze(cl, action{target: holder, duration: frozenTime})
}

// engines returns the servers that are model engines.
func (cl *cluster) engines() []*backendServer {
	return slices.DeleteFunc(slices.Clone(cl.servers), func(s *backendServer) bool { return s.service != engineService })
}

// holdEngines makes model engines silent. It returns how many orders have arrived there since, and ends the
// silence.
func (cl *cluster) holdEngines(a action, readDelay time.Duration) (arrived func() int, goOn func()) {
	var holds []*platformtest.HoldListener
	var ends []func()
	before := 0
	for i := range silentServers {
		engines := cl.engines()
		hold := engines[(a.target+i)%len(engines)].hold
		before += hold.HeldOrders()
		holds, ends = append(holds, hold), append(ends, hold.Hold(readDelay))
	}
	arrived = func() int {
		count := -before
		for _, hold := range holds {
			count += hold.HeldOrders()
		}
		return count
	}
	return arrived, func() {
		for _, end := range ends {
			end()
		}
	}
}

// silenceFault makes model engines silent, interrupts the holder while an order to them is in flight, and
// lets them go on after the duration. Orders that arrived meanwhile are read up to readDelay later than all
// else.
func silenceFault(readDelay time.Duration) fault {
	return fault{name: "servers are silent", inject: func(cl *cluster, a action) {
		holder := cl.awaitHolder(func(string) bool { return true })
		endFault := cl.disturbances.beginServerFault("servers are silent")
		arrived, goOn := cl.holdEngines(a, readDelay*time.Duration(a.variant)/variantCount)
		awaitHeldOrder(arrived)
		cl.Logf("%d orders of daemon-%d in flight to silent servers at its interruption", arrived(), holder)
		began := time.Now()
		timer := time.AfterFunc(a.duration, goOn)
		defer timer.Stop()
		interruptions[a.variant%len(interruptions)](cl, holder)
		time.Sleep(a.duration - time.Since(began))
		goOn()
		time.Sleep(readDelay + afterSilence)
		endFault()
	}}
}

// awaitHeldOrder waits until an order has arrived at silent servers, for at most orderWait.
func awaitHeldOrder(arrived func() int) {
	for end := time.Now().Add(orderWait); arrived() == 0 && time.Now().Before(end); time.Sleep(time.Millisecond) {
	}
}

// returnFault freezes the holder while an order to silent servers is in flight, lets the servers go on once
// another daemon holds the lease, and stops that one, so that the lease may return.
var returnFault = fault{name: "lease returns", inject: func(cl *cluster, a action) {
	holder := cl.awaitHolder(func(string) bool { return true })
	endFault := cl.disturbances.beginServerFault("servers are silent")
	arrived, goOn := cl.holdEngines(a, 0)
	awaitHeldOrder(arrived)
	cl.Logf("%d orders of daemon-%d in flight to silent servers at its interruption", arrived(), holder)
	interruptByFreeze(cl, holder)
	successor, ok := cl.findSuccessor(holder)
	time.Sleep(afterSilence)
	goOn()
	time.Sleep(afterSilence)
	if ok {
		cl.stopDaemon(successor)
		time.Sleep(leaseDuration)
	}
	endFault()
}}

// findSuccessor returns the daemon other than the former holder of which a server accepts the next order, and
// false if no server needs one for orderWait.
func (cl *cluster) findSuccessor(former int) (successor int, ok bool) {
	for end := time.Now().Add(orderWait); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		name, _ := cl.checker.lastHolder()
		successor = slices.IndexFunc(cl.daemons, func(d *process) bool { return d.settings.Name == name })
		if successor >= 0 && successor != former {
			return successor, true
		}
	}
	cl.Logf("no order of a successor of daemon-%d", former)
	return 0, false
}

// lateShareFault makes all model engines carry out a share of the orders late, interrupts the holder, and
// waits until all orders have been carried out.
var lateShareFault = fault{name: "servers carry out orders late", inject: func(cl *cluster, a action) {
	endFault := cl.disturbances.beginServerFault("servers carry out orders late")
	random := newRandom(uint64(a.target), 9)
	var mu sync.Mutex
	delay := func() time.Duration {
		mu.Lock()
		defer mu.Unlock()
		if random.Float64() >= lateShare {
			return 0
		}
		return between(random, minLateness, maxLateness)
	}
	for _, s := range cl.engines() {
		s.backend().DelayOrders(delay)
	}
	time.Sleep(a.duration)
	interruptions[a.variant%len(interruptions)](cl, cl.awaitHolder(func(string) bool { return true }))
	time.Sleep(a.duration)
	for _, s := range cl.engines() {
		s.backend().DelayOrders(nil)
	}
	time.Sleep(maxLateness)
	endFault()
}}

// lateOrderPlan returns the actions of a run. Their variants select the interruption by their remainder, and
// the read delay by their size.
func lateOrderPlan(seed uint64, late lateness, count int) []action {
	random := newRandom(seed, 10)
	f := map[lateness]fault{
		readAtOnce: silenceFault(0), readLate: silenceFault(*maxReadDelay), leaseReturns: returnFault, carriedOutLate: lateShareFault,
	}[late]
	span := lateOrderSpan
	if late == leaseReturns {
		span *= 2
	}
	var plan []action
	for i := range count {
		plan = append(plan, action{
			fault: f, startsAt: 2*time.Second + time.Duration(i)*span, duration: between(random, minSilence, maxSilence),
			target: random.IntN(engineCount), variant: len(interruptions)*random.IntN(variantCount/len(interruptions)) + (i+int(seed))%len(interruptions),
		})
	}
	return plan
}

// ignoringSeed returns the nth seed in whose runs servers ignore tokens.
func ignoringSeed(n uint64) uint64 { return n/2*4 + 2 + n%2 }

// seenOrder is an order that a server has read or carried out.
type seenOrder struct {
	platformtest.OrderArrival
	at time.Time
}

// holderCase is an order that shows two holders at a server.
type holderCase struct {
	text string
	// before are the orders of the same server that lead to it, and the order itself.
	before []seenOrder
}

func (c holderCase) String() string {
	lines := []string{c.text}
	for _, o := range c.before {
		lines = append(lines, fmt.Sprintf("  %s: %s token %d %s %s: %s", o.at.Format("05.000"), o.Holder, o.Token, o.Kind, o.Model, o.Answer))
	}
	return strings.Join(lines, "\n")
}

// maxLeadingOrders is the number of orders that a holderCase shows.
const maxLeadingOrders = 6

// findHolderCases returns what shows two holders in the orders to one server, also rejected ones, in a
// sequence. Orders that a daemon may have sent right after it was frozen don't count.
func (c *checker) findHolderCases(orders []seenOrder) []holderCase {
	var cases []holderCase
	highest := int64(0)
	holders := map[int64]string{}
	orders = slices.DeleteFunc(slices.Clone(orders), c.isSentAfterFreeze)
	for i, o := range orders {
		before := orders[max(0, i+1-maxLeadingOrders) : i+1]
		if o.Token < highest {
			cases = append(cases, holderCase{fmt.Sprintf("%s: token %d after %d", o.Server.ID, o.Token, highest), before})
		}
		if first, ok := holders[o.Token]; ok && first != o.Holder {
			cases = append(cases, holderCase{fmt.Sprintf("%s: %s and %s with token %d", o.Server.ID, first, o.Holder, o.Token), before})
		}
		highest, holders[o.Token] = max(highest, o.Token), o.Holder
		if isAlternating(orders[:i], o) {
			cases = append(cases, holderCase{fmt.Sprintf("%s: %s alternates with another holder", o.Server.ID, o.Holder), before})
		}
	}
	return cases
}

// isAlternating reports whether the holder of an order has ordered the same server within the duration of a
// lease, and another holder in between.
func isAlternating(before []seenOrder, o seenOrder) bool {
	isOtherBetween := false
	for _, earlier := range slices.Backward(before) {
		if o.at.Sub(earlier.at) >= leaseDuration {
			return false
		}
		if earlier.Holder == o.Holder && isOtherBetween {
			return true
		}
		isOtherBetween = isOtherBetween || earlier.Holder != o.Holder
	}
	return false
}

// isSentAfterFreeze reports whether an order was seen within resumeSlack of the end of a freeze of its sender.
func (c *checker) isSentAfterFreeze(o seenOrder) bool {
	return c.disturbances.firstOverlapping(&c.disturbances.daemons, o.at.Add(-resumeSlack), o.at, func(d *disturbance) bool {
		return d.name == freezeName && fmt.Sprintf("daemon-%d", d.daemon) == o.Holder && d.to.Before(o.at)
	}) != nil
}

// ordersByServer returns all orders of a run by server, in the order in which they were carried out, or read.
func (c *checker) ordersByServer(isByRead bool) map[string][]seenOrder {
	c.mu.Lock()
	orders := slices.Clone(c.seenOrders)
	c.mu.Unlock()
	if isByRead {
		for i := range orders {
			orders[i].at = orders[i].ReadAt
		}
		slices.SortStableFunc(orders, func(a, b seenOrder) int { return a.at.Compare(b.at) })
	}
	byServer := map[string][]seenOrder{}
	for _, o := range orders {
		byServer[o.Server.ID] = append(byServer[o.Server.ID], o)
	}
	return byServer
}

// maxShownCases is the number of cases that a run prints of each sequence.
const maxShownCases = 4

// holderCases returns the cases at all servers, and prints the first of them.
func (cl *cluster) holderCases(isByRead bool) []holderCase {
	var cases []holderCase
	for _, orders := range cl.checker.ordersByServer(isByRead) {
		cases = append(cases, cl.checker.findHolderCases(orders)...)
	}
	slices.SortFunc(cases, func(a, b holderCase) int { return cmp.Compare(a.text, b.text) })
	sequence := map[bool]string{true: "read", false: "carried out"}[isByRead]
	cl.Logf("seed %d: %d orders, %d cases in the sequence in which orders were %s", cl.seed, len(cl.checker.seenOrders), len(cases), sequence)
	for _, c := range cases[:min(maxShownCases, len(cases))] {
		cl.Logf("%s: %v", sequence, c)
	}
	return cases
}

// checkLateOrders fails the test if servers read orders of two holders.
func checkLateOrders(cl *cluster) {
	cl.holderCases(false)
	cl.Check(cl.holderCases(true), qt.HasLen, 0)
}

// runLateOrders makes a run in which orders are late.
func runLateOrders(t *testing.T, seed uint64, late lateness, actions int) {
	t.Helper()
	s := defaultSetup()
	s.checkOrders = checkLateOrders
	runSetup(t, seed, lateOrderPlan(seed, late, actions), s)
}

// TestLateOrders interrupts a holder while its order is in flight to a server that reads it after the next
// holder has claimed the lease.
func TestLateOrders(t *testing.T) {
	t.Parallel()
	runLateOrders(t, ignoringSeed(0), readAtOnce, 2)
}

// TestFreshSeedsWithLateOrders makes the runs of TestLateOrders with fresh seeds, and the form of lateness of
// a flag.
func TestFreshSeedsWithLateOrders(t *testing.T) {
	if *seedCount == 0 {
		t.Skip("needs -soak.seeds")
	}
	runSeeds(t, freshSeeds(), func(t *testing.T, n uint64) { runLateOrders(t, ignoringSeed(n), lateness(*lateOrders), *lateActions) })
}

// TestLeaseReturnsAfterSilence guards against turns of two holders at servers that read the orders of the
// first one only while the second one holds the lease.
func TestLeaseReturnsAfterSilence(t *testing.T) {
	t.Parallel()
	runLateOrders(t, ignoringSeed(500), leaseReturns, 1)
}
