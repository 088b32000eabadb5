// Package caller serves the HTTP API for callers: the completions API of model clients, and calls
// of plain services.
//
// # Usage
//
//	server := caller.NewServer(dependencies, settings)
//	err := server.Serve(ctx, listener)
//
// Each accepted request ends before its deadline and in exactly one way: it is answered, it is
// refused with a typed error that says whether it was run, or its caller has disconnected. A plain
// service is a backend that is no model engine. A completion is a request for a model.
// docs/api.md describes headers, errors and status codes.
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
	"azurehitch/internal/transport/callerconn"
	"azurehitch/internal/transport/lingerconn"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"
)

// maxLingerTime limits how long the rest of a refused request is read before the connection is
// closed, so that the caller receives the refusal.
const maxLingerTime = 2 * time.Second

// Settings holds the timeouts and size limits for requests of callers.
type Settings struct {
	// FailureDomain is the failure domain of this daemon.
	FailureDomain string
	// DefaultTimeout is the timeout of a request that sets none.
	DefaultTimeout time.Duration
	// MaxTimeout is the longest timeout that a request may set.
	MaxTimeout time.Duration
	// MaxBodyBytes limits a request body.
	MaxBodyBytes int
	// MaxHeaderBytes limits the request line and the headers together.
	MaxHeaderBytes int
	// ReadTimeout is the time within which a whole request must arrive.
	ReadTimeout time.Duration
	// MaxConnections limits the open connections from callers.
	MaxConnections int
}

// CallClaimer claims idempotency keys in the log. If a key is already claimed, Claim returns the
// earlier claim and won is false.
type CallClaimer interface {
	Claim(ctx context.Context, key claimlog.Key, body uint64) (claim claimlog.Claim, won bool, err error)
	Withdraw(ctx context.Context, key claimlog.Key) error
}

// OutcomeClient requests the outcome of a call from the daemon that ran it.
type OutcomeClient interface {
	Outcome(ctx context.Context, owner leaselog.Holder, key claimlog.Key) (outcomes.Outcome, error)
}

// Dependencies are the components that a server uses.
type Dependencies struct {
	Self          leaselog.Holder
	Configuration func() tables.Configuration
	Members       func() *hostwatch.Members
	Directory     *directory.Directory
	Transport     *backend.Transport
	Claimer       CallClaimer
	Outcomes      *outcomes.Store
	OutcomeClient OutcomeClient
	Clock         azurehitch.Clock
	Metrics       *metrics.Metrics
	Tracer        *tracing.Tracer
}

// Server is the HTTP server for callers.
type Server struct {
	Dependencies
	settings Settings
	budget   *backend.RetryBudget
	load     *serverLoad
	group    *errgroup.Group
	// backgroundCtx is the context of goroutines that outlive their request. Shutdown cancels it.
	backgroundCtx    context.Context
	cancelBackground context.CancelFunc
	http             *fasthttp.Server

	mu sync.Mutex
	// listener is that of Serve; nil before.
	listener   *callerconn.Listener
	index      *router.Index
	gates      map[string]*admission.Gate
	limiters   map[string]*rate.Limiter
	draining   bool
	inProgress int
	// drained is closed when the server is draining and no request is in progress.
	drained chan struct{}
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
		drained:      make(chan struct{}),
	}
	s.backgroundCtx, s.cancelBackground = context.WithCancel(context.Background())
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
		ConnState:             callerconn.StateChanged,
	}
	return s
}

// discardLogger discards the log lines of the HTTP library: the metrics count the same errors.
type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(listener net.Listener) error {
	return errors.Wrap(s.http.Serve(s.listen(listener)), "serve callers")
}

func (s *Server) listen(listener net.Listener) net.Listener {
	listener = lingerconn.Listen(listener, s.Clock, lingerconn.Limits{
		Bytes: int64(s.settings.MaxBodyBytes),
		Time:  min(s.settings.ReadTimeout, maxLingerTime),
	})
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listener = callerconn.Listen(listener, s.Clock, s.recordClosure)
	return s.listener
}

// recordClosure counts a connection that is closed without an answer to the last request on it.
func (s *Server) recordClosure(closure callerconn.Closure) {
	s.Metrics.AddLabeled(metrics.ConnectionsLost, string(closure.Loss), 1)
}

// Drain refuses new requests, and waits until those in progress have ended. It returns an error if
// the context ends first.
func (s *Server) Drain(ctx context.Context) error {
	s.mu.Lock()
	s.draining = true
	if s.inProgress == 0 {
		s.closeDrained()
	}
	s.mu.Unlock()
	select {
	case <-s.drained:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "wait for requests in progress")
	}
}

// Shutdown closes the listener and the connections, and waits for background work to end.
func (s *Server) Shutdown(ctx context.Context) error {
	err := s.closeConnections(ctx)
	s.cancelBackground()
	return errors.Wrap(cmp.Or(err, s.group.Wait()), "shut down")
}

// closeConnections closes the listener, and each connection once it is idle.
func (s *Server) closeConnections(ctx context.Context) error {
	s.mu.Lock()
	listener := s.listener
	s.mu.Unlock()
	return listener.Shutdown(ctx, s.http)
}

func (s *Server) closeDrained() {
	select {
	case <-s.drained:
	default:
		close(s.drained)
	}
}

// tryBeginRequest counts a new request as in progress. It returns false if the server is draining.
func (s *Server) tryBeginRequest() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		return false
	}
	s.inProgress++
	s.Metrics.Add(metrics.RequestsInProgress, 1)
	return true
}

func (s *Server) endRequest() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inProgress--
	s.Metrics.Add(metrics.RequestsInProgress, -1)
	if s.draining && s.inProgress == 0 {
		s.closeDrained()
	}
}

// routes returns the route index of the current configuration, and rebuilds it after a change.
func (s *Server) routes() *router.Index {
	configuration := s.Configuration()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.index.Configuration.Version != configuration.Version {
		s.index = router.NewIndex(configuration)
	}
	return s.index
}

// gate returns the admission gate of a pool, set to this daemon's share of the pool's limits.
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

// withoutOpenBreakers returns the servers whose circuit breaker lets requests through.
func (s *Server) withoutOpenBreakers(servers []tables.BackendServer) []tables.BackendServer {
	return slices.DeleteFunc(slices.Clone(servers), s.Transport.IsOpen)
}

// isWithinRate reports whether a caller's rate limit at this daemon allows one more request, and
// counts that request.
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

// PoolUsage returns the number of requests in progress and waiting, by pool name.
func (s *Server) PoolUsage() map[string]PoolUsage {
	s.mu.Lock()
	defer s.mu.Unlock()
	usage := map[string]PoolUsage{}
	for name, gate := range s.gates {
		running, waiting := gate.Usage()
		usage[name] = PoolUsage{Running: running, Waiting: waiting}
	}
	return usage
}

// PoolUsage is the number of requests of one pool at this daemon.
type PoolUsage struct {
	Running int
	Waiting int
}
