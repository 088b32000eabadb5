// Package enginepool runs the plan of each pool that this daemon holds against
// the model engines.
//
// # Usage
//
//	set := enginepool.NewSet(dependencies)
//	group.Go(func() error { return set.Run(ctx) })
//	grant, err := set.Acquire(ctx, request)
//
// A pool is run while the log shows this daemon as its holder. The runner fences
// each engine with its token, reads what is loaded, and carries out the actions
// of the planner, each in a goroutine of its group.
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
	// tickInterval is how often a pool looks at what is due by time alone. Waiting
	// requests, reports and finished orders wake it at once.
	tickInterval = 250 * time.Millisecond
	orderTimeout = 2 * time.Minute
	// renewInterval is the least time between two tries for a new token.
	renewInterval = 10 * time.Second
	// logRecovery is how long after a failed append no intent is tried.
	logRecovery = time.Second
)

// Recorder appends records to the control stream.
type Recorder interface {
	Append(ctx context.Context, record control.Record) (control.Verdict, error)
}

// Counters counts what the runners do.
type Counters interface {
	LoadFinished(pool string, remote bool, outcome planner.Outcome, took time.Duration)
	UnloadFinished(pool string, outcome planner.Outcome)
	EngineUnreachable(pool, server string, reached bool)
	// IntentLeftOpen counts resolutions that could not be recorded.
	IntentLeftOpen(pool string)
	PoolHeld(pool string, token int64, held bool)
	// EstimateEnded counts how estimates of waits turned out.
	EstimateEnded(pool string, end EstimateEnd)
	// HistoryLearnt counts the pools whose use was learnt from an earlier holder.
	HistoryLearnt(pool string)
}

// Dependencies are what the runners need.
type Dependencies struct {
	Store    *control.Store
	Recorder Recorder
	Engines  azurehitch.EngineDialer
	Clock    azurehitch.Clock
	Counters Counters
	// Hosts returns the state of each listed backend server; nil before the list was
	// first read.
	Hosts func() map[string]azurehitch.HostState
	// Slots shares the weight store's speed with the other pools.
	Slots Slots
}

// Slots grants loads from the weight store.
type Slots interface {
	// Want replaces what a pool would load now.
	Want(pool string, wants []loadslots.Want)
	// Granted returns the loads of a pool that may begin.
	Granted(pool string) map[azurehitch.Artifact]bool
	// Begin and End note that a granted load is, or is no longer, under way.
	Begin(pool string, artifact azurehitch.Artifact)
	End(pool string, artifact azurehitch.Artifact)
	// Ahead returns how many loads go before a wanted one, if that is known, and how
	// many the store takes at once.
	Ahead(pool string, artifact azurehitch.Artifact) (ahead, concurrent int, known bool)
}

// pool is one pool while this daemon holds it.
type pool struct {
	Dependencies
	name  string
	token int64
	group *errgroup.Group

	mu    sync.Mutex
	plan  *planner.Plan
	scope control.PoolScope
	polls map[string]*poll
	times loadTimes
	// savedHistory is what was recorded last of what the plan has learnt, and savedAt when
	// that was last looked at.
	savedHistory []byte
	savedAt      time.Time
	// refused are the refusals by estimates that are followed up.
	refused []refusedWait
	// appendFailedAt is when an intent could last not be recorded.
	appendFailedAt time.Time
	// renewedAt is when the lease was last given back for a new token.
	renewedAt time.Time
	changed   chan struct{}
	wake      chan struct{}
}

func newPool(d Dependencies, name string, token int64) *pool {
	scope := d.Store.PoolScope(name)
	p := &pool{
		Dependencies: d,
		name:         name,
		token:        token,
		plan:         planner.New(scopeOf(scope), d.Store.PoolIntents(name), d.Clock.Now()),
		scope:        scope,
		polls:        map[string]*poll{},
		changed:      make(chan struct{}),
		wake:         make(chan struct{}, 1),
		savedAt:      d.Clock.Now(),
	}
	p.learnFrom(d.Store.PoolHistory(name))
	return p
}

// run carries out the plan until the context ends or the pool has another holder.
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
	p.Slots.Want(p.name, nil)
	p.closePolls()
	return err
}

func (p *pool) isHeld() bool {
	token, _ := p.Store.Token(p.name)
	return token == p.token
}

// pause waits for the next tick, or until a waiter comes.
func (p *pool) pause(ctx context.Context) error {
	limited, cancel := context.WithTimeout(ctx, tickInterval)
	defer cancel()
	select {
	case <-p.wake:
	case <-limited.Done():
	}
	return ctx.Err()
}

func (p *pool) step(ctx context.Context) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Clock.Now()
	p.refreshScope()
	p.judge(now)
	p.plan.SetHosts(p.Hosts())
	for _, server := range p.plan.Servers() {
		p.startPoll(ctx, server, now)
	}
	for _, intent := range p.plan.TakeSettled(now) {
		p.group.Go(func() error {
			p.resolve(ctx, intent)
			return nil
		})
	}
	if now.Sub(p.savedAt) >= historyInterval {
		p.savedAt = now
		p.group.Go(func() error {
			// What could not be recorded is due again with the next interval.
			_ = p.saveHistory(ctx)
			return nil
		})
	}
	for _, server := range p.plan.TakeEmptied(now) {
		p.noteEmptied(ctx, server)
	}
	if p.plan.NeedsNewToken(now) && now.Sub(p.renewedAt) >= renewInterval {
		p.renewedAt = now
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
	p.Slots.Want(p.name, p.plan.SlotWants())
}

func (p *pool) refreshScope() {
	if p.Store.ScopesChangedAt() == p.scope.ChangedAt {
		return
	}
	p.scope = p.Store.PoolScope(p.name)
	p.plan.SetScope(scopeOf(p.scope))
}

func scopeOf(s control.PoolScope) planner.Scope {
	scope := planner.Scope{Pool: s.Pool, Foreign: s.Foreign}
	for _, r := range s.Retired {
		scope.Retired = append(scope.Retired, r.Server)
	}
	return scope
}

func (p *pool) budget(now time.Time) planner.Budget {
	_, valid := p.Store.Token(p.name)
	valid = valid || sabotage.Active(sabotage.SkipLeaseCheck)
	logWorks := now.Sub(p.appendFailedAt) >= logRecovery
	return planner.Budget{Slots: p.Slots.Granted(p.name), LeaseValid: valid, LogWorks: logWorks}
}

func (p *pool) notify() {
	close(p.changed)
	p.changed = make(chan struct{})
	p.wakeUp()
}

// wakeUp makes the runner look at what is due.
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
	p.plan.Finished(action, result, now)
	p.count(action, result.Outcome, now.Sub(started))
	p.notify()
}

func (p *pool) count(action planner.Action, outcome planner.Outcome, took time.Duration) {
	if action.Kind == planner.ActionUnload {
		p.Counters.UnloadFinished(p.name, outcome)
		return
	}
	p.Counters.LoadFinished(p.name, action.Remote, outcome, took)
	if outcome == planner.OutcomeDone {
		p.times.observe(action, took)
	}
}

// order carries out an action over one session, which reaches one incarnation of
// the engine only.
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
	intent, err := p.intend(ctx, server, state.Incarnation, action)
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

// intend records the intent of a load to an engine that does not check tokens,
// and returns its offset. Other orders need none: the offset is 0.
func (p *pool) intend(ctx context.Context, server tables.BackendServer, incarnation string, action planner.Action) (int64, error) {
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
