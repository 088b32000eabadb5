package swapholder

import (
	"context"
	"sync"

	"azurehitch/internal/placement/swap"
	"azurehitch/internal/telemetry/logging"

	"golang.org/x/sync/errgroup"
)

// ErrNotHeld says that this daemon does not hold a service.
type ErrNotHeld struct{ Service string }

// Error implements error.
func (e *ErrNotHeld) Error() string { return "this daemon does not hold service " + e.Service }

// Set is the services that this daemon holds.
type Set struct {
	Dependencies
	mu      sync.Mutex
	holders map[string]*holder
}

// NewSet returns a set without services.
func NewSet(dependencies Dependencies) *Set {
	return &Set{Dependencies: dependencies, holders: map[string]*holder{}}
}

// Run starts and stops holders as the leases change, until the context ends.
func (s *Set) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		for ctx.Err() == nil {
			changed := s.LeaseChanged()
			s.startHeld(ctx, group)
			select {
			case <-changed:
			case <-ctx.Done():
			}
		}
		return nil
	})
	return group.Wait()
}

func (s *Set) startHeld(ctx context.Context, group *errgroup.Group) {
	for name, service := range s.Routing().Services {
		if service.Engine == nil {
			continue
		}
		token, _ := s.Token(name)
		if current := s.holder(name); token == 0 || current != nil && current.token == token {
			continue
		}
		h := newHolder(s.Dependencies, name, token)
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

// Settle waits until no order for a service is on its way, or the context ends.
func (s *Set) Settle(ctx context.Context, service string) error {
	h := s.holder(service)
	if h == nil {
		return nil
	}
	return h.settle(ctx)
}

// Ask answers a need within some time. A verdict to wait means to ask again.
func (s *Set) Ask(ctx context.Context, service string, need swap.Need) (swap.Verdict, error) {
	h, err := s.held(service)
	if err != nil {
		return swap.Verdict{}, err
	}
	return h.ask(ctx, need), nil
}

// Report takes in the demand of a daemon, and returns the replicas that stay.
func (s *Set) Report(service, daemon string, demand swap.Demand, withdrawn []string) ([]swap.Kept, error) {
	h, err := s.held(service)
	if err != nil {
		return nil, err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.plan.Report(daemon, demand, h.Clock.Now())
	for _, id := range withdrawn {
		h.plan.Withdraw(id)
	}
	h.wakeUp()
	return h.plan.Kept(), nil
}
