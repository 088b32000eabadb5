package poolsim

import (
	"context"
	"slices"
	"time"

	"azurehitch"
	"azurehitch/internal/lease/leaselog"
	"azurehitch/internal/placement/enginepool"
	"azurehitch/internal/placement/planner"
	"azurehitch/internal/standin/engine"

	"github.com/pkg/errors"
)

const frozenPollInterval = 10 * time.Millisecond

var (
	errUnreachable = errors.New("connection is cut")
	errAnswerLost  = errors.New("answer was lost")
)

// waitWhileFrozen blocks while a daemon is frozen.
func (sim *Simulation) waitWhileFrozen(ctx context.Context, daemon string) error {
	for sim.fault(daemon).Frozen {
		if err := (azurehitch.SystemClock{}).Sleep(ctx, frozenPollInterval); err != nil {
			return err
		}
	}
	return ctx.Err()
}

// hooks returns the hooks that inject faults between a daemon and the engines. For a frozen process
// no time passes, so the timeouts of the daemon don't end a freeze. A freeze ends only when the fault
// is removed or lifetime is cancelled.
func (sim *Simulation) hooks(lifetime context.Context) *engine.Hooks {
	return &engine.Hooks{
		BeforeDial: func(ctx context.Context, caller, server string) error {
			if err := sim.waitWhileFrozen(lifetime, caller); err != nil {
				return err
			}
			if slices.Contains(sim.fault(caller).UnreachableEngines, server) {
				return errUnreachable
			}
			return ctx.Err()
		},
		BeforeOrder: func(_ context.Context, caller, server string, order azurehitch.EngineOrder) error {
			if order.Kind == azurehitch.OrderLoad && sim.fault(caller).FreezeBeforeLoad {
				sim.SetFault(caller, Fault{Frozen: true})
			}
			if err := sim.waitWhileFrozen(lifetime, caller); err != nil {
				return err
			}
			if slices.Contains(sim.fault(caller).UnreachableEngines, server) {
				return errUnreachable
			}
			return nil
		},
		AfterOrder: func(_ context.Context, caller, _ string, _ azurehitch.EngineOrder) error {
			if err := sim.waitWhileFrozen(lifetime, caller); err != nil {
				return err
			}
			if sim.fault(caller).LoseOrderAnswers {
				return errAnswerLost
			}
			return nil
		},
	}
}

// faultyLog is the connection of one daemon to the log, with the faults injected for that daemon.
type faultyLog struct {
	sim    *Simulation
	daemon string
	ctx    context.Context
}

func (l *faultyLog) injectFaults(ctx context.Context, operation string) error {
	if err := l.sim.waitWhileFrozen(l.ctx, l.daemon); err != nil {
		return &azurehitch.ErrLog{Operation: operation, Cause: err}
	}
	fault := l.sim.fault(l.daemon)
	if fault.LogUnreachable {
		return &azurehitch.ErrLog{Operation: operation, Cause: errUnreachable}
	}
	if err := (azurehitch.SystemClock{}).Sleep(ctx, fault.LogDelay); err != nil {
		return &azurehitch.ErrLog{Operation: operation, Cause: err}
	}
	return nil
}

// Append implements azurehitch.Log.
func (l *faultyLog) Append(ctx context.Context, stream string, payload []byte) (int64, error) {
	if err := l.injectFaults(ctx, "append"); err != nil {
		return 0, err
	}
	offset, err := l.sim.Log.Append(ctx, stream, payload)
	if err == nil && l.sim.fault(l.daemon).LoseAppendAnswers {
		return 0, &azurehitch.ErrLog{Operation: "append", MayHaveTakenEffect: true, Cause: errAnswerLost}
	}
	return offset, err
}

// Read implements azurehitch.Log.
func (l *faultyLog) Read(ctx context.Context, stream string, from int64, wait time.Duration) (azurehitch.Batch, error) {
	if err := l.injectFaults(ctx, "read"); err != nil {
		return azurehitch.Batch{}, err
	}
	batch, err := l.sim.Log.Read(ctx, stream, from, wait)
	if frozenErr := l.sim.waitWhileFrozen(l.ctx, l.daemon); frozenErr != nil {
		return azurehitch.Batch{}, &azurehitch.ErrLog{Operation: "read", Cause: frozenErr}
	}
	if l.sim.fault(l.daemon).LogUnreachable {
		return azurehitch.Batch{}, &azurehitch.ErrLog{Operation: "read", Cause: errUnreachable}
	}
	return batch, err
}

// noopObserver implements the observers and counters of a daemon without effect.
type noopObserver struct{}

func (noopObserver) LogRead(error)                                             {}
func (noopObserver) HistoryRestored(string)                                    {}
func (noopObserver) EstimateEvaluated(string, enginepool.EstimateResult)       {}
func (noopObserver) LogAppended(error)                                         {}
func (noopObserver) EraChanged(string, int64, int64, int64)                    {}
func (noopObserver) EraStarted(leaselog.EraStart, error)                       {}
func (noopObserver) LoadFinished(string, bool, planner.Outcome, time.Duration) {}
func (noopObserver) UnloadFinished(string, planner.Outcome)                    {}
func (noopObserver) EngineReachable(string, string, bool)                      {}
func (noopObserver) IntentLeftOpen(string)                                     {}
func (noopObserver) PoolHeld(string, int64, bool)                              {}
func (noopObserver) ClaimDecided(bool)                                         {}
func (noopObserver) LeasesRenewed()                                            {}
func (noopObserver) LeaseReleased()                                            {}
