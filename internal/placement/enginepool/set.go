package enginepool

import (
	"context"
	"sync"

	"azurehitch/internal/placement/planner"

	"golang.org/x/sync/errgroup"
)

// Set holds a runner for each pool whose lease this daemon holds, by pool name.
type Set struct {
	Dependencies
	mu    sync.Mutex
	pools map[string]*pool
}

// NewSet returns a set without pools.
func NewSet(dependencies Dependencies) *Set {
	return &Set{Dependencies: dependencies, pools: map[string]*pool{}}
}

// ErrNotHeld is returned if this daemon does not hold the lease of a pool.
type ErrNotHeld struct{ Pool string }

// Error implements error.
func (e *ErrNotHeld) Error() string { return "this daemon does not hold pool " + e.Pool }

// Run starts a runner for each pool whose lease this daemon holds, until the context ends.
// A runner stops when the daemon loses the lease.
func (s *Set) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		for ctx.Err() == nil {
			changed := s.Store.Changed()
			s.startRunners(ctx, group)
			select {
			case <-changed:
			case <-ctx.Done():
			}
		}
		return nil
	})
	return group.Wait()
}

func (s *Set) startRunners(ctx context.Context, group *errgroup.Group) {
	for _, setting := range s.Store.LeasedPools() {
		token, _ := s.Store.Token(setting.Name)
		if token == 0 || s.isRunning(setting.Name, token) {
			continue
		}
		p := s.start(setting.Name, token)
		group.Go(func() error {
			err := p.run(ctx)
			s.remove(p)
			return err
		})
	}
}

func (s *Set) isRunning(name string, token int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	p, ok := s.pools[name]
	return ok && p.token == token
}

func (s *Set) start(name string, token int64) *pool {
	p := newPool(s.Dependencies, name, token)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pools[name] = p
	s.Counters.PoolHeld(name, token, true)
	return p
}

func (s *Set) remove(p *pool) {
	p.mu.Lock()
	p.notify()
	p.mu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pools[p.name] == p {
		delete(s.pools, p.name)
		s.Counters.PoolHeld(p.name, p.token, false)
	}
}

// Wake makes the runner of a pool take its next step at once.
func (s *Set) Wake(pool string) {
	s.mu.Lock()
	p, ok := s.pools[pool]
	s.mu.Unlock()
	if ok {
		p.wakeUp()
	}
}

// Acquire waits for a replica in a pool that this daemon holds. It returns *ErrNotHeld if
// the daemon does not hold the pool, and *azurehitch.ErrRefused if the request is refused.
func (s *Set) Acquire(ctx context.Context, request Request) (Grant, error) {
	s.mu.Lock()
	p, ok := s.pools[request.Pool]
	s.mu.Unlock()
	if !ok || !p.isHeld() {
		return Grant{}, &ErrNotHeld{Pool: request.Pool}
	}
	return p.acquire(ctx, request)
}

// Status is the state of a held pool, for operators.
type Status struct {
	Pool  string
	Token int64
	// Valid is false once the lease has expired.
	Valid bool
	// Waiting is the number of requests that wait for a replica.
	Waiting int
	Servers []planner.Usage
}

// Status returns the status of each held pool.
func (s *Set) Status() []Status {
	var statuses []Status
	for _, setting := range s.Store.LeasedPools() {
		s.mu.Lock()
		p, ok := s.pools[setting.Name]
		s.mu.Unlock()
		if ok {
			statuses = append(statuses, p.status())
		}
	}
	return statuses
}

func (p *pool) status() Status {
	_, valid := p.Store.Token(p.name)
	p.mu.Lock()
	defer p.mu.Unlock()
	return Status{
		Pool: p.name, Token: p.token, Valid: valid,
		Waiting: p.plan.WaitingRequests(p.Clock.Now()), Servers: p.plan.Usage(),
	}
}
