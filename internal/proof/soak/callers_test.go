package soak_test

import (
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"time"

	"azurehitch"
	"azurehitch/platform/platformtest"
)

const (
	callerCount              = 24
	maxRequestsPerConnection = 12
	meanCallerPause          = 120 * time.Millisecond
	// disconnectOneIn: on average, the caller of one in so many requests disconnects early.
	disconnectOneIn = 20
	// answerMargin is how long callers wait beyond the timeout of the route.
	answerMargin = 700 * time.Millisecond
)

// caller sends requests to ready daemons and reuses its connection while the limit allows.
type caller struct {
	cluster *cluster
	random  *rand.Rand
	number  int

	conn   net.Conn
	client *platformtest.Caller
	daemon int
	sent   int
	// avoid are the daemons to which the caller opens no connection.
	avoid []int
}

// newRandom returns the random sequence with a number within those of a seed.
func newRandom(seed uint64, number int) *rand.Rand {
	return rand.New(rand.NewPCG(seed, uint64(number)))
}

func (cl *cluster) startCallers() {
	for i := range cl.setup.callerCount {
		c := &caller{cluster: cl, number: i, random: newRandom(cl.seed, 100+i)}
		cl.group.Go(func() error {
			defer c.disconnect()
			for cl.sleep(time.Duration(c.random.Int64N(int64(2*meanCallerPause)))) && !cl.isCalm.Load() {
				c.call()
			}
			return nil
		})
	}
}

func (c *caller) disconnect() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// connect reuses the connection, or opens one to a daemon that is ready. It returns false if no
// daemon is ready or the connection fails.
func (c *caller) connect() bool {
	if c.conn != nil && c.sent < c.cluster.setup.maxRequests && !(c.cluster.setup.plannedOnly && c.client.IsClosed()) {
		return true
	}
	c.disconnect()
	firstDaemon := c.random.IntN(len(c.cluster.daemons))
	for k := range c.cluster.daemons {
		daemon := (firstDaemon + k) % len(c.cluster.daemons)
		if !c.cluster.isReady(daemon) || slices.Contains(c.avoid, daemon) {
			continue
		}
		if c.dial(daemon) == nil {
			return true
		}
	}
	return false
}

func (c *caller) dial(daemon int) error {
	address := c.cluster.callerLinks[daemon].address()
	if c.cluster.setup.plannedOnly {
		address = c.cluster.daemons[daemon].settings.Callers()
	}
	conn, err := net.DialTimeout("tcp", address, dialTimeout)
	if err != nil {
		return err
	}
	c.conn, c.client, c.daemon, c.sent = conn, platformtest.NewCaller(conn), daemon, 0
	return nil
}

// call sends one request and reports the outcome to the checker.
func (c *caller) call() {
	if !c.connect() {
		return
	}
	x := c.nextExchange()
	c.sent++
	c.cluster.checker.recordRequest(x)
	x = c.perform(x)
	c.cluster.checker.checkEnded(x)
	if c.cluster.setup.plannedOnly {
		c.followUp(x)
		return
	}
	c.resume(x)
}

// perform sends a request and reads the answer.
func (c *caller) perform(x exchange) exchange {
	// The connection is closed in any case when the deadline can't be set.
	_ = c.conn.SetDeadline(x.sentAt.Add(x.route.Timeout + answerMargin))
	if c.random.IntN(disconnectOneIn) == 0 {
		conn, id := c.conn, x.ID
		timer := time.AfterFunc(time.Duration(c.random.Int64N(int64(time.Second))), func() {
			c.cluster.checker.recordDisconnect(id)
			_ = conn.Close()
		})
		defer timer.Stop()
	}
	x.err = c.client.Send(x.CallerRequest)
	if x.err == nil {
		x.answer, x.err = c.client.Receive(x.CallerRequest)
	}
	x.endedAt = time.Now()
	if x.err != nil || x.answer.Close {
		c.disconnect()
	}
	return x
}

// nextExchange generates the next request.
func (c *caller) nextExchange() exchange {
	cl := c.cluster
	x := exchange{daemon: c.daemon, sentAt: time.Now()}
	number := cl.nextID.Add(1)
	x.ID = fmt.Sprintf("%d-%d", cl.seed, number)
	x.Method, x.Host, x.Body = "POST", callerHost, "body of "+x.ID
	all := cl.setup.routes
	switch n := c.random.IntN(20); {
	case cl.setup.hasLetters && c.random.IntN(lettersOneIn) == 0:
		x.route = letterRoute()
	case n < 6:
		x.route = all[0]
		x.Model, x.Session = modelName(c.random.IntN(busyModelCount)), fmt.Sprint(c.number)
	case n < 10:
		x.route = all[1]
		x.Model, x.Session = modelName(busyModelCount+c.random.IntN(cl.setup.modelCount-busyModelCount)), fmt.Sprint(c.number)
	case n < 14:
		x.route = all[2]
	case n < 18:
		x.route = all[3]
	default:
		added, removed := cl.probes()
		x.route = probeRoute(added)
		if c.random.IntN(2) == 0 {
			x.route = probeRoute(removed)
		}
	}
	x.URI, x.TimeLeft = x.route.PathPrefix+"x?n=1", x.route.Timeout
	x.Key = c.nextKey(x.route)
	if x.Model != "" {
		x.SharedParts = sharedParts(c.number, number)
	}
	return x
}

// lastSession is the session of the requests at the end of a run.
const lastSession = "last"

// serves reports whether a daemon answers a request on a route with success.
func (cl *cluster) serves(daemon int, route azurehitch.PathRoute, model string) bool {
	c := &caller{cluster: cl, random: rand.New(rand.NewPCG(cl.seed, 7))}
	if c.dial(daemon) != nil {
		return false
	}
	defer c.disconnect()
	x := c.nextExchange()
	x.route, x.URI, x.TimeLeft, x.Model, x.Session = route, route.PathPrefix+"x", route.Timeout, model, lastSession
	if x.Key != "" {
		x.Key = steadyKey
	}
	cl.checker.recordRequest(x)
	_ = c.conn.SetDeadline(time.Now().Add(x.route.Timeout + answerMargin))
	if x.err = c.client.Send(x.CallerRequest); x.err == nil {
		x.answer, x.err = c.client.Receive(x.CallerRequest)
	}
	x.endedAt = time.Now()
	cl.checker.checkEnded(x)
	return x.err == nil && x.answer.Status == 200 && x.answer.Whole
}
