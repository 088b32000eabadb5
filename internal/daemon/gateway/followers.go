package gateway

import (
	"slices"
	"time"

	"azurehitch/internal/oplog/compacted"
)

// routingPace and fleetPace are the read rates of the streams of the routing table and of the server
// entries. confirmingPace replaces them at a holder that confirms its read positions to the other
// daemons; its interval bounds the calls where the entries of many servers change all the time.
var (
	routingPace    = compacted.Pace{Wait: 1500 * time.Millisecond}
	fleetPace      = compacted.Pace{Wait: time.Second, Interval: 850 * time.Millisecond}
	confirmingPace = compacted.Pace{Wait: 300 * time.Millisecond, Interval: 150 * time.Millisecond}
)

func (d *Daemon) assembleFollowers() {
	stream, _ := d.Platform.Routing.Stream()
	// The age of the keys must grow during a suspension, so this follower has the lease clock.
	d.routingFollower = compacted.NewAdaptiveFollower(d.breakerLog, stream, d.routing, d.LeaseClock, d.observer,
		compacted.Paces{Normal: d.routingPace(), Confirming: confirmingPace, IsConfirming: d.isConfirming})
	d.fleetFollower = compacted.NewAdaptiveFollower(d.breakerLog, d.Platform.Fleet.Stream(), d.fleet, d.Clock, d.observer,
		compacted.Paces{Normal: fleetPace, Confirming: confirmingPace, IsConfirming: d.isConfirming})
}

// isConfirming reports whether this daemon confirms its read positions to the other daemons:
// it holds a service, and there are at least Settings.ConfirmFrom daemons. It then reads the
// streams more often.
func (d *Daemon) isConfirming() bool {
	return d.daemonCount() >= d.settings.ConfirmFrom && slices.ContainsFunc(d.engineServices(), func(service string) bool {
		return d.store.Lease(service).Holder == d.self
	})
}

// positionsToConfirm returns the read positions of this daemon in the streams that all daemons
// follow; none if it doesn't confirm them to others.
func (d *Daemon) positionsToConfirm() []compacted.Position {
	if !d.isConfirming() {
		return nil
	}
	var positions []compacted.Position
	for _, f := range d.sharedFollowers() {
		if position, ok := f.Position(); ok {
			positions = append(positions, position)
		}
	}
	return positions
}

// recordPositions records the read positions that a holder sent in reply to a request of askedAt.
func (d *Daemon) recordPositions(positions []compacted.Position, askedAt time.Time) {
	sinceAsked := d.Clock.Now().Sub(askedAt)
	for _, p := range positions {
		if d.settings.MaxConfigurationAge == 0 || d.settings.MaxConfigurationAge >= minConfirmedAge {
			d.routingFollower.ConfirmPosition(p, d.LeaseClock.Now().Add(-sinceAsked))
		}
		d.fleetFollower.ConfirmPosition(p, askedAt)
	}
}

// configurationAge returns the time for which the configuration in force has not been confirmed.
func (d *Daemon) configurationAge() time.Duration {
	return d.LeaseClock.Now().Sub(d.routingFollower.CurrentAsOf())
}

// minConfirmedAge is the lowest MaxConfigurationAge with which confirmations replace reads of the routing stream. The
// keys are up to 2 s old with them, because a confirmation counts from before its read.
const minConfirmedAge = 3 * time.Second

// readsPerConfigurationAge is the number of reads of the routing stream that end within the largest age of the
// configuration: a read that takes long must not make the keys too old while the store answers.
const readsPerConfigurationAge = 4

// routingPace returns the pace at which the routing stream is read.
func (d *Daemon) routingPace() compacted.Pace {
	pace := routingPace
	if d.settings.MaxConfigurationAge > 0 {
		pace.Wait = min(pace.Wait, d.settings.MaxConfigurationAge/readsPerConfigurationAge)
	}
	return pace
}

// sharedFollowers returns the followers of the streams in which a holder confirms its positions.
func (d *Daemon) sharedFollowers() []*compacted.Follower {
	return []*compacted.Follower{d.routingFollower, d.fleetFollower}
}
