// Package swapholder applies the placement plan of a service to its model engines while
// this daemon holds the lease of the service.
//
// # Usage
//
//	set := swapholder.NewSet(dependencies)
//	group.Go(func() error { return set.Run(ctx) })
//	verdict, err := set.RequestReplica(ctx, "llm", request)
//
// The holder of a service is the daemon that holds its lease. A verdict is the decision of the plan
// on a request: granted, refused or waiting.
//
// A new holder reads the report of each engine before it sends orders to it, so that it
// accounts for the orders of former holders.
package swapholder

import (
	"context"
	"sync"
	"time"

	"azurehitch"
	"azurehitch/internal/membership/fleet"
	"azurehitch/internal/membership/serverlimit"
	"azurehitch/internal/placement/swap"
	"azurehitch/internal/telemetry/logging"
	"azurehitch/internal/telemetry/metrics"

	"golang.org/x/sync/errgroup"
)

const (
	// tickInterval is how often a holder runs a step when nothing triggers one. Requests, reports
	// and finished orders trigger a step at once.
	tickInterval = 100 * time.Millisecond
	// unknownReportInterval is the least time between two requests for the report of a server whose
	// state is unknown.
	unknownReportInterval = 400 * time.Millisecond
	reportTimeout         = 600 * time.Millisecond
	// stepPause is the least time between two steps. Each step goes through the whole queue and all
	// servers.
	stepPause = 10 * time.Millisecond
	// verdictTimeout limits how long a request waits at the holder for a grant or a refusal. After
	// that, the daemon that sent the request repeats it.
	verdictTimeout = 700 * time.Millisecond
	// inFlightPollInterval is the interval at which the number of orders in flight is polled.
	inFlightPollInterval = 5 * time.Millisecond
	// noVersion is lower than any version of the configuration.
	noVersion = -1
)

// Dependencies are the settings and services that holders use.
type Dependencies struct {
	// Self is the name of this daemon.
	Self string
	// Token returns the fencing token under which this daemon holds a service, and
	// whether the lease is valid. The token is 0 if this daemon doesn't hold the service.
	Token func(service string) (token int64, valid bool)
	// LeaseChanged returns a channel that is closed when a lease changes.
	LeaseChanged func() <-chan struct{}
	// RaiseTokens is called when a server has seen a higher token than that of a valid lease. It makes the
	// next holder's token higher by far.
	RaiseTokens func(service string, token int64)
	Routing     func() azurehitch.RoutingTable
	Fleet       func() *fleet.View
	// Limits contains the rate limits of servers.
	Limits  *serverlimit.Tracker
	Engines azurehitch.EngineControl
	// OnNotice is called after each call of a server with the notice in its answer, if any.
	OnNotice func(server azurehitch.ServerIdentity, notice azurehitch.ServerNotice)
	// SettleTime is how long a server that was silent must answer reports before a new holder sends orders to
	// it. 0 sets no minimum. Where servers don't check tokens, it keeps orders of two holders apart that a
	// silent server has received.
	SettleTime time.Duration
	// ReturnDelay replaces SettleTime at a server that may have read an order of an earlier tenure of this
	// daemon only now.
	ReturnDelay time.Duration
	Clock       azurehitch.Clock
	Logs        *logging.Logs
	Metrics     *metrics.Metrics
	Settings    swap.Settings
}

// holder manages one service while this daemon holds its lease.
type holder struct {
	Dependencies
	service string
	token   int64
	// refusals counts the orders that servers have rejected as stale, for all holders of this daemon.
	refusals *staleRefusals
	// unanswered are the orders without an answer of all holders of this daemon.
	unanswered *unansweredOrders
	group      *errgroup.Group

	mu   sync.Mutex
	plan *swap.Plan
	// reportRequestedAt is when the report of a server in unknown state was last requested, by the
	// ID of the server.
	reportRequestedAt map[string]time.Time
	// settling are the servers to which this holder has sent no order yet.
	settling settling
	// unloadTime says when the next order is sent after an unload.
	unloadTime *unloadTime
	// estimatesLoggedAt is when the errors of estimated waits were last logged.
	estimatesLoggedAt time.Time
	// tokenStale is true once a server has rejected an order because it has seen a higher token.
	tokenStale bool
	// pending contains, by ID, the requests that wait for a grant or a refusal, with the channel
	// that receives it.
	pending map[string]chan swap.Verdict
	// view and version are the server list and the configuration last passed to the plan.
	view    *fleet.View
	version int64
	// wake triggers the next step.
	wake chan struct{}
	// sendLocks serialize the orders sent to each server, by the ID of the server.
	sendLocks map[string]*sync.Mutex
	// inFlight is the number of orders that were sent and have no answer yet.
	inFlight int
}

func newHolder(d Dependencies, service string, token int64, refusals *staleRefusals, unanswered *unansweredOrders) *holder {
	h := &holder{
		Dependencies:      d,
		service:           service,
		token:             token,
		refusals:          refusals,
		unanswered:        unanswered,
		plan:              swap.New(azurehitch.EngineLimits{}, d.Settings, token),
		reportRequestedAt: map[string]time.Time{},
		settling:          newSettling(),
		unloadTime:        newUnloadTime(),
		pending:           map[string]chan swap.Verdict{},
		version:           noVersion,
		wake:              make(chan struct{}, 1),
		sendLocks:         map[string]*sync.Mutex{},
	}
	h.refresh()
	return h
}

// run carries out the plan until the context ends or this daemon no longer holds the service
// under its token.
func (h *holder) run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	h.group = group
	group.Go(func() error {
		for h.isHeld() && ctx.Err() == nil {
			h.step(ctx)
			if err := h.pause(ctx); err != nil {
				return nil
			}
		}
		return nil
	})
	return group.Wait()
}

func (h *holder) isHeld() bool {
	token, _ := h.Token(h.service)
	return token == h.token
}

// mayOrder reports whether orders may be sent now: the lease is held and valid, and no server
// has seen a higher token.
func (h *holder) mayOrder() bool {
	token, valid := h.Token(h.service)
	h.mu.Lock()
	defer h.mu.Unlock()
	return token == h.token && valid && !h.tokenStale
}

func (h *holder) pause(ctx context.Context) error {
	if err := h.Clock.Sleep(ctx, stepPause); err != nil {
		return err
	}
	timer := time.NewTimer(tickInterval)
	defer timer.Stop()
	select {
	case <-h.wake:
	case <-timer.C:
	case <-ctx.Done():
	}
	return ctx.Err()
}

// awaitOrders waits until no order is in flight. It returns an error if the context ends first.
func (h *holder) awaitOrders(ctx context.Context) error {
	for h.ordersInFlight() > 0 {
		if err := h.Clock.Sleep(ctx, inFlightPollInterval); err != nil {
			return err
		}
	}
	return nil
}

func (h *holder) ordersInFlight() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.inFlight
}

func (h *holder) addInFlight(n int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.inFlight += n
}

// sendLock returns the mutex that is held while an order is sent to a server.
func (h *holder) sendLock(server string) *sync.Mutex {
	h.mu.Lock()
	defer h.mu.Unlock()
	lock, ok := h.sendLocks[server]
	if !ok {
		lock = &sync.Mutex{}
		h.sendLocks[server] = lock
	}
	return lock
}

// refresh passes the configuration and the server list to the plan if they have changed, and the
// rate limits of servers.
func (h *holder) refresh() {
	if table := h.Routing(); table.Version != h.version {
		h.version = table.Version
		if engine := table.Services[h.service].Engine; engine != nil {
			h.plan.SetLimits(*engine)
		}
	}
	if view := h.Fleet(); view != h.view {
		h.view = view
		h.plan.SetServers(view.Service(h.service))
		h.plan.SetListComplete(view.Complete)
	}
	h.plan.SetRateLimits(h.Limits.InForce(), h.Clock.Now())
}

// step requests the reports of servers in unknown state, delivers verdicts, and starts the
// orders that are due.
func (h *holder) step(ctx context.Context) {
	mayOrder := h.mayOrder()
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.Clock.Now()
	h.refresh()
	for _, server := range h.plan.UnknownServers() {
		if now.Sub(h.reportRequestedAt[server.ID]) < unknownReportInterval {
			continue
		}
		h.reportRequestedAt[server.ID] = now
		h.group.Go(func() error {
			h.observe(ctx, server)
			return nil
		})
	}
	for _, decided := range h.plan.EvaluateWaiting(now, h.isPending) {
		h.pending[decided.ID] <- decided.Verdict
		delete(h.pending, decided.ID)
	}
	h.logEstimates(now)
	if !mayOrder {
		return
	}
	for _, order := range h.plan.Decide(now) {
		h.group.Go(func() error {
			h.execute(ctx, order)
			return nil
		})
	}
}

// observe reads the report of a server in unknown state and passes it to the plan.
func (h *holder) observe(ctx context.Context, server azurehitch.ServerIdentity) {
	requestedAt := h.Clock.Now()
	report, err := h.report(ctx, server)
	h.mu.Lock()
	defer h.mu.Unlock()
	isSettled := h.settles(reportCall{server: server, requestedAt: requestedAt, answeredAt: h.Clock.Now(), err: err})
	if err != nil {
		h.plan.MarkUnreachable(server, h.Clock.Now())
		h.Logs.Layer(logging.LayerPlacement).Warn().Str("Service", h.service).Str("Server", server.ID).Err(err).
			Msg("no report")
		return
	}
	if !isSettled {
		h.Logs.Layer(logging.LayerPlacement).Info().Str("Service", h.service).Str("Server", server.ID).
			Msg("server was silent: its first order waits")
		return
	}
	h.plan.Observe(server, report)
	h.Logs.Layer(logging.LayerPlacement).Info().Str("Service", h.service).Str("Server", server.ID).
		Int64("Orders", report.Orders).Bool("Busy", report.Busy).Int("Models", len(report.Loaded)).
		Int("OnDisk", len(report.Cached.OnDisk)).Msg("server reported")
	h.wakeUp()
}

func (h *holder) report(ctx context.Context, server azurehitch.ServerIdentity) (azurehitch.ServerReport, error) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	h.Metrics.Add(metrics.EngineReports, 1)
	report, err := h.Engines.Report(ctx, server)
	if err == nil && h.mayOrder() {
		h.unanswered.removeOf(server, h.token)
	}
	h.OnNotice(server, report.Notice)
	return report, err
}

// isPending reports whether a call for the request waits for a verdict. The caller holds h.mu.
func (h *holder) isPending(id string) bool {
	_, waits := h.pending[id]
	return waits
}

// wakeUp triggers a step without waiting for the next tick.
func (h *holder) wakeUp() {
	select {
	case h.wake <- struct{}{}:
	default:
	}
}

// awaitVerdict returns the verdict on a request. It waits up to verdictTimeout for a grant or a
// refusal, and returns swap.VerdictWaiting after that.
func (h *holder) awaitVerdict(ctx context.Context, request swap.Request) swap.Verdict {
	verdict, verdicts := h.submit(request)
	if verdicts == nil {
		return verdict
	}
	timer := time.NewTimer(verdictTimeout)
	defer timer.Stop()
	select {
	case verdict = <-verdicts:
		return verdict
	case <-timer.C:
	case <-ctx.Done():
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.pending[request.ID] == verdicts {
		delete(h.pending, request.ID)
		return verdict
	}
	// The verdict arrived just after the timeout, or the daemon has repeated the request meanwhile.
	select {
	case verdict = <-verdicts:
	default:
	}
	return verdict
}

// submit passes a request to the plan and returns its verdict. If the request has to wait, the
// channel receives the final verdict; otherwise it is nil.
func (h *holder) submit(request swap.Request) (swap.Verdict, <-chan swap.Verdict) {
	h.mu.Lock()
	defer h.mu.Unlock()
	verdict := h.plan.Submit(request, h.Clock.Now())
	if verdict.Kind != swap.VerdictWaiting {
		return verdict, nil
	}
	verdicts := make(chan swap.Verdict, 1)
	h.pending[request.ID] = verdicts
	h.wakeUp()
	return verdict, verdicts
}
