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
	// busyPollInterval is how often engines are read while requests wait.
	busyPollInterval = time.Second
	// idlePollInterval is how often they are read otherwise.
	idlePollInterval = 2 * time.Second
	pollTimeout      = 2 * time.Second
)

// poll is the reading of one engine. Its session is kept between reads.
type poll struct {
	running bool
	at      time.Time
	failed  bool
	session azurehitch.EngineSession
	// fenced is the incarnation of the engine that has seen the token.
	fenced string
}

func (p *pool) startPoll(ctx context.Context, server tables.BackendServer, now time.Time) {
	last, ok := p.polls[server.Name]
	if !ok {
		last = &poll{}
		p.polls[server.Name] = last
	}
	if last.running || now.Sub(last.at) < p.pollInterval(now) {
		return
	}
	last.running = true
	last.at = now
	p.group.Go(func() error {
		report, err := p.read(ctx, last, server.Address)
		p.polled(server.Name, last, report, err)
		return nil
	})
}

func (p *pool) pollInterval(now time.Time) time.Duration {
	if p.plan.Waiting(now) > 0 {
		return busyPollInterval
	}
	return idlePollInterval
}

// read reads the state of an engine that has seen the token. The poll is used by
// one goroutine at a time.
func (p *pool) read(ctx context.Context, last *poll, address string) (planner.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	if last.session == nil {
		session, err := p.Engines.Dial(ctx, address)
		if err != nil {
			return planner.Report{}, err
		}
		last.session = session
		if err := p.fence(ctx, session); err != nil {
			last.close()
			return planner.Report{}, err
		}
		last.fenced = ""
	}
	report, err := p.readFenced(ctx, last)
	if err != nil {
		last.close()
	}
	return report, err
}

// readFenced reads the state, and again after a fence when the engine started anew
// on the same connection.
func (p *pool) readFenced(ctx context.Context, last *poll) (planner.Report, error) {
	for {
		report := planner.Report{OpenIntents: p.Store.PoolIntents(p.name), StartedAt: p.Clock.Now()}
		state, err := last.session.State(ctx)
		if err != nil {
			return planner.Report{}, err
		}
		report.State = state
		if last.fenced == "" || last.fenced == state.Incarnation {
			last.fenced = state.Incarnation
			return report, nil
		}
		if err := p.fence(ctx, last.session); err != nil {
			return planner.Report{}, err
		}
		last.fenced = ""
	}
}

func (l *poll) close() {
	if l.session == nil {
		return
	}
	// The session is given up either way.
	_ = l.session.Close()
	l.session = nil
}

func (p *pool) closePolls() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, last := range p.polls {
		last.close()
	}
}

// fence presents the token, so that the engine refuses orders of former holders.
func (p *pool) fence(ctx context.Context, session azurehitch.EngineSession) error {
	if sabotage.Active(sabotage.SkipFence) {
		return nil
	}
	return session.Order(ctx, azurehitch.EngineOrder{Kind: azurehitch.OrderFence, Pool: p.name, Token: p.token})
}

func (p *pool) polled(server string, last *poll, report planner.Report, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	last.running = false
	if failed := err != nil; failed != last.failed {
		last.failed = failed
		p.Counters.EngineUnreachable(p.name, server, !failed)
	}
	if err != nil {
		p.plan.Unreachable(server)
	} else {
		p.plan.Observe(server, report, p.Clock.Now())
	}
	p.notify()
}
