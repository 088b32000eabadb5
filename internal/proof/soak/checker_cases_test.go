package soak_test

import (
	"net/http"
	"syscall"
	"testing"
	"time"

	"azurehitch"
	"azurehitch/internal/proof/limitbound"
	"azurehitch/platform/platformtest"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"
)

// checkerHarness feeds made-up events to a checker.
type checkerHarness struct {
	*checker
	disturbances *disturbanceLog
}

func newCheckerHarness() *checkerHarness {
	disturbances := &disturbanceLog{}
	c := &checkerHarness{checker: newChecker(disturbances, defaultSetup()), disturbances: disturbances}
	c.recordPublication(azurehitch.RoutingTable{Routes: routes()})()
	return c
}

// request records a request that a caller sent on a route some time ago.
func (c *checkerHarness) request(route azurehitch.PathRoute, ago time.Duration) exchange {
	x := exchange{route: route, sentAt: time.Now().Add(-ago)}
	x.ID, x.Method, x.URI, x.Body = "1-1", http.MethodPost, route.PathPrefix+"x", "body"
	c.recordRequest(x)
	return x
}

// addRun records that a request arrived at a server and ran there.
func (c *checkerHarness) addRun(x exchange, server string) {
	c.Arrived(x.ID, azurehitch.ServerIdentity{ID: server}, deskService)
	c.Ran(platformtest.Run{
		RequestID: x.ID, Server: azurehitch.ServerIdentity{ID: server}, Method: x.Method, URI: x.URI, Body: x.Body, NamesServer: true,
	})
}

// end records that a caller received the answer to a request.
func (c *checkerHarness) end(x exchange, answer platformtest.Answer) {
	x.answer, x.endedAt = answer, time.Now()
	c.checkEnded(x)
}

// lose records that a caller's connection closed before the answer to a request.
func (c *checkerHarness) lose(x exchange) {
	x.err, x.endedAt = errors.New("connection closed"), time.Now()
	c.checkEnded(x)
}

// order records that a server accepted a holder's order to load from the weight store.
func (c *checkerHarness) order(server, holder string, token int64) {
	c.answerOrder(server, holder, token, azurehitch.OrderAccepted)
}

// answerOrder records a server's answer to a holder's order to load from the weight store.
func (c *checkerHarness) answerOrder(server, holder string, token int64, answer azurehitch.OrderAnswer) {
	c.Ordered(platformtest.OrderArrival{
		SwapOrder: azurehitch.SwapOrder{Kind: azurehitch.OrderLoad, Model: modelName(0), Holder: holder, Token: token},
		Server:    azurehitch.ServerIdentity{ID: server, Address: server}, Answer: answer, Tier: azurehitch.CacheTierRemote,
	})
}

// serverAnswer is a complete answer signed by a server.
func serverAnswer(status int) platformtest.Answer {
	return platformtest.Answer{Status: status, Whole: true, Echoes: true, Signed: true, HasSignature: true}
}

// daemonRefusal is a complete answer of a daemon, without a signature.
func daemonRefusal(status int) platformtest.Answer {
	return platformtest.Answer{Status: status, Whole: true, Echoes: true}
}

// shutdownNotice is the notice of a server that shuts down.
var shutdownNotice = azurehitch.ServerNotice{ShuttingDown: true}

// forwardShutdown makes a daemon forward, some time ago, an answer with which a server announces
// its shutdown.
func (c *checkerHarness) forwardShutdown(x exchange, server string, ago time.Duration) {
	c.addRun(x, server)
	c.Noticed(x.ID, azurehitch.ServerIdentity{ID: server}, shutdownNotice)
	c.end(x, serverAnswer(200))
	c.shutdownForwardedAt[daemonServer{server: server}] = c.shutdownForwardedAt[daemonServer{server: server}].Add(-ago)
}

// exceedRateLimit makes a server name a rate limit some time ago, and receive more requests than the
// limit allows.
func (c *checkerHarness) exceedRateLimit(route azurehitch.PathRoute, ago time.Duration) {
	const perSecond = 1
	x := c.request(route, 0)
	c.beginRateLimit("a", perSecond)
	c.Noticed(x.ID, azurehitch.ServerIdentity{ID: "a"}, azurehitch.ServerNotice{RateLimit: perSecond})
	limit := c.rateLimits["a"]
	limit.namedAt, limit.noticedAt[0] = limit.namedAt.Add(-ago), limit.noticedAt[0].Add(-ago)
	for range int(limitbound.Allowed(perSecond)) + 1 {
		c.Arrived(x.ID, azurehitch.ServerIdentity{ID: "a"}, deskService)
	}
}

// TestChecker feeds the checker violations of the rules, and for most a similar case that is
// allowed.
func TestChecker(t *testing.T) {
	note, followUp, remind, lookup := routes()[0], routes()[1], routes()[2], routes()[3]
	for _, test := range []struct {
		name string
		feed func(c *checkerHarness)
		want rule
	}{
		{"non-idempotent request run twice", func(c *checkerHarness) { x := c.request(remind, 0); c.addRun(x, "a"); c.addRun(x, "b") }, ruleAtMostOnce},
		{"idempotent request run twice", func(c *checkerHarness) { x := c.request(lookup, 0); c.addRun(x, "a"); c.addRun(x, "b") }, ""},
		{"refused after it was run", func(c *checkerHarness) { x := c.request(remind, 0); c.addRun(x, "a"); c.end(x, daemonRefusal(503)) }, ruleRefusedNotRun},
		{"run after it was refused", func(c *checkerHarness) { x := c.request(followUp, 0); c.end(x, daemonRefusal(503)); c.addRun(x, "a") }, ruleRefusedNotRun},
		{"refused and not run", func(c *checkerHarness) { x := c.request(remind, 0); c.end(x, daemonRefusal(503)) }, ""},
		{"failed after it was run", func(c *checkerHarness) { x := c.request(remind, 0); c.addRun(x, "a"); c.end(x, daemonRefusal(502)) }, ""},
		{"answer without a signature", func(c *checkerHarness) { x := c.request(lookup, 0); c.addRun(x, "a"); c.end(x, daemonRefusal(200)) }, ruleIntactAnswer},
		{"answer with a signature", func(c *checkerHarness) { x := c.request(lookup, 0); c.addRun(x, "a"); c.end(x, serverAnswer(200)) }, ""},
		{"answer to another request", func(c *checkerHarness) {
			x := c.request(lookup, 0)
			answer := serverAnswer(200)
			answer.Echoes = false
			c.end(x, answer)
		}, ruleIntactAnswer},
		{"gap in a stream", func(c *checkerHarness) {
			x := c.request(note, 0)
			answer := serverAnswer(200)
			answer.IsStream, answer.Body = true, "id: 1\ndata: 1-1 1/3\n\nid: 3\ndata: 1-1 3/3\n\n"
			c.end(x, answer)
		}, ruleIntactAnswer},
		{"stream ends early", func(c *checkerHarness) {
			x := c.request(note, 0)
			answer := serverAnswer(200)
			answer.IsStream, answer.Body = true, "id: 1\ndata: 1-1 1/3\n\n"
			c.end(x, answer)
		}, ruleIntactAnswer},
		{"sent long after a server announced its shutdown", func(c *checkerHarness) {
			c.forwardShutdown(c.request(lookup, 0), "a", 2*drainTime)
			c.addRun(c.request(remind, 0), "a")
		}, ruleDrain},
		{"sent soon after a server announced its shutdown", func(c *checkerHarness) {
			c.forwardShutdown(c.request(lookup, 0), "a", drainTime/2)
			c.addRun(c.request(remind, 0), "a")
		}, ""},
		{"sent by a daemon that restarted after the announcement", func(c *checkerHarness) {
			c.forwardShutdown(c.request(lookup, 0), "a", 2*drainTime)
			c.disturbances.beginDaemonFault(0, "kill")()
			c.addRun(c.request(remind, 0), "a")
		}, ""},
		{"sent during a backoff", func(c *checkerHarness) {
			x := c.request(lookup, 0)
			c.Noticed(x.ID, azurehitch.ServerIdentity{ID: "a"}, azurehitch.ServerNotice{Backoff: time.Minute})
			c.backoffs[daemonServer{server: "a"}].requestedAt = time.Now().Add(-2 * backoffSlack)
			for range toleratedInBackoff + 1 {
				c.Arrived(x.ID, azurehitch.ServerIdentity{ID: "a"}, deskService)
			}
		}, ruleBackoff},
		{"sent before the daemon knew of the backoff", func(c *checkerHarness) {
			x := c.request(lookup, 0)
			c.Noticed(x.ID, azurehitch.ServerIdentity{ID: "a"}, azurehitch.ServerNotice{Backoff: time.Minute})
			for range toleratedInBackoff + 1 {
				c.Arrived(x.ID, azurehitch.ServerIdentity{ID: "a"}, deskService)
			}
		}, ""},
		{"more requests than the rate limit of a server allows", func(c *checkerHarness) { c.exceedRateLimit(lookup, 2*rateLimitSettle) }, ruleRateLimit},
		{"more requests soon after a server named a rate limit", func(c *checkerHarness) { c.exceedRateLimit(lookup, limitbound.NoticeTime/2) }, ""},
		{"more requests by a daemon that restarted after it learnt the rate limit", func(c *checkerHarness) {
			c.disturbances.beginDaemonFault(0, "kill")()
			c.exceedRateLimit(lookup, 2*rateLimitSettle)
		}, ""},
		{"request body changed", func(c *checkerHarness) { x := c.request(lookup, 0); x.Body = "other"; c.addRun(x, "a") }, ruleIntactRequest},
		{"request lost by a planned stop", func(c *checkerHarness) {
			c.disturbances.beginPlannedWork(0, "planned stop")
			x := c.request(remind, time.Second)
			c.addRun(x, "a")
			c.lose(x)
		}, ruleNoLostRequest},
		{"request lost by a kill", func(c *checkerHarness) {
			c.disturbances.beginDaemonFault(0, "kill")
			x := c.request(remind, time.Second)
			c.addRun(x, "a")
			c.lose(x)
		}, ""},
		{"sent to a server that has shut down", func(c *checkerHarness) {
			c.recordDeparture("a")
			c.departingSince["a"] = time.Now().Add(-drainTime - time.Second)
			c.addRun(c.request(lookup, 0), "a")
		}, ruleDrain},
		{"two holders under one token", func(c *checkerHarness) { c.order("a", "x", 1); c.order("b", "y", 1) }, ruleSingleHolder},
		{"two holders take turns", func(c *checkerHarness) { c.order("a", "x", 1); c.order("a", "y", 2); c.order("a", "x", 3) }, ruleSingleHolder},
		{"one holder after the other", func(c *checkerHarness) { c.order("a", "x", 1); c.order("a", "y", 2) }, ""},
		{"loads exceed the rate", func(c *checkerHarness) {
			for range 20 {
				c.order("a", "x", 1)
			}
		}, ruleLoadRate},
		{"answer on a removed route", func(c *checkerHarness) {
			c.recordPublication(azurehitch.RoutingTable{})()
			c.tables[1].ackedAt = time.Now().Add(-applyTime - time.Second)
			c.end(c.request(lookup, 0), serverAnswer(200))
		}, ruleConfiguration},
		{"answer on a route removed a moment ago", func(c *checkerHarness) {
			c.recordPublication(azurehitch.RoutingTable{})()
			c.end(c.request(lookup, 0), serverAnswer(200))
		}, ""},
		{"process exits unexpectedly", func(c *checkerHarness) { c.checkExit(exit{err: errors.New("exit status 2")}) }, ruleExit},
		{"stop takes too long", func(c *checkerHarness) { c.checkExit(exit{signal: syscall.SIGTERM, took: stopTimeout + time.Second}) }, ruleExit},
		{"stop with an error", func(c *checkerHarness) {
			c.checkExit(exit{signal: syscall.SIGTERM, err: errors.New("signal: terminated")})
		}, ruleExit},
		{"stop of a process that has not started yet", func(c *checkerHarness) {
			c.checkExit(exit{signal: syscall.SIGTERM, err: errors.New("signal: terminated"), beforeStart: true})
		}, ""},
		{"planned stop", func(c *checkerHarness) { c.checkExit(exit{signal: syscall.SIGTERM, took: time.Second}) }, ""},
		{"retries exceed the budget", func(c *checkerHarness) {
			x := c.request(lookup, 0)
			for range retrySlack + 3 {
				c.Arrived(x.ID, azurehitch.ServerIdentity{}, deskService)
			}
		}, ruleRetryBudget},
		{"server memory exceeded", func(c *checkerHarness) { c.MemoryExceeded(azurehitch.ServerIdentity{ID: "a"}, azurehitch.SwapOrder{}) }, ruleMemory},
	} {
		t.Run(test.name, func(t *testing.T) {
			harness := newCheckerHarness()
			test.feed(harness)
			assertViolates(qt.New(t), harness, test.want)
		})
	}
}

// assertViolates asserts that the first violation found is one of a rule, or that there is none if the rule is empty.
func assertViolates(c *qt.C, harness *checkerHarness, want rule) {
	c.Helper()
	found := harness.foundViolations()
	if want == "" {
		c.Assert(found, qt.HasLen, 0)
		return
	}
	c.Assert(found, qt.Not(qt.HasLen), 0)
	c.Assert(found[0].rule, qt.Equals, want)
}
