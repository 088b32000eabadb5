package soak_test

import (
	"net/http"
	"syscall"
	"testing"
	"time"

	"azurehitch"
	"azurehitch/platform/platformtest"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"
)

// court is a judge that is told made-up events.
type court struct {
	*judge
	calendar *calendar
}

func newCourt() *court {
	calendar := &calendar{}
	c := &court{judge: newJudge(calendar, services()), calendar: calendar}
	c.publishing(azurehitch.RoutingTable{Routes: routes()})()
	return c
}

// request lets a caller send a request of a route, some time ago.
func (c *court) request(route azurehitch.PathRoute, ago time.Duration) exchange {
	x := exchange{route: route, sentAt: time.Now().Add(-ago)}
	x.ID, x.Method, x.URI, x.Body = "1-1", http.MethodPost, route.PathPrefix+"x", "body"
	c.sending(x)
	return x
}

func (c *court) run(x exchange, server string) {
	c.Arrived(x.ID, azurehitch.ServerIdentity{ID: server}, deskService)
	c.Ran(platformtest.Run{
		RequestID: x.ID, Server: azurehitch.ServerIdentity{ID: server}, Method: x.Method, URI: x.URI, Body: x.Body, NamesServer: true,
	})
}

func (c *court) end(x exchange, answer platformtest.Answer) {
	x.answer, x.endedAt = answer, time.Now()
	c.ended(x)
}

func (c *court) lose(x exchange) {
	x.err, x.endedAt = errors.New("connection closed"), time.Now()
	c.ended(x)
}

func (c *court) order(server, holder string, token int64) {
	c.Ordered(platformtest.OrderArrival{
		SwapOrder: azurehitch.SwapOrder{Kind: azurehitch.OrderLoad, Model: modelName(0), Holder: holder, Token: token},
		Server:    azurehitch.ServerIdentity{ID: server}, Answer: azurehitch.OrderAccepted, Tier: azurehitch.CacheTierRemote,
	})
}

// whole is an answer of a server.
func whole(status int) platformtest.Answer {
	return platformtest.Answer{Status: status, Whole: true, Echoes: true, Signed: true, HasSignature: true}
}

// refusal is an answer of a daemon.
func refusal(status int) platformtest.Answer {
	return platformtest.Answer{Status: status, Whole: true, Echoes: true}
}

// leaving is the notice of a server that leaves.
var leaving = azurehitch.ServerNotice{Leaving: true}

// leaveSaid lets a daemon pass on, some time ago, that a server leaves.
func (c *court) leaveSaid(x exchange, server string, ago time.Duration) {
	c.run(x, server)
	c.Noticed(x.ID, azurehitch.ServerIdentity{ID: server}, leaving)
	c.end(x, whole(200))
	c.saidAt[pair{server: server}] = c.saidAt[pair{server: server}].Add(-ago)
}

// TestJudge breaks each promise, and plays the case beside it that keeps it.
func TestJudge(t *testing.T) {
	note, followUp, remind, lookup := routes()[0], routes()[1], routes()[2], routes()[3]
	for _, test := range []struct {
		name string
		play func(c *court)
		want rule
	}{
		{"run twice", func(c *court) { x := c.request(remind, 0); c.run(x, "a"); c.run(x, "b") }, ruleOnce},
		{"run twice, which it may", func(c *court) { x := c.request(lookup, 0); c.run(x, "a"); c.run(x, "b") }, ""},
		{"refused after the run", func(c *court) { x := c.request(remind, 0); c.run(x, "a"); c.end(x, refusal(503)) }, ruleRefusal},
		{"run after the refusal", func(c *court) { x := c.request(followUp, 0); c.end(x, refusal(503)); c.run(x, "a") }, ruleRefusal},
		{"refused", func(c *court) { x := c.request(remind, 0); c.end(x, refusal(503)) }, ""},
		{"failed after the run", func(c *court) { x := c.request(remind, 0); c.run(x, "a"); c.end(x, refusal(502)) }, ""},
		{"not signed", func(c *court) { x := c.request(lookup, 0); c.run(x, "a"); c.end(x, refusal(200)) }, ruleAnswer},
		{"signed", func(c *court) { x := c.request(lookup, 0); c.run(x, "a"); c.end(x, whole(200)) }, ""},
		{"another's answer", func(c *court) {
			x := c.request(lookup, 0)
			answer := whole(200)
			answer.Echoes = false
			c.end(x, answer)
		}, ruleAnswer},
		{"gap in a stream", func(c *court) {
			x := c.request(note, 0)
			answer := whole(200)
			answer.IsStream, answer.Body = true, "id: 1\ndata: 1-1 1/3\n\nid: 3\ndata: 1-1 3/3\n\n"
			c.end(x, answer)
		}, ruleAnswer},
		{"stream ends early", func(c *court) {
			x := c.request(note, 0)
			answer := whole(200)
			answer.IsStream, answer.Body = true, "id: 1\ndata: 1-1 1/3\n\n"
			c.end(x, answer)
		}, ruleAnswer},
		{"sent to a server that said that it leaves", func(c *court) {
			c.leaveSaid(c.request(lookup, 0), "a", 2*drainTime)
			c.run(c.request(remind, 0), "a")
		}, ruleDrain},
		{"sent soon after it said so", func(c *court) {
			c.leaveSaid(c.request(lookup, 0), "a", drainTime/2)
			c.run(c.request(remind, 0), "a")
		}, ""},
		{"sent by a daemon that has started anew since", func(c *court) {
			c.leaveSaid(c.request(lookup, 0), "a", 2*drainTime)
			c.calendar.disturbDaemon(0, "kill")()
			c.run(c.request(remind, 0), "a")
		}, ""},
		{"sent into a rest", func(c *court) {
			x := c.request(lookup, 0)
			c.Noticed(x.ID, azurehitch.ServerIdentity{ID: "a"}, azurehitch.ServerNotice{Rest: time.Minute})
			c.rests[pair{server: "a"}].askedAt = time.Now().Add(-2 * restSlack)
			for range restTolerated + 1 {
				c.Arrived(x.ID, azurehitch.ServerIdentity{ID: "a"}, deskService)
			}
		}, ruleRest},
		{"sent before it was known", func(c *court) {
			x := c.request(lookup, 0)
			c.Noticed(x.ID, azurehitch.ServerIdentity{ID: "a"}, azurehitch.ServerNotice{Rest: time.Minute})
			for range restTolerated + 1 {
				c.Arrived(x.ID, azurehitch.ServerIdentity{ID: "a"}, deskService)
			}
		}, ""},
		{"changed body", func(c *court) { x := c.request(lookup, 0); x.Body = "other"; c.run(x, "a") }, ruleRequest},
		{"lost by a planned stop", func(c *court) {
			c.calendar.planWork(0, "planned stop")
			x := c.request(remind, time.Second)
			c.run(x, "a")
			c.lose(x)
		}, ruleLost},
		{"lost by a kill", func(c *court) {
			c.calendar.disturbDaemon(0, "kill")
			x := c.request(remind, time.Second)
			c.run(x, "a")
			c.lose(x)
		}, ""},
		{"to a server that has left", func(c *court) {
			c.left("a")
			c.leftAt["a"] = time.Now().Add(-drainTime - time.Second)
			c.run(c.request(lookup, 0), "a")
		}, ruleDrain},
		{"two holders under one token", func(c *court) { c.order("a", "x", 1); c.order("b", "y", 1) }, ruleOne},
		{"two holders in turns", func(c *court) { c.order("a", "x", 1); c.order("a", "y", 2); c.order("a", "x", 3) }, ruleOne},
		{"one holder after the other", func(c *court) { c.order("a", "x", 1); c.order("a", "y", 2) }, ""},
		{"loads beyond the rate", func(c *court) {
			for range 20 {
				c.order("a", "x", 1)
			}
		}, ruleLoads},
		{"route that is no more", func(c *court) {
			c.publishing(azurehitch.RoutingTable{})()
			c.tables[1].ackedAt = time.Now().Add(-applyTime - time.Second)
			c.end(c.request(lookup, 0), whole(200))
		}, ruleApplied},
		{"route that is no more since a moment", func(c *court) {
			c.publishing(azurehitch.RoutingTable{})()
			c.end(c.request(lookup, 0), whole(200))
		}, ""},
		{"ends by itself", func(c *court) { c.exited(exit{err: errors.New("exit status 2")}) }, ruleExit},
		{"stop takes too long", func(c *court) { c.exited(exit{asked: syscall.SIGTERM, took: stopTimeout + time.Second}) }, ruleExit},
		{"planned stop", func(c *court) { c.exited(exit{asked: syscall.SIGTERM, took: time.Second}) }, ""},
		{"repeats beyond the budget", func(c *court) {
			x := c.request(lookup, 0)
			for range retrySlack + 3 {
				c.Arrived(x.ID, azurehitch.ServerIdentity{}, deskService)
			}
		}, ruleRetries},
		{"overfilled", func(c *court) { c.Overfilled(azurehitch.ServerIdentity{ID: "a"}, azurehitch.SwapOrder{}) }, ruleMemory},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			court := newCourt()
			test.play(court)
			found := court.found()
			if test.want == "" {
				c.Assert(found, qt.HasLen, 0)
				return
			}
			c.Assert(found, qt.Not(qt.HasLen), 0)
			c.Assert(found[0].rule, qt.Equals, test.want)
		})
	}
}
