// Package enginepool carries out the plan of each pool that this daemon holds on the
// model engines.
//
// # Usage
//
//	set := enginepool.NewSet(dependencies)
//	group.Go(func() error { return set.Run(ctx) })
//	grant, err := set.Acquire(ctx, request)
//
// A pool has a runner while the log shows this daemon as its holder. The runner fences
// each engine with the fencing token of the lease, reads which artifacts are loaded, and
// executes the planner's actions, each in its own goroutine.
//
// # Terms
//
// The holder of a pool is the daemon that holds its lease. To fence an engine is to send it
// the holder's token, so that it rejects orders with an earlier token. An intent is a record in
// the log that precedes a load on an engine that ignores tokens; a resolution is the record that
// its order can no longer arrive. A verdict is the result of applying an appended record: its
// offset in the log, and an error if the record was rejected.
package enginepool

import (
	"context"
	"sync"
	"time"

	"azurehitch"
	"azurehitch/internal/configuration/tables"
	"azurehitch/internal/oplog/control"
	"azurehitch/internal/placement/loadslots"
	"azurehitch/internal/placement/planner"
	"azurehitch/internal/proof/sabotage"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
)

const (
	// tickInterval is how often a pool checks for timed work. Waiting requests, engine
	// reports and finished orders wake the runner at once.
	tickInterval = 250 * time.Millisecond
	orderTimeout = 2 * time.Minute
	// newTokenInterval is the minimum time between two attempts to get a new token.
	newTokenInterval = 10 * time.Second
	// logRetryDelay is how long after a failed append of an intent the engines that ignore tokens
	// get no orders.
	logRetryDelay = time.Second
)

// Recorder appends records to the control log. Append returns an error if the record could not be
// appended, and a verdict with an error if the appended record was rejected.
type Recorder interface {
	Append(ctx context.Context, record control.Record) (control.Verdict, error)
}

// Counters receives the events that the runners count.
type Counters interface {
	LoadFinished(pool string, fromWeightStore bool, outcome planner.Outcome, took time.Duration)
	UnloadFinished(pool string, outcome planner.Outcome)
	// EngineReachable is called with reachable false when an engine becomes unreachable, and with
	// reachable true when it becomes reachable again.
	EngineReachable(pool, server string, reachable bool)
	// IntentLeftOpen counts failed attempts to record the resolution of an intent.
	IntentLeftOpen(pool string)
	PoolHeld(pool string, token int64, held bool)
	// EstimateEvaluated counts estimates of waits by whether they proved right.
	EstimateEvaluated(pool string, result EstimateResult)
	// HistoryRestored counts the pools whose usage history was restored from the records of
	// an earlier holder.
	HistoryRestored(pool string)
}

// Dependencies are what the runners need from other parts of the daemon.
type Dependencies struct {
	Store    *control.Store
	Recorder Recorder
	Engines  azurehitch.EngineDialer
	Clock    azurehitch.Clock
	Counters Counters
	// Hosts returns the state of each backend server in the platform's list of hosts, by name, or
	// nil before the list has been read.
	Hosts func() map[string]azurehitch.HostState
	// Slots grants loads from the weight store, whose capacity all pools share.
	Slots Slots
}

// Slots grants loads from the weight store.
type Slots interface {
	// SetRequests replaces the load requests of a pool.
	SetRequests(pool string, requests []loadslots.LoadRequest)
	// Granted returns the loads that a pool may start.
	Granted(pool string) map[azurehitch.Artifact]bool
	// Begin and End record the start and the end of a granted load.
	Begin(pool string, artifact azurehitch.Artifact)
	End(pool string, artifact azurehitch.Artifact)
	// LoadsAhead returns how many loads precede a requested load, and how many loads of its kind
	// the store serves concurrently. known is false if the number of preceding loads is unknown.
	LoadsAhead(pool string, artifact azurehitch.Artifact) (ahead, concurrent int, known bool)
}

// pool is the runner of one pool that this daemon holds.
type pool struct {
	Dependencies
	name  string
	token int64
	group *errgroup.Group

	mu        sync.Mutex
	plan      *planner.Plan
	scope     control.PoolScope
	polls     map[string]*enginePoll
	loadTimes loadTimes
	// savedHistory is the encoded usage history that was last recorded in the log.
	// historyCheckedAt is when the history was last checked for changes to record.
	savedHistory     []byte
	historyCheckedAt time.Time
	// refusedWaits holds the refusals whose estimated wait has not proved right or wrong yet.
	refusedWaits []refusedWait
	// appendFailedAt is when appending an intent last failed.
	appendFailedAt time.Time
	// newTokenTriedAt is when the lease was last released to get a new token.
	newTokenTriedAt time.Time
	// changed is closed and replaced when replicas may have become ready or the pool is lost.
	changed chan struct{}
	// wake makes the runner take its next step before tickInterval has passed.
	wake chan struct{}
}

func newPool(d Dependencies, name string, token int64) *pool {
	scope := d.Store.PoolScope(name)
	p := &pool{
		Dependencies:     d,
		name:             name,
		token:            token,
		plan:             planner.New(plannerScope(scope), d.Store.PoolIntents(name), d.Clock.Now()),
		scope:            scope,
		polls:            map[string]*enginePoll{},
		changed:          make(chan struct{}),
		wake:             make(chan struct{}, 1),
		historyCheckedAt: d.Clock.Now(),
	}
	p.restoreHistory(d.Store.PoolHistory(name))
	return p
}

// run executes the plan until the context ends or another daemon holds the pool.
func (p *pool) run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	p.group = group
	group.Go(func() error {
		for p.isHeld() && ctx.Err() == nil {
			p.step(ctx)
			if err := p.pause(ctx); err != nil {
				return nil
			}
		}
		return nil
	})
	err := group.Wait()
	p.Slots.SetRequests(p.name, nil)
	p.closePolls()
	return err
}

// isHeld reports whether this daemon still holds the pool under the token of this runner.
func (p *pool) isHeld() bool {
	token, _ := p.Store.Token(p.name)
	return token == p.token
}

// pause waits for the next tick or wake-up.
func (p *pool) pause(ctx context.Context) error {
	limited, cancel := context.WithTimeout(ctx, tickInterval)
	defer cancel()
	select {
	case <-p.wake:
	case <-limited.Done():
	}
	return ctx.Err()
}

// step brings the plan up to date, starts the polls and log records that are due, and executes the
// actions that the plan decides on.
func (p *pool) step(ctx context.Context) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Clock.Now()
	p.refreshScope()
	p.evaluateRefusedWaits(now)
	p.plan.SetHosts(p.Hosts())
	for _, server := range p.plan.Servers() {
		p.startPoll(ctx, server, now)
	}
	for _, intent := range p.plan.TakeResolvableIntents(now) {
		p.group.Go(func() error {
			p.recordResolution(ctx, intent)
			return nil
		})
	}
	if now.Sub(p.historyCheckedAt) >= historyInterval {
		p.historyCheckedAt = now
		p.group.Go(func() error {
			// A failed save is tried again after historyInterval.
			_ = p.saveHistory(ctx)
			return nil
		})
	}
	for _, server := range p.plan.TakeEmptiedServers(now) {
		p.recordEmptied(ctx, server)
	}
	if p.plan.NeedsNewToken(now) && now.Sub(p.newTokenTriedAt) >= newTokenInterval {
		p.newTokenTriedAt = now
		p.group.Go(func() error {
			p.releaseLease(ctx)
			return nil
		})
	}
	for _, action := range p.plan.Decide(now, p.budget(now)) {
		if action.Remote {
			p.Slots.Begin(p.name, action.Artifact)
		}
		p.group.Go(func() error {
			p.execute(ctx, action)
			return nil
		})
	}
	p.Slots.SetRequests(p.name, p.plan.SlotRequests())
}

func (p *pool) refreshScope() {
	if p.Store.ScopesChangedOffset() == p.scope.ChangedOffset {
		return
	}
	p.scope = p.Store.PoolScope(p.name)
	p.plan.SetScope(plannerScope(p.scope))
}

func plannerScope(s control.PoolScope) planner.Scope {
	scope := planner.Scope{Pool: s.Pool, HeldByOtherPool: s.HeldByOtherPool}
	for _, r := range s.Retired {
		scope.Retired = append(scope.Retired, r.Server)
	}
	return scope
}

func (p *pool) budget(now time.Time) planner.Budget {
	_, valid := p.Store.Token(p.name)
	valid = valid || sabotage.Active(sabotage.SkipLeaseCheck)
	logWritable := now.Sub(p.appendFailedAt) >= logRetryDelay
	return planner.Budget{Slots: p.Slots.Granted(p.name), LeaseValid: valid, LogWritable: logWritable}
}

// notify makes waiting requests check for ready replicas again, and wakes the runner. p.mu must be
// held.
func (p *pool) notify() {
	close(p.changed)
	p.changed = make(chan struct{})
	p.wakeUp()
}

// wakeUp makes the runner take its next step at once.
func (p *pool) wakeUp() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

func (p *pool) execute(ctx context.Context, action planner.Action) {
	started := p.Clock.Now()
	result := p.order(ctx, action)
	if action.Remote {
		p.Slots.End(p.name, action.Artifact)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Clock.Now()
	p.plan.Finish(action, result, now)
	p.countFinished(action, result.Outcome, now.Sub(started))
	p.notify()
}

func (p *pool) countFinished(action planner.Action, outcome planner.Outcome, took time.Duration) {
	if action.Kind == planner.ActionUnload {
		p.Counters.UnloadFinished(p.name, outcome)
		return
	}
	p.Counters.LoadFinished(p.name, action.Remote, outcome, took)
	if outcome == planner.OutcomeDone {
		p.loadTimes.observe(action, took)
	}
}

// order sends the order of an action over a single session, so that it reaches only the
// engine incarnation for which the action was planned.
func (p *pool) order(ctx context.Context, action planner.Action) planner.Result {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	refused := planner.Result{Outcome: planner.OutcomeRefused}
	server, ok := p.server(action.Server)
	if !ok {
		return refused
	}
	session, err := p.Engines.Dial(ctx, server.Address)
	if err != nil {
		return refused
	}
	defer session.Close()
	state, err := session.State(ctx)
	if err != nil || state.Incarnation != action.Incarnation {
		return refused
	}
	intent, err := p.recordIntent(ctx, server, state.Incarnation, action)
	if err != nil {
		return refused
	}
	return planner.Result{Outcome: p.send(ctx, session, action), Incarnation: state.Incarnation, Intent: intent}
}

func (p *pool) server(name string) (tables.BackendServer, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, server := range p.plan.Servers() {
		if server.Name == name {
			return server, true
		}
	}
	return tables.BackendServer{}, false
}

// recordIntent records the intent of a load on an engine that does not check tokens, and
// returns its log offset. Other orders need no intent, and their offset is 0.
func (p *pool) recordIntent(ctx context.Context, server tables.BackendServer, incarnation string, action planner.Action) (int64, error) {
	if server.FencingToken != tables.TokenIgnored || action.Kind != planner.ActionLoad || sabotage.Active(sabotage.SkipIntent) {
		return 0, nil
	}
	intent := intentFor(p.name, p.token, server.Name, incarnation, action)
	verdict, err := p.Recorder.Append(ctx, control.Record{Intent: &intent})
	if err != nil {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.appendFailedAt = p.Clock.Now()
		return 0, err
	}
	return verdict.Offset, verdict.Err
}

// send sends an order to an engine. An unload that preempts trials cancels the requests with a priority
// below that of paying callers.
func (p *pool) send(ctx context.Context, session azurehitch.EngineSession, action planner.Action) planner.Outcome {
	kind := azurehitch.OrderLoad
	if action.Kind == planner.ActionUnload {
		kind = azurehitch.OrderUnload
	}
	order := azurehitch.EngineOrder{Kind: kind, Pool: p.name, Token: p.token, Artifact: action.Artifact, Memory: action.Memory}
	if action.Preempt {
		order.CancelBelow = azurehitch.PriorityPaid
	}
	err := session.Order(ctx, order)
	var failed *azurehitch.ErrOrder
	switch {
	case err == nil:
		return planner.OutcomeDone
	case errors.As(err, &failed) && !failed.MayHaveTakenEffect():
		return planner.OutcomeRefused
	}
	return planner.OutcomeUnknown
}
