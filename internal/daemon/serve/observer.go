package serve

import (
	"sync"
	"time"

	"azurehitch/internal/placement/enginepool"
	"azurehitch/internal/placement/planner"
	"azurehitch/internal/telemetry/logging"
	"azurehitch/internal/telemetry/metrics"
)

// observer counts what the parts of the daemon report, and logs changes of state.
type observer struct {
	metrics *metrics.Metrics
	logs    *logging.Logs
	mu      sync.Mutex
	// working is whether the last call of each outside system succeeded.
	working map[string]bool
}

func newObserver(m *metrics.Metrics, logs *logging.Logs) *observer {
	return &observer{metrics: m, logs: logs, working: map[string]bool{}}
}

// LogRead implements follow.Observer.
func (o *observer) LogRead(err error) {
	o.metrics.Add(metrics.LogReads, 1)
	if err != nil {
		o.metrics.Add(metrics.LogReadErrors, 1)
	}
	o.noteState(logging.LayerLog, "log reads", err)
}

// LogAppended implements follow.Observer.
func (o *observer) LogAppended(err error) {
	o.metrics.Add(metrics.LogAppends, 1)
	if err != nil {
		o.metrics.Add(metrics.LogAppendErrors, 1)
	}
	o.noteState(logging.LayerLog, "log appends", err)
}

// HostListRead implements hostwatch.Observer.
func (o *observer) HostListRead(err error) {
	if err != nil {
		o.metrics.Add(metrics.HostListErrors, 1)
	}
	o.noteState(logging.LayerMembership, "host list", err)
}

// noteState logs when a system stops or starts to work.
func (o *observer) noteState(layer logging.Layer, system string, err error) {
	o.mu.Lock()
	before, known := o.working[system]
	o.working[system] = err == nil
	o.mu.Unlock()
	switch {
	case err != nil && (before || !known):
		o.logs.Layer(layer).Warn().Str("System", system).Err(err).Msg("fails")
	case err == nil && known && !before:
		o.logs.Layer(layer).Info().Str("System", system).Msg("works again")
	}
}

// BreakerOpened implements backend.Observer.
func (o *observer) BreakerOpened(server string) {
	o.metrics.AddLabeled(metrics.BreakersOpened, server, 1)
	o.logs.Layer(logging.LayerForward).Warn().Str("Server", server).Msg("circuit breaker opened")
}

// LoadFinished implements enginepool.Counters.
func (o *observer) LoadFinished(pool string, remote bool, outcome planner.Outcome, took time.Duration) {
	switch outcome {
	case planner.OutcomeDone:
		o.metrics.AddLabeled(metrics.LoadsDone, pool, 1)
	case planner.OutcomeRefused:
		o.metrics.AddLabeled(metrics.LoadsRefused, pool, 1)
	default:
		o.metrics.AddLabeled(metrics.LoadsUnknown, pool, 1)
	}
	o.logs.Layer(logging.LayerPlacement).Debug().Str("Pool", pool).Bool("Remote", remote).
		Str("Outcome", string(outcome)).Dur("Took", took).Msg("load finished")
}

// LoadScheduled implements loadslots.Observer.
func (o *observer) LoadScheduled(alone bool) {
	o.metrics.Add(metrics.LoadSlotsGranted, 1)
	if alone {
		o.metrics.Add(metrics.LoadSlotsAlone, 1)
	}
}

// UnloadFinished implements enginepool.Counters.
func (o *observer) UnloadFinished(pool string, outcome planner.Outcome) {
	if outcome == planner.OutcomeDone {
		o.metrics.AddLabeled(metrics.UnloadsDone, pool, 1)
		return
	}
	o.metrics.AddLabeled(metrics.UnloadsFailed, pool, 1)
}

// EngineUnreachable implements enginepool.Counters.
func (o *observer) EngineUnreachable(pool, server string, reached bool) {
	message := "engine does not answer"
	if reached {
		message = "engine answers again"
	}
	o.logs.Layer(logging.LayerPlacement).Warn().Str("Pool", pool).Str("Server", server).Msg(message)
}

// IntentLeftOpen implements enginepool.Counters.
func (o *observer) IntentLeftOpen(pool string) {
	o.metrics.AddLabeled(metrics.IntentsLeftOpen, pool, 1)
}

// PoolHeld implements enginepool.Counters.
func (o *observer) PoolHeld(pool string, token int64, held bool) {
	change, message := int64(1), "pool held"
	if !held {
		change, message = -1, "pool no longer held"
	}
	o.metrics.Add(metrics.PoolsHeld, change)
	o.logs.Layer(logging.LayerLease).Info().Str("Pool", pool).Int64("Token", token).Msg(message)
}

// HistoryLearnt implements enginepool.Counters.
func (o *observer) HistoryLearnt(string) { o.metrics.Add(metrics.HistoriesLearnt, 1) }

// EstimateEnded implements enginepool.Counters.
func (o *observer) EstimateEnded(_ string, end enginepool.EstimateEnd) {
	o.metrics.AddLabeled(metrics.EstimatesEnded, string(end), 1)
}

// ClaimSettled implements leaserunner.Counters.
func (o *observer) ClaimSettled(won bool) {
	if won {
		o.metrics.Add(metrics.LeaseClaimsWon, 1)
		return
	}
	o.metrics.Add(metrics.LeaseClaimsLost, 1)
}

// LeasesRenewed implements leaserunner.Counters.
func (o *observer) LeasesRenewed() { o.metrics.Add(metrics.LeaseRenewals, 1) }

// LeaseReleased implements leaserunner.Counters.
func (o *observer) LeaseReleased() { o.metrics.Add(metrics.LeaseReleases, 1) }
