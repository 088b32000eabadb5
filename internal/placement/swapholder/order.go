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

// OrderArrivalLimit is the longest time from the decision to send an order until the server's host has received
// it. If it has not by then, the connection is reset, so that the order never arrives, also if the process is killed
// or frozen.
const OrderArrivalLimit = answerTimeout

const (
	// answerTimeout limits the wait for the answer to an order. An order without an answer is sent
	// again. It is not carried out twice, because each attempt states how many orders the server
	// has accepted, and the server rejects the attempt if the number differs.
	answerTimeout = 400 * time.Millisecond
	// reportLag is the greatest age of the values in a report.
	reportLag = 250 * time.Millisecond
	// resendDelay is the delay after a failed attempt before the report of the server is read. The
	// order is sent again if the order count in the report is the same as before the attempt, so
	// that the server has accepted no order since, or if the report can't be read.
	resendDelay = 100 * time.Millisecond
	// conflictResendDelay is the delay before an order is sent again after the server rejected it
	// because of another order, usually the previous one, which takes a little longer than
	// expected. After maxQuickConflicts, the report of the server is read.
	conflictResendDelay = 40 * time.Millisecond
	maxQuickConflicts   = 4
	// completionPollInterval is the least interval at which the report of a server is polled for
	// the completion of an order.
	completionPollInterval = 80 * time.Millisecond
	// completionMargin is added to the expected time of an order whose completion is assumed
	// without reading a report.
	completionMargin = 12 * time.Millisecond
	// expectedUnloadTime is about how long an unload takes on a model without requests.
	expectedUnloadTime = 30 * time.Millisecond
	// maxSends limits how often an order is sent. After that, its outcome counts as unknown.
	maxSends = 12
	// maxNotRun limits how often an order is sent to a server that can't be reached or lacks
	// capacity.
	maxNotRun = 3
	// maxReportOutage is how long past the expected end of an order the reports of its server may
	// fail before the outcome counts as unknown.
	maxReportOutage = 1500 * time.Millisecond
	// maxOvertime is how long an order may take beyond twice its expected time before the outcome
	// counts as unknown.
	maxOvertime = 10 * time.Second
)

// execution is an order that is being carried out.
type execution struct {
	holder *holder
	order  swap.Order
	// mayBeAccepted is true once the outcome of an attempt to send the order is unknown, so that the
	// server may have accepted it.
	mayBeAccepted bool
	sends         int
	// conflicts is how often the server rejected the order because the count of orders differed
	// or another order was in progress.
	conflicts int
	// notRun is how often the order was answered OrderNotRun: the server could not be reached, or
	// rejected the order for lack of capacity.
	notRun int
	// acceptedOrders is the order count of the server right after it accepted this order.
	acceptedOrders int64
	answer         azurehitch.OrderAnswer
}

// execute runs an order to its end and reports the outcome to the plan.
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

// run sends the order until the outcome is known, and waits for its completion if the server
// accepted it.
func (e *execution) run(ctx context.Context) swap.Outcome {
	for e.sends < maxSends && ctx.Err() == nil {
		orders, ok := e.sendAndCount(ctx)
		if !ok {
			return e.giveUp()
		}
		switch e.answer {
		case azurehitch.OrderAccepted, azurehitch.OrderNoChange:
			return e.awaitCompletion(ctx)
		case azurehitch.OrderStale:
			e.holder.stepDown(e.order)
			return swap.OutcomeRefused
		case azurehitch.OrderInvalid:
			return e.giveUp()
		case azurehitch.OrderMisdirected:
			return swap.OutcomeUnknown
		case azurehitch.OrderNotRun:
			e.notRun++
			if e.notRun >= maxNotRun {
				return e.giveUp()
			}
		}
		if outcome, resolved := e.resolve(ctx, orders); resolved {
			return outcome
		}
	}
	return swap.OutcomeUnknown
}

// sendAndCount sends the order and counts it if the server accepted it. Orders to a server are sent
// one at a time, because each order states how many orders the server accepted before. It returns
// that count, and false if the order may no longer be sent.
func (e *execution) sendAndCount(ctx context.Context) (orders int64, ok bool) {
	lock := e.holder.sendLock(e.order.Server.ID)
	lock.Lock()
	defer lock.Unlock()
	orders, ok = e.orderCount()
	if !ok || !e.holder.mayOrder() {
		return 0, false
	}
	e.send(ctx, orders)
	if e.advancesCount() {
		e.setOrderCount(orders + 1)
	}
	return orders, true
}

// advancesCount reports whether the server has counted the order. It does not count an order that
// changes nothing, except the unload of an adapter, which it carries out at once.
func (e *execution) advancesCount() bool {
	isAdapterUnload := e.order.Adapter != "" && e.order.Kind == azurehitch.OrderUnload
	return e.answer == azurehitch.OrderAccepted || e.answer == azurehitch.OrderNoChange && isAdapterUnload
}

// giveUp returns the outcome of an order that is not sent again: unknown if an earlier attempt may
// have been accepted.
func (e *execution) giveUp() swap.Outcome {
	if e.mayBeAccepted {
		return swap.OutcomeUnknown
	}
	return swap.OutcomeRefused
}

// orderCount returns the current order count of the server, and false if the order may no longer be
// sent because the server was removed from the server list since.
func (e *execution) orderCount() (int64, bool) {
	e.holder.mu.Lock()
	defer e.holder.mu.Unlock()
	return e.holder.plan.AcceptedOrders(e.order)
}

func (e *execution) send(ctx context.Context, orders int64) {
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	e.sends++
	e.holder.addInFlight(1)
	defer e.holder.addInFlight(-1)
	e.holder.Metrics.Add(metrics.OrdersSent, 1)
	sentAt := e.holder.Clock.Now()
	result, err := e.holder.Engines.Order(ctx, e.order.Server, azurehitch.SwapOrder{
		Kind: e.order.Kind, Model: e.order.Model, Adapter: e.order.Adapter,
		AfterOrders: orders, Holder: e.holder.Self, Token: e.holder.token,
	}, e.holder.mayOrder)
	e.holder.OnNotice(e.order.Server, result.Notice)
	e.answer = result.Answer
	e.noteAnswer(sentAt)
	if e.answer != azurehitch.OrderOutcomeUnknown {
		return
	}
	e.mayBeAccepted = true
	e.holder.unanswered.add(e.order.Server, e.holder.token)
	e.holder.Logs.Layer(logging.LayerPlacement).Warn().Str("Server", e.order.Server.ID).Str("Model", e.order.Model).
		Int("Sends", e.sends).Err(err).Msg("order got no answer")
}

// awaitCompletion waits for the completion of an order that the server accepted.
func (e *execution) awaitCompletion(ctx context.Context) swap.Outcome {
	switch {
	case e.answer == azurehitch.OrderNoChange:
		return swap.OutcomeDone
	case e.order.Tier == azurehitch.CacheTierRemote, e.order.Adapter != "" && e.order.Kind == azurehitch.OrderUnload:
		return e.pollCompletion(ctx)
	}
	// A load from a cached copy takes its expected time, and the unload of an unused model a time
	// that is learnt. Reports lag by more than that, so completion is assumed: a server that is not
	// done yet rejects the next order and the request. The error of Sleep is ignored, because run
	// sends no further order once the context has ended.
	_ = e.holder.Clock.Sleep(ctx, e.assumedTime())
	e.noteUnload()
	return swap.OutcomeDone
}

// assumedTime returns the time after which an accepted order counts as completed without a report.
func (e *execution) assumedTime() time.Duration {
	if e.order.Kind == azurehitch.OrderLoad {
		return e.order.Expected + completionMargin
	}
	e.holder.mu.Lock()
	defer e.holder.mu.Unlock()
	return e.holder.unloadTime.wait
}

// noteUnload records that the wait after an unload has ended.
func (e *execution) noteUnload() {
	if e.order.Kind == azurehitch.OrderLoad {
		return
	}
	e.holder.mu.Lock()
	defer e.holder.mu.Unlock()
	e.holder.unloadTime.waitEnded(e.order.Server.ID, e.holder.Clock.Now())
}

// noteAnswer records an answer for the learnt time of unloads.
func (e *execution) noteAnswer(sentAt time.Time) {
	e.holder.mu.Lock()
	defer e.holder.mu.Unlock()
	e.holder.unloadTime.ordered(e.order.Server.ID, sentAt, e.answer)
}

func (e *execution) setOrderCount(orders int64) {
	e.holder.mu.Lock()
	defer e.holder.mu.Unlock()
	e.acceptedOrders = orders
	e.holder.plan.SetAcceptedOrders(e.order, orders)
}

// resolve determines the outcome of an order that was not run, was rejected because of the order
// count, or got no answer. It returns false if the order may be sent again: the server has
// accepted no orders since the decision except those of this holder.
func (e *execution) resolve(ctx context.Context, orders int64) (outcome swap.Outcome, resolved bool) {
	if current, ok := e.orderCount(); ok && current != orders {
		return "", false
	}
	pause := resendDelay
	if e.answer == azurehitch.OrderConflict {
		e.conflicts++
		if e.conflicts <= maxQuickConflicts {
			return "", e.holder.Clock.Sleep(ctx, conflictResendDelay) != nil
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
	if current, ok := e.orderCount(); ok && current != orders {
		return "", false
	}
	if report.Orders < orders || !e.mayBeAccepted || !e.isApplied(report, true) {
		return swap.OutcomeUnknown, true
	}
	e.setOrderCount(report.Orders)
	return e.pollCompletion(ctx), true
}

// isApplied reports whether a report shows the effect of the order: the model or adapter is loaded
// after a load and absent after an unload. If orBusy is true, it also returns true if the server is
// carrying out an order.
func (e *execution) isApplied(report azurehitch.ServerReport, orBusy bool) bool {
	isLoaded := slices.ContainsFunc(report.Loaded, func(m azurehitch.LoadedModel) bool {
		return m.Name == e.order.Model && (e.order.Adapter == "" || slices.Contains(m.Adapters, e.order.Adapter))
	})
	return isLoaded == (e.order.Kind == azurehitch.OrderLoad) || orBusy && report.Busy
}

// pollCompletion polls reports until one shows the effect of the order, or the order is overdue.
func (e *execution) pollCompletion(ctx context.Context) swap.Outcome {
	clock := e.holder.Clock
	expected := e.order.Expected
	if e.order.Kind == azurehitch.OrderUnload {
		expected = expectedUnloadTime
	}
	began := clock.Now()
	pause := expected
	for clock.Sleep(ctx, pause) == nil {
		pause = completionPollInterval
		report, err := e.holder.report(ctx, e.order.Server)
		overtime := clock.Now().Sub(began) - expected
		switch {
		case err == nil && report.Orders >= e.acceptedOrders && !report.Busy:
			if e.isApplied(report, false) {
				return swap.OutcomeDone
			}
			if overtime > 2*reportLag {
				return swap.OutcomeUnknown
			}
		case err != nil && overtime > maxReportOutage, overtime > expected+maxOvertime:
			return swap.OutcomeUnknown
		}
		pause = max(completionPollInterval, overtime/4)
	}
	return swap.OutcomeUnknown
}
