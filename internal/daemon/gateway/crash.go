package gateway

import (
	"context"
	"net"
	"time"

	"azurehitch"
	"azurehitch/internal/transport/connpool"

	"github.com/pkg/errors"
)

// crashCheckTimeout limits the wait for the report of a server that broke off requests.
const crashCheckTimeout = 500 * time.Millisecond

// hasEnded reports whether a server that broke off a request has ended: nothing answers at its
// address, or another server does. A server that keeps silent may be cut off, and one that is
// shutting down ends as planned; neither counts as ended.
func (d *Daemon) hasEnded(ctx context.Context, server azurehitch.ServerIdentity) bool {
	if listed, ok := d.fleet.View().Server(server.ID); ok && listed.ShuttingDown {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, crashCheckTimeout)
	defer cancel()
	report, err := d.Engines.Report(ctx, server)
	if err == nil {
		return report.Incarnation != 0 && report.Incarnation != server.Incarnation
	}
	var failed *connpool.ErrExchange
	var netErr net.Error
	isSilent := ctx.Err() != nil || errors.As(err, &netErr) && netErr.Timeout()
	return errors.Is(err, azurehitch.ErrOtherServer) || errors.As(err, &failed) && !isSilent
}
