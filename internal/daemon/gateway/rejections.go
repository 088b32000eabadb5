package gateway

import (
	"azurehitch"
	"azurehitch/internal/forward/rejectbudget"
	"azurehitch/internal/telemetry/logging"
	"azurehitch/internal/telemetry/metrics"
)

// newRejections returns the tracker of the rejections by brittle servers.
func (d *Daemon) newRejections() *rejectbudget.Tracker {
	return rejectbudget.New(rejectbudget.Dependencies{
		Self: d.settings.Name, Daemons: d.listedDaemons,
		Server:  func(id string) (azurehitch.FleetServer, bool) { return d.fleet.View().Server(id) },
		Service: func(name string) []azurehitch.FleetServer { return d.fleet.View().Service(name) },
		Clock:   d.Clock, Observer: d.observer,
	})
}

// listedDaemons returns the names of all daemons; none before they have been read.
func (d *Daemon) listedDaemons() []string {
	if !d.members.IsListed() {
		return nil
	}
	return d.members.Names()
}

// BrittlenessChanged implements rejectbudget.Observer.
func (o *observer) BrittlenessChanged(server azurehitch.ServerIdentity, b rejectbudget.Brittleness) {
	o.Metrics.Add(metrics.BrittleChanges, 1)
	o.Logs.Layer(logging.LayerForward).Info().Str("Server", server.ID).Str("Address", server.Address).
		Int64("Incarnation", server.Incarnation).Bool("Brittle", b.IsBrittle).Int("RejectionsPerSecond", b.Allowance).
		Msg("brittleness of a server changed")
}

// BrittleServerRejected implements rejectbudget.Observer.
func (o *observer) BrittleServerRejected(azurehitch.ServerIdentity) {
	o.Metrics.Add(metrics.BrittleRejections, 1)
}
