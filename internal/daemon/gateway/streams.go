package gateway

import (
	"context"
	"maps"
	"slices"
	"time"

	"azurehitch"
	"azurehitch/internal/forward/router"
	"azurehitch/internal/forward/streamlog"
	"azurehitch/internal/forward/streampeer"
	"azurehitch/internal/forward/streams"
	"azurehitch/internal/membership/daemonrank"
	"azurehitch/internal/membership/fleet"
)

const (
	// versionInterval is how often the software versions in the list of servers are looked at.
	versionInterval = 100 * time.Millisecond
	// listTimeout is how long a request that takes up a stream waits for the first reads of the lists of
	// servers and daemons, which is looked at every listPollInterval.
	listTimeout      = 400 * time.Millisecond
	listPollInterval = 20 * time.Millisecond
	// mixedStagger is the delay per daemon in the ranking of a service before the daemon lists it as mixed. It
	// is shorter than the interval of reads, so that a few daemons do.
	mixedStagger = 200 * time.Millisecond
)

// streamVersions implements passthrough.Streams.
type streamVersions struct {
	*streams.Registry
	*streampeer.Client
}

func (d *Daemon) assembleStreams() {
	d.streams = streams.NewRegistry(d.Clock)
	// The log is not read through the circuit breaker, which takes a stream that is read rarely for one that can be
	// read.
	d.streamLog = streamlog.New(streamlog.Dependencies{
		Keyed: d.Keyed, Stream: originStream, Self: d.settings.Name, Registry: d.streams, Clock: d.Clock,
		Observer: d.observer, Metrics: d.Metrics,
	})
	d.streamPeers = streampeer.NewClient(streampeer.Dependencies{
		Self: d.settings.Name, Daemons: d.members.Names, Address: d.members.Address, Registry: d.streams, Log: d.streamLog, MayBeMixed: d.mayBeMixed,
		Peers: d.peers, Clock: d.Clock, Metrics: d.Metrics,
	})
}

// streamServices returns the services to which resumable streams are routed, with engines or without.
func (d *Daemon) streamServices() []string {
	services := map[string]bool{}
	for _, route := range d.routing.Table().Routes {
		if route.Kind != azurehitch.RequestKindStream || !route.MayRepeat() {
			continue
		}
		for _, service := range router.Services(route) {
			services[service] = true
		}
	}
	return slices.Sorted(maps.Keys(services))
}

// watchVersions records the software versions of the listed servers until the context ends.
func (d *Daemon) watchVersions(ctx context.Context) error {
	var recorded *fleet.View
	var recordedAt time.Time
	for d.Clock.Sleep(ctx, versionInterval) == nil {
		view, now := d.fleet.View(), d.Clock.Now()
		isSame := recorded != nil && recorded.Version == view.Version
		if isSame && now.Sub(recordedAt) < streams.TTL/4 {
			continue
		}
		recorded, recordedAt = view, now
		for _, service := range d.streamServices() {
			d.streams.SawVersions(service, versionsOf(view, service))
		}
	}
	return nil
}

// watchMixedServices lists the services with several software versions in the entry of this daemon until the
// context ends.
func (d *Daemon) watchMixedServices(ctx context.Context) error {
	mixedSince := map[string]time.Time{}
	for d.Clock.Sleep(ctx, versionInterval) == nil {
		if d.routing.Table().Version == 0 {
			// The configuration has not been read.
			continue
		}
		services := d.streamServices()
		var listed []string
		for _, service := range services {
			if d.isMixedListed(service, mixedSince) {
				listed = append(listed, service)
			}
		}
		slices.Sort(listed)
		d.members.SetMixedServices(listed)
	}
	return nil
}

// isMixedListed reports whether this daemon has to list a service as mixed. One daemon suffices: the next one in
// the ranking of the service lists it only if mixedStagger later still no other does.
func (d *Daemon) isMixedListed(service string, mixedSince map[string]time.Time) bool {
	now := d.Clock.Now()
	if !d.streams.IsMixed(service) && !d.wasMixed(service) {
		delete(mixedSince, service)
		return false
	}
	if _, ok := mixedSince[service]; !ok {
		mixedSince[service] = now
	}
	if self, other := d.members.ListsMixed(service); self || other {
		return self
	}
	turn := time.Duration(daemonrank.Index(service, d.settings.Name, d.members.Names())) * mixedStagger
	return now.Sub(mixedSince[service]) >= turn
}

// wasMixed reports whether a service may have had servers of several software versions before this daemon
// started, of which streams may still be taken up.
func (d *Daemon) wasMixed(service string) bool {
	return d.Clock.Now().Sub(d.startedAt) < streams.TTL && d.members.WasMixed(service)
}

// versionsOf returns the software versions of the listed servers of a service.
func versionsOf(view *fleet.View, service string) []string {
	var versions []string
	for _, s := range view.Service(service) {
		versions = append(versions, s.SoftwareVersion)
	}
	return versions
}

// mayBeMixed reports whether servers of several software versions may run now: the list shows them, it
// has not been read, it may lack servers that this daemon has not seen since its start, or daemons had seen
// them before.
func (d *Daemon) mayBeMixed(ctx context.Context, service string) bool {
	isRead := func() bool { return !d.fleet.View().ReadAt.IsZero() && d.members.IsListed() }
	for waited := time.Duration(0); !isRead() && waited < listTimeout; waited += listPollInterval {
		if d.Clock.Sleep(ctx, listPollInterval) != nil {
			return true
		}
	}
	view := d.fleet.View()
	versions := versionsOf(view, service)
	slices.Sort(versions)
	mayLackServers := !view.Complete && d.Clock.Now().Sub(d.startedAt) < streams.TTL
	return view.ReadAt.IsZero() || mayLackServers || d.wasMixed(service) || len(slices.Compact(versions)) > 1
}
