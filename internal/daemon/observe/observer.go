// Package observe counts the calls of a daemon to its dependencies and the changes of its leases,
// and logs when a dependency starts or stops failing.
//
// # Usage
//
//	observer := observe.New(metrics, logs)
//	follower := follow.NewFollower(log, "control", fold, clock, observer)
package observe

import (
	"strconv"
	"sync"

	"azurehitch/internal/lease/leaselog"
	"azurehitch/internal/oplog/control"
	"azurehitch/internal/telemetry/logging"
	"azurehitch/internal/telemetry/metrics"
)

// Observer implements the observers of the log, of the leases and of keyed streams. It is safe for
// concurrent use.
type Observer struct {
	Metrics *metrics.Metrics
	Logs    *logging.Logs

	mu sync.Mutex
	// failing records for each dependency whether its last call failed.
	failing map[string]bool
}

// New returns an observer without failing dependencies.
func New(m *metrics.Metrics, logs *logging.Logs) *Observer {
	return &Observer{Metrics: m, Logs: logs, failing: map[string]bool{}}
}

// LogRead implements follow.Observer.
func (o *Observer) LogRead(err error) {
	o.Metrics.Add(metrics.LogReads, 1)
	o.RecordCall(logging.LayerLog, "log reads", err, metrics.LogReadErrors)
}

// LogAppended implements follow.Observer.
func (o *Observer) LogAppended(err error) {
	o.Metrics.Add(metrics.LogAppends, 1)
	o.RecordCall(logging.LayerLog, "log appends", err, metrics.LogAppendErrors)
}

// StreamRead implements compacted.Observer.
func (o *Observer) StreamRead(stream string, err error) {
	o.Metrics.Add(metrics.StoreReads, 1)
	o.RecordCall(logging.LayerLog, "stream "+stream, err, metrics.StoreReadErrors)
}

// EraChanged implements compacted.Observer. A log that names its era for the first time is no change of state.
func (o *Observer) EraChanged(stream string, before, after, next int64) {
	if before == 0 {
		return
	}
	o.Metrics.AddLabeled(metrics.LogEras, stream, 1)
	o.Logs.Layer(logging.LayerLog).Warn().Str("Stream", stream).Int64("Before", before).Int64("After", after).
		Int64("Next", next).Msg("era of the log changed: it may lack what it had acknowledged")
}

// RecordCall records the result of a call to a dependency. It counts a failure, and logs when the
// dependency starts or stops failing.
func (o *Observer) RecordCall(layer logging.Layer, dependency string, err error, counter metrics.Name) {
	if err != nil {
		o.Metrics.Add(counter, 1)
	}
	o.mu.Lock()
	wasFailing := o.failing[dependency]
	o.failing[dependency] = err != nil
	o.mu.Unlock()
	switch {
	case err != nil && !wasFailing:
		o.Logs.Layer(layer).Warn().Str("Dependency", dependency).Err(err).Msg("dependency lost")
	case err == nil && wasFailing:
		o.Logs.Layer(layer).Info().Str("Dependency", dependency).Msg("dependency regained")
	}
}

// ClaimDecided implements leaserunner.Counters.
func (o *Observer) ClaimDecided(won bool) {
	if won {
		o.Metrics.Add(metrics.LeaseClaimsWon, 1)
		return
	}
	o.Metrics.Add(metrics.LeaseClaimsLost, 1)
}

// EraStarted implements leaserunner.Counters.
func (o *Observer) EraStarted(start leaselog.EraStart, err error) {
	o.Logs.Layer(logging.LayerLease).Warn().Int64("Era", start.Era).Int64("Above", start.Above).Int64("Gap", start.Gap).
		Bool("First", start.IsFirst).Err(err).Msg("era started: leases of earlier eras are not valid")
}

// LeaseFolded implements control.Observer.
func (o *Observer) LeaseFolded(event control.LeaseEvent) {
	o.Logs.Layer(logging.LayerLease).Info().Str("Event", string(event.Kind)).Str("Service", event.Pool).
		Str("Holder", event.Writer.Daemon).Str("Incarnation", event.Writer.Incarnation).Int64("Era", event.Position.Era).
		Int64("Offset", event.Position.Offset).Int64("Seen", event.Seen).Str("HolderBefore", event.Before.Holder.Daemon).
		Int64("TokenBefore", event.Before.Token).Int64("LastOffset", event.Before.LastOffset).Msg("lease record folded")
}

// FoldDigested implements control.Observer.
func (o *Observer) FoldDigested(at control.Position, digest uint64) {
	o.Logs.Layer(logging.LayerLease).Info().Int64("Era", at.Era).Int64("Offset", at.Offset).
		Str("Digest", strconv.FormatUint(digest, 16)).Msg("fold of the leases")
}

// FoldReplaced implements control.Observer.
func (o *Observer) FoldReplaced(at control.Position, source control.FoldSource) {
	o.Metrics.AddLabeled(metrics.FoldsReplaced, string(source), 1)
	o.Logs.Layer(logging.LayerLease).Warn().Int64("Era", at.Era).Int64("Offset", at.Offset).Str("Source", string(source)).
		Msg("leases are folded from here on")
}

// LeasesRenewed implements leaserunner.Counters.
func (o *Observer) LeasesRenewed() { o.Metrics.Add(metrics.LeaseRenewals, 1) }

// LeaseReleased implements leaserunner.Counters.
func (o *Observer) LeaseReleased() { o.Metrics.Add(metrics.LeaseReleases, 1) }

// IntentLeftOpen implements leaserunner.Counters.
func (o *Observer) IntentLeftOpen(pool string) {
	o.Metrics.AddLabeled(metrics.IntentsLeftOpen, pool, 1)
}
