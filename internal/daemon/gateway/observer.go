package gateway

import (
	"sync"

	"azurehitch"
	"azurehitch/internal/membership/fleet"
	"azurehitch/internal/telemetry/logging"
	"azurehitch/internal/telemetry/metrics"
)

// observer counts what the parts of the daemon report, and logs changes of belief.
type observer struct {
	metrics *metrics.Metrics
	logs    *logging.Logs

	mu sync.Mutex
	// failing is whether the last call of each outside system failed.
	failing map[string]bool
}

func newObserver(m *metrics.Metrics, logs *logging.Logs) *observer {
	return &observer{metrics: m, logs: logs, failing: map[string]bool{}}
}

// LogRead implements follow.Observer.
func (o *observer) LogRead(err error) {
	o.metrics.Add(metrics.LogReads, 1)
	o.note("control stream, reads", err, metrics.LogReadErrors)
}

// LogAppended implements follow.Observer.
func (o *observer) LogAppended(err error) {
	o.metrics.Add(metrics.LogAppends, 1)
	o.note("control stream, appends", err, metrics.LogAppendErrors)
}

// StreamRead implements keyed.Observer.
func (o *observer) StreamRead(stream string, err error) {
	o.metrics.Add(metrics.StoreReads, 1)
	o.note("stream "+stream, err, metrics.StoreReadErrors)
}

// note counts a failure, and logs when a system stops or starts to work.
func (o *observer) note(system string, err error, counter metrics.Name) {
	if err != nil {
		o.metrics.Add(counter, 1)
	}
	o.mu.Lock()
	before := o.failing[system]
	o.failing[system] = err != nil
	o.mu.Unlock()
	logger := o.logs.Layer(logging.LayerLog)
	switch {
	case err != nil && !before:
		logger.Warn().Str("Dependency", system).Err(err).Msg("dependency lost")
	case err == nil && before:
		logger.Info().Str("Dependency", system).Msg("dependency regained")
	}
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

// IntentLeftOpen implements leaserunner.Counters.
func (o *observer) IntentLeftOpen(string) { o.metrics.Add(metrics.IntentsLeftOpen, 1) }

// TableChanged implements routing.Observer.
func (o *observer) TableChanged(table azurehitch.RoutingTable) {
	o.metrics.Add(metrics.ConfigurationChanges, 1)
	o.metrics.Set(metrics.ConfigurationVersion, table.Version)
	o.logs.Layer(logging.LayerConfiguration).Info().Int64("Version", table.Version).Int("Routes", len(table.Routes)).
		Int("Services", len(table.Services)).Msg("configuration in force")
}

// TableUnreadable implements routing.Observer.
func (o *observer) TableUnreadable(err error) {
	o.metrics.Set(metrics.ConfigurationUnreadable, 1)
	o.logs.Layer(logging.LayerConfiguration).Error().Err(err).Msg("configuration can't be read: the last one stays in force")
}

// ServerChanged implements fleet.Observer.
func (o *observer) ServerChanged(server azurehitch.FleetServer, change fleet.Change) {
	o.logs.Layer(logging.LayerMembership).Info().Str("Server", server.ID).Str("Service", server.Service).
		Str("Address", server.Address).Str("FailureDomain", server.FailureDomain).Int64("Incarnation", server.Incarnation).
		Str("Change", string(change)).Dur("Remaining", server.RemainingTime).Int("Models", len(server.Loaded)).
		Int("OnDisk", len(server.Cached.OnDisk)).Int("InMemory", len(server.Cached.InMemory)).Msg("server changed")
}

// EntryUnreadable implements fleet.Observer.
func (o *observer) EntryUnreadable(id string, err error) {
	o.metrics.Add(metrics.RecordsDamaged, 1)
	o.logs.Layer(logging.LayerMembership).Warn().Str("Server", id).Err(err).Msg("entry names no server")
}
