package gateway

import (
	"context"
	"time"

	"azurehitch/internal/forward/streampeer"
	"azurehitch/internal/forward/streams"
	"azurehitch/internal/membership/fleet"
)

// versionInterval is how often the software versions in the list of servers are looked at.
const versionInterval = 100 * time.Millisecond

// streamVersions implements passthrough.Streams.
type streamVersions struct {
	*streams.Registry
	*streampeer.Client
}

func (d *Daemon) assembleStreams() {
	d.streams = streams.NewRegistry(d.Clock)
	d.streamPeers = streampeer.NewClient(streampeer.Dependencies{
		Self: d.settings.Name, Daemons: d.members.Names, Address: d.members.Address, Registry: d.streams, Peers: d.peers,
		Clock: d.Clock, Metrics: d.Metrics,
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
			var versions []string
			for _, s := range view.Service(service) {
				versions = append(versions, s.SoftwareVersion)
			}
			d.streams.SawVersions(service, versions)
		}
	}
	return nil
}
