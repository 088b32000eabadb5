// Package caller serves the callers: the completions API that model clients
// speak, and the calls of plain services.
//
// # Usage
//
//	server := caller.NewServer(dependencies, settings)
//	err := server.Serve(ctx, listener)
//
// Each accepted request comes to exactly one end: it is answered, it is refused
// with a typed error that says whether it was run, or its caller has gone. The
// end comes before the deadline of the request. docs/api.md describes headers,
// errors and status codes.
package caller

import (
	"cmp"
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"azurehitch"
	"azurehitch/internal/configuration/tables"
	"azurehitch/internal/forward/admission"
	"azurehitch/internal/forward/backend"
	"azurehitch/internal/forward/router"
	"azurehitch/internal/idempotency/claimlog"
	"azurehitch/internal/idempotency/outcomes"
	"azurehitch/internal/lease/leaselog"
	"azurehitch/internal/membership/hostwatch"
	"azurehitch/internal/placement/directory"
	"azurehitch/internal/telemetry/metrics"
	"azurehitch/internal/telemetry/tracing"
	"azurehitch/internal/transport/lingerconn"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"
)

// maxLinger bounds how long the rest of a refused request is read, so that the
// caller gets the refusal.
const maxLinger = 2 * time.Second

// Settings are the bounds towards callers.
type Settings struct {
	// FailureDomain is that of this daemon.
	FailureDomain string
	// DefaultTimeout is the time that a request has when it names none.
	DefaultTimeout time.Duration
	// MaxTimeout is the most that a request may name.
	MaxTimeout time.Duration
	// MaxBodyBytes bounds a request body.
	MaxBodyBytes int
	// MaxHeaderBytes bounds the request line and the headers.
	MaxHeaderBytes int
	// ReadTimeout bounds the time in which a request must have arrived whole.
	ReadTimeout time.Duration
	// MaxConnections bounds the connections of callers.
	MaxConnections int
}

// CallClaimer claims calls with idempotency keys.
type CallClaimer interface {
	Claim(ctx context.Context, key claimlog.Key, body uint64) (claim claimlog.Claim, won bool, err error)
	Withdraw(ctx context.Context, key claimlog.Key) error
}

// OutcomeAsker asks other daemons how a call ended.
type OutcomeAsker interface {
	Outcome(ctx context.Context, owner leaselog.Holder, key claimlog.Key) (outcomes.Outcome, error)
}

// Dependencies are what the server needs.
type Dependencies struct {
	Self          leaselog.Holder
	Configuration func() tables.Configuration
	Members       func() *hostwatch.Members
	Directory     *directory.Directory
	Transport     *backend.Transport
	Claimer       CallClaimer
	Outcomes      *outcomes.Store
	Asker         OutcomeAsker
	Clock         azurehitch.Clock
	Metrics       *metrics.Metrics
	Tracer        *tracing.Tracer
}

// Server serves the callers.
type Server struct {
	Dependencies
	settings Settings
	budget   *backend.RetryBudget
	load     *serverLoad
	group    *errgroup.Group
	// life ends with the server: what goes on behind answers ends then.
	life context.Context
	end  context.CancelFunc
	http *fasthttp.Server

	mu       sync.Mutex
	index    *router.Index
	gates    map[string]*admission.Gate
	limiters map[string]*rate.Limiter
	draining bool
	active   int
	idle     chan struct{}
}

// NewServer returns a server.
func NewServer(dependencies Dependencies, settings Settings) *Server {
	s := &Server{
		Dependencies: dependencies,
		settings:     settings,
		budget:       backend.NewRetryBudget(),
		load:         newServerLoad(settings.FailureDomain),
		group:        &errgroup.Group{},
		index:        router.NewIndex(tables.Configuration{}),
		gates:        map[string]*admission.Gate{},
		limiters:     map[string]*rate.Limiter{},
		idle:         make(chan struct{}),
	}
	s.life, s.end = context.WithCancel(context.Background())
	s.http = &fasthttp.Server{
		Handler:               s.handle,
		ErrorHandler:          s.handleProtocolError,
		Name:                  "azurehitch",
		MaxRequestBodySize:    settings.MaxBodyBytes,
		ReadBufferSize:        settings.MaxHeaderBytes,
		ReadTimeout:           settings.ReadTimeout,
		WriteTimeout:          settings.MaxTimeout + settings.ReadTimeout,
		IdleTimeout:           settings.MaxTimeout,
		Concurrency:           settings.MaxConnections,
		Logger:                discardLogger{},
		NoDefaultServerHeader: true,
		CloseOnShutdown:       true,
	}
	return s
}

// discardLogger drops the lines of the HTTP library: the counters tell the same.
type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}

// Serve accepts callers until the listener is closed.
func (s *Server) Serve(listener net.Listener) error {
	listener = lingerconn.Listen(listener, s.Clock, lingerconn.Limits{
		Bytes: int64(s.settings.MaxBodyBytes),
		Time:  min(s.settings.ReadTimeout, maxLinger),
	})
	return errors.Wrap(s.http.Serve(listener), "serve callers")
}

// Drain refuses new requests, and returns when those in progress have ended or
// the context ends.
func (s *Server) Drain(ctx context.Context) error {
	s.mu.Lock()
	s.draining = true
	if s.active == 0 {
		s.closeIdle()
	}
	s.mu.Unlock()
	select {
	case <-s.idle:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "wait for requests in progress")
	}
}

// Shutdown closes the listener and the connections.
func (s *Server) Shutdown(ctx context.Context) error {
	err := s.http.ShutdownWithContext(ctx)
	s.end()
	return errors.Wrap(cmp.Or(err, s.group.Wait()), "shut down")
}

func (s *Server) closeIdle() {
	select {
	case <-s.idle:
	default:
		close(s.idle)
	}
}

// enter counts a request in progress. It returns false when the daemon drains.
func (s *Server) enter() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		return false
	}
	s.active++
	s.Metrics.Add(metrics.RequestsInProgress, 1)
	return true
}

func (s *Server) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active--
	s.Metrics.Add(metrics.RequestsInProgress, -1)
	if s.draining && s.active == 0 {
		s.closeIdle()
	}
}

// routes returns the index of the configuration in force.
func (s *Server) routes() *router.Index {
	configuration := s.Configuration()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.index.Configuration.Version != configuration.Version {
		s.index = router.NewIndex(configuration)
	}
	return s.index
}

// gate returns the gate of a pool with this daemon's share of its limits.
func (s *Server) gate(pool tables.Pool) *admission.Gate {
	members := s.Members()
	limits := admission.Share(pool, members.Rank(s.Self.Daemon), len(members.Daemons))
	s.mu.Lock()
	gate, ok := s.gates[pool.Name]
	if !ok {
		gate = admission.NewGate()
		s.gates[pool.Name] = gate
	}
	s.mu.Unlock()
	gate.SetLimits(limits)
	return gate
}

// withoutOpenBreakers returns the servers whose circuit breaker lets requests pass.
func (s *Server) withoutOpenBreakers(servers []tables.BackendServer) []tables.BackendServer {
	return slices.DeleteFunc(slices.Clone(servers), s.Transport.IsOpen)
}

// isWithinRate reports whether a caller keeps to its rate at this daemon.
func (s *Server) isWithinRate(caller tables.Caller) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	limiter, ok := s.limiters[caller.Name]
	if !ok {
		limiter = rate.NewLimiter(rate.Limit(caller.RequestsPerSecond), caller.Burst)
		s.limiters[caller.Name] = limiter
	}
	if limiter.Limit() != rate.Limit(caller.RequestsPerSecond) || limiter.Burst() != caller.Burst {
		limiter.SetLimit(rate.Limit(caller.RequestsPerSecond))
		limiter.SetBurst(caller.Burst)
	}
	return limiter.AllowN(s.Clock.Now(), 1)
}

// Waiting returns the requests in progress and waiting, by pool.
func (s *Server) Waiting() map[string]PoolUsage {
	s.mu.Lock()
	defer s.mu.Unlock()
	usage := map[string]PoolUsage{}
	for name, gate := range s.gates {
		running, waiting := gate.Usage()
		usage[name] = PoolUsage{Running: running, Waiting: waiting}
	}
	return usage
}

// PoolUsage is the requests of one pool at this daemon.
type PoolUsage struct {
	Running int
	Waiting int
}
