package allowancepeer_test

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"azurehitch"
	"azurehitch/internal/allowance/allowancepeer"
	"azurehitch/internal/allowance/sharedlimit"
	"azurehitch/internal/peer/mux"
	"azurehitch/internal/peer/peerpb"
	"azurehitch/internal/telemetry/logging"
	"azurehitch/internal/telemetry/metrics"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
)

var (
	account = azurehitch.ClientAccount{Name: "small", Allowance: azurehitch.Allowance{Unit: azurehitch.AllowanceUnitRequests, PerSecond: 20, Burst: 20}}
	limit   = sharedlimit.Limit{PerSecond: 20, Burst: 20}
)

// deployment is daemons that are connected in memory. The address of a daemon is its name.
type deployment struct {
	*qt.C
	clients   []*allowancepeer.Client
	byName    map[string]*allowancepeer.Client
	answers   map[string]func(*peerpb.Request) (*peerpb.Response, error)
	calls     atomic.Int64
	hasLimits bool
}

// caller calls in the name of a daemon.
type caller struct {
	*deployment
	name string
}

// Call implements allowancepeer.Caller.
func (c caller) Call(ctx context.Context, address string, request *peerpb.Request) (*peerpb.Response, error) {
	c.calls.Add(1)
	if answer, ok := c.answers[address]; ok {
		return answer(request)
	}
	if err := (azurehitch.SystemClock{}).Sleep(ctx, 2*time.Millisecond); err != nil {
		return nil, err
	}
	return c.byName[address].Handle(c.name, request.GetAllowance()), nil
}

// withDeployment runs a test in virtual time with a number of daemons.
func withDeployment(t *testing.T, daemons int, prepare, run func(d *deployment)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		d := &deployment{C: qt.New(t), byName: map[string]*allowancepeer.Client{}, answers: map[string]func(*peerpb.Request) (*peerpb.Response, error){}, hasLimits: true}
		prepare(d)
		var names []string
		for i := range daemons {
			names = append(names, fmt.Sprintf("daemon-%d", i))
		}
		ctx, cancel := context.WithCancel(t.Context())
		var group errgroup.Group
		for _, name := range names {
			client := allowancepeer.NewClient(allowancepeer.Dependencies{
				Self: name, Fleet: func() sharedlimit.Fleet { return sharedlimit.Fleet{Daemons: daemons, Candidates: names} },
				Address: func(daemon string) (string, bool) { return daemon, true },
				Limit:   func(string) (sharedlimit.Limit, bool) { return limit, true }, HasLimits: func() bool { return d.hasLimits },
				Peers: caller{d, name}, Clock: azurehitch.SystemClock{}, Logs: logging.New(logging.Options{Output: io.Discard}), Metrics: metrics.New(),
			})
			d.clients = append(d.clients, client)
			d.byName[name] = client
		}
		for _, client := range d.clients {
			group.Go(func() error { return client.Run(ctx) })
		}
		run(d)
		cancel()
		d.Assert(group.Wait(), qt.IsNil)
	})
}

// take sends requests at a rate to the daemons in turn, and returns the share that was granted.
func (d *deployment) take(requests int, perSecond float64) float64 {
	granted := 0
	for i := range requests {
		if _, err := d.clients[i%len(d.clients)].Take(d.Context(), account, 1); err == nil {
			granted++
		}
		time.Sleep(time.Duration(float64(time.Second) / perSecond))
	}
	return float64(granted) / float64(requests)
}

func unprepared(*deployment) {}

// TestSmallAccountSpreadOverDaemons guards against requests that are refused because the share of each daemon is
// less than what a request costs.
func TestSmallAccountSpreadOverDaemons(t *testing.T) {
	withDeployment(t, 66, unprepared, func(d *deployment) {
		time.Sleep(3 * time.Second)
		granted := d.take(200, limit.PerSecond*0.8)
		d.Assert(granted >= 0.99, qt.IsTrue, qt.Commentf("%v of the requests were granted", granted))
	})
}

// TestSilentCoordinator guards against requests that are refused for long because a coordinator is of an older
// release, is gone, or doesn't answer.
func TestSilentCoordinator(t *testing.T) {
	for name, answer := range map[string]func(*peerpb.Request) (*peerpb.Response, error){
		"older release": func(*peerpb.Request) (*peerpb.Response, error) {
			return &peerpb.Response{Kind: &peerpb.Response_NotHeld{NotHeld: &peerpb.NotHeld{}}}, nil
		},
		"gone": func(*peerpb.Request) (*peerpb.Response, error) {
			return nil, &mux.ErrUnreachable{Cause: errors.New("refused")}
		},
		"silent": func(*peerpb.Request) (*peerpb.Response, error) {
			time.Sleep(300 * time.Millisecond)
			return nil, &mux.ErrUnreachable{Sent: true, Cause: context.DeadlineExceeded}
		},
	} {
		t.Run(name, func(t *testing.T) {
			withDeployment(t, 3, func(d *deployment) {
				// daemon-0 and daemon-1 are not reached by the others.
				d.answers["daemon-0"], d.answers["daemon-1"] = answer, answer
			}, func(d *deployment) {
				time.Sleep(4 * time.Second)
				d.clients = d.clients[2:]
				granted := d.take(200, limit.PerSecond/4)
				d.Assert(granted >= 0.95, qt.IsTrue, qt.Commentf("%v of the requests were granted", granted))
			})
		})
	}
}

// TestRefusal guards against refusals without a retry time or without what they are based on, and against requests
// that wait for long.
func TestRefusal(t *testing.T) {
	withDeployment(t, 3, unprepared, func(d *deployment) {
		time.Sleep(3 * time.Second)
		began := time.Now()
		// The units of one request arrive within the time that it waits for them, those of cost do not.
		const cost = 5
		var err error
		for err == nil {
			_, err = d.clients[0].Take(d.Context(), account, cost)
		}
		refused := &azurehitch.ErrRefused{}
		d.Assert(errors.As(err, &refused), qt.IsTrue)
		d.Assert(refused.Code, qt.Equals, azurehitch.CodeAllowanceExceeded)
		d.Assert(refused.RetryAfter > 0 && refused.RetryAfter < 5*time.Second, qt.IsTrue, qt.Commentf("%v", refused.RetryAfter))
		d.Assert(refused.Reason, qt.Matches, "account small is beyond its allowance of 20 per second .* answered .*")
		d.Assert(time.Since(began) < 5*time.Second, qt.IsTrue)
	})
}

// TestNoLimits guards against messages where no account has a limit.
func TestNoLimits(t *testing.T) {
	withDeployment(t, 3, func(d *deployment) { d.hasLimits = false }, func(d *deployment) {
		time.Sleep(time.Minute)
		refund, err := d.clients[0].Take(d.Context(), azurehitch.ClientAccount{Name: "free"}, 1)
		d.Assert(err, qt.IsNil)
		refund()
		d.Assert(d.calls.Load(), qt.Equals, int64(0))
	})
}

// TestRefund guards against an allowance that requests use up which were not run.
func TestRefund(t *testing.T) {
	withDeployment(t, 3, unprepared, func(d *deployment) {
		time.Sleep(3 * time.Second)
		refunded := 0
		for range 200 {
			refund, err := d.clients[0].Take(d.Context(), account, 1)
			if err == nil {
				refund()
				refunded++
			}
			time.Sleep(20 * time.Millisecond)
		}
		d.Assert(refunded > 180, qt.IsTrue, qt.Commentf("%d of 200", refunded))
	})
}
