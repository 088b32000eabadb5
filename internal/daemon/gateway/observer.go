package gateway

import (
	"time"

	"azurehitch"
	"azurehitch/internal/account/directory"
	"azurehitch/internal/daemon/observe"
	"azurehitch/internal/forward/quarantine"
	"azurehitch/internal/membership/fleet"
	"azurehitch/internal/telemetry/logging"
	"azurehitch/internal/telemetry/metrics"
	"azurehitch/internal/transport/tunnelpeer"
)

// observer counts the events that the parts of the daemon report, and logs changes of state.
type observer struct{ *observe.Observer }

func newObserver(m *metrics.Metrics, logs *logging.Logs) *observer {
	return &observer{Observer: observe.New(m, logs)}
}

// TableChanged implements routing.Observer.
func (o *observer) TableChanged(table azurehitch.RoutingTable, sinceRead time.Duration) {
	o.Metrics.Add(metrics.ConfigurationChanges, 1)
	o.Metrics.Set(metrics.ConfigurationVersion, table.Version)
	o.Logs.Layer(logging.LayerConfiguration).Info().Int64("Version", table.Version).Int("Routes", len(table.Routes)).
		Int("Services", len(table.Services)).Int("Accounts", len(table.Accounts)).Dur("SinceRead", sinceRead).Msg("configuration in force")
	for _, fault := range directory.New(table.Accounts).Faults() {
		o.Logs.Layer(logging.LayerConfiguration).Error().Int64("Version", table.Version).Int("Entry", fault.Position).
			Str("Account", fault.Account).Str("Reason", fault.Reason).Msg("account entry is invalid")
	}
}

// TableUnreadable implements routing.Observer.
func (o *observer) TableUnreadable(err error) {
	o.Metrics.Set(metrics.ConfigurationUnreadable, 1)
	o.Logs.Layer(logging.LayerConfiguration).Error().Err(err).Msg("configuration can't be read: the last one stays in force")
}

// ServerChanged implements fleet.Observer.
func (o *observer) ServerChanged(server azurehitch.FleetServer, change fleet.Change) {
	o.Logs.Layer(logging.LayerMembership).Info().Str("Server", server.ID).Str("Service", server.Service).
		Str("Address", server.Address).Str("FailureDomain", server.FailureDomain).Int64("Incarnation", server.Incarnation).
		Str("SoftwareVersion", server.SoftwareVersion).Str("Change", string(change)).Dur("Remaining", server.RemainingTime).
		Int("Models", len(server.Loaded)).
		Int("OnDisk", len(server.Cached.OnDisk)).Int("InMemory", len(server.Cached.InMemory)).Msg("server changed")
}

// ShutdownNoticed implements fleet.Observer.
func (o *observer) ShutdownNoticed(server azurehitch.ServerIdentity, source fleet.Source) {
	o.Metrics.AddLabeled(metrics.LeavesSaid, string(source), 1)
	o.Logs.Layer(logging.LayerMembership).Info().Str("Server", server.ID).Str("Address", server.Address).
		Int64("Incarnation", server.Incarnation).Str("Source", string(source)).Msg("server says that it leaves")
}

// EntryUnreadable implements fleet.Observer.
func (o *observer) EntryUnreadable(id string, err error) {
	o.Metrics.Add(metrics.RecordsDamaged, 1)
	o.Logs.Layer(logging.LayerMembership).Warn().Str("Server", id).Err(err).Msg("entry names no server")
}

// ServerCrashed implements quarantine.Observer.
func (o *observer) ServerCrashed(crash quarantine.Crash) {
	o.Metrics.Add(metrics.ServerCrashes, 1)
	ids := map[quarantine.Kind][]string{}
	for _, s := range crash.Suspects[:min(len(crash.Suspects), maxLoggedSuspects)] {
		ids[s.Kind] = append(ids[s.Kind], s.ID)
	}
	o.Logs.Layer(logging.LayerForward).Warn().Str("Server", crash.Server.ID).Str("Service", crash.Service).
		Int64("Incarnation", crash.Server.Incarnation).Dur("Age", crash.Age).Strs("SuspectRequests", ids[quarantine.KindRequest]).
		Strs("SuspectParts", ids[quarantine.KindPart]).Msg("server crashed")
}

// maxLoggedSuspects limits the suspects in the log line of a crash.
const maxLoggedSuspects = 32

// SubjectHeld implements quarantine.Observer.
func (o *observer) SubjectHeld(subject quarantine.Subject, source quarantine.Source) {
	o.Logs.Layer(logging.LayerForward).Warn().Str("Kind", string(subject.Kind)).Str("Service", subject.Service).Str("ID", subject.ID).
		Str("Source", string(source)).Msg("requests held: they crash servers")
}

// SubjectReleased implements quarantine.Observer.
func (o *observer) SubjectReleased(subject quarantine.Subject, source quarantine.Source) {
	o.Logs.Layer(logging.LayerForward).Warn().Str("Kind", string(subject.Kind)).Str("Service", subject.Service).Str("ID", subject.ID).
		Str("Source", string(source)).Msg("held requests released")
}

// SubjectTried implements quarantine.Observer.
func (o *observer) SubjectTried(subject quarantine.Subject, trials int) {
	counter := metrics.PartTrials
	if subject.Kind == quarantine.KindRequest {
		counter = metrics.RequestTrials
	}
	o.Metrics.Add(counter, 1)
	o.Logs.Layer(logging.LayerForward).Warn().Str("Kind", string(subject.Kind)).Str("Service", subject.Service).Str("ID", subject.ID).
		Int("Trials", trials).Msg("held request sent as a trial")
}

// PathBlocked implements serverpath.Observer.
func (o *observer) PathBlocked(address string, cause error) {
	o.Metrics.Add(metrics.PathsBlocked, 1)
	o.Logs.Layer(logging.LayerForward).Warn().Str("Address", address).Err(cause).Msg("path to a server is blocked: others reach it")
}

// PathOpen implements serverpath.Observer.
func (o *observer) PathOpen(address string, blockedFor time.Duration) {
	o.Logs.Layer(logging.LayerForward).Info().Str("Address", address).Dur("BlockedFor", blockedFor).Msg("path to a server is open again")
}

// CutOffChanged implements serverpath.Observer.
func (o *observer) CutOffChanged(isCutOff bool) {
	value := int64(0)
	if isCutOff {
		value = 1
	}
	o.Metrics.Set(metrics.CutOff, value)
	o.Logs.Layer(logging.LayerForward).Warn().Bool("CutOff", isCutOff).Msg("reach of the servers changed")
}

// tunnelAsked counts the outcome of an attempt to open a tunnel through another daemon.
func (o *observer) tunnelAsked(outcome tunnelpeer.Outcome) {
	o.Metrics.AddLabeled(metrics.TunnelsAsked, string(outcome), 1)
}

// tunnelServed counts the outcome of a tunnel that another daemon asked for.
func (o *observer) tunnelServed(outcome tunnelpeer.Outcome) {
	o.Metrics.AddLabeled(metrics.TunnelsServed, string(outcome), 1)
}
