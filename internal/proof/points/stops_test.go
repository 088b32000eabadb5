package points_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"azurehitch"
	"azurehitch/internal/configuration/tables"
	"azurehitch/internal/standin/fault"
	"azurehitch/internal/standin/fleet"
	"azurehitch/internal/telemetry/metrics"
)

// leavingLimit is when a leaving server must receive no new work any more.
const leavingLimit = 3 * time.Second

// load sends requests one after the other from several callers until it is
// stopped. A daemon that refuses because it stops is passed over, as a balancer
// does.
type load struct {
	stop   atomic.Bool
	group  sync.WaitGroup
	mu     sync.Mutex
	sent   int
	failed []string
}

func startLoad(ctx context.Context, f *fleet.Fleet, callers int, request func(i int) fleet.Request) *load {
	l := &load{}
	for caller := range callers {
		l.group.Go(func() {
			for i := caller; !l.stop.Load(); i += callers {
				l.send(ctx, f, i, request(i))
				time.Sleep(2 * time.Millisecond)
			}
		})
	}
	return l
}

func (l *load) send(ctx context.Context, f *fleet.Fleet, i int, request fleet.Request) {
	var last string
	for try := range len(f.Addresses()) + 1 {
		addresses := f.Addresses()
		answer, err := fleet.Send(ctx, addresses[(i+try)%len(addresses)], request)
		switch {
		case err == nil && answer.Status == http.StatusOK && answer.Whole:
			l.count("")
			return
		case err == nil && answer.Status == http.StatusOK:
			l.count("answer was cut off")
			return
		case err == nil && runStateOf(answer) != "NotRun":
			l.count(fmt.Sprintf("status %d: %s", answer.Status, answer.Body))
			return
		}
		last = fmt.Sprintf("%v, status %d: %s", err, answer.Status, answer.Body)
	}
	l.count(last)
}

func (l *load) count(failure string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent++
	if failure != "" {
		l.failed = append(l.failed, failure)
	}
}

func (l *load) finish() (sent int, failed []string) {
	l.stop.Store(true)
	l.group.Wait()
	return l.sent, l.failed
}

func engineRuns(b *fleet.Backend) int { return len(b.Engine.Journal().Runs) }

// TestProveLeavingServer lets servers announce that they leave, in the list of
// hosts or by their own refusal: they get no new work 3 s later, and no request
// fails.
func TestProveLeavingServer(t *testing.T) {
	options := pathOptions()
	options.Edit = func(_ *tables.RouteTable, pools *tables.PoolTable) { pools.Pools[0].Models[0].MaxReplicas = 2 }
	for _, signal := range []string{"list of hosts", "own refusal"} {
		t.Run(signal, func(t *testing.T) {
			withFleet(t, options, func(ctx context.Context, f *fleet.Fleet) {
				l := startLoad(ctx, f, 6, func(i int) fleet.Request {
					if i%2 == 0 {
						return fleet.Request{Method: http.MethodGet, Path: "/booking/sent", Key: fleet.PaidKey}
					}
					return chat(`{"model":"care-note","max_tokens":2}`)
				})
				time.Sleep(500 * time.Millisecond)
				engine, desk := busiest(f.Engines), f.Services[0]
				announceLeaving(f, signal, engine, desk)
				time.Sleep(leavingLimit)
				engineBefore, deskBefore := engineRuns(engine), len(desk.Service.Runs())
				time.Sleep(time.Second)
				if got := engineRuns(engine) - engineBefore; got > 0 {
					t.Errorf("%s got %d requests after it left", engine.Name, got)
				}
				if got := len(desk.Service.Runs()) - deskBefore; got > 0 {
					t.Errorf("%s got %d calls after it left", desk.Name, got)
				}
				if sent, failed := l.finish(); len(failed) > 0 || sent == 0 {
					t.Errorf("%d of %d requests failed: %v", len(failed), sent, failed[0])
				}
			})
		})
	}
}

func busiest(backends []*fleet.Backend) *fleet.Backend {
	best := backends[0]
	for _, b := range backends {
		if engineRuns(b) > engineRuns(best) {
			best = b
		}
	}
	return best
}

func announceLeaving(f *fleet.Fleet, signal string, engine, desk *fleet.Backend) {
	if signal == "own refusal" {
		engine.Engine.SetLeaving(true)
		desk.Service.SetLeaving(true)
		return
	}
	for _, b := range []*fleet.Backend{engine, desk} {
		f.Hosts.Put(azurehitch.Host{
			Name: b.Name, Address: b.Address, Role: azurehitch.HostRoleBackend, State: azurehitch.HostStateLeaving,
		})
	}
}

// TestProveGracefulStop restarts all daemons one after the other under load,
// streams included: no request is cut off, and none is in progress when a daemon
// has stopped.
func TestProveGracefulStop(t *testing.T) {
	options := pathOptions()
	options.TokenInterval = time.Millisecond
	withFleet(t, options, func(ctx context.Context, f *fleet.Fleet) {
		l := startLoad(ctx, f, 12, func(i int) fleet.Request {
			if i%3 == 0 {
				return chat(streamBody(150))
			}
			return chat(`{"model":"care-note","max_tokens":20}`)
		})
		for range options.Daemons {
			time.Sleep(400 * time.Millisecond)
			old := f.Daemons[0]
			f.Retire(old)
			if err := old.Stop(); err != nil {
				t.Errorf("stop: %v", err)
			}
			if left := old.Metrics().Get(metrics.RequestsInProgress); left > 0 {
				t.Errorf("%d requests were in progress when the daemon had stopped", left)
			}
			if err := f.StartDaemon(old.Self().Daemon); err != nil {
				t.Fatal(err)
			}
		}
		if sent, failed := l.finish(); len(failed) > 0 || sent == 0 {
			t.Errorf("%d of %d requests failed: %v", len(failed), sent, failed)
		}
	})
}

// TestProveHandover stops the holder of a pool with a long lease: another daemon
// has the pool long before the lease would have expired.
func TestProveHandover(t *testing.T) {
	options := pathOptions()
	options.LeaseDuration = 30 * time.Second
	withFleet(t, options, func(ctx context.Context, f *fleet.Fleet) {
		wake(ctx, t, f, "care-note")
		holder := holderOf(f)
		if holder < 0 {
			t.Fatal("no daemon holds the pool")
		}
		old := f.Daemons[holder]
		f.Retire(old)
		if err := old.Stop(); err != nil {
			t.Error(err)
		}
		began := time.Now()
		wake(ctx, t, f, "follow-up")
		if took := time.Since(began); took > options.LeaseDuration/5 {
			t.Errorf("a model woke up %v after the holder had stopped, with a lease of %v", took, options.LeaseDuration)
		}
	})
}

func wake(ctx context.Context, t *testing.T, f *fleet.Fleet, model string) {
	t.Helper()
	answer, err := f.Do(ctx, 0, chat(fmt.Sprintf(`{"model":%q}`, model)))
	if err != nil || answer.Status != http.StatusOK {
		t.Fatalf("%s did not wake up: %v, status %d: %s", model, err, answer.Status, answer.Body)
	}
}

func holderOf(f *fleet.Fleet) int {
	for i, d := range f.Daemons {
		if d.Metrics().Get(metrics.PoolsHeld) > 0 {
			return i
		}
	}
	return -1
}

// TestProveRetryBudget fails each fourth call of a service for a while: the
// attempts stay within the retry budget, and afterwards all calls are served
// again.
func TestProveRetryBudget(t *testing.T) {
	options := pathOptions()
	options.Daemons = 1
	withFleet(t, options, func(ctx context.Context, f *fleet.Fleet) {
		const failing, others = 100, 300
		for _, service := range f.Services {
			service.Faults.Replace(fault.Fault{Kind: fault.KindLoseAnswer, PathPrefix: "/booking/failing"})
		}
		lookup := fleet.Request{Method: http.MethodGet, Path: "/booking/sent", Key: fleet.PaidKey}
		failed := fleet.Request{Method: http.MethodGet, Path: "/booking/failing", Key: fleet.PaidKey}
		for range failing {
			// The others keep the circuit breakers closed, so that the budget alone
			// bounds the retries.
			_, _ = f.Do(ctx, 0, failed)
			for range others / failing {
				_, _ = f.Do(ctx, 0, lookup)
			}
		}
		retried := f.Daemons[0].Metrics().Get(metrics.RequestsRetried)
		const reserve, ratio = 10, 0.1
		if limit := int64(reserve + ratio*(failing+others)); retried > limit {
			t.Errorf("%d calls were retried %d times, and the budget is %d", failing+others, retried, limit)
		}
		for _, service := range f.Services {
			service.Faults.Replace()
		}
		recovered := fleet.Eventually(10*time.Second, func() bool {
			answer, err := f.Do(ctx, 0, lookup)
			return err == nil && answer.Status == http.StatusOK
		})
		if !recovered {
			t.Error("calls are not served again after the failure")
		}
	})
}

// TestProvePaidBeforeTrial fills a pool with trial requests: what is promised to
// paying callers stays free for them.
func TestProvePaidBeforeTrial(t *testing.T) {
	const capacity, promised = 12, 8
	options := pathOptions()
	options.Daemons = 1
	options.TokenInterval = 5 * time.Millisecond
	options.Edit = func(_ *tables.RouteTable, pools *tables.PoolTable) {
		pools.Pools[0].ConcurrentRequests, pools.Pools[0].PromisedToPaid = capacity, promised
	}
	withFleet(t, options, func(ctx context.Context, f *fleet.Fleet) {
		wake(ctx, t, f, "care-note")
		trial := chat(`{"model":"care-note","max_tokens":100}`)
		trial.Key = fleet.TrialKey
		l := startLoad(ctx, f, 3*capacity, func(int) fleet.Request { return trial })
		time.Sleep(200 * time.Millisecond)
		for range 20 {
			if active := activeOn(f); active > capacity-promised {
				t.Errorf("trials use %d places, and %d are not promised", active, capacity-promised)
			}
			began := time.Now()
			wake(ctx, t, f, "care-note")
			if took := time.Since(began); took > time.Second {
				t.Errorf("a paying caller waited %v behind trials", took)
			}
		}
		if sent, failed := l.finish(); len(failed) > 0 || sent == 0 {
			t.Errorf("%d of %d trials failed: %v", len(failed), sent, failed[0])
		}
	})
}

func activeOn(f *fleet.Fleet) int {
	sum := 0
	for _, b := range f.Engines {
		for _, p := range b.Engine.State().Placements {
			sum += p.Active
		}
	}
	return sum
}
