package passthrough

import (
	"context"
	"time"

	"azurehitch"
	"azurehitch/internal/forward/router"
	"azurehitch/internal/transport/callerconn"
)

const (
	// startupWindow is the time after the start of a daemon within which it normally reads its
	// first configuration. If it has none by then, the platform is probably unavailable and may
	// stay so.
	startupWindow = 1200 * time.Millisecond
	// maxHoldFraction is the fraction of its caller's remaining time for which a request is held
	// during the startup window.
	maxHoldFraction = 0.25
	// configurationPollInterval is how often a held request checks for a configuration.
	configurationPollInterval = 10 * time.Millisecond
	// unconfiguredRetryAfter is the retry delay of a daemon without a configuration during the
	// startup window, and longUnconfiguredRetryAfter is the retry delay after the window.
	unconfiguredRetryAfter     = 300 * time.Millisecond
	longUnconfiguredRetryAfter = 2 * time.Second
)

// awaitConfiguration returns the current routing table. Without one, it holds a request during the
// startup window of the daemon: when many daemons crash at once, all of their callers reconnect to
// daemons that have just started.
func (r *request) awaitConfiguration() *router.PathIndex {
	index := r.server.Routing()
	if index.Table.Version > 0 {
		return index
	}
	ctx, cancel := context.WithDeadline(r.server.drain.ctx, r.holdDeadline())
	defer cancel()
	unwatch := callerconn.Watch(r.http.Conn(), cancel)
	defer unwatch()
	for index.Table.Version == 0 && r.server.Clock.Sleep(ctx, configurationPollInterval) == nil {
		index = r.server.Routing()
	}
	return index
}

// holdDeadline returns the latest time until which a request waits for the first configuration.
func (r *request) holdDeadline() time.Time {
	end := r.server.startedAt.Add(startupWindow)
	fractionEnd := r.startedAt.Add(time.Duration(maxHoldFraction * float64(r.TimeLeft)))
	if r.TimeLeft > 0 && fractionEnd.Before(end) {
		return fractionEnd
	}
	return end
}

// unconfiguredRefusal returns the refusal of a request while there is no configuration.
func (r *request) unconfiguredRefusal() error {
	retry := unconfiguredRetryAfter
	if r.server.Clock.Now().Sub(r.server.startedAt) >= startupWindow {
		retry = longUnconfiguredRetryAfter
	}
	return azurehitch.Refuse(azurehitch.CodeNotConfigured, "no configuration is known").WithRetryAfter(retry)
}
