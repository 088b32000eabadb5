// Package connpool sends HTTP requests to backend servers over a connection pool that a whole
// daemon shares.
//
// # Usage
//
//	pool := connpool.New(clock, connpool.DefaultLimits())
//	exchange, err := pool.Do(ctx, "10.0.0.7:8080", request, connpool.Options{})
//	defer exchange.Close()
//	body, err := exchange.ReadWhole(1 << 20)
//
// The pool never retries a request. An *ErrExchange tells whether a byte of the request may have
// reached the server. A connection is reused only after a complete response with no further data
// behind it. The pool closes an idle connection earlier than the server would. The server may still
// close an idle connection just when a request is sent on it, and it is then unknown whether the
// request ran. Code that sends a request which must not run twice therefore sets Options.Fresh.
package connpool

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync"
	"time"

	"azurehitch"
	"azurehitch/internal/memory/admission"
	"azurehitch/internal/transport/resetconn"
	"azurehitch/internal/transport/tcpoption"

	"github.com/pkg/errors"
)

const (
	dialTimeout = 700 * time.Millisecond
	// unackedTimeout is how long sent bytes may stay unacknowledged before the
	// connection counts as broken.
	unackedTimeout = 2 * time.Second
	// defaultIdleTime is how long an idle connection is kept if the server doesn't announce how
	// long it keeps the connection open.
	defaultIdleTime = 2 * time.Second
	// maxIdleTime bounds the idle time of a connection when the server announces a longer one.
	maxIdleTime = 10 * time.Second
	// idleMargin is subtracted from the idle time that the server announces, so that the pool closes
	// the connection first.
	idleMargin = 700 * time.Millisecond
	// sweepInterval is how often expired idle connections are closed.
	sweepInterval = time.Second
)

// ErrExchange is returned for an exchange without a complete response.
type ErrExchange struct {
	Address string
	// Sent is false only when no byte of the request can have reached the server.
	Sent bool
	// NewConnection is true when the connection was dialed for this request.
	NewConnection bool
	Cause         error
}

// Error implements error.
func (e *ErrExchange) Error() string {
	return fmt.Sprintf("exchange with %s (sent: %t, new connection: %t): %v", e.Address, e.Sent, e.NewConnection, e.Cause)
}

// Unwrap returns the cause.
func (e *ErrExchange) Unwrap() error { return e.Cause }

// errSendDenied is returned when Options.MaySend returned false.
var errSendDenied = errors.New("the request may not be sent any more")

// errTooManyConnections is returned when Options.MaxOpen connections to the server are in use.
var errTooManyConnections = errors.New("too many connections in use")

// ErrDialDeadline is the cause of an exchange whose dial was given up at Options.DialBy.
var ErrDialDeadline = errors.New("no time is left to dial")

// ResponsePart is a part of a response whose size is bounded.
type ResponsePart string

// The parts of responses. Their values appear in error texts.
const (
	// PartHead is the status line and the header fields.
	PartHead ResponsePart = "Head"
	// PartInterim is the interim (1xx) heads before the final head.
	PartInterim  ResponsePart = "InterimHeads"
	PartTrailers ResponsePart = "Trailers"
	PartBody     ResponsePart = "Body"
	// PartEvent is one event of a stream.
	PartEvent ResponsePart = "Event"
)

// ErrTooLarge is returned when a part of a response exceeds its bound.
type ErrTooLarge struct {
	Part ResponsePart
	// Bound is in bytes; for PartInterim it is a number of heads.
	Bound int64
}

// Error implements error.
func (e *ErrTooLarge) Error() string {
	return fmt.Sprintf("%s is beyond the bound of %d", e.Part, e.Bound)
}

// Limits bound how much of a response is read, so that a server that sends without end can't
// exhaust the memory of the host.
type Limits struct {
	// Head bounds the status line and header fields of a response.
	Head azurehitch.ByteSize
	// InterimHeads is how many interim (1xx) heads may precede the final head.
	InterimHeads int
	// Trailers bounds the trailers after the last chunk of a body.
	Trailers azurehitch.ByteSize
	// Memory bounds the memory for the bodies of all responses together.
	Memory azurehitch.ByteSize
}

// DefaultLimits returns the limits of a host with plenty of memory.
func DefaultLimits() Limits {
	return Limits{Head: 16 << 10, InterimHeads: 8, Trailers: 8 << 10, Memory: 256 << 20}
}

// Options select the connection for an exchange.
type Options struct {
	// Fresh dials a new connection, which is closed after this exchange. It is not kept for reuse,
	// because requests with Fresh never use idle connections, and their connections would add up.
	Fresh bool
	// MaxOpen bounds the open connections to the server, including idle ones; 0 means no bound. Idle
	// connections are closed when a new connection would exceed the bound.
	MaxOpen int
	// Direct opens the connection from this host, whatever the Dialer of the pool does.
	Direct bool
	// DialBy is when the dial of a new connection is given up with ErrDialDeadline; zero sets no time.
	DialBy time.Time
	// DiscardUndelivered discards the bytes of the request that the server's host has not received by the deadline of
	// the context, or when this process ends, also if the process is frozen or killed meanwhile. It is for requests
	// with Fresh.
	DiscardUndelivered bool
	// MaySend is called immediately before the first byte is sent; if it returns false, nothing is
	// sent. nil always allows the send.
	MaySend func() bool
}

// Dialer opens connections to backend servers.
type Dialer interface {
	// Dial returns a connection to a server. The error implies that no byte has reached the server.
	Dial(ctx context.Context, address string) (net.Conn, error)
}

// DirectDialer opens a TCP connection from this host.
type DirectDialer struct{}

// Dial implements Dialer.
func (DirectDialer) Dial(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout, Control: tcpoption.UnackedTimeout(unackedTimeout), KeepAlive: -1}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return resetconn.Wrap(conn), nil
}

// Pool holds the connections of one daemon to backend servers.
type Pool struct {
	clock  azurehitch.Clock
	limits Limits
	// direct opens the connections of exchanges with Options.Direct, and dialer those of the others.
	direct Dialer
	dialer Dialer
	memory *admission.Budget

	mu sync.Mutex
	// servers is keyed by address.
	servers map[string]*serverConns
}

// serverConns holds the connections to one address.
type serverConns struct {
	// inUse is the number of connections that exchanges use or are dialing.
	inUse int
	// idle is ordered by last use, the least recently used connection first.
	idle []*conn
	// awaiting are the reused connections on which a response is awaited.
	awaiting map[*conn]struct{}
	// maxOpen is the last non-zero Options.MaxOpen of a request to this address; 0 means no bound.
	maxOpen int
}

// New returns an empty pool.
func New(clock azurehitch.Clock, limits Limits) *Pool {
	return &Pool{
		clock: clock, limits: limits, direct: DirectDialer{}, dialer: DirectDialer{},
		memory: admission.New(admission.NewLimits(limits.Memory), clock), servers: map[string]*serverConns{},
	}
}

// WithDialer makes the pool open its connections with a Dialer other than DirectDialer, and returns the
// pool. It must be called before the pool is used.
func (p *Pool) WithDialer(dialer Dialer) *Pool {
	p.direct, p.dialer = dialer, dialer
	return p
}

// Dialer returns the Dialer of exchanges with Options.Direct.
func (p *Pool) Dialer() Dialer { return p.direct }

// WithPathDialer makes the pool open the connections of exchanges without Options.Direct with another
// Dialer, and returns the pool. It must be called before the pool is used.
func (p *Pool) WithPathDialer(dialer Dialer) *Pool {
	p.dialer = dialer
	return p
}

// CloseIdle closes the idle connections to a server.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s, ok := p.servers[address]; ok {
		closeAll(s.idle)
		s.idle = nil
	}
}

// Memory returns the memory budget that the response bodies of all exchanges share.
func (p *Pool) Memory() *admission.Budget { return p.memory }

// Run closes expired idle connections until the context ends, and then all idle connections. It
// always returns nil.
func (p *Pool) Run(ctx context.Context) error {
	for p.clock.Sleep(ctx, sweepInterval) == nil {
		p.sweep(p.clock.Now())
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, s := range p.servers {
		closeAll(s.idle)
		delete(p.servers, address)
	}
	return nil
}

func (p *Pool) sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, s := range p.servers {
		kept := s.idle[:0]
		for _, c := range s.idle {
			if now.Before(c.expires) {
				kept = append(kept, c)
				continue
			}
			c.close()
		}
		s.idle = kept
		if s.inUse == 0 && len(s.idle) == 0 {
			delete(p.servers, address)
		}
	}
}

func closeAll(conns []*conn) {
	for _, c := range conns {
		c.close()
	}
}

// acquire returns a reused idle connection if the options allow it, or else a new one.
func (p *Pool) acquire(ctx context.Context, address string, options Options) (*conn, error) {
	idle, err := p.reserve(address, options)
	if err != nil || idle != nil {
		return idle, err
	}
	c, err := p.dial(ctx, address, options)
	if err != nil {
		p.release(address)
		return nil, err
	}
	return c, nil
}

// reserve counts one more connection as in use. It returns an idle connection, or nil without an
// error if acquire must dial a new one.
func (p *Pool) reserve(address string, options Options) (*conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s, ok := p.servers[address]
	if !ok {
		s = &serverConns{awaiting: map[*conn]struct{}{}}
		p.servers[address] = s
	}
	if options.MaxOpen > 0 && s.inUse >= options.MaxOpen {
		return nil, errTooManyConnections
	}
	s.inUse++
	if options.MaxOpen > 0 {
		s.maxOpen = options.MaxOpen
	}
	if !options.Fresh {
		if c := s.takeIdle(p.clock.Now()); c != nil {
			return c, nil
		}
	}
	s.closeSurplusIdle()
	return nil, nil
}

// takeIdle returns the most recently used idle connection that is still usable, or nil.
func (s *serverConns) takeIdle(now time.Time) *conn {
	for len(s.idle) > 0 {
		c := s.idle[len(s.idle)-1]
		s.idle = s.idle[:len(s.idle)-1]
		if now.Before(c.expires) && c.isHealthy() {
			return c
		}
		c.close()
	}
	return nil
}

// closeSurplusIdle closes the least recently used idle connections while more than maxOpen-1
// connections are open. One connection below the bound is left free, so that a new connection can be
// opened before the server has noticed that an old one was closed.
func (s *serverConns) closeSurplusIdle() {
	if s.maxOpen == 0 {
		return
	}
	if surplus := len(s.idle) - max(s.maxOpen-s.inUse-1, 0); surplus > 0 {
		closeAll(s.idle[:surplus])
		s.idle = slices.Delete(s.idle, 0, surplus)
	}
}

func (p *Pool) dial(ctx context.Context, address string, options Options) (*conn, error) {
	dialer := p.dialer
	if options.Direct {
		dialer = p.direct
	}
	dialCtx, cancel := ctx, context.CancelFunc(func() {})
	if !options.DialBy.IsZero() {
		dialCtx, cancel = context.WithDeadline(ctx, options.DialBy)
	}
	defer cancel()
	opened, err := dialer.Dial(dialCtx, address)
	switch {
	case err != nil && ctx.Err() == nil && !options.DialBy.IsZero() && !p.clock.Now().Before(options.DialBy):
		return nil, ErrDialDeadline
	case err != nil:
		return nil, errors.Wrap(err, "dial")
	}
	return newConn(opened, int(p.limits.Head)), nil
}

// release counts one connection to an address as no longer in use.
func (p *Pool) release(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s, ok := p.servers[address]; ok {
		s.inUse--
	}
}

// putIdle keeps a connection for a later request. keepAlive is the idle time that the server
// announced, or 0.
func (p *Pool) putIdle(address string, c *conn, keepAlive time.Duration) {
	idleTime := defaultIdleTime
	if keepAlive > 0 {
		idleTime = min(keepAlive-idleMargin, maxIdleTime)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	s, ok := p.servers[address]
	if !ok || idleTime <= 0 {
		c.close()
		return
	}
	c.expires = p.clock.Now().Add(idleTime)
	s.idle = append(s.idle, c)
	s.closeSurplusIdle()
}
