package enginepool

import (
	"context"
	"time"

	"azurehitch"
	"azurehitch/internal/configuration/tables"
	"azurehitch/internal/placement/planner"
	"azurehitch/internal/proof/sabotage"
)

const (
	// busyPollInterval is how often engine state is read while requests wait.
	busyPollInterval = time.Second
	// idlePollInterval is how often engine state is read while no requests wait for a replica.
	idlePollInterval = 2 * time.Second
	pollTimeout      = 2 * time.Second
)

// enginePoll is the state of the regular reads from one engine. The session is reused between reads.
// failed is true if the last read failed.
type enginePoll struct {
	running   bool
	startedAt time.Time
	failed    bool
	session   azurehitch.EngineSession
	// fencedIncarnation is the incarnation of the engine that has received the token; empty
	// after a fence until the state has been read.
	fencedIncarnation string
}

// startPoll starts to read the state of an engine, unless a read is running or the last one started
// less than the poll interval ago.
func (p *pool) startPoll(ctx context.Context, server tables.BackendServer, now time.Time) {
	poll, ok := p.polls[server.Name]
	if !ok {
		poll = &enginePoll{}
		p.polls[server.Name] = poll
	}
	if poll.running || now.Sub(poll.startedAt) < p.pollInterval(now) {
		return
	}
	poll.running = true
	poll.startedAt = now
	p.group.Go(func() error {
		report, err := p.read(ctx, poll, server.Address)
		p.finishPoll(server.Name, poll, report, err)
		return nil
	})
}

func (p *pool) pollInterval(now time.Time) time.Duration {
	if p.plan.WaitingRequests(now) > 0 {
		return busyPollInterval
	}
	return idlePollInterval
}

// read reads the state of an engine. If it must open a new session, it first fences the engine with the
// token. Only one goroutine uses the poll at a time.
func (p *pool) read(ctx context.Context, poll *enginePoll, address string) (planner.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	if poll.session == nil {
		session, err := p.Engines.Dial(ctx, address)
		if err != nil {
			return planner.Report{}, err
		}
		poll.session = session
		if err := p.fence(ctx, session); err != nil {
			poll.close()
			return planner.Report{}, err
		}
		poll.fencedIncarnation = ""
	}
	report, err := p.readFenced(ctx, poll)
	if err != nil {
		poll.close()
	}
	return report, err
}

// readFenced reads the state of a fenced engine. If the engine restarted behind the same
// connection, it fences the new incarnation and reads again.
func (p *pool) readFenced(ctx context.Context, poll *enginePoll) (planner.Report, error) {
	for {
		report := planner.Report{OpenIntents: p.Store.PoolIntents(p.name), StartedAt: p.Clock.Now()}
		state, err := poll.session.State(ctx)
		if err != nil {
			return planner.Report{}, err
		}
		report.State = state
		if poll.fencedIncarnation == "" || poll.fencedIncarnation == state.Incarnation {
			poll.fencedIncarnation = state.Incarnation
			return report, nil
		}
		if err := p.fence(ctx, poll.session); err != nil {
			return planner.Report{}, err
		}
		poll.fencedIncarnation = ""
	}
}

func (e *enginePoll) close() {
	if e.session == nil {
		return
	}
	// The session is discarded even if closing it fails.
	_ = e.session.Close()
	e.session = nil
}

func (p *pool) closePolls() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, poll := range p.polls {
		poll.close()
	}
}

// fence sends the token to the engine, so that it rejects orders of earlier holders.
func (p *pool) fence(ctx context.Context, session azurehitch.EngineSession) error {
	if sabotage.Active(sabotage.SkipFence) {
		return nil
	}
	return session.Order(ctx, azurehitch.EngineOrder{Kind: azurehitch.OrderFence, Pool: p.name, Token: p.token})
}

// finishPoll applies the result of a read to the plan.
func (p *pool) finishPoll(server string, poll *enginePoll, report planner.Report, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	poll.running = false
	if failed := err != nil; failed != poll.failed {
		poll.failed = failed
		p.Counters.EngineReachable(p.name, server, !failed)
	}
	if err != nil {
		p.plan.MarkUnreachable(server)
	} else {
		p.plan.Observe(server, report, p.Clock.Now())
	}
	p.notify()
}
