package soak_test

import (
	"cmp"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"azurehitch"
	"azurehitch/internal/telemetry/explain"
	"azurehitch/platform/platformtest"
)

// receivedOrder is an order that a server received.
type receivedOrder struct {
	holder string
	token  int64
	at     time.Time
	// isAccepted is true if the server carried it out.
	isAccepted bool
	// isLate is true if it doesn't count since its sender was resumed or a link was restored just before.
	isLate bool
	// isInTouch is true if its sender was in touch.
	isInTouch bool
}

// orderLog holds the orders that servers received.
type orderLog struct {
	// byServer is keyed by server id, and each list is in the order of arrival.
	byServer      map[string][]receivedOrder
	holderByToken map[int64]string
}

func newOrderLog() orderLog {
	return orderLog{byServer: map[string][]receivedOrder{}, holderByToken: map[int64]string{}}
}

// counts reports whether an order counts where holders and tokens are compared: each accepted order, and of the
// others those that are not late. Servers that check tokens reject those of superseded holders: there they count
// only if their sender is in touch.
func (c *checker) counts(o receivedOrder) bool {
	return o.isAccepted || !o.isLate && (c.ignoresTokens || o.isInTouch)
}

// Ordered implements platformtest.Recorder.
func (c *checker) Ordered(order platformtest.OrderArrival) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.seenOrders = append(c.seenOrders, seenOrder{OrderArrival: order, at: now})
	if isCarriedOutLate := !order.ReadAt.IsZero() && now.Sub(order.ReadAt) >= minLateness; isCarriedOutLate {
		// It counts when the server has read it, see checkLateOrders.
		return
	}
	if holder, known := c.orders.holderByToken[order.Token]; known && holder != order.Holder {
		c.addViolation(ruleSingleHolder, "%s and %s sent orders under token %d", holder, order.Holder, order.Token)
	}
	c.orders.holderByToken[order.Token] = order.Holder
	daemon := daemonNumber(order.Holder)
	received := receivedOrder{
		holder: order.Holder, token: order.Token, at: now, isAccepted: order.Answer == azurehitch.OrderAccepted,
		isLate: c.disturbances.isJustResumed(daemon, order.Server.Address, now), isInTouch: c.disturbances.isInTouch(daemon, now),
	}
	c.checkTokens(order.Server.ID, received)
	c.checkTurns(order.Server.ID, received)
	c.orders.byServer[order.Server.ID] = append(c.orders.byServer[order.Server.ID], received)
	if received.isAccepted && order.Kind == azurehitch.OrderLoad && order.Tier == azurehitch.CacheTierRemote && c.disturbances.isStoreHealthy(now, now) {
		c.remoteLoads = append(c.remoteLoads, now)
		c.checkLoads(now)
	}
}

// daemonNumber returns the number of the daemon with a name; allDaemons if none has it.
func daemonNumber(name string) int {
	number := allDaemons
	if n, err := fmt.Sscanf(name, daemonNameFormat, &number); n != 1 || err != nil {
		return allDaemons
	}
	return number
}

// checkTokens checks that an order has no lower token than an earlier one at its server. Servers that check tokens
// may reject such an order.
func (c *checker) checkTokens(server string, order receivedOrder) {
	if !c.counts(order) || !c.ignoresTokens && !order.isAccepted {
		return
	}
	var highest receivedOrder
	for _, earlier := range c.orders.byServer[server] {
		isCompared := c.counts(earlier) && (c.ignoresTokens || earlier.isAccepted)
		if isCompared && earlier.token > highest.token {
			highest = earlier
		}
	}
	if highest.token > order.token {
		c.addViolation(ruleSingleHolder, "%s received token %d of %s %v after %d of %s (accepted: %t, %t)", server, order.token, order.holder,
			order.at.Sub(highest.at), highest.token, highest.holder, order.isAccepted, highest.isAccepted)
	}
}

// checkTurns checks that the holders that order a server don't alternate within the duration of a lease.
func (c *checker) checkTurns(server string, order receivedOrder) {
	if order.isLate || !c.counts(order) {
		return
	}
	other := ""
	earlier := c.orders.byServer[server]
	for i := len(earlier) - 1; i >= 0 && order.at.Sub(earlier[i].at) < leaseDuration; i-- {
		switch {
		case !c.counts(earlier[i]):
		case earlier[i].holder != order.holder:
			other = cmp.Or(other, earlier[i].holder)
		case other != "":
			c.addViolation(ruleSingleHolder, "%s alternates with %s at %s within %v (token %d, accepted: %t)", order.holder, other, server,
				order.at.Sub(earlier[i].at), order.token, order.isAccepted)
			return
		}
	}
}

// lastHolder returns the daemon whose order a server accepted last, and when; empty before the first.
func (c *checker) lastHolder() (name string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, orders := range c.orders.byServer {
		for _, o := range orders {
			if o.isAccepted && o.at.After(at) {
				name, at = o.holder, o.at
			}
		}
	}
	return name, at
}

// checkFolds checks, by the logs of the daemons, that all have folded the records of leases to the same state.
func (cl *cluster) checkFolds() {
	var logs []explain.Log
	for _, d := range cl.daemons {
		log, err := readLog(filepath.Join(cl.dir, d.settings.Name+".log"))
		if err != nil {
			cl.Errorf("log of %s: %v", d.settings.Name, err)
		}
		logs = append(logs, log)
	}
	for _, difference := range explain.FoldDifferences(explain.Merge(logs...)) {
		cl.Errorf("seed %d: %s: %v", cl.seed, ruleEqualFolds, difference)
	}
}

// readLog reads the log of a daemon.
func readLog(path string) (explain.Log, error) {
	file, err := os.Open(path)
	if err != nil {
		return explain.Log{}, err
	}
	defer file.Close()
	return explain.Read(file)
}
