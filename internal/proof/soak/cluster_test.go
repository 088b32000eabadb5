package soak_test

import (
	"cmp"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"azurehitch"
	"azurehitch/internal/membership/members"
	"azurehitch/platform/platformtest"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
	"golang.org/x/sync/semaphore"
)

const (
	daemonCount = 4
	serverSlots = 16
	// largeHostCount is the number of daemons on larger hosts, which are preferred as lease holders.
	largeHostCount = 2
	engineCount    = 5
	deskCount      = 2
	modelCount     = 14
	busyModelCount = 2

	daemonNameFormat = "daemon-%d"

	engineService = "language"
	deskService   = "desk"
	callerHost    = "salon.example"

	gigabyte = azurehitch.ByteSize(1_000_000_000)
	// linkPort is the port of the store and of the links to it and to servers. A daemon's links for
	// peers and callers have the next two ports.
	linkPort = 9000
	// streamEvents is the number of events of a stream.
	streamEvents = 12
)

// clusterCount counts the clusters of this test process: each has loopback addresses of its own.
var clusterCount atomic.Int32

// setup is how a run is set up.
type setup struct {
	daemonCount int
	callerCount int
	// maxRequests is the number of requests on a connection after which a caller opens another.
	maxRequests int
	// modelCount is the number of models that callers ask for.
	modelCount int
	// slots is the number of requests that a server runs at the same time.
	slots int
	// queue is the number of requests that wait for a slot at a server.
	queue             int
	retrySlack        int
	readyPollInterval time.Duration
	routes            []azurehitch.PathRoute
	// plannedOnly is set if the run has planned work only: callers connect without links, and follow up
	// requests that are refused or cut.
	plannedOnly bool
	// endsCalm is set if callers send no more requests after the last action: their load comes near the
	// capacity of the servers, so that rare models can't be loaded beside it.
	endsCalm bool
	// callersWait is set if callers wait before they take up a stream. Some must do so in the run.
	callersWait bool
	// otherBinary is the program of an earlier build, which daemons run in turn with this one; empty for none.
	otherBinary string
	// ignoresTokens is set if model engines ignore tokens whatever the seed.
	ignoresTokens bool
	// hasAccounts is set if the configuration has client accounts.
	hasAccounts bool
	// revokeTime is set if daemons refuse keys that they have not read again for as long.
	revokeTime time.Duration
	// hasLetters is set if the configuration has the route and the services of letters.
	hasLetters bool
	// checkOrders checks the orders of the run at its end; nil for no further check.
	checkOrders func(cl *cluster)
	// work returns the work of a request at a server. A request that takes up a stream again has the
	// origin of the stream's first request.
	work func(origin, server string) platformtest.Work
}

// defaultSetup returns the setup of runs with all kinds of faults.
func defaultSetup() setup {
	return setup{
		daemonCount: daemonCount, callerCount: callerCount, maxRequests: maxRequestsPerConnection, modelCount: modelCount, slots: serverSlots, retrySlack: retrySlack,
		readyPollInterval: 250 * time.Millisecond, routes: routes(),
		work: func(string, string) platformtest.Work {
			return platformtest.Work{Call: 15 * time.Millisecond, FirstEvent: 30 * time.Millisecond, Event: 60 * time.Millisecond, Events: streamEvents}
		},
	}
}

// services returns the services of every table of a run by name.
func (s setup) services() map[string]azurehitch.BackendService {
	all := services()
	all[engineService].Engine.Slots = s.slots
	if s.hasLetters {
		for _, name := range letterServices {
			all[name] = azurehitch.BackendService{Name: name, MaxConnections: 100}
		}
	}
	return all
}

// workFor returns the work of a request at a server. Requests at the end of a run are short.
func (s setup) workFor(request azurehitch.CallerRequest, server string) platformtest.Work {
	if request.Session == lastSession {
		return defaultSetup().work(request.ID, server)
	}
	return s.work(cmp.Or(request.Resumes, request.ID), server)
}

// backendServer is a server behind a link. Faults replace it by the next generation at the same
// address.
type backendServer struct {
	name    string
	index   int
	ip      string
	service string
	link    *link
	// hold is the listener of the current server.
	hold *platformtest.HoldListener
	// replacing is held while a fault replaces the server.
	replacing  sync.Mutex
	mu         sync.Mutex
	current    *platformtest.Backend
	generation int
	// upgrades counts the starts with another software version.
	upgrades int
	// listed is false once the entry of the current server is no longer published.
	listed bool
}

func (s *backendServer) backend() *platformtest.Backend {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current
}

// unlist stops publishing the entry of the current server, and returns the server.
func (s *backendServer) unlist() *platformtest.Backend {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listed = false
	return s.current
}

// cluster is the processes, stand-ins and links of one run.
type cluster struct {
	*qt.C
	setup  setup
	seed   uint64
	random *rand.Rand
	// ip returns the loopback address with a number, which no other cluster uses.
	ip           func(int) string
	binary       string
	dir          string
	disturbances *disturbanceLog
	checker      *checker
	group        errgroup.Group
	// done is closed when the run ends. isCalm is set when callers are to send no more requests.
	done   chan struct{}
	isCalm atomic.Bool

	store       *platformtest.Store
	storeHTTP   *http.Server
	storeLinks  []*link
	peerLinks   []*link
	callerLinks []*link
	daemons     []*process
	servers     []*backendServer
	// stopSlots bounds the planned stops at the same time in runs with planned work only.
	stopSlots *semaphore.Weighted

	mu    sync.Mutex
	table azurehitch.RoutingTable
	// ready holds by daemon number whether callers may connect to it.
	ready []bool
	// probe and removedProbe are the numbers of the probe routes that the last table has and that it
	// removed.
	probe        int
	removedProbe int
	nextID       atomic.Int64
	// lastKeyInTouch is the number of the last key that daemons have read which are then out of touch.
	lastKeyInTouch atomic.Int64
}

// services returns the services of every table by name: the engines and the desk, a plain service
// (its servers are no model engines).
func services() map[string]azurehitch.BackendService {
	limits := &azurehitch.EngineLimits{
		Slots: serverSlots, Memory: 200 * gigabyte, AdapterSlots: 4, RemoteLoadsPerSecond: 2, Models: map[string]azurehitch.ModelLimits{},
	}
	for i := range modelCount {
		limits.Models[modelName(i)] = azurehitch.ModelLimits{
			Memory: 70 * gigabyte, AdapterMemory: gigabyte / 10,
			RemoteLoad: 1500 * time.Millisecond, DiskLoad: 300 * time.Millisecond, MemoryLoad: 200 * time.Millisecond,
		}
	}
	return map[string]azurehitch.BackendService{
		engineService: {Name: engineService, MaxConnections: 200, Engine: limits},
		deskService:   {Name: deskService, MaxConnections: 100},
	}
}

func modelName(i int) string { return fmt.Sprintf("model-%d", i) }

func target(service string) []azurehitch.RouteTarget {
	return []azurehitch.RouteTarget{{Service: service, Weight: 1}}
}

func routes() []azurehitch.PathRoute {
	return []azurehitch.PathRoute{
		{
			Name: "note", Host: callerHost, PathPrefix: "/note/", Targets: target(engineService), Kind: azurehitch.RequestKindStream,
			Timeout: 6 * time.Second, Objective: 400 * time.Millisecond, MaxPause: 300 * time.Millisecond, MaxAttempts: 2, Priority: 2, Resumable: true,
		},
		{
			Name: "follow-up", Host: callerHost, PathPrefix: "/follow-up/", Targets: target(engineService), Kind: azurehitch.RequestKindStream,
			Timeout: 8 * time.Second, Objective: 2500 * time.Millisecond, MaxPause: 300 * time.Millisecond, MaxAttempts: 1, Priority: 1,
		},
		{
			Name: "remind", Host: callerHost, PathPrefix: "/remind/", Targets: target(deskService), Kind: azurehitch.RequestKindNonIdempotent,
			Timeout: 2 * time.Second, Objective: 100 * time.Millisecond, MaxAttempts: 1, Priority: 2,
		},
		{
			Name: "lookup", Host: callerHost, PathPrefix: "/lookup/", Targets: target(deskService), Kind: azurehitch.RequestKindIdempotent,
			Timeout: 2 * time.Second, Objective: 100 * time.Millisecond, MaxAttempts: 2, Priority: 2,
		},
	}
}

// probeRoute returns a route whose presence shows which configuration is in force.
func probeRoute(n int) azurehitch.PathRoute {
	return azurehitch.PathRoute{
		Name: fmt.Sprintf("probe-%d", n), Host: callerHost, PathPrefix: fmt.Sprintf("/probe-%d/", n), Targets: target(deskService),
		Kind: azurehitch.RequestKindIdempotent, Timeout: 2 * time.Second, Objective: time.Second, MaxAttempts: 2, Priority: 3,
	}
}

// startCluster starts the stand-ins, links and daemons of a run.
func startCluster(t *testing.T, binary string, seed uint64, s setup) *cluster {
	t.Helper()
	c := qt.New(t)
	number := clusterCount.Add(1)
	network, err := claimNetwork()
	c.Assert(err, qt.IsNil)
	cl := &cluster{
		C: c, setup: s, seed: seed, random: rand.New(rand.NewPCG(seed, 1)), binary: binary, dir: t.TempDir(),
		ip:           func(i int) string { return fmt.Sprintf("127.%d.%d.%d", network.number, number, i) },
		disturbances: &disturbanceLog{}, done: make(chan struct{}), ready: make([]bool, s.daemonCount),
		stopSlots: semaphore.NewWeighted(int64(s.daemonCount+1) / 2),
	}
	cl.checker = newChecker(cl.disturbances, s)
	cl.checker.ignoresTokens = cl.ignoresTokens()
	cl.startStore()
	cl.publish(0)
	for i := range engineCount {
		cl.addServer(fmt.Sprintf("engine-%d", i), engineService, i)
	}
	for i := range deskCount {
		cl.addServer(fmt.Sprintf("desk-%d", i), deskService, engineCount+i)
	}
	if s.hasLetters {
		cl.addLetterServers()
	}
	for i := range s.daemonCount {
		cl.addDaemon(i)
	}
	for _, d := range cl.daemons {
		c.Assert(d.run(), qt.IsNil)
	}
	cl.group.Go(cl.pollReadiness)
	cl.await("all daemons are ready", 20*time.Second, func() bool {
		for i := range cl.daemons {
			if !cl.isReady(i) {
				return false
			}
		}
		return true
	})
	return cl
}

func (cl *cluster) startStore() {
	cl.store = platformtest.NewStore(func(stream, _ string, value []byte) []byte {
		if stream != "members" {
			return value
		}
		return cl.rewriteMemberAddress(value)
	})
	listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", cl.ip(1), linkPort))
	cl.Assert(err, qt.IsNil)
	cl.storeHTTP = &http.Server{Handler: cl.store, ReadHeaderTimeout: time.Minute}
	cl.group.Go(func() error {
		if err := cl.storeHTTP.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
}

// rewriteMemberAddress replaces the peer address in a member record by that of the daemon's link.
func (cl *cluster) rewriteMemberAddress(value []byte) []byte {
	var m members.Member
	if err := json.Unmarshal(value, &m); err != nil {
		return value
	}
	for i, daemon := range cl.daemons {
		if daemon.settings.Name == m.Name {
			m.Address = cl.peerLinks[i].address()
		}
	}
	rewritten, err := json.Marshal(m)
	if err != nil {
		return value
	}
	return rewritten
}

func (cl *cluster) newLink(ip, target string, port int) *link {
	l, err := newLink(fmt.Sprintf("%s:%d", ip, port), target)
	cl.Assert(err, qt.IsNil)
	return l
}

// addDaemon adds a daemon behind its three links, without starting it.
func (cl *cluster) addDaemon(i int) {
	ip := cl.ip(10 + i)
	storeLink := cl.newLink(ip, fmt.Sprintf("%s:%d", cl.ip(1), linkPort), linkPort)
	settings := platformtest.Settings{
		Name: fmt.Sprintf(daemonNameFormat, i), IP: ip, FailureDomain: fmt.Sprintf("domain-%d", i%2), Store: storeLink.address(),
		StopTimeout: stopTimeout, Lease: leaseDuration, RetryRatio: retryRatio, RetrySlack: cl.setup.retrySlack, RetryWindow: retryWindow,
		LogRetention: 20 * time.Second, Memory: 284_000_000, Processor: 0.2, Bandwidth: 10_000_000,
		RevokeTime: cl.setup.revokeTime,
	}
	if i < largeHostCount {
		settings.Processor, settings.Bandwidth = 0.8, 200_000_000
	}
	cl.storeLinks = append(cl.storeLinks, storeLink)
	cl.peerLinks = append(cl.peerLinks, cl.newLink(ip, settings.Peers(), linkPort+1))
	cl.callerLinks = append(cl.callerLinks, cl.newLink(ip, settings.Callers(), linkPort+2))
	var flags []string
	if cl.seed%2 == 0 {
		// The lease holder reads the table and the list for all daemons, as in large deployments.
		flags = []string{"--vouch-from", "2"}
	}
	p := &process{flags: flags, number: i, binary: cl.binary, otherBinary: cl.setup.otherBinary, dir: cl.dir, settings: settings, onExit: cl.checker.checkExit}
	cl.daemons = append(cl.daemons, p)
}

// addServer adds a backend server behind a link, and starts its first generation.
func (cl *cluster) addServer(name, service string, index int) {
	ip := cl.ip(100 + index)
	s := &backendServer{name: name, index: index, ip: ip, service: service, link: cl.newLink(ip, "", linkPort)}
	cl.servers = append(cl.servers, s)
	var cached azurehitch.CachedModels
	if service == engineService {
		for k := range modelCount * 2 / engineCount {
			cached.OnDisk = append(cached.OnDisk, modelName((index*modelCount/engineCount+k)%modelCount))
		}
	}
	cl.startServer(s, cached)
	cl.group.Go(func() error {
		cl.publishEntries(s)
		return nil
	})
}

// softwareVersion returns the version of the software of a server. In each third seed, all servers have
// the same.
func (cl *cluster) softwareVersion(s *backendServer) string {
	if cl.seed%3 == 0 {
		return softwareVersions[0]
	}
	return softwareVersions[(s.index+s.upgrades)%len(softwareVersions)]
}

// ignoresTokens reports whether the model engines accept orders with lower tokens than they have seen, as in
// half of the seeds.
func (cl *cluster) ignoresTokens() bool { return cl.setup.ignoresTokens || cl.seed/2%2 == 1 }

// startServer starts the next generation of a server, under another id at the same address.
func (cl *cluster) startServer(s *backendServer, cached azurehitch.CachedModels) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.generation++
	version := cl.softwareVersion(s)
	cl.checker.recordServing(s.service, version, 1)
	listener, err := net.Listen("tcp", s.ip+":0")
	cl.Check(err, qt.IsNil)
	if err != nil {
		return
	}
	options := platformtest.BackendOptions{
		ID: fmt.Sprintf("%s-%d", s.name, s.generation), Address: s.link.address(), Service: s.service, FailureDomain: "domain-0",
		Slots: cl.setup.slots, Queue: cl.setup.queue, Incarnation: time.Now().UnixMilli(), Engine: cl.setup.services()[s.service].Engine, Cached: cached, Recorder: cl.checker,
		SoftwareVersion: version, IgnoresTokens: cl.ignoresTokens(), Streams: isLetterService(s.service),
		Crashes: func(request platformtest.BegunRequest) bool { return cl.crash(s, request) },
		WorkFor: func(request azurehitch.CallerRequest) platformtest.Work { return cl.setup.workFor(request, s.name) },
	}
	s.current, s.listed = platformtest.NewBackend(options), true
	s.link.retarget(listener.Addr().String())
	s.hold = platformtest.NewHoldListener(listener)
	backend, hold := s.current, s.hold
	cl.group.Go(func() error { return backend.Serve(hold) })
}

// publishEntries writes the entry of the current server to the store whenever it changes.
func (cl *cluster) publishEntries(s *backendServer) {
	var written string
	for cl.sleep(100 * time.Millisecond) {
		s.mu.Lock()
		entry := s.current.Entry()
		isListed := s.listed
		s.mu.Unlock()
		text := fmt.Sprintf("%+v, era %d", entry, cl.store.Era())
		if !isListed || text == written {
			continue
		}
		written = text
		cl.Check(cl.store.PutServer(entry), qt.IsNil)
	}
}

// publish writes the next routing table, in which the route of probe n replaces the last probe.
func (cl *cluster) publish(n int) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.removedProbe, cl.probe = cl.probe, n
	cl.table = azurehitch.RoutingTable{
		Version: int64(n + 1), Routes: append(slices.Clone(cl.setup.routes), probeRoute(n)), Services: cl.setup.services(),
		Limits: azurehitch.CallerLimits{MaxHeaderBytes: 16384, MaxBodyBytes: 1 << 20, HeaderTimeout: 5 * time.Second, IdleTimeout: 20 * time.Second},
	}
	acked := cl.checker.recordPublication(cl.table, cl.accounts()...)
	cl.Check(cl.store.PutRouting(cl.table, cl.accounts()...), qt.IsNil)
	acked()
}

// probes returns the numbers of the route that was added last and of the one that was removed.
func (cl *cluster) probes() (added, removed int) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return cl.probe, cl.removedProbe
}

// pollReadiness polls the readiness of the daemons, as the platform's load balancer does. A daemon
// stays ready until two polls in a row fail.
func (cl *cluster) pollReadiness() error {
	client := &http.Client{Timeout: cl.setup.readyPollInterval, Transport: &http.Transport{DisableKeepAlives: true}}
	failedPolls := make([]int, len(cl.ready))
	for cl.sleep(cl.setup.readyPollInterval) {
		for i, d := range cl.daemons {
			isReady := false
			if response, err := client.Get("http://" + d.settings.Ready()); err == nil {
				isReady = response.StatusCode == http.StatusOK
				_ = response.Body.Close()
			}
			if failedPolls[i]++; isReady {
				failedPolls[i] = 0
			}
			cl.mu.Lock()
			cl.ready[i] = failedPolls[i] < 2 && (isReady || cl.ready[i])
			cl.mu.Unlock()
		}
	}
	return nil
}

func (cl *cluster) isReady(daemon int) bool {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return cl.ready[daemon]
}

// sleep waits for a duration. It returns false at once when the run ends.
func (cl *cluster) sleep(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-cl.done:
		return false
	}
}

// await polls a condition. A timeout is a violation of ruleRecovery, and await returns false.
func (cl *cluster) await(what string, timeout time.Duration, condition func() bool) bool {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	cl.checker.mu.Lock()
	defer cl.checker.mu.Unlock()
	cl.checker.addViolation(ruleRecovery, "timed out after %v: %s", timeout, what)
	return false
}

// stop ends the processes and stand-ins of this run only.
func (cl *cluster) stop() {
	close(cl.done)
	for _, d := range cl.daemons {
		cl.Check(d.stop(), qt.IsNil)
	}
	for _, s := range cl.servers {
		s.backend().Kill()
		s.link.close()
	}
	for _, links := range [][]*link{cl.callerLinks, cl.peerLinks, cl.storeLinks} {
		for _, l := range links {
			l.close()
		}
	}
	_ = cl.storeHTTP.Close()
	cl.Check(cl.group.Wait(), qt.IsNil)
}
