package engine

import (
	"context"

	"azurehitch"

	"github.com/pkg/errors"
)

// Hooks simulate network faults between a daemon and engines. Each may be nil.
type Hooks struct {
	// BeforeDial is called for each connection of a caller to a server and for each
	// request for its state; an error makes it fail.
	BeforeDial func(ctx context.Context, caller, server string) error
	// BeforeOrder may delay an order or return an error instead of it.
	BeforeOrder func(ctx context.Context, caller, server string, order azurehitch.EngineOrder) error
	// AfterOrder may return an error instead of the answer to an order that was carried
	// out.
	AfterOrder func(ctx context.Context, caller, server string, order azurehitch.EngineOrder) error
}

// Dialer connects one caller to engines in the same process, by address. It implements
// azurehitch.EngineDialer.
type Dialer struct {
	Caller  string
	Engines map[string]*Engine
	Hooks   *Hooks
}

// Dial implements azurehitch.EngineDialer.
func (d Dialer) Dial(ctx context.Context, address string) (azurehitch.EngineSession, error) {
	e, ok := d.Engines[address]
	if !ok {
		return nil, errors.Errorf("no engine at %s", address)
	}
	if d.Hooks.BeforeDial != nil {
		if err := d.Hooks.BeforeDial(ctx, d.Caller, e.options.Name); err != nil {
			return nil, err
		}
	}
	return &session{dialer: d, engine: e, incarnation: e.Incarnation()}, nil
}

type session struct {
	dialer      Dialer
	engine      *Engine
	incarnation string
}

// State implements azurehitch.EngineSession.
func (s *session) State(ctx context.Context) (azurehitch.EngineState, error) {
	if err := s.linkError(ctx); err != nil {
		return azurehitch.EngineState{}, err
	}
	state := s.engine.State()
	if state.Incarnation != s.incarnation {
		return state, errors.New("connection is closed: engine has restarted")
	}
	return state, nil
}

func (s *session) linkError(ctx context.Context) error {
	if s.dialer.Hooks.BeforeDial == nil {
		return ctx.Err()
	}
	return s.dialer.Hooks.BeforeDial(ctx, s.dialer.Caller, s.engine.options.Name)
}

// Order implements azurehitch.EngineSession.
func (s *session) Order(ctx context.Context, order azurehitch.EngineOrder) error {
	hooks := s.dialer.Hooks
	if hooks.BeforeOrder != nil {
		if err := hooks.BeforeOrder(ctx, s.dialer.Caller, s.engine.options.Name, order); err != nil {
			return s.engine.fail(azurehitch.OrderFailureUnknown, "%v", err)
		}
	}
	if err := s.engine.Order(ctx, s.incarnation, order); err != nil {
		return err
	}
	if hooks.AfterOrder != nil {
		if err := hooks.AfterOrder(ctx, s.dialer.Caller, s.engine.options.Name, order); err != nil {
			return s.engine.fail(azurehitch.OrderFailureUnknown, "%v", err)
		}
	}
	return nil
}

// Close implements azurehitch.EngineSession.
func (s *session) Close() error { return nil }
