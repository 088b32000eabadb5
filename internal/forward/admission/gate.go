// Package admission limits the requests that one daemon has in progress in one pool, and reserves
// for paying callers the part of the limit that is promised to them. A trial request is a request
// of a free-trial caller.
//
// # Usage
//
//	gate := admission.NewGate()
//	gate.SetLimits(admission.Limits{Total: 8, Trial: 2, Queue: 100})
//	if err := gate.Acquire(ctx, tables.TierPaid); err != nil { ... }
//	defer gate.Release(tables.TierPaid)
package admission

import (
	"context"
	"math"
	"sync"

	"azurehitch"
	"azurehitch/internal/configuration/tables"
	"azurehitch/internal/proof/sabotage"
)

// Limits holds how many requests one daemon may have in progress and waiting in one pool.
type Limits struct {
	// Total is the maximum number of requests in progress.
	Total int
	// Trial is the maximum number of trial requests in progress.
	Trial int
	// Queue is the maximum number of waiting requests of each tier.
	Queue int
}

// Share returns the share of a pool's limits for the daemon with the given rank among all daemons.
// A daemon whose share is 0 may still have one request of a paying caller in progress. The limit of
// the queue is not divided. With a negative rank, for a daemon that is not listed, Share returns
// the limits of the whole pool.
func Share(pool tables.Pool, rank, daemons int) Limits {
	trials := pool.ConcurrentRequests - pool.PromisedToPaid
	if sabotage.Active(sabotage.SkipPromise) {
		trials = pool.ConcurrentRequests
	}
	return Limits{
		Total: max(part(pool.ConcurrentRequests, rank, daemons), 1),
		Trial: part(trials, rank, daemons),
		Queue: pool.QueueLimit,
	}
}

// part divides whole among the daemons; those of the lowest ranks get one more if it does not
// divide evenly.
func part(whole, rank, daemons int) int {
	if daemons <= 1 || rank < 0 {
		return whole
	}
	share := whole / daemons
	if rank < whole%daemons {
		share++
	}
	return share
}

// Gate admits requests within its limits. Requests of paying callers are admitted first.
type Gate struct {
	mu     sync.Mutex
	limits Limits
	// running counts the requests in progress.
	running map[tables.Tier]int
	// queues holds a channel for each waiting request, oldest first, which is closed on admission.
	queues map[tables.Tier][]chan struct{}
}

// NewGate returns a gate that admits nothing until its limits are set.
func NewGate() *Gate {
	return &Gate{running: map[tables.Tier]int{}, queues: map[tables.Tier][]chan struct{}{}}
}

// SetLimits changes the limits. Requests in progress above a lowered limit continue.
func (g *Gate) SetLimits(limits Limits) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if sabotage.Active(sabotage.SkipQueueLimit) {
		limits = Limits{Total: math.MaxInt, Trial: math.MaxInt, Queue: math.MaxInt}
	}
	if g.limits != limits {
		g.limits = limits
		g.admit()
	}
}

// Acquire waits until the request is admitted. The error is an *azurehitch.ErrRefused if the queue
// is full, and the context's error if the context is done first.
func (g *Gate) Acquire(ctx context.Context, tier tables.Tier) error {
	admitted, err := g.enqueue(tier)
	if err != nil {
		return err
	}
	select {
	case <-admitted:
		return nil
	case <-ctx.Done():
		g.withdraw(tier, admitted)
		return ctx.Err()
	}
}

func (g *Gate) enqueue(tier tables.Tier) (chan struct{}, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	admitted := make(chan struct{})
	g.queues[tier] = append(g.queues[tier], admitted)
	g.admit()
	if waiting := len(g.queues[tier]); waiting > g.limits.Queue {
		g.queues[tier] = g.queues[tier][:waiting-1]
		return nil, azurehitch.Refuse(azurehitch.CodeOverloaded, "%d requests are waiting", waiting-1)
	}
	return admitted, nil
}

// withdraw removes a request from the queue, or ends it if it was admitted meanwhile.
func (g *Gate) withdraw(tier tables.Tier, admitted chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for i, other := range g.queues[tier] {
		if other == admitted {
			g.queues[tier] = append(g.queues[tier][:i:i], g.queues[tier][i+1:]...)
			return
		}
	}
	g.running[tier]--
	g.admit()
}

// Release ends an admitted request, so that a waiting one can be admitted.
func (g *Gate) Release(tier tables.Tier) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running[tier]--
	g.admit()
}

func (g *Gate) admit() {
	for g.admitFirst(tables.TierPaid, g.limits.Total) {
	}
	for g.admitFirst(tables.TierTrial, g.limits.Trial) {
	}
}

// admitFirst admits the first waiting request of a tier. It returns false if none waits or a limit
// is reached.
func (g *Gate) admitFirst(tier tables.Tier, limit int) bool {
	queue := g.queues[tier]
	total := g.running[tables.TierPaid] + g.running[tables.TierTrial]
	if len(queue) == 0 || total >= g.limits.Total || g.running[tier] >= limit {
		return false
	}
	close(queue[0])
	g.queues[tier] = queue[1:]
	g.running[tier]++
	return true
}

// Usage returns the numbers of requests in progress and waiting, of all tiers together.
func (g *Gate) Usage() (running, waiting int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, n := range g.running {
		running += n
	}
	for _, queue := range g.queues {
		waiting += len(queue)
	}
	return running, waiting
}
