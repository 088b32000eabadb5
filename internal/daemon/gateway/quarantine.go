package gateway

import (
	"context"

	"azurehitch"
	"azurehitch/internal/forward/crashcheck"
	"azurehitch/internal/forward/quarantine"
	"azurehitch/internal/forward/quarantinelog"
	"azurehitch/internal/forward/quarantinepeer"
)

func (d *Daemon) assembleQuarantine() {
	name, daemons := d.settings.Name, d.members.Names
	d.crashes = d.newCrashChecker()
	d.quarantine = quarantine.New(quarantine.Dependencies{
		Self: name, Daemons: daemons, HasEnded: d.hasEnded, Clock: d.Clock, Observer: d.observer,
	})
	d.quarantinePeers = quarantinepeer.NewClient(quarantinepeer.Dependencies{
		Self: name, Daemons: daemons, Address: d.members.Address, Tracker: d.quarantine, Peers: d.peers, Clock: d.Clock, Metrics: d.Metrics,
	})
	d.quarantineLog = quarantinelog.New(quarantinelog.Dependencies{
		Keyed: d.breakerLog, Stream: quarantineStream, Self: name, Daemons: daemons, Tracker: d.quarantine, Clock: d.Clock, Observer: d.observer,
	})
}

func (d *Daemon) newCrashChecker() *crashcheck.Checker {
	return crashcheck.New(crashcheck.Dependencies{
		Report: d.Engines.Report, IsCutOff: d.isCutOff, IsReachedByOthers: d.isReachedByOthers,
		Servers: func() []azurehitch.FleetServer { return d.fleet.View().Servers() },
	})
}

// isReachedByOthers reports whether another daemon connects to a server, and this one does not.
func (d *Daemon) isReachedByOthers(ctx context.Context, server azurehitch.ServerIdentity) bool {
	conn, err := d.paths.Dial(ctx, server.Address)
	if err != nil {
		return false
	}
	conn.Close()
	return d.paths.IsBlocked(server.Address)
}

// hasEnded reports whether a server that broke off a request has ended. One that is shutting down ends
// as planned, which does not count.
func (d *Daemon) hasEnded(ctx context.Context, server azurehitch.ServerIdentity) bool {
	if listed, ok := d.fleet.View().Server(server.ID); ok && listed.ShuttingDown {
		return false
	}
	return d.crashes.HasCrashed(ctx, server)
}
