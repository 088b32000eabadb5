package serve

import (
	"time"

	"azurehitch/internal/daemon/observe"
	"azurehitch/internal/placement/enginepool"
	"azurehitch/internal/placement/planner"
	"azurehitch/internal/telemetry/logging"
	"azurehitch/internal/telemetry/metrics"
)

// observer counts the events that the parts of the daemon report, and logs changes of state.
type observer struct{ *observe.Observer }

func newObserver(m *metrics.Metrics, logs *logging.Logs) *observer {
	return &observer{Observer: observe.New(m, logs)}
}

// HostListRead implements hostwatch.Observer.
func (o *observer) HostListRead(err error) {
	o.RecordCall(logging.LayerMembership, "host list", err, metrics.HostListErrors)
}

// BreakerOpened implements backend.Observer.
func (o *observer) BreakerOpened(server string) {
	o.Metrics.AddLabeled(metrics.BreakersOpened, server, 1)
	o.Logs.Layer(logging.LayerForward).Warn().Str("Server", server).Msg("circuit breaker opened")
}

// LoadFinished implements enginepool.Counters.
func (o *observer) LoadFinished(pool string, remote bool, outcome planner.Outcome, took time.Duration) {
	switch outcome {
	case planner.OutcomeDone:
		o.Metrics.AddLabeled(metrics.LoadsDone, pool, 1)
	case planner.OutcomeRefused:
		o.Metrics.AddLabeled(metrics.LoadsRefused, pool, 1)
	default:
		o.Metrics.AddLabeled(metrics.LoadsUnknown, pool, 1)
	}
	o.Logs.Layer(logging.LayerPlacement).Debug().Str("Pool", pool).Bool("Remote", remote).
		Str("Outcome", string(outcome)).Dur("Took", took).Msg("load finished")
}

// LoadScheduled implements loadslots.Observer.
func (o *observer) LoadScheduled(alone bool) {
	o.Metrics.Add(metrics.LoadSlotsGranted, 1)
	if alone {
		o.Metrics.Add(metrics.LoadSlotsAlone, 1)
	}
}

// UnloadFinished implements enginepool.Counters.
func (o *observer) UnloadFinished(pool string, outcome planner.Outcome) {
	if outcome == planner.OutcomeDone {
		o.Metrics.AddLabeled(metrics.UnloadsDone, pool, 1)
		return
	}
	o.Metrics.AddLabeled(metrics.UnloadsFailed, pool, 1)
}

// EngineReachable implements enginepool.Counters.
func (o *observer) EngineReachable(pool, server string, reachable bool) {
	message := "engine does not answer"
	if reachable {
		message = "engine answers again"
	}
	o.Logs.Layer(logging.LayerPlacement).Warn().Str("Pool", pool).Str("Server", server).Msg(message)
}

// PoolHeld implements enginepool.Counters.
func (o *observer) PoolHeld(pool string, token int64, held bool) {
	change, message := int64(1), "pool held"
	if !held {
		change, message = -1, "pool no longer held"
	}
	o.Metrics.Add(metrics.PoolsHeld, change)
	o.Logs.Layer(logging.LayerLease).Info().Str("Pool", pool).Int64("Token", token).Msg(message)
}

// HistoryRestored implements enginepool.Counters.
func (o *observer) HistoryRestored(string) { o.Metrics.Add(metrics.HistoriesLearnt, 1) }

// EstimateEvaluated implements enginepool.Counters.
func (o *observer) EstimateEvaluated(_ string, result enginepool.EstimateResult) {
	o.Metrics.AddLabeled(metrics.EstimatesEnded, string(result), 1)
}
