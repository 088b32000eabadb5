package swapholder

import (
	"context"
	"slices"
	"time"

	"azurehitch"
	"azurehitch/internal/placement/swap"
	"azurehitch/internal/telemetry/logging"
	"azurehitch/internal/telemetry/metrics"
)

// OrderTime is the longest time from the decision to send an order until it has arrived, or never
// will: its connection is reset then.
const OrderTime = answerTimeout

const (
	// answerTimeout is how long the answer to an order is waited for. An order without an
	// answer is sent again: the count of accepted orders keeps it from being carried out
	// twice.
	answerTimeout = 400 * time.Millisecond
	// reportLag is how old the values of a report may be.
	reportLag = 250 * time.Millisecond
	// orderPause is the pause before an order is sent again.
	orderPause = 100 * time.Millisecond
	// conflictPause is the pause before an order is sent again that was refused because of
	// another: mostly the one before it, which needs a little longer than expected. After
	// maxQuickConflicts, the report is read.
	conflictPause     = 40 * time.Millisecond
	maxQuickConflicts = 4
	// completionPause is how often the report of a server is read towards the end of an
	// order.
	completionPause = 80 * time.Millisecond
	// completionMargin is added to the expected time of an order whose end isn't looked for.
	completionMargin = 12 * time.Millisecond
	// unloadTime is about what an unload takes when nothing runs.
	unloadTime = 30 * time.Millisecond
	// maxSends bounds how often an order is sent.
	maxSends = 12
	// maxUnreached bounds how often an order is tried at a server that can't be reached.
	maxUnreached = 3
	// reportsMissing is how long a server may give no report when an order should end.
	reportsMissing = 1500 * time.Millisecond
	// maxOvertime is how long an order may take beyond twice the expected time.
	maxOvertime = 10 * time.Second
)

// execution is an order that is being carried out.
type execution struct {
	holder *holder
	order  swap.Order
	// unanswered is true when the order was sent without an answer, so that it may have
	// been accepted.
	unanswered bool
	sends      int
	// conflicts is how often the server refused the order by the count, or because it carries
	// out another.
	conflicts int
	// unreached is how often the server could not be reached, or had no room.
	unreached int
	// accepted is the count of orders at the server once it has accepted this one.
	accepted int64
	answer   azurehitch.OrderAnswer
}

func (h *holder) execute(ctx context.Context, order swap.Order) {
	began := h.Clock.Now()
	e := &execution{holder: h, order: order}
	outcome := e.run(ctx)
	took := h.Clock.Now().Sub(began)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.plan.Finish(order, outcome, h.Clock.Now())
	h.wakeUp()
	h.Metrics.AddLabeled(metrics.SwapOrders, string(order.Kind)+"."+string(order.Tier)+"."+string(outcome), 1)
	h.Logs.Layer(logging.LayerPlacement).Info().Str("Service", h.service).Str("Server", order.Server.ID).
		Str("Kind", string(order.Kind)).Str("Model", order.Model).Str("Adapter", order.Adapter).
		Str("Tier", string(order.Tier)).Str("Reason", order.Reason).Int64("Token", h.token).
		Int64("AfterOrders", order.AfterOrders).Int("Sends", e.sends).Str("Answer", string(e.answer)).
		Str("Outcome", string(outcome)).Dur("Took", took).Msg("order ended")
}

// run sends the order until its fate is known, and waits until it is carried out.
func (e *execution) run(ctx context.Context) swap.Outcome {
	for e.sends < maxSends && ctx.Err() == nil {
		orders, ok := e.sendCounted(ctx)
		if !ok {
			return e.giveUp()
		}
		switch e.answer {
		case azurehitch.OrderAccepted, azurehitch.OrderHolds:
			return e.complete(ctx)
		case azurehitch.OrderStale:
			e.holder.stepDown(e.order)
			return swap.OutcomeRefused
		case azurehitch.OrderInvalid:
			return e.giveUp()
		case azurehitch.OrderMisdirected:
			return swap.OutcomeUnknown
		case azurehitch.OrderNotRun:
			e.unreached++
			if e.unreached >= maxUnreached {
				return e.giveUp()
			}
		}
		if outcome, settled := e.settle(ctx, orders); settled {
			return outcome
		}
	}
	return swap.OutcomeUnknown
}

// sendCounted sends the order and counts it if it was accepted. One order is sent to a
// server at a time, because each names the count of those before it. It returns the count
// at which the order was sent, and false when it may not be sent any more.
func (e *execution) sendCounted(ctx context.Context) (orders int64, ok bool) {
	turn := e.holder.turn(e.order.Server.ID)
	turn.Lock()
	defer turn.Unlock()
	orders, ok = e.orders()
	if !ok || !e.holder.mayOrder() {
		return 0, false
	}
	e.send(ctx, orders)
	if e.advancesCount() {
		e.count(orders + 1)
	}
	return orders, true
}

// advancesCount reports whether the server counts the order that it answered. An order that
// already holds is not counted, but for the unload of an adapter, which is done at once.
func (e *execution) advancesCount() bool {
	isAdapterUnload := e.order.Adapter != "" && e.order.Kind == azurehitch.OrderUnload
	return e.answer == azurehitch.OrderAccepted || e.answer == azurehitch.OrderHolds && isAdapterUnload
}

// giveUp is the outcome when the order is not sent again.
func (e *execution) giveUp() swap.Outcome {
	if e.unanswered {
		return swap.OutcomeUnknown
	}
	return swap.OutcomeRefused
}

func (e *execution) orders() (int64, bool) {
	e.holder.mu.Lock()
	defer e.holder.mu.Unlock()
	return e.holder.plan.Orders(e.order)
}

func (e *execution) send(ctx context.Context, orders int64) {
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	e.sends++
	e.holder.countSending(1)
	defer e.holder.countSending(-1)
	e.holder.Metrics.Add(metrics.OrdersSent, 1)
	result, err := e.holder.Engines.Order(ctx, e.order.Server, azurehitch.SwapOrder{
		Kind: e.order.Kind, Model: e.order.Model, Adapter: e.order.Adapter,
		AfterOrders: orders, Holder: e.holder.Self, Token: e.holder.token,
	}, e.holder.mayOrder)
	e.holder.Noticed(e.order.Server, result.Notice)
	e.answer = result.Answer
	if e.answer != azurehitch.OrderUnanswered {
		return
	}
	e.unanswered = true
	e.holder.Logs.Layer(logging.LayerPlacement).Warn().Str("Server", e.order.Server.ID).Str("Model", e.order.Model).
		Int("Sends", e.sends).Err(err).Msg("order got no answer")
}

// complete waits for the end of an order that the server has taken.
func (e *execution) complete(ctx context.Context) swap.Outcome {
	switch {
	case e.answer == azurehitch.OrderHolds:
		return swap.OutcomeDone
	case e.order.Tier == azurehitch.CacheTierRemote, e.order.Adapter != "" && e.order.Kind == azurehitch.OrderUnload:
		return e.await(ctx)
	}
	// Loads from near copies take what they should, and an unload of what nobody uses takes
	// no time. Reports are older than that: a server that is not done yet refuses the next
	// order, and the request. The context's end shows in the next order.
	_ = e.holder.Clock.Sleep(ctx, e.order.Expected+completionMargin)
	return swap.OutcomeDone
}

func (e *execution) count(orders int64) {
	e.holder.mu.Lock()
	defer e.holder.mu.Unlock()
	e.accepted = orders
	e.holder.plan.SetOrders(e.order, orders)
}

// settle finds out what became of an order that was refused by the count, or got no answer.
// It is not settled when the order may be sent again: the server has accepted none since the
// decision but those of this holder.
func (e *execution) settle(ctx context.Context, orders int64) (outcome swap.Outcome, settled bool) {
	if current, ok := e.orders(); ok && current != orders {
		return "", false
	}
	pause := orderPause
	if e.answer == azurehitch.OrderConflict {
		e.conflicts++
		if e.conflicts <= maxQuickConflicts {
			return "", e.holder.Clock.Sleep(ctx, conflictPause) != nil
		}
		pause = reportLag
	}
	if err := e.holder.Clock.Sleep(ctx, pause); err != nil {
		return swap.OutcomeUnknown, true
	}
	report, err := e.holder.report(ctx, e.order.Server)
	if err != nil || report.Orders == orders {
		return "", false
	}
	if current, ok := e.orders(); ok && current != orders {
		return "", false
	}
	if report.Orders < orders || !e.unanswered || !e.isCarriedOut(report, true) {
		return swap.OutcomeUnknown, true
	}
	e.count(report.Orders)
	return e.await(ctx), true
}

// isCarriedOut reports whether a report shows the effect of the order, or that it is
// under way.
func (e *execution) isCarriedOut(report azurehitch.ServerReport, underWay bool) bool {
	holds := slices.ContainsFunc(report.Loaded, func(m azurehitch.LoadedModel) bool {
		return m.Name == e.order.Model && (e.order.Adapter == "" || slices.Contains(m.Adapters, e.order.Adapter))
	})
	return holds == (e.order.Kind == azurehitch.OrderLoad) || underWay && report.Busy
}

// await reads reports until one shows that the order is carried out.
func (e *execution) await(ctx context.Context) swap.Outcome {
	clock := e.holder.Clock
	expected := e.order.Expected
	if e.order.Kind == azurehitch.OrderUnload {
		expected = unloadTime
	}
	began := clock.Now()
	pause := expected
	for clock.Sleep(ctx, pause) == nil {
		pause = completionPause
		report, err := e.holder.report(ctx, e.order.Server)
		late := clock.Now().Sub(began) - expected
		switch {
		case err == nil && report.Orders >= e.accepted && !report.Busy:
			if e.isCarriedOut(report, false) {
				return swap.OutcomeDone
			}
			if late > 2*reportLag {
				return swap.OutcomeUnknown
			}
		case err != nil && late > reportsMissing, late > expected+maxOvertime:
			return swap.OutcomeUnknown
		}
		pause = max(completionPause, late/4)
	}
	return swap.OutcomeUnknown
}

// stepDown stops orders under a token that a server has refused.
func (h *holder) stepDown(order swap.Order) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.stale {
		return
	}
	h.stale = true
	h.Logs.Layer(logging.LayerLease).Warn().Str("Service", h.service).Int64("Token", h.token).
		Str("Server", order.Server.ID).Msg("a server has seen a higher token: no more orders under this one")
}
