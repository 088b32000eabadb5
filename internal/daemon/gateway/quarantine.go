package gateway

import (
	"context"
	"time"

	"azurehitch"
	"azurehitch/internal/forward/quarantine"
	"azurehitch/internal/forward/quarantinelog"
	"azurehitch/internal/forward/quarantinepeer"
	"azurehitch/internal/transport/connpool"

	"github.com/pkg/errors"
)

// crashCheckTimeout limits the wait for the report of a server that broke off requests.
const crashCheckTimeout = 500 * time.Millisecond

func (d *Daemon) assembleQuarantine() {
	name, daemons := d.settings.Name, d.members.Names
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

// hasEnded reports whether a server that broke off a request has ended. One that is shutting down ends
// as planned, which does not count.
func (d *Daemon) hasEnded(ctx context.Context, server azurehitch.ServerIdentity) bool {
	if listed, ok := d.fleet.View().Server(server.ID); ok && listed.ShuttingDown {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, crashCheckTimeout)
	defer cancel()
	report, err := d.Engines.Report(ctx, server)
	return showsEnd(server, report, err) && ctx.Err() == nil
}

// showsEnd reports whether the result of a call for the report of a server shows that the server has
// ended: nothing answers at its address, or another server does. A server that keeps silent may be cut
// off instead.
func showsEnd(server azurehitch.ServerIdentity, report azurehitch.ServerReport, err error) bool {
	if err == nil {
		return report.Incarnation != 0 && report.Incarnation != server.Incarnation
	}
	var failed *connpool.ErrExchange
	var timeout interface{ Timeout() bool }
	isSilent := errors.As(err, &timeout) && timeout.Timeout()
	return errors.Is(err, azurehitch.ErrOtherServer) || errors.As(err, &failed) && !isSilent
}
