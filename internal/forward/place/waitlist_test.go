package place_test

import (
	"context"
	"testing"
	"time"

	"azurehitch/internal/forward/place"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"
)

// sleeper is the key of the sleeperChannels in a context.
type sleeper struct{}

// sleeperChannels let a test end each sleep of a request.
type sleeperChannels struct{ asleep, wake chan struct{} }

// gatedClock is a clock on which sleeps end when the test ends them. Its time stands still.
type gatedClock struct{ steppedClock }

// Sleep implements azurehitch.Clock.
func (*gatedClock) Sleep(ctx context.Context, _ time.Duration) error {
	channels := ctx.Value(sleeper{}).(sleeperChannels)
	channels.asleep <- struct{}{}
	<-channels.wake
	return ctx.Err()
}

// TestWaitingOrder covers a patient and an urgent request that wait for a unit of a brittle server at one daemon.
// Each polls for a unit, so without an order the one that polls next gets it.
func TestWaitingOrder(t *testing.T) {
	const slots = 6
	clock := &steppedClock{now: time.Unix(1000, 0)}
	h := newHarness(t, clock, "s1")
	h.makeBrittle(clock, 0, "s1")
	var running []place.Choice
	for i := range slots / 2 {
		choice, err := h.placer.Place(context.Background(), plainRequest(i))
		h.Assert(err, qt.IsNil)
		running = append(running, choice)
	}
	h.placer.Clock = &gatedClock{steppedClock: *clock}
	var group errgroup.Group
	// wait begins a request and returns once it waits. The channel receives its error once it is placed.
	wait := func(id string, urgency int, objective time.Duration) (sleeperChannels, <-chan error) {
		request := plainRequest(0)
		request.ID, request.Urgency, request.Objective = id, urgency, clock.now.Add(objective)
		channels, placed := sleeperChannels{asleep: make(chan struct{}), wake: make(chan struct{})}, make(chan error, 1)
		group.Go(func() error {
			_, err := h.placer.Place(context.WithValue(context.Background(), sleeper{}, channels), request)
			placed <- err
			return nil
		})
		<-channels.asleep
		return channels, placed
	}
	patient, patientPlaced := wait("patient", 2, 6*time.Second)
	urgent, urgentPlaced := wait("urgent", 0, 400*time.Millisecond)
	running[0].End()
	patient.wake <- struct{}{}
	<-patient.asleep
	urgent.wake <- struct{}{}
	h.Assert(<-urgentPlaced, qt.IsNil)
	running[1].End()
	patient.wake <- struct{}{}
	h.Assert(<-patientPlaced, qt.IsNil)
	h.Assert(group.Wait(), qt.IsNil)
}
