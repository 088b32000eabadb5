package passthrough

import (
	"context"
	"time"

	"azurehitch"
	"azurehitch/internal/forward/hedge"
	"azurehitch/internal/forward/place"
	"azurehitch/internal/telemetry/metrics"
	"azurehitch/internal/transport/connpool"

	"golang.org/x/sync/errgroup"
)

// bodyGrace is how long the other server keeps a call after the head of the first good answer: until then, the
// answer of the other one replaces a body that breaks off.
const bodyGrace = 200 * time.Millisecond

// callAttempt is an exchange of a call that may be hedged.
type callAttempt struct {
	outgoing
	observed *hedge.Exchange
	// permit is that of a hedge; nil for the first attempt. isSent is set right before the first byte is sent.
	permit *hedge.Permit
	isSent bool
	ctx    context.Context
	cancel context.CancelFunc
}

// raceEvent is the end of the wait for a head, or the time at which a hedge is due if attempt is nil.
type raceEvent struct {
	attempt  *callAttempt
	exchange *connpool.Exchange
	err      error
}

// race sends a call to a server, and to a second one if the first is late. Its goroutines only send the call
// and wait; the goroutine of the request receives their events and alone changes the request. A race ends
// when both exchanges have ended, so that the outcomes of both are counted.
type race struct {
	request *request
	group   errgroup.Group
	// ctx ends the waits of the race. The exchanges have contexts of their own.
	ctx    context.Context
	events chan raceEvent
	// running holds the attempts without a result.
	running []*callAttempt
	// dueAt is when the first attempt is late.
	dueAt time.Time
}

// maxRaceEvents is the number of events that may be pending: two heads and a time.
const maxRaceEvents = 3

// hedgedAttempt is attempt for a call that may be hedged. It returns the result of the exchange that ended last,
// if none was answered.
func (r *request) hedgedAttempt(choice place.Choice) result {
	ctx, cancel := context.WithCancel(r.ctx)
	race := &race{request: r, ctx: ctx, events: make(chan raceEvent, maxRaceEvents)}
	defer func() {
		cancel()
		// The group returns no errors.
		_ = race.group.Wait()
	}()
	if err := race.begin(choice, nil); err != nil {
		choice.End()
		r.attempts.add(choice, err.Error())
		return result{run: azurehitch.RunStateNotRun, isBarred: true, cause: err}
	}
	race.scheduleHedge()
	for {
		event := <-race.events
		if event.attempt == nil {
			race.hedgeWhenDue()
			continue
		}
		res := race.pass(event)
		if res.answered || len(race.running) == 0 {
			return res
		}
		r.countOutcome(res)
	}
}

// begin sends the call to a server. A hedge has a permit. The error is why the call must not be sent; the
// permit is then not used.
func (c *race) begin(choice place.Choice, permit *hedge.Permit) error {
	r := c.request
	out, err := r.prepare(choice, "")
	if err != nil {
		return err
	}
	a := &callAttempt{outgoing: out, permit: permit, observed: r.server.Hedges.Begin(r.service.Name, r.route.Name, choice.Server)}
	a.ctx, a.cancel = context.WithCancel(r.ctx)
	a.options.MaySend = func() bool {
		a.isSent = true
		if permit == nil {
			r.countSend()
			return true
		}
		permit.Sent()
		r.server.Metrics.Add(metrics.HedgesSent, 1)
		return true
	}
	c.running = append(c.running, a)
	c.group.Go(func() error {
		exchange, err := r.server.Connections.Do(a.ctx, choice.Server.Address, a.message, a.options)
		c.events <- raceEvent{attempt: a, exchange: exchange, err: err}
		return nil
	})
	return nil
}

// scheduleHedge has a hedge considered once the first attempt is late.
func (c *race) scheduleHedge() {
	r, first := c.request, c.running[0]
	if !first.observed.Delay.IsLearnt {
		r.denyHedge(hedge.DenialNotLearnt)
		return
	}
	c.dueAt = first.startedAt.Add(first.observed.Delay.Duration)
	c.awaitDue()
}

func (c *race) awaitDue() {
	clock := c.request.server.Clock
	c.group.Go(func() error {
		if clock.Sleep(c.ctx, c.dueAt.Sub(clock.Now())) == nil {
			c.events <- raceEvent{}
		}
		return nil
	})
}

// hedgeWhenDue sends the call to a second server, unless it must not be hedged or this daemon was held up.
func (c *race) hedgeWhenDue() {
	r, first := c.request, c.running[0]
	now := r.server.Clock.Now()
	if now.Sub(c.dueAt) > maxHedgeTimerDelay {
		c.dueAt = now.Add(maxHedgeTimerDelay)
		c.awaitDue()
		return
	}
	first.observed.Late()
	beside := " beside " + first.choice.Server.ID + ", late by its usual " + first.observed.Delay.Duration.Round(time.Millisecond).String() +
		" (age " + first.observed.Delay.Age.Round(time.Millisecond).String() + ")"
	permit, choice, denial := r.placeHedge(first)
	if denial == "" {
		if err := c.begin(choice, permit); err != nil {
			choice.End()
			permit.Refund()
			denial = hedge.DenialQuarantined
		}
	}
	if denial != "" {
		r.denyHedge(denial)
		r.attempts.note("not hedged" + beside + ": " + string(denial))
		return
	}
	r.attempts.note("hedged at " + choice.Server.ID + beside)
}

// pass responds with the answer of an attempt if it is good. Then the other attempt has ended.
func (c *race) pass(event raceEvent) result {
	r, a := c.request, event.attempt
	exchange, answer, res := c.finish(event)
	if exchange == nil {
		r.attempts.add(a.choice, res.cause.Error())
		return res
	}
	exchange.SetKeepAlive(answer.KeepAlive)
	body, complete, err := c.readBody(exchange)
	if err == nil {
		c.endOther(a)
		if a.permit != nil {
			r.server.Metrics.Add(metrics.HedgesWon, 1)
		}
	}
	return r.passRead(a.choice, exchange, body, complete, err)
}

// finish records the result of an attempt. If it has no good head, the use of its server has ended.
func (c *race) finish(event raceEvent) (*connpool.Exchange, azurehitch.ServerAnswer, result) {
	a := event.attempt
	c.remove(a)
	exchange, answer, res := c.request.receive(a.ctx, a.outgoing, event.exchange, event.err)
	if a.permit != nil && !a.isSent {
		a.permit.Refund()
	}
	switch {
	case exchange != nil:
		a.observed.End(hedge.OutcomeAnswered)
		return exchange, answer, res
	case a.ctx.Err() != nil:
		c.observeLate(a)
		a.observed.End(hedge.OutcomeCanceled)
	case res.run == azurehitch.RunStateNotRun && !res.unsent:
		a.observed.End(hedge.OutcomeRejected)
	default:
		a.observed.End(hedge.OutcomeFailed)
	}
	a.cancel()
	a.choice.End()
	return nil, answer, res
}

// observeLate has the placer learn that a server is slow whose late exchange was ended. It would have taken longer, but
// without this the placer would know no time at all of a server that loses all races.
func (c *race) observeLate(a *callAttempt) {
	took := c.request.server.Clock.Now().Sub(a.startedAt)
	if a.isSent && a.observed.Delay.IsLearnt && took > a.observed.Delay.Duration {
		a.choice.Observe(place.Answer{Took: took})
	}
}

func (c *race) remove(a *callAttempt) {
	for i, running := range c.running {
		if running == a {
			c.running = append(c.running[:i], c.running[i+1:]...)
			return
		}
	}
}

// readBody reads the body of the first good answer. The other attempt goes on meanwhile, for bodyGrace at most.
func (c *race) readBody(exchange *connpool.Exchange) (body []byte, complete bool, err error) {
	ctx, cancel := context.WithCancel(c.ctx)
	defer cancel()
	clock := c.request.server.Clock
	for _, other := range c.running {
		c.group.Go(func() error {
			if clock.Sleep(ctx, bodyGrace) == nil {
				other.cancel()
			}
			return nil
		})
	}
	return exchange.ReadUpTo(c.request.server.settings.MaxBufferedAnswer)
}

// endOther ends the attempt beside the answered one, if any, and waits until its connection is closed.
func (c *race) endOther(answered *callAttempt) {
	r := c.request
	for len(c.running) > 0 {
		c.running[0].cancel()
		event := <-c.events
		if event.attempt == nil {
			continue
		}
		a := event.attempt
		exchange, _, res := c.finish(event)
		if exchange != nil {
			exchange.Close()
			a.choice.End()
		}
		r.countOutcome(res)
		r.attempts.add(a.choice, "ended, "+answered.choice.Server.ID+" has answered")
		if a.permit != nil && a.isSent {
			r.server.Metrics.Add(metrics.HedgesCanceled, 1)
		}
	}
}
