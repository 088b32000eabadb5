package gateway

import (
	"context"
	"slices"
	"time"

	"azurehitch/internal/forward/streampeer"
	"azurehitch/internal/forward/streams"
	"azurehitch/internal/membership/fleet"
)

const (
	// versionInterval is how often the software versions in the list of servers are looked at.
	versionInterval = 100 * time.Millisecond
	// listTimeout is how long a request that takes up a stream waits for the first read of the list of
	// servers, which is looked at every listPollInterval.
	listTimeout      = 400 * time.Millisecond
	listPollInterval = 20 * time.Millisecond
)

// streamVersions implements passthrough.Streams.
type streamVersions struct {
	*streams.Registry
	*streampeer.Client
}

func (d *Daemon) assembleStreams() {
	d.streams = streams.NewRegistry(d.Clock)
	d.streamPeers = streampeer.NewClient(streampeer.Dependencies{
		Self: d.settings.Name, Daemons: d.members.Names, Address: d.members.Address, Registry: d.streams, MayBeMixed: d.mayBeMixed,
		Peers: d.peers, Clock: d.Clock, Metrics: d.Metrics,
	})
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
		for _, service := range d.engineServices() {
			d.streams.SawVersions(service, versionsOf(view, service))
		}
	}
	return nil
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
// has not been read, or it may lack servers that this daemon has not seen since its start.
func (d *Daemon) mayBeMixed(ctx context.Context, service string) bool {
	for waited := time.Duration(0); d.fleet.View().ReadAt.IsZero() && waited < listTimeout; waited += listPollInterval {
		if d.Clock.Sleep(ctx, listPollInterval) != nil {
			return true
		}
	}
	view := d.fleet.View()
	versions := versionsOf(view, service)
	slices.Sort(versions)
	mayLackServers := !view.Complete && d.Clock.Now().Sub(d.startedAt) < streams.TTL
	return view.ReadAt.IsZero() || mayLackServers || len(slices.Compact(versions)) > 1
}
