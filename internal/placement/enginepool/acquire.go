package enginepool

import (
	"context"
	"time"

	"azurehitch"
	"azurehitch/internal/configuration/tables"
	"azurehitch/internal/placement/planner"
)

const (
	// viewValidity is how long a daemon may use the granted replicas before it
	// asks again.
	viewValidity = time.Second
	// demandRefresh is how often a waiter renews its demand.
	demandRefresh = time.Second
	// answerMargin is kept of a deadline to bring the refusal to the caller.
	answerMargin = 50 * time.Millisecond
	// defaultRetryAfter is told when no estimate exists.
	defaultRetryAfter = 2 * time.Second
)

// Request asks for the replicas of an artifact on behalf of one daemon.
type Request struct {
	Pool     string
	Daemon   string
	Artifact azurehitch.Artifact
	Demand   planner.Demand
}

// Grant is the replicas that requests may go to.
type Grant struct {
	Servers []tables.BackendServer
	Token   int64
	// ValidFor is how long the grant may be used before it is asked for anew.
	ValidFor time.Duration
	// Waited is how long the replica took to become ready.
	Waited time.Duration
}

// acquire waits until a replica is ready. It refuses as soon as the estimated
// wait exceeds the deadline, and at the deadline at the latest. When the pool goes
// to another holder meanwhile, it returns *ErrNotHeld.
func (p *pool) acquire(ctx context.Context, request Request) (Grant, error) {
	began := p.Clock.Now()
	for first := true; ; first = false {
		if !p.isHeld() {
			return Grant{}, &ErrNotHeld{Pool: p.name}
		}
		grant, changed, err := p.tryAcquire(ctx, request, began, first)
		if changed == nil {
			if err == nil && !first {
				p.Counters.EstimateEnded(p.name, EstimateRight)
			}
			return grant, err
		}
		if err := p.await(ctx, changed); err != nil {
			p.Counters.EstimateEnded(p.name, EstimateTooShort)
			return Grant{}, p.refuse(request, "no replica became ready in time")
		}
	}
}

// tryAcquire returns a nil channel when the answer is final. The estimate is held
// against the deadline once, when the wait begins.
func (p *pool) tryAcquire(ctx context.Context, request Request, began time.Time, first bool) (Grant, <-chan struct{}, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Clock.Now()
	demand := request.Demand
	demand.Deadline, _ = ctx.Deadline()
	p.plan.Want(request.Daemon, request.Artifact, demand, now)
	if servers := p.plan.Ready(request.Artifact); len(servers) > 0 {
		return Grant{Servers: servers, Token: p.token, ValidFor: viewValidity, Waited: now.Sub(began)}, nil, nil
	}
	if estimate, known := p.estimate(request.Artifact); known && first {
		if deadline, ok := ctx.Deadline(); ok && now.Add(estimate).After(deadline) {
			p.followUp(request.Artifact, deadline)
			refusal := azurehitch.Refuse(azurehitch.CodeDeadlineTooShort,
				"%v takes about %v to load", request.Artifact, estimate.Round(time.Millisecond))
			return Grant{}, nil, refusal.WithRetryAfter(estimate)
		}
	}
	p.wakeUp()
	return Grant{}, p.changed, nil
}

func (p *pool) await(ctx context.Context, changed <-chan struct{}) error {
	if deadline, ok := ctx.Deadline(); ok {
		limited, cancel := context.WithDeadline(ctx, deadline.Add(-answerMargin))
		defer cancel()
		ctx = limited
	}
	if err := ctx.Err(); err != nil {
		return err
	}
	refresh := time.NewTimer(demandRefresh)
	defer refresh.Stop()
	select {
	case <-changed:
	case <-refresh.C:
	case <-ctx.Done():
		return ctx.Err()
	}
	return nil
}

func (p *pool) refuse(request Request, reason string) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	retry, known := p.estimate(request.Artifact)
	if !known {
		retry = defaultRetryAfter
	}
	return azurehitch.Refuse(azurehitch.CodeNoCapacity, "%v: %s", request.Artifact, reason).WithRetryAfter(retry)
}

// estimate returns how long an artifact takes to become ready, from the load
// times seen so far and the loads ahead of it.
func (p *pool) estimate(artifact azurehitch.Artifact) (time.Duration, bool) {
	ahead := p.plan.LoadsAhead(artifact)
	queued, concurrent, known := p.Slots.Ahead(p.name, artifact.WithoutAdapter())
	if !known {
		queued = ahead.Remotes
	}
	return p.times.estimate(artifact, ahead, queued, concurrent)
}

// loadTimes is the moving average of the load times of models.
type loadTimes struct {
	remote time.Duration
	local  time.Duration
}

// smoothing is the weight of the past in the moving average.
const smoothing = 0.8

func (t *loadTimes) observe(action planner.Action, took time.Duration) {
	if action.Artifact.Adapter != "" {
		return
	}
	average := &t.local
	if action.Remote {
		average = &t.remote
	}
	if *average == 0 {
		*average = took
		return
	}
	*average = time.Duration(smoothing*float64(*average) + (1-smoothing)*float64(took))
}

func (t *loadTimes) estimate(artifact azurehitch.Artifact, ahead planner.LoadsAhead, queued, concurrent int) (time.Duration, bool) {
	if ahead.BaseReady && artifact.Adapter != "" {
		return 0, false
	}
	if !ahead.Remote {
		return t.local, t.local > 0
	}
	rounds := 1 + queued/max(concurrent, 1)
	return time.Duration(rounds) * t.remote, t.remote > 0
}
