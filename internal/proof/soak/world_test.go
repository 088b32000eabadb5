package soak_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
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
)

const (
	daemonCount = 4
	// strongCount is the number of daemons whose hosts are preferred for the holder.
	strongCount = 2
	engineCount = 5
	deskCount   = 2
	modelCount  = 14
	busyModels  = 2

	engineService = "language"
	deskService   = "desk"
	callerHost    = "salon.example"

	gigabyte  = azurehitch.ByteSize(1_000_000_000)
	linkPort  = 9000
	readyPoll = 250 * time.Millisecond
)

// runs counts the worlds of this process: each has loopback addresses of its own.
var runs atomic.Int32

// backendServer is a place for a server behind a link, whose server may be replaced.
type backendServer struct {
	name    string
	ip      string
	service string
	link    *link
	// replacing is held while a fault takes the server away.
	replacing sync.Mutex
	mu        sync.Mutex
	current   *platformtest.Backend
	replaced  int
	listed    bool
}

func (s *backendServer) backend() *platformtest.Backend {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current
}

// unlist ends the entries of the current server, and returns it.
func (s *backendServer) unlist() *platformtest.Backend {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listed = false
	return s.current
}

// world is one run: the processes, the stand-ins and the links between them.
type world struct {
	*qt.C
	seed     uint64
	random   *rand.Rand
	ip       func(int) string
	binary   string
	dir      string
	calendar *calendar
	judge    *judge
	group    errgroup.Group
	done     chan struct{}

	store      *platformtest.Store
	storeHTTP  *http.Server
	storeLinks []*link
	peerLinks  []*link
	doors      []*link
	daemons    []*process
	servers    []*backendServer

	mu      sync.Mutex
	table   azurehitch.RoutingTable
	ready   []bool
	probe   int
	removed int
	nextID  atomic.Int64
}

func services() map[string]azurehitch.BackendService {
	limits := &azurehitch.EngineLimits{
		Slots: 16, Memory: 200 * gigabyte, AdapterSlots: 4, RemoteLoadsPerSecond: 2, Models: map[string]azurehitch.ModelLimits{},
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

// probeRoute is a route that shows which configuration is in force.
func probeRoute(n int) azurehitch.PathRoute {
	return azurehitch.PathRoute{
		Name: fmt.Sprintf("probe-%d", n), Host: callerHost, PathPrefix: fmt.Sprintf("/probe-%d/", n), Targets: target(deskService),
		Kind: azurehitch.RequestKindIdempotent, Timeout: 2 * time.Second, Objective: time.Second, MaxAttempts: 2, Priority: 3,
	}
}

// startWorld starts all that a run needs.
func startWorld(t *testing.T, binary string, seed uint64) *world {
	t.Helper()
	c := qt.New(t)
	number := runs.Add(1)
	w := &world{
		C: c, seed: seed, random: rand.New(rand.NewPCG(seed, 1)), binary: binary, dir: t.TempDir(),
		ip:       func(i int) string { return fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()%200, number, i) },
		calendar: &calendar{}, done: make(chan struct{}), ready: make([]bool, daemonCount),
	}
	w.judge = newJudge(w.calendar, services())
	w.startStore()
	w.publish(0)
	for i := range engineCount {
		w.addServer(fmt.Sprintf("engine-%d", i), engineService, i)
	}
	for i := range deskCount {
		w.addServer(fmt.Sprintf("desk-%d", i), deskService, engineCount+i)
	}
	for i := range daemonCount {
		w.addDaemon(i)
	}
	for _, d := range w.daemons {
		c.Assert(d.run(), qt.IsNil)
	}
	w.group.Go(w.balance)
	w.await("all daemons are ready", 20*time.Second, func() bool {
		for i := range w.daemons {
			if !w.isReady(i) {
				return false
			}
		}
		return true
	})
	return w
}

func (w *world) startStore() {
	w.store = platformtest.NewStore(func(stream, _ string, value []byte) []byte {
		if stream != "members" {
			return value
		}
		return w.relayMember(value)
	})
	listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", w.ip(1), linkPort))
	w.Assert(err, qt.IsNil)
	w.storeHTTP = &http.Server{Handler: w.store, ReadHeaderTimeout: time.Minute}
	w.group.Go(func() error {
		if err := w.storeHTTP.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
}

// relayMember lets the other daemons reach a daemon through its link.
func (w *world) relayMember(value []byte) []byte {
	var m members.Member
	if err := json.Unmarshal(value, &m); err != nil {
		return value
	}
	for i, daemon := range w.daemons {
		if daemon.settings.Name == m.Name {
			m.Address = w.peerLinks[i].address()
		}
	}
	relayed, err := json.Marshal(m)
	if err != nil {
		return value
	}
	return relayed
}

func (w *world) newLink(ip, target string, port int) *link {
	l, err := newLink(fmt.Sprintf("%s:%d", ip, port), target)
	w.Assert(err, qt.IsNil)
	return l
}

// addDaemon prepares a daemon behind its three links.
func (w *world) addDaemon(i int) {
	ip := w.ip(10 + i)
	storeLink := w.newLink(ip, fmt.Sprintf("%s:%d", w.ip(1), linkPort), linkPort)
	settings := platformtest.Settings{
		Name: fmt.Sprintf("daemon-%d", i), IP: ip, FailureDomain: fmt.Sprintf("domain-%d", i%2), Store: storeLink.address(),
		StopTimeout: stopTimeout, Lease: leaseSpan, RetryRatio: retryRatio, RetrySlack: retrySlack, RetryWindow: retryWindow,
		LogRetention: 20 * time.Second, Memory: 284_000_000, Processor: 0.2, Bandwidth: 10_000_000,
	}
	if i < strongCount {
		settings.Processor, settings.Bandwidth = 0.8, 200_000_000
	}
	w.storeLinks = append(w.storeLinks, storeLink)
	w.peerLinks = append(w.peerLinks, w.newLink(ip, settings.Peers(), linkPort+1))
	w.doors = append(w.doors, w.newLink(ip, settings.Callers(), linkPort+2))
	var flags []string
	if w.seed%2 == 0 {
		// The holder reads for all, as on large deployments.
		flags = []string{"--vouch-from", "2"}
	}
	p := &process{flags: flags, number: i, binary: w.binary, dir: w.dir, settings: settings, onExit: w.judge.exited}
	w.daemons = append(w.daemons, p)
}

// addServer makes a place for a server, and starts the first in it.
func (w *world) addServer(name, service string, place int) {
	ip := w.ip(100 + place)
	s := &backendServer{name: name, ip: ip, service: service, link: w.newLink(ip, "", linkPort)}
	w.servers = append(w.servers, s)
	var cached azurehitch.CachedModels
	if service == engineService {
		for k := range modelCount * 2 / engineCount {
			cached.OnDisk = append(cached.OnDisk, modelName((place*modelCount/engineCount+k)%modelCount))
		}
	}
	w.startServer(s, cached)
	w.group.Go(func() error {
		w.describe(s)
		return nil
	})
}

// startServer starts the next server in a place, under another id and at the same address.
func (w *world) startServer(s *backendServer, cached azurehitch.CachedModels) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.replaced++
	listener, err := net.Listen("tcp", s.ip+":0")
	w.Check(err, qt.IsNil)
	if err != nil {
		return
	}
	options := platformtest.BackendOptions{
		ID: fmt.Sprintf("%s-%d", s.name, s.replaced), Address: s.link.address(), Service: s.service, FailureDomain: "domain-0",
		Slots: 16, Incarnation: time.Now().UnixMilli(), Engine: services()[s.service].Engine, Cached: cached, Recorder: w.judge,
		Work: platformtest.Work{Call: 15 * time.Millisecond, FirstEvent: 30 * time.Millisecond, Event: 60 * time.Millisecond, Events: 12},
	}
	s.current, s.listed = platformtest.NewBackend(options), true
	s.link.retarget(listener.Addr().String())
	backend := s.current
	w.group.Go(func() error { return backend.Serve(listener) })
}

// describe lets the servers of a place write what they say of themselves.
func (w *world) describe(s *backendServer) {
	var written string
	for w.sleep(100 * time.Millisecond) {
		s.mu.Lock()
		entry := s.current.Entry()
		isListed := s.listed
		s.mu.Unlock()
		text := fmt.Sprintf("%+v", entry)
		if !isListed || text == written {
			continue
		}
		written = text
		w.Check(w.store.PutServer(entry), qt.IsNil)
	}
}

// publish writes the next routing table: the route of probe n takes the place of the last.
func (w *world) publish(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.removed, w.probe = w.probe, n
	w.table = azurehitch.RoutingTable{
		Version: int64(n + 1), Routes: append(routes(), probeRoute(n)), Services: services(),
		Limits: azurehitch.CallerLimits{MaxHeaderBytes: 16384, MaxBodyBytes: 1 << 20, HeaderTimeout: 5 * time.Second, IdleTimeout: 20 * time.Second},
	}
	acked := w.judge.publishing(w.table)
	w.Check(w.store.PutRouting(w.table), qt.IsNil)
	acked()
}

// probes returns the numbers of the route that was added last and of the one that was removed.
func (w *world) probes() (added, removed int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.probe, w.removed
}

// balance asks the daemons whether they are ready, as the balancer of the platform does.
func (w *world) balance() error {
	client := &http.Client{Timeout: readyPoll, Transport: &http.Transport{DisableKeepAlives: true}}
	misses := make([]int, daemonCount)
	for w.sleep(readyPoll) {
		for i, d := range w.daemons {
			isReady := false
			if response, err := client.Get("http://" + d.settings.Ready()); err == nil {
				isReady = response.StatusCode == http.StatusOK
				_ = response.Body.Close()
			}
			if misses[i]++; isReady {
				misses[i] = 0
			}
			w.mu.Lock()
			w.ready[i] = misses[i] < 2 && (isReady || w.ready[i])
			w.mu.Unlock()
		}
	}
	return nil
}

func (w *world) isReady(daemon int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.ready[daemon]
}

// sleep reports whether the run goes on after some time.
func (w *world) sleep(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-w.done:
		return false
	}
}

func (w *world) await(what string, timeout time.Duration, condition func() bool) bool {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	w.judge.mu.Lock()
	defer w.judge.mu.Unlock()
	w.judge.broken(ruleRecovery, "not after %v: %s", timeout, what)
	return false
}

// stop ends the processes and the stand-ins of the run, and nothing else.
func (w *world) stop() {
	close(w.done)
	for _, d := range w.daemons {
		w.Check(d.stop(), qt.IsNil)
	}
	for _, s := range w.servers {
		s.backend().Kill()
		s.link.close()
	}
	for _, links := range [][]*link{w.doors, w.peerLinks, w.storeLinks} {
		for _, l := range links {
			l.close()
		}
	}
	_ = w.storeHTTP.Close()
	w.Check(w.group.Wait(), qt.IsNil)
}
