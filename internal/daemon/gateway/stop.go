package gateway

import (
	"context"
	"maps"
	"slices"
	"time"

	"azurehitch/internal/forward/drain"
	"azurehitch/internal/telemetry/logging"

	"golang.org/x/sync/errgroup"
)

const (
	releaseTimeout = time.Second
	// stopInterval is how often a planned stop looks at the requests in progress.
	stopInterval = 20 * time.Millisecond
	// maxLoggedEstimates limits the routes in the log line of a planned stop.
	maxLoggedEstimates = 32
)

// stopStep is a step of a planned stop.
type stopStep string

// The steps of a planned stop, in order.
const (
	stepAccepting stopStep = "Accepting"
	// stepRefusing is the step in which the load balancer sends no new requests any more.
	stepRefusing  stopStep = "Refusing"
	stepCanceling stopStep = "Canceling"
	stepDone      stopStep = "Done"
)

// plannedStop is a planned stop in progress.
type plannedStop struct {
	*Daemon
	// pendingSince is the earliest time at which the signal to stop may have come, and noticedAt
	// is when it noticed that, both on the LeaseClock.
	pendingSince time.Time
	noticedAt    time.Time
	step         stopStep
	// heldUpUntil is when the process last went on late, on the Clock; zero if it never did.
	heldUpUntil time.Time
}

// stop makes the planned stop. It releases the leases at once, so that other daemons take them over
// while the load balancer notices the stop and the requests in progress complete.
func (d *Daemon) stop(ctx context.Context) error {
	noticedAt := d.LeaseClock.Now()
	pendingSince := drain.PendingSince(noticedAt, d.lateness.OnTimeUntil(), time.Duration(d.stopTimeout.Load()))
	s := &plannedStop{Daemon: d, pendingSince: pendingSince, noticedAt: noticedAt, step: stepAccepting}
	d.stopping.Store(true)
	d.callers.Drain(s.timing())
	s.logStep("planned stop begins")
	var group errgroup.Group
	group.Go(func() error {
		d.release(ctx)
		return nil
	})
	s.await(ctx)
	s.close(ctx)
	return group.Wait()
}

// timing returns the current timing of the stop. It changes when the settings are reloaded, when the
// process runs later than before, and when the machine was suspended.
func (s *plannedStop) timing() drain.Timing {
	elapsed := s.LeaseClock.Now().Sub(s.pendingSince)
	return drain.Timing{
		PendingSince: s.Clock.Now().Add(-elapsed), StopTimeout: time.Duration(s.stopTimeout.Load()), Lateness: s.lateness.Worst(),
	}
}

// await waits until no request is in progress and the load balancer has noticed the stop, or until the
// stop has to end.
func (s *plannedStop) await(ctx context.Context) {
	for {
		timing := s.timing()
		s.callers.Drain(timing)
		if step := s.nextStep(timing); step != s.step {
			s.step = step
			s.logStep("planned stop goes on")
		}
		if timing.IsCancelDue(s.Clock.Now(), s.heldUpUntil) {
			s.callers.CancelRequests()
		}
		if s.step == stepDone || s.sleep(ctx) != nil {
			return
		}
	}
}

// sleep waits until the requests in progress are to be looked at again, and notes if the process was
// held up meanwhile.
func (s *plannedStop) sleep(ctx context.Context) error {
	due := s.Clock.Now().Add(stopInterval)
	if err := s.Clock.Sleep(ctx, stopInterval); err != nil {
		return err
	}
	if now := s.Clock.Now(); now.Sub(due) > stopInterval {
		s.heldUpUntil = now
	}
	return nil
}

// nextStep returns the step that is due.
func (s *plannedStop) nextStep(timing drain.Timing) stopStep {
	now := s.Clock.Now()
	isAccepting := now.Before(timing.AcceptUntil()) && now.Before(timing.CancelAt())
	switch {
	case !now.Before(timing.ExitAt()), !isAccepting && s.callers.ActiveRequests()+s.tunnelServer.Active() == 0:
		return stepDone
	case !now.Before(timing.CancelAt()):
		return stepCanceling
	case !isAccepting:
		return stepRefusing
	}
	return stepAccepting
}

// close closes the connections of the callers, and waits for the last answers to be written.
func (s *plannedStop) close(ctx context.Context) {
	limited, cancel := context.WithTimeout(ctx, s.timing().ExitAt().Sub(s.Clock.Now()))
	defer cancel()
	err := s.callers.Stop(limited)
	counts := s.callers.DrainCounts()
	s.Logs.Layer(logging.LayerDaemon).Info().Int("Finished", counts.Finished).Int("RefusedArriving", counts.RefusedArriving).
		Int("RefusedWaiting", counts.RefusedWaiting).Int("Cut", counts.Cut).Dur("Longest", counts.Longest).
		Int("InProgress", s.callers.ActiveRequests()).Dur("Took", s.LeaseClock.Now().Sub(s.noticedAt)).Err(err).
		Msg("planned stop ends")
}

// logStep logs where the stop is.
func (s *plannedStop) logStep(message string) {
	timing, now := s.timing(), s.Clock.Now()
	s.Logs.Layer(logging.LayerDaemon).Info().Str("Step", string(s.step)).Dur("NoticedLate", s.noticedAt.Sub(s.pendingSince)).
		Dur("Lateness", timing.Lateness).Dur("StopTimeout", timing.StopTimeout).Dur("CancelIn", timing.CancelAt().Sub(now)).
		Dur("EndIn", timing.End().Sub(now)).Int("InProgress", s.callers.ActiveRequests()).
		Int("Tunnels", s.tunnelServer.Active()).Int("Waiting", s.callers.WaitingRequests()).Strs("Estimates", s.estimates()).Msg(message)
}

// estimates returns how long the requests of each route are expected to take.
func (s *plannedStop) estimates() []string {
	byRoute := s.callers.RunTimeEstimates()
	var texts []string
	for _, route := range slices.Sorted(maps.Keys(byRoute)) {
		texts = append(texts, route+" "+byRoute[route].String())
	}
	return texts[:min(len(texts), maxLoggedEstimates)]
}

func (d *Daemon) release(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	if err := d.leases.Release(ctx); err != nil {
		d.Logs.Layer(logging.LayerLease).Warn().Err(err).Msg("leases were not released: others wait until they expire")
	}
}
