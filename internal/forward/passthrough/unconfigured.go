package passthrough

import (
	"context"
	"time"

	"azurehitch"
	"azurehitch/internal/forward/router"
	"azurehitch/internal/transport/callerconn"
)

const (
	// firstMoments is how long after its start a daemon may be about to learn its first
	// configuration. Later, the platform must be away, and will be for longer.
	firstMoments = 1200 * time.Millisecond
	// firstPart is the part of its caller's time for which a request is held then.
	firstPart = 0.25
	// unconfiguredPause is how often a held request looks for a configuration.
	unconfiguredPause = 10 * time.Millisecond
	// unconfiguredRetry tells when to come back to a daemon that knows no configuration.
	unconfiguredRetry     = 300 * time.Millisecond
	longUnconfiguredRetry = 2 * time.Second
)

// awaitTable returns the routing table in force. A request that comes in the first moments of the
// daemon is held until there is one: after many daemons have lost their processes at once, all of
// their callers come to daemons that have only just started.
func (r *request) awaitTable() *router.PathIndex {
	index := r.server.Routing()
	if index.Table.Version > 0 {
		return index
	}
	ctx, cancel := context.WithDeadline(r.server.placing, r.holdEnd())
	defer cancel()
	unlink := callerconn.Watch(r.http.Conn(), cancel)
	defer unlink()
	for index.Table.Version == 0 && r.server.Clock.Sleep(ctx, unconfiguredPause) == nil {
		index = r.server.Routing()
	}
	return index
}

// holdEnd is until when a request waits for the first configuration.
func (r *request) holdEnd() time.Time {
	end := r.server.began.Add(firstMoments)
	part := r.began.Add(time.Duration(firstPart * float64(r.TimeLeft)))
	if r.TimeLeft > 0 && part.Before(end) {
		return part
	}
	return end
}

// unconfigured is the refusal of a request while no configuration is known.
func (r *request) unconfigured() error {
	retry := unconfiguredRetry
	if r.server.Clock.Now().Sub(r.server.began) >= firstMoments {
		retry = longUnconfiguredRetry
	}
	return azurehitch.Refuse(azurehitch.CodeNotConfigured, "no configuration is known").WithRetryAfter(retry)
}
