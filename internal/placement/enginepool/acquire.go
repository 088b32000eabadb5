package enginepool

import (
	"context"
	"time"

	"azurehitch"
	"azurehitch/internal/configuration/tables"
	"azurehitch/internal/placement/planner"
)

const (
	// grantValidity is how long a daemon may use the granted replicas before it requests
	// them again.
	grantValidity = time.Second
	// demandRefreshInterval is how often a waiting request reports its demand to the plan again,
	// since reported demand expires.
	demandRefreshInterval = time.Second
	// answerMargin is the time reserved before a deadline to return the refusal to the
	// caller.
	answerMargin = 50 * time.Millisecond
	// defaultRetryAfter is the retry delay of a refusal when no estimate exists.
	defaultRetryAfter = 2 * time.Second
)

// Request is a request of one daemon to the holder of a pool for the ready replicas of an artifact.
// Demand says how many requests of API callers the daemon has for the artifact.
type Request struct {
	Pool     string
	Daemon   string
	Artifact azurehitch.Artifact
	Demand   planner.Demand
}

// Grant is the answer to a Request: the servers with a ready replica, to which the daemon may send
// requests for a limited time.
type Grant struct {
	Servers []tables.BackendServer
	// Token is the fencing token of the holder; 0 if the servers were found without a holder.
	Token int64
	// ValidFor is how long the grant may be used before it is requested again.
	ValidFor time.Duration
	// Waited is how long the holder waited for the first replica to become ready; about zero if
	// one was ready already.
	Waited time.Duration
}

// acquire waits until a replica is ready. It refuses the request at once if the estimated
// wait exceeds the deadline, and otherwise shortly before the deadline. If this daemon
// loses the pool meanwhile, it returns *ErrNotHeld.
func (p *pool) acquire(ctx context.Context, request Request) (Grant, error) {
	waitStart := p.Clock.Now()
	for isFirstTry := true; ; isFirstTry = false {
		if !p.isHeld() {
			return Grant{}, &ErrNotHeld{Pool: p.name}
		}
		grant, changed, err := p.tryAcquire(ctx, request, waitStart, isFirstTry)
		if changed == nil {
			if err == nil && !isFirstTry {
				p.Counters.EstimateEvaluated(p.name, EstimateRight)
			}
			return grant, err
		}
		if err := p.waitForChange(ctx, changed); err != nil {
			p.Counters.EstimateEvaluated(p.name, EstimateTooShort)
			return Grant{}, p.refuse(request, "no replica became ready in time")
		}
	}
}

// tryAcquire returns a grant if a replica is ready, or refuses if the estimated wait exceeds the
// deadline. Otherwise it returns a channel that is closed when the state of the pool changes, after
// which the caller tries again. The estimate is checked only on the first try, when the wait begins.
func (p *pool) tryAcquire(ctx context.Context, request Request, waitStart time.Time, isFirstTry bool) (Grant, <-chan struct{}, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Clock.Now()
	demand := request.Demand
	demand.Deadline, _ = ctx.Deadline()
	p.plan.SetDemand(request.Daemon, request.Artifact, demand, now)
	if servers := p.plan.ReadyServers(request.Artifact); len(servers) > 0 {
		return Grant{Servers: servers, Token: p.token, ValidFor: grantValidity, Waited: now.Sub(waitStart)}, nil, nil
	}
	if estimate, known := p.estimate(request.Artifact); known && isFirstTry {
		if deadline, ok := ctx.Deadline(); ok && now.Add(estimate).After(deadline) {
			p.trackRefusedWait(request.Artifact, deadline)
			refusal := azurehitch.Refuse(azurehitch.CodeDeadlineTooShort,
				"%v takes about %v to load", request.Artifact, estimate.Round(time.Millisecond))
			return Grant{}, nil, refusal.WithRetryAfter(estimate)
		}
	}
	p.wakeUp()
	return Grant{}, p.changed, nil
}

// waitForChange waits until the state of the pool changes or demandRefreshInterval has passed. It
// returns an error if the context ends, or answerMargin before its deadline.
func (p *pool) waitForChange(ctx context.Context, changed <-chan struct{}) error {
	if deadline, ok := ctx.Deadline(); ok {
		limited, cancel := context.WithDeadline(ctx, deadline.Add(-answerMargin))
		defer cancel()
		ctx = limited
	}
	if err := ctx.Err(); err != nil {
		return err
	}
	refresh := time.NewTimer(demandRefreshInterval)
	defer refresh.Stop()
	select {
	case <-changed:
	case <-refresh.C:
	case <-ctx.Done():
		return ctx.Err()
	}
	return nil
}

// refuse returns a refusal with the estimated load time as retry delay.
func (p *pool) refuse(request Request, reason string) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	retryAfter, known := p.estimate(request.Artifact)
	if !known {
		retryAfter = defaultRetryAfter
	}
	return azurehitch.Refuse(azurehitch.CodeNoCapacity, "%v: %s", request.Artifact, reason).WithRetryAfter(retryAfter)
}

// estimate returns how long an artifact takes to become ready, based on the observed load times and
// the loads from the weight store that come first. It returns false without an observed load time.
func (p *pool) estimate(artifact azurehitch.Artifact) (time.Duration, bool) {
	ahead := p.plan.LoadsAhead(artifact)
	queued, concurrent, known := p.Slots.LoadsAhead(p.name, artifact.WithoutAdapter())
	if !known {
		queued = ahead.RemoteLoads
	}
	return p.loadTimes.estimate(artifact, ahead, queued, concurrent)
}

// loadTimes holds the moving averages of model load times, from the weight store and from
// cached checkpoints.
type loadTimes struct {
	weightStore time.Duration
	cached      time.Duration
}

// smoothing is the weight of the previous average in the moving average.
const smoothing = 0.8

func (t *loadTimes) observe(action planner.Action, took time.Duration) {
	if action.Artifact.Adapter != "" {
		return
	}
	average := &t.cached
	if action.Remote {
		average = &t.weightStore
	}
	if *average == 0 {
		*average = took
		return
	}
	*average = time.Duration(smoothing*float64(*average) + (1-smoothing)*float64(took))
}

// estimate returns the expected time to load an artifact; queued is the number of loads from the weight
// store before it, concurrent of which run at a time. It returns false if no load time is known, and
// for an adapter whose base model is ready.
func (t *loadTimes) estimate(artifact azurehitch.Artifact, ahead planner.LoadsAhead, queued, concurrent int) (time.Duration, bool) {
	if ahead.BaseReady && artifact.Adapter != "" {
		return 0, false
	}
	if !ahead.Remote {
		return t.cached, t.cached > 0
	}
	rounds := 1 + queued/max(concurrent, 1)
	return time.Duration(rounds) * t.weightStore, t.weightStore > 0
}
