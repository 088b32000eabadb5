package poolworld

import (
	"context"
	"slices"
	"time"

	"azurehitch"
	"azurehitch/internal/placement/enginepool"
	"azurehitch/internal/placement/planner"
	"azurehitch/internal/standin/engine"

	"github.com/pkg/errors"
)

const frozenPoll = 10 * time.Millisecond

var (
	errCut  = errors.New("connection is cut")
	errLost = errors.New("answer was lost")
)

// thaw waits while a daemon is frozen.
func (w *World) thaw(ctx context.Context, daemon string) error {
	for w.fault(daemon).Frozen {
		if err := (azurehitch.SystemClock{}).Sleep(ctx, frozenPoll); err != nil {
			return err
		}
	}
	return ctx.Err()
}

// hooks are the faults between a daemon and the engines. A frozen daemon's time
// does not pass, so its own timeouts do not end the wait: only its death does.
func (w *World) hooks(life context.Context) *engine.Hooks {
	return &engine.Hooks{
		BeforeDial: func(ctx context.Context, caller, server string) error {
			if err := w.thaw(life, caller); err != nil {
				return err
			}
			if slices.Contains(w.fault(caller).EnginesCut, server) {
				return errCut
			}
			return ctx.Err()
		},
		BeforeOrder: func(_ context.Context, caller, server string, order azurehitch.EngineOrder) error {
			if order.Kind == azurehitch.OrderLoad && w.fault(caller).FreezeAtLoad {
				w.SetFault(caller, Fault{Frozen: true})
			}
			if err := w.thaw(life, caller); err != nil {
				return err
			}
			if slices.Contains(w.fault(caller).EnginesCut, server) {
				return errCut
			}
			return nil
		},
		AfterOrder: func(_ context.Context, caller, _ string, _ azurehitch.EngineOrder) error {
			if err := w.thaw(life, caller); err != nil {
				return err
			}
			if w.fault(caller).LoseOrders {
				return errLost
			}
			return nil
		},
	}
}

// faultyLog is the log as one daemon reaches it.
type faultyLog struct {
	world  *World
	daemon string
	ctx    context.Context
}

func (l *faultyLog) enter(ctx context.Context, operation string) error {
	if err := l.world.thaw(l.ctx, l.daemon); err != nil {
		return &azurehitch.ErrLog{Operation: operation, Cause: err}
	}
	fault := l.world.fault(l.daemon)
	if fault.LogCut {
		return &azurehitch.ErrLog{Operation: operation, Cause: errCut}
	}
	if err := (azurehitch.SystemClock{}).Sleep(ctx, fault.LogDelay); err != nil {
		return &azurehitch.ErrLog{Operation: operation, Cause: err}
	}
	return nil
}

// Append implements azurehitch.Log.
func (l *faultyLog) Append(ctx context.Context, stream string, payload []byte) (int64, error) {
	if err := l.enter(ctx, "append"); err != nil {
		return 0, err
	}
	offset, err := l.world.Log.Append(ctx, stream, payload)
	if err == nil && l.world.fault(l.daemon).LoseAppends {
		return 0, &azurehitch.ErrLog{Operation: "append", MayHaveTakenEffect: true, Cause: errLost}
	}
	return offset, err
}

// Read implements azurehitch.Log.
func (l *faultyLog) Read(ctx context.Context, stream string, from int64, wait time.Duration) (azurehitch.Batch, error) {
	if err := l.enter(ctx, "read"); err != nil {
		return azurehitch.Batch{}, err
	}
	batch, err := l.world.Log.Read(ctx, stream, from, wait)
	if thawErr := l.world.thaw(l.ctx, l.daemon); thawErr != nil {
		return azurehitch.Batch{}, &azurehitch.ErrLog{Operation: "read", Cause: thawErr}
	}
	if l.world.fault(l.daemon).LogCut {
		return azurehitch.Batch{}, &azurehitch.ErrLog{Operation: "read", Cause: errCut}
	}
	return batch, err
}

// quiet implements the observers with nothing.
type quiet struct{}

func (quiet) LogRead(error)                                             {}
func (quiet) HistoryLearnt(string)                                      {}
func (quiet) EstimateEnded(string, enginepool.EstimateEnd)              {}
func (quiet) LogAppended(error)                                         {}
func (quiet) LoadFinished(string, bool, planner.Outcome, time.Duration) {}
func (quiet) UnloadFinished(string, planner.Outcome)                    {}
func (quiet) EngineUnreachable(string, string, bool)                    {}
func (quiet) IntentLeftOpen(string)                                     {}
func (quiet) PoolHeld(string, int64, bool)                              {}
func (quiet) ClaimSettled(bool)                                         {}
func (quiet) LeasesRenewed()                                            {}
func (quiet) LeaseReleased()                                            {}
