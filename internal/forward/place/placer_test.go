package place_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"azurehitch"
	"azurehitch/internal/forward/backoff"
	"azurehitch/internal/forward/breaker"
	"azurehitch/internal/forward/place"
	"azurehitch/internal/forward/rejectbudget"
	"azurehitch/internal/lease/leaselog"
	"azurehitch/internal/membership/fleet"
	"azurehitch/internal/membership/serverlimit"
	"azurehitch/internal/placement/swappeer"
	"azurehitch/internal/telemetry/metrics"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"
)

// discardObserver is a fleet.Observer, serverlimit.Observer and rejectbudget.Observer that ignores all events.
type discardObserver struct{}

// ServerChanged implements fleet.Observer.
func (discardObserver) ServerChanged(azurehitch.FleetServer, fleet.Change) {}

// ShutdownNoticed implements fleet.Observer.
func (discardObserver) ShutdownNoticed(azurehitch.ServerIdentity, fleet.Source) {}

// EntryUnreadable implements fleet.Observer.
func (discardObserver) EntryUnreadable(string, error) {}

// LimitChanged implements serverlimit.Observer.
func (discardObserver) LimitChanged(azurehitch.ServerIdentity, float64) {}

// decode decodes entries of the form DOMAIN, DOMAIN:leaving or DOMAIN@VERSION.
func decode(id string, value []byte) (azurehitch.FleetServer, error) {
	domain, state, _ := strings.Cut(string(value), ":")
	domain, version, _ := strings.Cut(domain, "@")
	return azurehitch.FleetServer{
		ServerIdentity: azurehitch.ServerIdentity{ID: id, Address: id}, Service: "calls", FailureDomain: domain,
		Slots: 6, SoftwareVersion: version, ShuttingDown: state == "leaving",
	}, nil
}

// steppedClock is a clock that advances only by its own Sleep calls.
type steppedClock struct {
	azurehitch.SystemClock
	now time.Time
}

// Now implements azurehitch.Clock.
func (s *steppedClock) Now() time.Time { return s.now }

// Sleep implements azurehitch.Clock.
func (s *steppedClock) Sleep(ctx context.Context, d time.Duration) error {
	s.now = s.now.Add(d)
	return ctx.Err()
}

// newLimits returns the rate limits of servers at the only daemon.
func newLimits(clock azurehitch.Clock) *serverlimit.Tracker {
	return serverlimit.New("daemon-1", func() []string { return []string{"daemon-1"} }, clock, discardObserver{})
}

// BrittlenessChanged implements rejectbudget.Observer.
func (discardObserver) BrittlenessChanged(azurehitch.ServerIdentity, rejectbudget.Brittleness) {}

// BrittleServerRejected implements rejectbudget.Observer.
func (discardObserver) BrittleServerRejected(azurehitch.ServerIdentity) {}

// newRejections returns the tracker of rejections of a daemon that the servers of a fleet have not answered yet.
func newRejections(clock azurehitch.Clock, servers func() *fleet.View) *rejectbudget.Tracker {
	return rejectbudget.New(rejectbudget.Dependencies{
		Self: "daemon-1", Daemons: func() []string { return []string{"daemon-1", "daemon-2"} }, Clock: clock, Observer: discardObserver{},
		Server:  func(id string) (azurehitch.FleetServer, bool) { return servers().Server(id) },
		Service: func(name string) []azurehitch.FleetServer { return servers().Service(name) },
	})
}

// answered makes a tracker know that no server is brittle.
func answered(tracker *rejectbudget.Tracker, servers *fleet.View, clock azurehitch.Clock) *rejectbudget.Tracker {
	for _, s := range servers.Service("calls") {
		tracker.Answered(s.ServerIdentity, rejectbudget.Answer{SentAt: clock.Now()})
	}
	return tracker
}

// newPlacer returns a Placer in failure domain a. The keys of servers are ids, the values are
// entries in the format of decode.
func newPlacer(servers map[string]string) *place.Placer {
	fold := fleet.NewFold(decode, discardObserver{})
	var records []azurehitch.KeyedRecord
	for id, value := range servers {
		records = append(records, azurehitch.KeyedRecord{Key: id, Value: []byte(value)})
	}
	fold.Replace(records, time.Unix(1000, 0))
	clock := azurehitch.SystemClock{}
	rejections := answered(newRejections(clock, fold.View), fold.View(), clock)
	return place.New(place.Dependencies{
		Self: "daemon-1", FailureDomain: "a", Fleet: fold.View, Breakers: breaker.NewBreakers(clock),
		Backoffs: backoff.New("daemon-1", clock), Limits: newLimits(clock), Rejections: rejections, Clock: clock,
	})
}

// newHolderless returns a client of the holders for a daemon that reaches none of them.
func newHolderless(clock azurehitch.Clock) *swappeer.Client {
	return swappeer.NewClient(swappeer.Dependencies{
		Self: "daemon-1", Holder: func(string) leaselog.Holder { return leaselog.Holder{Daemon: "daemon-2"} },
		LeaseChanged: func() <-chan struct{} { return make(chan struct{}) },
		Address:      func(string) (string, bool) { return "", false },
		Clock:        clock, Metrics: metrics.New(),
	})
}

// plainRequest returns request number i, without a model. The servers in tried failed it before.
func plainRequest(i int, tried ...string) place.Request {
	return place.Request{
		CallerRequest: azurehitch.CallerRequest{ID: fmt.Sprintf("r%d", i)},
		Service:       azurehitch.BackendService{Name: "calls"}, Avoid: tried,
	}
}

func TestPlace(t *testing.T) {
	t.Run("skips servers that shut down or failed the request", func(t *testing.T) {
		c := qt.New(t)
		placer := newPlacer(map[string]string{"s1": "a", "s2": "a:leaving", "s3": "b"})
		for i := range 50 {
			choice, err := placer.Place(context.Background(), plainRequest(i, "s1"))
			c.Assert(err, qt.IsNil)
			c.Assert(choice.Server.ID, qt.Equals, "s3")
			choice.End()
		}
	})
	t.Run("falls back to a server that failed the request", func(t *testing.T) {
		c := qt.New(t)
		choice, err := newPlacer(map[string]string{"s1": "a"}).Place(context.Background(), plainRequest(1, "s1"))
		c.Assert(err, qt.IsNil)
		c.Assert(choice.Server.ID, qt.Equals, "s1")
	})
	t.Run("without servers, refused with a retry delay", func(t *testing.T) {
		c := qt.New(t)
		_, err := newPlacer(map[string]string{"s1": "a:leaving"}).Place(context.Background(), plainRequest(1))
		var refused *azurehitch.ErrRefused
		c.Assert(errors.As(err, &refused), qt.IsTrue)
		c.Assert(refused.RetryAfter > 0, qt.IsTrue)
	})
	t.Run("without a holder, refused soon for a model that no server has loaded", func(t *testing.T) {
		c := qt.New(t)
		placer := newPlacer(map[string]string{"s1": "a"})
		clock := azurehitch.SystemClock{}
		placer.Holders = newHolderless(clock)
		request := plainRequest(1)
		request.Service.Engine = &azurehitch.EngineLimits{}
		request.Model = "m"
		const timeout = 5 * time.Second
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		began := clock.Now()
		_, err := placer.Place(ctx, request)
		var refused *azurehitch.ErrRefused
		c.Assert(errors.As(err, &refused), qt.IsTrue, qt.Commentf("%v", err))
		c.Assert(refused.RetryAfter > 0, qt.IsTrue)
		c.Assert(clock.Now().Sub(began) < timeout/3, qt.IsTrue)
	})
	t.Run("one unanswered request does not count as a missing holder", func(t *testing.T) {
		c := qt.New(t)
		placer := newPlacer(map[string]string{"s1": "a"})
		clock := &steppedClock{now: time.Unix(1000, 0)}
		holderLookups, attempts := 0, 0
		placer.Clock = clock
		placer.Holders = swappeer.NewClient(swappeer.Dependencies{
			Self: "daemon-1",
			Holder: func(string) leaselog.Holder {
				if holderLookups++; holderLookups == 1 {
					// The request has already waited for long when its last call to the holder is
					// lost.
					clock.now = clock.now.Add(4 * time.Second)
				}
				return leaselog.Holder{Daemon: "daemon-2"}
			},
			LeaseChanged: func() <-chan struct{} { return make(chan struct{}) },
			Address: func(string) (string, bool) {
				attempts++
				return "", false
			},
			Clock: clock, Metrics: metrics.New(),
		})
		request := plainRequest(1)
		request.Service.Engine = &azurehitch.EngineLimits{}
		request.Model = "m"
		_, err := placer.Place(context.Background(), request)
		c.Assert(err, qt.IsNotNil)
		c.Assert(attempts > 4, qt.IsTrue, qt.Commentf("the holder was asked %d times", attempts))
	})
	// A service loses its holder, and 40 requests for unloaded models arrive during the 5 s until
	// the next holder answers.
	t.Run("requests with time left wait for the next holder", func(t *testing.T) {
		c := qt.New(t)
		const absence, loadTime = 5 * time.Second, 2 * time.Second
		placer := newPlacer(map[string]string{"s1": "a"})
		clock := &steppedClock{now: time.Unix(1000, 0)}
		began := clock.now
		placer.Clock, placer.MaxHolderAbsence = clock, absence
		placer.Holders = newHolderless(clock)
		for i := range 40 {
			clock.now = began.Add(time.Duration(i) * absence / 40)
			arrivedAt := clock.now
			request := plainRequest(i)
			request.Service.Engine = &azurehitch.EngineLimits{Models: map[string]azurehitch.ModelLimits{"m": {DiskLoad: loadTime}}}
			request.Model = "m"
			request.Deadline = arrivedAt.Add(4 * time.Second)
			hasTime := i%2 == 0
			if hasTime {
				request.Deadline = arrivedAt.Add(16 * time.Second)
			}
			_, err := placer.Place(context.Background(), request)
			var refused *azurehitch.ErrRefused
			c.Assert(errors.As(err, &refused), qt.IsTrue, qt.Commentf("%v", err))
			waited := clock.now.Sub(arrivedAt)
			takeover := began.Add(absence)
			if hasTime {
				c.Assert(clock.now.Before(takeover), qt.IsFalse, qt.Commentf("request %d refused after %v", i, waited))
				continue
			}
			holderIsBack := !takeover.Add(loadTime).After(request.Deadline)
			c.Assert(waited < time.Second || holderIsBack, qt.IsTrue, qt.Commentf("request %d refused after %v", i, waited))
			c.Assert(clock.now.Add(refused.RetryAfter).Before(takeover), qt.IsFalse, qt.Commentf("retry delay of request %d ends too early", i))
		}
	})
	// 24 requests at once go to four servers with six slots each.
	t.Run("concurrent requests spread over all servers", func(t *testing.T) {
		c := qt.New(t)
		placer := newPlacer(map[string]string{"s1": "a", "s2": "b", "s3": "c", "s4": "d"})
		counts := map[string]int{}
		for i := range 24 {
			choice, err := placer.Place(context.Background(), plainRequest(i))
			c.Assert(err, qt.IsNil)
			counts[choice.Server.ID]++
		}
		for id, n := range counts {
			c.Assert(n <= 9, qt.IsTrue, qt.Commentf("%s has %d of 24", id, n))
		}
		c.Assert(counts, qt.HasLen, 4)
	})
}
