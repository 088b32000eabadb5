// Package swapholder runs the plan of a service against its model engines while this
// daemon holds the lease of the service.
//
// # Usage
//
//	set := swapholder.NewSet(dependencies)
//	group.Go(func() error { return set.Run(ctx) })
//	verdict, err := set.Ask(ctx, "llm", need)
//
// A new holder reads the report of each engine before it gives it orders, so that it
// counts what former holders have ordered.
package swapholder

import (
	"context"
	"sync"
	"time"

	"azurehitch"
	"azurehitch/internal/membership/fleet"
	"azurehitch/internal/placement/swap"
	"azurehitch/internal/telemetry/logging"
	"azurehitch/internal/telemetry/metrics"

	"golang.org/x/sync/errgroup"
)

const (
	// tickInterval is how often a plan looks at what is due by time alone. Requests and
	// finished orders wake it at once.
	tickInterval = 100 * time.Millisecond
	// reportInterval is the least time between two reports of a server that is not known.
	reportInterval = 400 * time.Millisecond
	reportTimeout  = 600 * time.Millisecond
	// stepPause is the least time between two passes over the queue and the servers.
	stepPause = 10 * time.Millisecond
	// askTimeout is how long a question waits at the holder before its daemon asks again.
	askTimeout = 700 * time.Millisecond
	// settlePause is how often it is looked whether orders are on their way.
	settlePause = 5 * time.Millisecond
	// noVersion is before any version of the configuration.
	noVersion = -1
)

// Dependencies are what holders need.
type Dependencies struct {
	Self string
	// Token returns the fencing token under which this daemon holds a service, and
	// whether the lease is valid. The token is 0 if it doesn't hold it.
	Token func(service string) (token int64, valid bool)
	// LeaseChanged returns a channel that is closed when a lease changes.
	LeaseChanged func() <-chan struct{}
	Routing      func() azurehitch.RoutingTable
	Fleet        func() *fleet.View
	Engines      azurehitch.EngineControl
	// Noticed takes in what a server says of itself.
	Noticed  func(server azurehitch.ServerIdentity, notice azurehitch.ServerNotice)
	Clock    azurehitch.Clock
	Logs     *logging.Logs
	Metrics  *metrics.Metrics
	Settings swap.Settings
}

// holder is one service while this daemon holds it.
type holder struct {
	Dependencies
	service string
	token   int64
	group   *errgroup.Group

	mu   sync.Mutex
	plan *swap.Plan
	// reportedAt is when the report of a server that is not known was last asked for.
	reportedAt map[string]time.Time
	// stale is true when a server has seen a higher token.
	stale bool
	// asks are the questions that wait for a verdict, by the id of the request.
	asks map[string]chan swap.Verdict
	// view and version are the list of servers and the configuration that the plan knows.
	view    *fleet.View
	version int64
	wake    chan struct{}
	// turns let one order at a time be sent to a server.
	turns map[string]*sync.Mutex
	// sending is the number of orders that are on their way.
	sending int
}

func newHolder(d Dependencies, service string, token int64) *holder {
	h := &holder{
		Dependencies: d,
		service:      service,
		token:        token,
		plan:         swap.New(azurehitch.EngineLimits{}, d.Settings, token),
		reportedAt:   map[string]time.Time{},
		asks:         map[string]chan swap.Verdict{},
		version:      noVersion,
		wake:         make(chan struct{}, 1),
		turns:        map[string]*sync.Mutex{},
	}
	h.refresh()
	return h
}

// run carries out the plan until the context ends or another daemon holds the service.
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

// mayOrder reports whether orders may be given now.
func (h *holder) mayOrder() bool {
	token, valid := h.Token(h.service)
	h.mu.Lock()
	defer h.mu.Unlock()
	return token == h.token && valid && !h.stale
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

// settle waits until no order is on its way, or the context ends.
func (h *holder) settle(ctx context.Context) error {
	for h.ordersOnTheirWay() > 0 {
		if err := h.Clock.Sleep(ctx, settlePause); err != nil {
			return err
		}
	}
	return nil
}

func (h *holder) ordersOnTheirWay() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.sending
}

func (h *holder) countSending(n int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.sending += n
}

// turn returns the mutex under which orders are sent to a server.
func (h *holder) turn(server string) *sync.Mutex {
	h.mu.Lock()
	defer h.mu.Unlock()
	turn, ok := h.turns[server]
	if !ok {
		turn = &sync.Mutex{}
		h.turns[server] = turn
	}
	return turn
}

// refresh takes in the configuration and the list of servers where they have changed.
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
		h.plan.SetSettled(view.Settled)
	}
}

func (h *holder) step(ctx context.Context) {
	mayOrder := h.mayOrder()
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.Clock.Now()
	h.refresh()
	for _, server := range h.plan.Unknown() {
		if now.Sub(h.reportedAt[server.ID]) < reportInterval {
			continue
		}
		h.reportedAt[server.ID] = now
		h.group.Go(func() error {
			h.observe(ctx, server)
			return nil
		})
	}
	for _, settled := range h.plan.Settle(now, h.isAsking) {
		h.asks[settled.ID] <- settled.Verdict
		delete(h.asks, settled.ID)
	}
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

// observe reads the report of a server that is not known.
func (h *holder) observe(ctx context.Context, server azurehitch.ServerIdentity) {
	report, err := h.report(ctx, server)
	h.mu.Lock()
	defer h.mu.Unlock()
	if err != nil {
		h.plan.Unreachable(server, h.Clock.Now())
		h.Logs.Layer(logging.LayerPlacement).Warn().Str("Service", h.service).Str("Server", server.ID).Err(err).
			Msg("no report")
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
	h.Noticed(server, report.Notice)
	return report, err
}

// isAsking reports whether a question waits for a verdict.
func (h *holder) isAsking(id string) bool {
	_, asks := h.asks[id]
	return asks
}

// wakeUp lets the holder look again at what is due.
func (h *holder) wakeUp() {
	select {
	case h.wake <- struct{}{}:
	default:
	}
}

// ask waits some time for a verdict other than to wait.
func (h *holder) ask(ctx context.Context, need swap.Need) swap.Verdict {
	verdict, settled := h.tryAsk(need)
	if settled == nil {
		return verdict
	}
	timer := time.NewTimer(askTimeout)
	defer timer.Stop()
	select {
	case verdict = <-settled:
		return verdict
	case <-timer.C:
	case <-ctx.Done():
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.asks[need.ID] == settled {
		delete(h.asks, need.ID)
		return verdict
	}
	// The verdict came at the last moment, or the request was asked for again meanwhile.
	select {
	case verdict = <-settled:
	default:
	}
	return verdict
}

// tryAsk asks the plan. A request that waits gets a channel for its verdict.
func (h *holder) tryAsk(need swap.Need) (swap.Verdict, <-chan swap.Verdict) {
	h.mu.Lock()
	defer h.mu.Unlock()
	verdict := h.plan.Ask(need, h.Clock.Now())
	if verdict.Kind != swap.VerdictWaiting {
		return verdict, nil
	}
	settled := make(chan swap.Verdict, 1)
	h.asks[need.ID] = settled
	h.wakeUp()
	return verdict, settled
}
