// Package observe counts what the parts of a daemon that speak to the platform report, and
// logs when the platform is lost or regained.
//
// # Usage
//
//	observer := observe.New(metrics, logs)
//	follower := follow.NewFollower(log, "control", fold, clock, observer)
package observe

import (
	"sync"

	"azurehitch/internal/telemetry/logging"
	"azurehitch/internal/telemetry/metrics"
)

// Observer implements what the log, the leases and keyed streams report to.
type Observer struct {
	Metrics *metrics.Metrics
	Logs    *logging.Logs

	mu sync.Mutex
	// failing is whether the last call of each dependency failed.
	failing map[string]bool
}

// New returns an observer for which nothing has failed.
func New(m *metrics.Metrics, logs *logging.Logs) *Observer {
	return &Observer{Metrics: m, Logs: logs, failing: map[string]bool{}}
}

// LogRead implements follow.Observer.
func (o *Observer) LogRead(err error) {
	o.Metrics.Add(metrics.LogReads, 1)
	o.Note(logging.LayerLog, "log reads", err, metrics.LogReadErrors)
}

// LogAppended implements follow.Observer.
func (o *Observer) LogAppended(err error) {
	o.Metrics.Add(metrics.LogAppends, 1)
	o.Note(logging.LayerLog, "log appends", err, metrics.LogAppendErrors)
}

// StreamRead implements compacted.Observer.
func (o *Observer) StreamRead(stream string, err error) {
	o.Metrics.Add(metrics.StoreReads, 1)
	o.Note(logging.LayerLog, "stream "+stream, err, metrics.StoreReadErrors)
}

// Note counts a failure of a dependency, and logs when it stops or starts to work.
func (o *Observer) Note(layer logging.Layer, dependency string, err error, counter metrics.Name) {
	if err != nil {
		o.Metrics.Add(counter, 1)
	}
	o.mu.Lock()
	before := o.failing[dependency]
	o.failing[dependency] = err != nil
	o.mu.Unlock()
	switch {
	case err != nil && !before:
		o.Logs.Layer(layer).Warn().Str("Dependency", dependency).Err(err).Msg("dependency lost")
	case err == nil && before:
		o.Logs.Layer(layer).Info().Str("Dependency", dependency).Msg("dependency regained")
	}
}

// ClaimSettled implements leaserunner.Counters.
func (o *Observer) ClaimSettled(won bool) {
	if won {
		o.Metrics.Add(metrics.LeaseClaimsWon, 1)
		return
	}
	o.Metrics.Add(metrics.LeaseClaimsLost, 1)
}

// LeasesRenewed implements leaserunner.Counters.
func (o *Observer) LeasesRenewed() { o.Metrics.Add(metrics.LeaseRenewals, 1) }

// LeaseReleased implements leaserunner.Counters.
func (o *Observer) LeaseReleased() { o.Metrics.Add(metrics.LeaseReleases, 1) }

// IntentLeftOpen implements leaserunner.Counters.
func (o *Observer) IntentLeftOpen(pool string) {
	o.Metrics.AddLabeled(metrics.IntentsLeftOpen, pool, 1)
}
