package gateway_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"azurehitch"
	"azurehitch/internal/daemon/gateway"
	"azurehitch/internal/telemetry/logging"
	"azurehitch/platform"
	"azurehitch/platform/platformtest"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"
)

const (
	originStreams = 24
	// originReadTime is how long a caller reads a stream before it leaves.
	originReadTime = 400 * time.Millisecond
	originTimeout  = 25 * time.Second
	// originTries is how often a caller sends a request that is refused, originPause apart.
	originTries = 2
	originPause = 300 * time.Millisecond
	// originWriteTime is how long after a stream began the platform's store knows its origin.
	originWriteTime = 2 * time.Second
	// originCallers is the number of callers at the same time.
	originCallers = 8
)

// originFleet is daemons with services whose servers have two software versions, and callers that take streams up
// at another daemon.
type originFleet struct {
	*qt.C
	store    *platformtest.Store
	address  string
	runs     *originRuns
	table    azurehitch.RoutingTable
	daemons  []*originDaemon
	backends map[string]*platformtest.Backend
	lastID   atomic.Int64
}

// originDaemon is a daemon in the process of the test.
type originDaemon struct {
	callers string
	stop    context.CancelFunc
	group   errgroup.Group
}

// originRuns records where requests ran.
type originRuns struct {
	platformtest.DiscardRecorder
	mu   sync.Mutex
	runs map[string][]platformtest.Run
}

// Ran implements platformtest.Recorder.
func (r *originRuns) Ran(run platformtest.Run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[run.RequestID] = append(r.runs[run.RequestID], run)
}

// last returns the last run of a request, and false if there is none.
func (r *originRuns) last(id string) (platformtest.Run, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	runs := r.runs[id]
	if len(runs) == 0 {
		return platformtest.Run{}, false
	}
	return runs[len(runs)-1], true
}

// newOriginFleet starts daemons whose only route leads to the given services, with two servers of each version.
func newOriginFleet(t *testing.T, daemons int, services ...azurehitch.BackendService) *originFleet {
	t.Helper()
	f := &originFleet{C: qt.New(t), store: platformtest.NewStore(nil), runs: &originRuns{runs: map[string][]platformtest.Run{}}, backends: map[string]*platformtest.Backend{}}
	server := httptest.NewServer(f.store)
	t.Cleanup(server.CloseClientConnections)
	f.address = server.Listener.Addr().String()
	f.table = azurehitch.RoutingTable{Services: map[string]azurehitch.BackendService{}}
	for _, s := range services {
		f.table.Services[s.Name] = s
		for i := range 4 {
			f.startServer(t, s, i, softwareVersion(i))
		}
	}
	f.publish(services...)
	for i := range daemons {
		f.daemons = append(f.daemons, f.startDaemon(i))
	}
	t.Cleanup(func() { f.stopDaemons(f.daemons...) })
	for _, d := range f.daemons {
		f.awaitServing(d)
	}
	return f
}

// softwareVersion returns the version of a server: two of four have each.
func softwareVersion(i int) string { return fmt.Sprintf("v%d", 1+i/2) }

// originEngine returns a service of model engines.
func originEngine(name string) azurehitch.BackendService {
	service := (&cutFleet{}).services()["language"]
	service.Name = name
	return service
}

// originPlain returns a plain service, whose servers answer with streams.
func originPlain(name string) azurehitch.BackendService {
	return azurehitch.BackendService{Name: name, MaxConnections: 100}
}

func (f *originFleet) startServer(t *testing.T, service azurehitch.BackendService, i int, version string) {
	t.Helper()
	listener, err := net.Listen("tcp", anyPort)
	f.Assert(err, qt.IsNil)
	id := fmt.Sprintf("%s-%d-%s", service.Name, i, version)
	f.backends[id] = startBackend(t, f.C, f.store, listener, platformtest.BackendOptions{
		ID: id, Service: service.Name, FailureDomain: failureDomain(i), Slots: 32, Incarnation: 1, Engine: service.Engine,
		Streams: service.Engine == nil, SoftwareVersion: version, Cached: azurehitch.CachedModels{OnDisk: []string{cutModel}},
		Work:     platformtest.Work{FirstEvent: 20 * time.Millisecond, Event: 50 * time.Millisecond, Events: 400},
		Recorder: f.runs,
	})
}

// publish writes the next routing table, whose route leads to the given services in equal parts.
func (f *originFleet) publish(services ...azurehitch.BackendService) {
	f.table.Version++
	route := azurehitch.PathRoute{
		Name: "notes", Host: "a.example", PathPrefix: "/s/", Kind: azurehitch.RequestKindStream, Resumable: true,
		Timeout: originTimeout, Objective: time.Second, MaxPause: time.Second, MaxAttempts: 2,
	}
	for _, s := range services {
		route.Targets = append(route.Targets, azurehitch.RouteTarget{Service: s.Name, Weight: 1})
	}
	f.table.Routes = []azurehitch.PathRoute{route}
	f.Assert(f.store.PutRouting(f.table), qt.IsNil)
}

func (f *originFleet) startDaemon(i int) *originDaemon {
	f.Helper()
	s := linkedSettings(fmt.Sprintf("daemon-%d", i), failureDomain(i), f.address)
	s.StopTimeout = 3 * time.Second
	daemon, err := gateway.New(s, platform.Connect(s, azurehitch.SystemClock{}, logging.Discard()))
	f.Assert(err, qt.IsNil)
	ctx, stop := context.WithCancel(context.Background())
	d := &originDaemon{callers: daemon.Addresses().Callers, stop: stop}
	d.group.Go(func() error { return daemon.Run(ctx) })
	return d
}

func (f *originFleet) stopDaemons(daemons ...*originDaemon) {
	for _, d := range daemons {
		d.stop()
	}
	for _, d := range daemons {
		f.Check(d.group.Wait(), qt.IsNil)
	}
}

// restartDaemons stops daemons and starts them again.
func (f *originFleet) restartDaemons(daemons ...*originDaemon) {
	f.Helper()
	f.stopDaemons(daemons...)
	for i, d := range f.daemons {
		if slices.Contains(daemons, d) {
			f.daemons[i] = f.startDaemon(i)
			f.awaitServing(f.daemons[i])
		}
	}
}

// release ends the servers of a version, and waits until the daemons have read it.
func (f *originFleet) release(version string) {
	f.Helper()
	for id, b := range f.backends {
		if b.Entry().SoftwareVersion == version {
			f.store.RemoveServer(id)
			b.Kill()
		}
	}
	time.Sleep(originWriteTime)
}

// awaitServing waits until streams of each service begin at a daemon.
func (f *originFleet) awaitServing(d *originDaemon) {
	f.Helper()
	served := map[string]bool{}
	for end := time.Now().Add(20 * time.Second); len(served) < len(f.table.Routes[0].Targets); {
		f.Assert(time.Now().Before(end), qt.IsTrue, qt.Commentf("served: %v", served))
		s := &originStream{}
		if f.send(d, s); s.status == http.StatusOK {
			served[s.began.Service] = true
		}
	}
}

// originStream is a stream over the requests of its caller.
type originStream struct {
	// first is the id of the request that brought the first event, and began is its run.
	first string
	began platformtest.Run
	last  int
	// status, ran and err are those of the last request; ran has no server if it reached none.
	status int
	ran    platformtest.Run
	err    error
}

// send sends a request for a stream, or takes it up, and reads for a while.
func (f *originFleet) send(d *originDaemon, s *originStream) {
	number := f.lastID.Add(1)
	request := platformtest.CallerRequest{
		ID: fmt.Sprintf("request-%d", number), Method: "POST", Host: "a.example", URI: "/s/x", TimeLeft: originTimeout,
		Model: cutModel, Session: fmt.Sprint(number), LastEvent: s.last, Resumes: s.first,
	}
	var answer platformtest.Answer
	answer, s.err = exchange(d.callers, request)
	s.status = answer.Status
	s.ran, _ = f.runs.last(request.ID)
	if s.err != nil || !answer.IsStream {
		return
	}
	// The last event may be cut off, as the caller leaves.
	numbers, _, _ := answer.Events(request.ID)
	s.last += len(numbers)
	if s.first == "" && len(numbers) > 0 {
		s.first, s.began = request.ID, s.ran
	}
}

// exchange sends a request on a connection of its own, and reads the answer for originReadTime.
func exchange(address string, request platformtest.CallerRequest) (platformtest.Answer, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return platformtest.Answer{}, err
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(originReadTime)); err != nil {
		return platformtest.Answer{}, err
	}
	caller := platformtest.NewCaller(conn)
	if err := caller.Send(request); err != nil {
		return platformtest.Answer{}, err
	}
	return caller.Receive(request)
}

// eachStream calls do for all streams, originCallers at a time.
func eachStream(all []*originStream, do func(i int, s *originStream)) {
	var group errgroup.Group
	group.SetLimit(originCallers)
	for i, s := range all {
		group.Go(func() error {
			do(i, s)
			return nil
		})
	}
	// The calls return no errors.
	_ = group.Wait()
}

// begin begins streams at the given daemons in turn.
func (f *originFleet) begin(daemons ...*originDaemon) []*originStream {
	f.Helper()
	all := make([]*originStream, originStreams)
	for i := range all {
		all[i] = &originStream{}
	}
	eachStream(all, func(i int, s *originStream) {
		for k := 0; k < originTries && s.first == ""; k++ {
			f.send(daemons[i%len(daemons)], s)
		}
	})
	for _, s := range all {
		f.Assert(s.first, qt.Not(qt.Equals), "", qt.Commentf("status %d, %v", s.status, s.err))
	}
	return all
}

// takeUp takes streams up at the given daemons in turn, and returns how many went on. No stream may go on at another
// service or software version than those that began it.
func (f *originFleet) takeUp(all []*originStream, daemons ...*originDaemon) (wentOn int) {
	f.Helper()
	eachStream(all, func(i int, s *originStream) {
		for k := range originTries {
			time.Sleep(time.Duration(k) * originPause)
			if f.send(daemons[i%len(daemons)], s); s.status == http.StatusOK {
				return
			}
		}
	})
	for _, s := range all {
		if s.status == http.StatusOK {
			wentOn++
		}
		if s.ran.LastEvent > 0 {
			f.Check(s.ran.SoftwareVersion, qt.Equals, s.began.SoftwareVersion)
			f.Check(s.ran.Service, qt.Equals, s.began.Service)
		}
	}
	return wentOn
}

// assertShare checks how many of the streams went on that were taken up.
func (f *originFleet) assertShare(wentOn int, share float64) {
	f.Helper()
	f.Assert(float64(wentOn) >= share*originStreams, qt.IsTrue, qt.Commentf("%d of %d streams went on", wentOn, originStreams))
}

// TestStreamsOfSplitRouteAreLost guards against daemons that look for the origin of a stream under the service that
// another request draws, so that streams of a route to several services are refused when they are taken up.
func TestStreamsOfSplitRouteAreLost(t *testing.T) {
	t.Parallel()
	f := newOriginFleet(t, 3, originEngine("llm-a"), originEngine("llm-b"), originEngine("llm-c"))
	streams := f.begin(f.daemons[0])
	f.assertShare(f.takeUp(streams, f.daemons[1], f.daemons[2]), 0.95)
}

// TestStreamsAreLostAfterRestartOfAll guards against origins that only the memory of daemons holds: after a restart of
// all of them, no stream of a service with several versions went on.
func TestStreamsAreLostAfterRestartOfAll(t *testing.T) {
	t.Parallel()
	f := newOriginFleet(t, 4, originEngine("llm"))
	streams := f.begin(f.daemons...)
	time.Sleep(originWriteTime)
	f.restartDaemons(slices.Clone(f.daemons)...)
	f.assertShare(f.takeUp(streams, f.daemons...), 0.9)
}

// TestStreamsOfPlainServiceAreJoined guards against services without engines of which no daemon tells others where their
// streams began: once the daemon that began them has ended, they went on at any version.
func TestStreamsOfPlainServiceAreJoined(t *testing.T) {
	t.Parallel()
	desk := originPlain("desk")
	t.Run("while both versions serve, they go on at their own", func(t *testing.T) {
		t.Parallel()
		f := newOriginFleet(t, 3, desk)
		streams := f.begin(f.daemons[0])
		f.stopDaemons(f.daemons[0])
		f.assertShare(f.takeUp(streams, f.daemons[1], f.daemons[2]), 0.95)
	})
	t.Run("after a release, they don't go on at the other one", func(t *testing.T) {
		t.Parallel()
		f := newOriginFleet(t, 3, desk)
		streams := f.begin(f.daemons[0])
		f.stopDaemons(f.daemons[0])
		f.release("v1")
		f.takeUp(streams, f.daemons[1], f.daemons[2])
	})
	t.Run("after a restart of all daemons, they go on at their own", func(t *testing.T) {
		t.Parallel()
		f := newOriginFleet(t, 3, desk)
		streams := f.begin(f.daemons...)
		time.Sleep(originWriteTime)
		f.restartDaemons(slices.Clone(f.daemons)...)
		f.assertShare(f.takeUp(streams, f.daemons...), 0.9)
	})
}
