package soak_test

import (
	"fmt"
	"math/rand/v2"
	"net"
	"time"

	"azurehitch"
	"azurehitch/platform/platformtest"
)

const (
	callerCount = 24
	// perConnection is the most requests of a caller on one connection.
	perConnection = 12
	callerPause   = 120 * time.Millisecond
	// giveUpPart is one in how many requests whose caller leaves early.
	giveUpPart = 20
	// patience is how long callers wait beyond the timeout of the route.
	patience = 700 * time.Millisecond
)

// caller sends requests to daemons that take them, and keeps its connection while it may.
type caller struct {
	world  *world
	random *rand.Rand
	number int

	conn   net.Conn
	client *platformtest.Caller
	daemon int
	sent   int
}

func (w *world) startCallers() {
	for i := range callerCount {
		c := &caller{world: w, number: i, random: rand.New(rand.NewPCG(w.seed, uint64(100+i)))}
		w.group.Go(func() error {
			defer c.hangUp()
			for w.sleep(time.Duration(c.random.Int64N(int64(2 * callerPause)))) {
				c.call()
			}
			return nil
		})
	}
}

func (c *caller) hangUp() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// connect keeps the connection, or opens one to a daemon that is ready.
func (c *caller) connect() bool {
	if c.conn != nil && c.sent < perConnection {
		return true
	}
	c.hangUp()
	first := c.random.IntN(daemonCount)
	for k := range daemonCount {
		daemon := (first + k) % daemonCount
		if !c.world.isReady(daemon) {
			continue
		}
		return c.dial(daemon) == nil
	}
	return false
}

func (c *caller) dial(daemon int) error {
	conn, err := net.DialTimeout("tcp", c.world.doors[daemon].address(), dialTimeout)
	if err != nil {
		return err
	}
	c.conn, c.client, c.daemon, c.sent = conn, platformtest.NewCaller(conn), daemon, 0
	return nil
}

// call sends one request and tells the judge how it went.
func (c *caller) call() {
	if !c.connect() {
		return
	}
	x := c.exchange()
	c.sent++
	c.world.judge.sending(x)
	x = c.perform(x)
	c.world.judge.ended(x)
}

// perform sends a request and reads the answer.
func (c *caller) perform(x exchange) exchange {
	// The connection is closed in any case when the deadline can't be set.
	_ = c.conn.SetDeadline(x.sentAt.Add(x.route.Timeout + patience))
	if c.random.IntN(giveUpPart) == 0 {
		conn, id := c.conn, x.ID
		leave := time.AfterFunc(time.Duration(c.random.Int64N(int64(time.Second))), func() {
			c.world.judge.gone(id)
			_ = conn.Close()
		})
		defer leave.Stop()
	}
	x.err = c.client.Send(x.CallerRequest)
	if x.err == nil {
		x.answer, x.err = c.client.Receive(x.CallerRequest)
	}
	x.endedAt = time.Now()
	if x.err != nil || x.answer.Close {
		c.hangUp()
	}
	return x
}

// exchange makes up the next request.
func (c *caller) exchange() exchange {
	w := c.world
	x := exchange{daemon: c.daemon, sentAt: time.Now()}
	x.ID = fmt.Sprintf("%d-%d", w.seed, w.nextID.Add(1))
	x.Method, x.Host, x.Body = "POST", callerHost, "body of "+x.ID
	all := routes()
	switch n := c.random.IntN(20); {
	case n < 6:
		x.route = all[0]
		x.Model, x.Session = modelName(c.random.IntN(busyModels)), fmt.Sprint(c.number)
	case n < 10:
		x.route = all[1]
		x.Model, x.Session = modelName(busyModels+c.random.IntN(modelCount-busyModels)), fmt.Sprint(c.number)
	case n < 14:
		x.route = all[2]
	case n < 18:
		x.route = all[3]
	default:
		added, removed := w.probes()
		x.route = probeRoute(added)
		if c.random.IntN(2) == 0 {
			x.route = probeRoute(removed)
		}
	}
	x.URI, x.TimeLeft = x.route.PathPrefix+"x?n=1", x.route.Timeout
	return x
}

// serves reports whether a daemon answers a request of a route with success.
func (w *world) serves(daemon int, route azurehitch.PathRoute, model string) bool {
	c := &caller{world: w, random: rand.New(rand.NewPCG(w.seed, 7))}
	if c.dial(daemon) != nil {
		return false
	}
	defer c.hangUp()
	x := c.exchange()
	x.route, x.URI, x.TimeLeft, x.Model, x.Session = route, route.PathPrefix+"x", route.Timeout, model, "last"
	w.judge.sending(x)
	_ = c.conn.SetDeadline(time.Now().Add(x.route.Timeout + patience))
	if x.err = c.client.Send(x.CallerRequest); x.err == nil {
		x.answer, x.err = c.client.Receive(x.CallerRequest)
	}
	x.endedAt = time.Now()
	w.judge.ended(x)
	return x.err == nil && x.answer.Status == 200 && x.answer.Whole
}
