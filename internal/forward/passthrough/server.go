// Package passthrough forwards requests to backend servers by host and path, byte for byte, and
// returns their responses unchanged.
//
// # Usage
//
//	server := passthrough.NewServer(dependencies, settings)
//	group.Go(func() error { return server.Serve(listener) })
//	server.Drain(timing)
//	server.Stop(ctx)
//
// Each request gets exactly one response: that of a backend server, unchanged, or a refusal by the
// daemon that says whether the request was run. The kind of its route decides whether a request may
// be sent again; docs/design/platform.md has the table.
package passthrough

import (
	"context"
	"net"
	"sync"
	"time"

	"azurehitch"
	"azurehitch/internal/forward/backoff"
	"azurehitch/internal/forward/breaker"
	"azurehitch/internal/forward/place"
	"azurehitch/internal/forward/quarantine"
	"azurehitch/internal/forward/rejectbudget"
	"azurehitch/internal/forward/router"
	"azurehitch/internal/forward/runtimes"
	"azurehitch/internal/forward/streams"
	"azurehitch/internal/membership/serverlimit"
	"azurehitch/internal/telemetry/logging"
	"azurehitch/internal/telemetry/metrics"
	"azurehitch/internal/transport/callerconn"
	"azurehitch/internal/transport/connpool"
	"azurehitch/internal/transport/lingerconn"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

// surplusConnections is the number of connections beyond MaxConnections that may be open while idle ones expire in
// favor of new ones. Others are answered with 503 and closed.
const surplusConnections = 32

// Settings holds the limits for the connections, requests and responses of callers.
type Settings struct {
	MaxBodyBytes   int
	MaxHeaderBytes int
	ReadTimeout    time.Duration
	IdleTimeout    time.Duration
	// MaxConnections limits the connections of callers.
	MaxConnections int
	// MaxBufferedAnswer is the size up to which a response is buffered until it is complete, so
	// that the request can be sent again if the server fails midway. Longer responses are streamed,
	// up to MaxAnswer.
	MaxBufferedAnswer azurehitch.ByteSize
	MaxAnswer         azurehitch.ByteSize
	// MaxEvent limits the size of an event of a stream. Events are buffered until they are
	// complete.
	MaxEvent azurehitch.ByteSize
	// MaxConfigurationAge is the age of the configuration from which on requests that need a key are refused; 0
	// serves them with the last known keys.
	MaxConfigurationAge time.Duration
}

// RetryBudget limits how many requests are sent again.
type RetryBudget interface {
	// Earn counts a request for a service, which adds to the budget of the service.
	Earn(service string)
	// Spend charges a retry of a request, and returns false if the budget does not allow it.
	Spend(service string) (azurehitch.RetryCharge, bool)
}

// Quarantine finds the requests, and the parts of prompts, that crash servers, and refuses those requests.
type Quarantine interface {
	// Check returns an *azurehitch.ErrRefused if a request must not be sent. Begin does so right before
	// the request is sent.
	Check(request quarantine.Request) error
	Begin(request quarantine.Request) error
	// BrokenOff records that a server broke off a request which it may just have begun to answer.
	BrokenOff(request quarantine.Request, server azurehitch.ServerIdentity)
	// Answered records that a server has answered a request. ProbablyAnswered is for an answer that
	// ended with its connection: it counts unless the server turns out to have crashed.
	Answered(request quarantine.Request)
	ProbablyAnswered(request quarantine.Request, server azurehitch.ServerIdentity)
}

// Allowances charges requests to the allowances of their accounts, which apply to all daemons together.
type Allowances interface {
	// Take charges a request that may be sent to a server next. It is called once for each request of an
	// account with a limit. The error is an *azurehitch.ErrRefused with azurehitch.CodeAllowanceExceeded and a
	// retry time that also holds at other daemons. The function refund, which is never nil without an error,
	// is called at most once, and only if no server has run the request.
	Take(ctx context.Context, account azurehitch.ClientAccount, cost float64) (refund func(), err error)
}

// Streams knows at which service and software version each stream began.
type Streams interface {
	// Began records that the request with an ID is about to begin a stream at a server. The attempt counts the
	// servers that the request was sent to.
	Began(requestID string, origin streams.Origin, attempt int)
	// Confirmed records that the first event of the stream has come, from the server of the last Began.
	Confirmed(requestID string)
	// Bound returns where a stream may go on that its caller takes up again. The error is an
	// *azurehitch.ErrRefused if that is not known.
	Bound(ctx context.Context, resumption streams.Resumption) (streams.Bound, error)
}

// Placer chooses the backend server of an attempt.
type Placer interface {
	Place(ctx context.Context, request place.Request) (place.Choice, error)
}

// Dependencies holds what a Server needs.
type Dependencies struct {
	Routing     func() *router.PathIndex
	Protocol    azurehitch.ExchangeProtocol
	Placer      Placer
	Connections *connpool.Pool
	// ConnectionShare returns how many connections to one server of a service this daemon may have
	// open.
	ConnectionShare func(service azurehitch.BackendService) int
	Breakers        *breaker.Breakers
	Backoffs        *backoff.Tracker
	// Limits contains the rate limits of servers. OnNotice adds to them.
	Limits *serverlimit.Tracker
	// Rejections limits the rejections by brittle servers.
	Rejections *rejectbudget.Tracker
	// Allowances charges requests to the allowances of their accounts; nil charges none.
	Allowances Allowances
	// ConfigurationAge returns the time for which the configuration in force has not been confirmed. It is
	// needed only with Settings.MaxConfigurationAge.
	ConfigurationAge func() time.Duration
	// Quarantine refuses requests that crash servers.
	Quarantine Quarantine
	// Streams knows the software versions that began streams.
	Streams Streams
	// OnNotice handles the notice in a response: the server is shutting down, requests a backoff or
	// names a rate limit. Rejections handles that of a brittle server.
	OnNotice func(server azurehitch.ServerIdentity, notice azurehitch.ServerNotice)
	Budget   RetryBudget
	// Hedges decides about second tries of calls; nil means that there are none. ListedServers returns the
	// listed servers of a service for them.
	Hedges        Hedges
	ListedServers func(service string) []azurehitch.FleetServer
	Clock         azurehitch.Clock
	Logs          *logging.Logs
	Metrics       *metrics.Metrics
}

// Server serves the callers.
type Server struct {
	Dependencies
	settings  Settings
	http      *fasthttp.Server
	startedAt time.Time
	// lifeCtx ends when all requests are to end.
	lifeCtx   context.Context
	cancelAll context.CancelCauseFunc
	drain     *drainState
	// runTimes knows how long the requests of each route take at servers.
	runTimes *runtimes.Tracker

	mu     sync.Mutex
	active int
	// listener is that of Serve; nil before.
	listener *callerconn.Listener
}

// NewServer returns a Server.
func NewServer(dependencies Dependencies, settings Settings) *Server {
	s := &Server{
		Dependencies: dependencies, settings: settings, startedAt: dependencies.Clock.Now(),
		drain: newDrainState(), runTimes: runtimes.NewTracker(dependencies.Clock),
	}
	s.lifeCtx, s.cancelAll = context.WithCancelCause(context.Background())
	s.http = &fasthttp.Server{
		Handler:                      s.handle,
		ErrorHandler:                 s.handleProtocolError,
		HeaderReceived:               s.headReceived,
		ExpectHandler:                s.expectBody,
		StreamRequestBody:            true,
		MaxRequestBodySize:           settings.MaxBodyBytes,
		ReadBufferSize:               settings.MaxHeaderBytes,
		ReadTimeout:                  settings.ReadTimeout,
		IdleTimeout:                  settings.IdleTimeout,
		Concurrency:                  settings.MaxConnections + surplusConnections,
		Logger:                       discardLogger{},
		NoDefaultServerHeader:        true,
		NoDefaultDate:                true,
		NoDefaultContentType:         true,
		DisablePreParseMultipartForm: true,
		CloseOnShutdown:              true,
		ConnState:                    callerconn.StateChanged,
	}
	return s
}

// discardLogger drops the log lines of the HTTP library: metrics count the same events.
type discardLogger struct{}

// Printf implements fasthttp.Logger.
func (discardLogger) Printf(string, ...any) {}

// Serve accepts connections of callers until the listener is closed.
func (s *Server) Serve(listener net.Listener) error {
	return errors.Wrap(s.http.Serve(s.listen(listener)), "serve callers")
}

func (s *Server) listen(listener net.Listener) net.Listener {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listener = callerconn.Listen(lingerconn.Listen(listener, s.Clock, refusedLinger), s.Clock, s.recordClosure).WithMaxConns(s.settings.MaxConnections)
	return s.listener
}

// CancelRequests ends all requests in progress: requests without a response are refused, and
// streams are cut.
func (s *Server) CancelRequests() { s.cancelAll(errStopped) }

// Stop closes the listener and the idle connections, and waits for the requests in progress until
// the context ends.
func (s *Server) Stop(ctx context.Context) error {
	s.mu.Lock()
	listener := s.listener
	s.mu.Unlock()
	return errors.Wrap(listener.Shutdown(ctx, s.http), "wait for requests in progress")
}

// ActiveRequests returns the number of requests in progress.
func (s *Server) ActiveRequests() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.active
}

func (s *Server) requestStarted() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active++
	s.Metrics.Add(metrics.RequestsAccepted, 1)
	s.Metrics.Add(metrics.RequestsInProgress, 1)
}

func (s *Server) requestEnded() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active--
	s.Metrics.Add(metrics.RequestsInProgress, -1)
}
