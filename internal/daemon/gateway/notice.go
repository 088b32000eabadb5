package gateway

import (
	"azurehitch"
	"azurehitch/internal/membership/fleet"
	"azurehitch/internal/telemetry/logging"
	"azurehitch/internal/telemetry/metrics"
)

// handleNotice handles the notice that a server attached to a response. If a shutdown notice is new,
// this daemon sends its next reports to the lease holders at once, and they contain the notice. A
// backoff request concerns only this daemon.
func (d *Daemon) handleNotice(server azurehitch.ServerIdentity, notice azurehitch.ServerNotice) {
	if notice.ShuttingDown && d.fleet.AddShutdownNotice(server, fleet.SourceAnswer, d.Clock.Now()) {
		d.holderClient.RequestReports()
	}
	if notice.RateLimit > 0 {
		d.limits.Named(server, notice.RateLimit)
	}
	if notice.Backoff <= 0 {
		return
	}
	until := d.backoffs.BackOff(server, notice.Backoff)
	d.Metrics.Add(metrics.ServerRests, 1)
	d.Logs.Layer(logging.LayerForward).Info().Str("Server", server.ID).Int64("Incarnation", server.Incarnation).
		Dur("Asked", notice.Backoff).Dur("Rest", until.Sub(d.Clock.Now())).Msg("server rests")
}

// LimitChanged implements serverlimit.Observer. The next reports to the lease holders, which contain
// the limit, are sent at once.
func (d *Daemon) LimitChanged(server azurehitch.ServerIdentity, perSecond float64) {
	d.Metrics.Add(metrics.ServerLimits, 1)
	d.Logs.Layer(logging.LayerForward).Info().Str("Server", server.ID).Str("Address", server.Address).
		Int64("Incarnation", server.Incarnation).Float64("RequestsPerSecond", perSecond).Msg("rate limit of a server changed")
	d.holderClient.RequestReports()
}

// unlistedShutdowns returns the servers whose shutdown notices this daemon passes on to the other
// daemons, because the list does not show them as shutting down yet.
func (d *Daemon) unlistedShutdowns() []azurehitch.ServerIdentity {
	return d.fleet.UnlistedShutdowns(d.Clock.Now())
}

// recordShutdowns records servers that announced their shutdown to another daemon.
func (d *Daemon) recordShutdowns(servers []azurehitch.ServerIdentity) {
	for _, s := range servers {
		d.fleet.AddShutdownNotice(s, fleet.SourcePeer, d.Clock.Now())
	}
}
