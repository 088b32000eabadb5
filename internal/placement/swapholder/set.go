package swapholder

import (
	"context"
	"sync"

	"azurehitch/internal/placement/swap"
	"azurehitch/internal/telemetry/logging"

	"golang.org/x/sync/errgroup"
)

// ErrNotHeld reports that this daemon does not hold the lease of a service.
type ErrNotHeld struct{ Service string }

// Error implements error.
func (e *ErrNotHeld) Error() string {
	return "this daemon does not hold the lease of service " + e.Service
}

// Set contains a holder for each service that this daemon holds.
type Set struct {
	Dependencies
	refusals *staleRefusals
	// unanswered are the orders without an answer of all holders.
	unanswered *unansweredOrders
	mu         sync.Mutex
	holders    map[string]*holder
}

// NewSet returns an empty set.
func NewSet(dependencies Dependencies) *Set {
	return &Set{Dependencies: dependencies, refusals: newStaleRefusals(), unanswered: newUnansweredOrders(), holders: map[string]*holder{}}
}

// Run starts a holder for each lease that this daemon acquires, until the context ends. A holder
// stops by itself when its lease is lost.
func (s *Set) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		for ctx.Err() == nil {
			changed := s.LeaseChanged()
			s.startHolders(ctx, group)
			select {
			case <-changed:
			case <-ctx.Done():
			}
		}
		return nil
	})
	return group.Wait()
}

func (s *Set) startHolders(ctx context.Context, group *errgroup.Group) {
	for name, service := range s.Routing().Services {
		if service.Engine == nil {
			continue
		}
		token, _ := s.Token(name)
		if current := s.holder(name); token == 0 || current != nil && current.token == token {
			continue
		}
		h := newHolder(s.Dependencies, name, token, s.refusals, s.unanswered)
		s.set(h)
		group.Go(func() error {
			s.Logs.Layer(logging.LayerLease).Info().Str("Service", name).Int64("Token", token).Msg("lease held")
			err := h.run(ctx)
			s.Logs.Layer(logging.LayerLease).Info().Str("Service", name).Int64("Token", token).Msg("lease no longer held")
			s.drop(h)
			return err
		})
	}
}

func (s *Set) holder(service string) *holder {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.holders[service]
}

func (s *Set) set(h *holder) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.holders[h.service] = h
}

func (s *Set) drop(h *holder) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.holders[h.service] == h {
		delete(s.holders, h.service)
	}
}

func (s *Set) held(service string) (*holder, error) {
	h := s.holder(service)
	if h == nil || !h.isHeld() {
		return nil, &ErrNotHeld{Service: service}
	}
	return h, nil
}

// AwaitOrders waits until no order for a service is in flight. It returns an error if the context
// ends first.
func (s *Set) AwaitOrders(ctx context.Context, service string) error {
	h := s.holder(service)
	if h == nil {
		return nil
	}
	return h.awaitOrders(ctx)
}

// RequestReplica returns the verdict on a request within a bounded time. On swap.VerdictWaiting,
// the caller repeats the request. The error is *ErrNotHeld if this daemon does not hold the
// service.
func (s *Set) RequestReplica(ctx context.Context, service string, request swap.Request) (swap.Verdict, error) {
	h, err := s.held(service)
	if err != nil {
		return swap.Verdict{}, err
	}
	return h.awaitVerdict(ctx, request), nil
}

// Report records the demand of a daemon and the requests that it withdraws. The error is *ErrNotHeld if this
// daemon does not hold the service.
func (s *Set) Report(service, daemon string, demand swap.Demand, withdrawn []string) (swap.DemandAnswer, error) {
	h, err := s.held(service)
	if err != nil {
		return swap.DemandAnswer{}, err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.plan.SetDemand(daemon, demand, h.Clock.Now())
	for _, id := range withdrawn {
		h.plan.Withdraw(id)
	}
	h.wakeUp()
	return swap.DemandAnswer{Pinned: h.plan.PinnedReplicas(), Awaited: h.plan.AwaitedServers()}, nil
}
