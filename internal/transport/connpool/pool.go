// Package connpool exchanges requests with backend servers over connections that the
// whole daemon shares.
//
// # Usage
//
//	pool := connpool.New(clock, connpool.DefaultLimits())
//	exchange, err := pool.Do(ctx, "10.0.0.7:8080", request, connpool.Options{})
//	defer exchange.Close()
//	body, err := exchange.ReadWhole(1 << 20)
//
// A request is sent once. An *ErrExchange tells whether a byte of it may have reached
// the server. A connection is used again only after a whole answer with nothing behind
// it, and for less time than the server keeps it. A connection that the server may be
// closing just then is a risk for a request that must not run twice: such a request
// asks for a fresh one.
package connpool

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync"
	"time"

	"azurehitch"
	"azurehitch/internal/transport/membudget"

	"github.com/pkg/errors"
)

const (
	dialTimeout = 700 * time.Millisecond
	// unackedTimeout is how long sent bytes may stay unacknowledged before the
	// connection counts as broken.
	unackedTimeout = 2 * time.Second
	// defaultIdleTime is how long an idle connection is kept when the server doesn't
	// say how long it keeps it.
	defaultIdleTime = 2 * time.Second
	// longestIdleTime bounds it.
	longestIdleTime = 10 * time.Second
	// idleMargin is taken off the time for which the server keeps a connection.
	idleMargin = 700 * time.Millisecond
	// sweepInterval is how often expired connections are closed.
	sweepInterval = time.Second
)

// ErrExchange is an exchange without a whole answer.
type ErrExchange struct {
	Address string
	// Sent is false only when no byte of the request can have reached the server.
	Sent bool
	// New is true when the connection had been made for the request.
	New   bool
	Cause error
}

// Error implements error.
func (e *ErrExchange) Error() string {
	return fmt.Sprintf("exchange with %s (sent: %t, new connection: %t): %v", e.Address, e.Sent, e.New, e.Cause)
}

// Unwrap returns the cause.
func (e *ErrExchange) Unwrap() error { return e.Cause }

// errDenied says that the caller doesn't want the request to be sent any more.
var errDenied = errors.New("the request may not be sent any more")

// errTooManyConnections says that all connections to a server that may be open are in use.
var errTooManyConnections = errors.New("too many connections in use")

// AnswerPart is a part of an answer that has a bound.
type AnswerPart string

// The parts of answers.
const (
	PartHead     AnswerPart = "Head"
	PartInterim  AnswerPart = "InterimHeads"
	PartTrailers AnswerPart = "Trailers"
	PartBody     AnswerPart = "Body"
	PartEvent    AnswerPart = "Event"
)

// ErrTooLarge says that a part of an answer is beyond its bound.
type ErrTooLarge struct {
	Part AnswerPart
	// Bound is in bytes, for interim heads a number of heads.
	Bound int64
}

// Error implements error.
func (e *ErrTooLarge) Error() string {
	return fmt.Sprintf("%s is beyond the bound of %d", e.Part, e.Bound)
}

// Limits bound what is read of answers, so that a server that sends without end can't fill the
// memory of the host.
type Limits struct {
	// Head bounds a head.
	Head azurehitch.ByteSize
	// InterimHeads is the number of interim heads that may precede a head.
	InterimHeads int
	// Trailers bounds all that follows the last chunk of a body.
	Trailers azurehitch.ByteSize
	// Memory bounds the bodies that are held, of all answers together.
	Memory azurehitch.ByteSize
}

// DefaultLimits returns the limits of a host with plenty of memory.
func DefaultLimits() Limits {
	return Limits{Head: 16 << 10, InterimHeads: 8, Trailers: 8 << 10, Memory: 256 << 20}
}

// Options choose a connection.
type Options struct {
	// Fresh asks for a connection that is used for this exchange alone. It is closed afterwards:
	// requests that ask for fresh ones would only add to the idle ones.
	Fresh bool
	// MaxOpen bounds the connections to the server that are open, idle ones included; 0 doesn't.
	// Idle ones give way to new ones.
	MaxOpen int
	// MaySend is asked right before the first byte goes out; nil is always yes.
	MaySend func() bool
}

// Pool is the connections of one daemon to backend servers.
type Pool struct {
	clock  azurehitch.Clock
	limits Limits
	memory *membudget.Budget

	mu    sync.Mutex
	hosts map[string]*host
}

// host is the connections to one address.
type host struct {
	inUse int
	idle  []*conn
	// maxOpen is the number of connections that may be open by the last request that named it; 0 is
	// any.
	maxOpen int
}

// New returns a pool without connections.
func New(clock azurehitch.Clock, limits Limits) *Pool {
	return &Pool{clock: clock, limits: limits, memory: membudget.New(limits.Memory), hosts: map[string]*host{}}
}

// Memory is what the answers of all exchanges share.
func (p *Pool) Memory() *membudget.Budget { return p.memory }

// Run closes expired connections until the context ends, and then all idle ones.
func (p *Pool) Run(ctx context.Context) error {
	for p.clock.Sleep(ctx, sweepInterval) == nil {
		p.sweep(p.clock.Now())
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, h := range p.hosts {
		closeAll(h.idle)
		delete(p.hosts, address)
	}
	return nil
}

func (p *Pool) sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, h := range p.hosts {
		kept := h.idle[:0]
		for _, c := range h.idle {
			if now.Before(c.expires) {
				kept = append(kept, c)
				continue
			}
			c.close()
		}
		h.idle = kept
		if h.inUse == 0 && len(h.idle) == 0 {
			delete(p.hosts, address)
		}
	}
}

func closeAll(conns []*conn) {
	for _, c := range conns {
		c.close()
	}
}

// acquire returns a connection, from the idle ones if that is allowed.
func (p *Pool) acquire(ctx context.Context, address string, options Options) (*conn, error) {
	idle, err := p.reserve(address, options)
	if err != nil || idle != nil {
		return idle, err
	}
	c, err := p.dial(ctx, address)
	if err != nil {
		p.release(address)
		return nil, err
	}
	return c, nil
}

// reserve counts a connection as in use. It returns an idle one, or nil when one has to
// be dialed.
func (p *Pool) reserve(address string, options Options) (*conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h, ok := p.hosts[address]
	if !ok {
		h = &host{}
		p.hosts[address] = h
	}
	if options.MaxOpen > 0 && h.inUse >= options.MaxOpen {
		return nil, errTooManyConnections
	}
	h.inUse++
	if options.MaxOpen > 0 {
		h.maxOpen = options.MaxOpen
	}
	if !options.Fresh {
		if c := h.takeIdle(p.clock.Now()); c != nil {
			return c, nil
		}
	}
	h.keepIdle()
	return nil, nil
}

// takeIdle returns the idle connection that was used last, if one can still be used.
func (h *host) takeIdle(now time.Time) *conn {
	for len(h.idle) > 0 {
		c := h.idle[len(h.idle)-1]
		h.idle = h.idle[:len(h.idle)-1]
		if now.Before(c.expires) && c.isSilent() {
			return c
		}
		c.close()
	}
	return nil
}

// keepIdle closes the idle connections that were not used for longest where there are too many. One
// more may be opened then before the server has seen another closed.
func (h *host) keepIdle() {
	if h.maxOpen == 0 {
		return
	}
	if surplus := len(h.idle) - max(h.maxOpen-h.inUse-1, 0); surplus > 0 {
		closeAll(h.idle[:surplus])
		h.idle = slices.Delete(h.idle, 0, surplus)
	}
}

func (p *Pool) dial(ctx context.Context, address string) (*conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout, Control: setUnackedTimeout, KeepAlive: -1}
	tcp, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "dial")
	}
	return newConn(tcp, int(p.limits.Head)), nil
}

func (p *Pool) release(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if h, ok := p.hosts[address]; ok {
		h.inUse--
	}
}

// giveBack keeps a connection for another request.
func (p *Pool) giveBack(address string, c *conn, keepAlive time.Duration) {
	idleTime := defaultIdleTime
	if keepAlive > 0 {
		idleTime = min(keepAlive-idleMargin, longestIdleTime)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	h, ok := p.hosts[address]
	if !ok || idleTime <= 0 {
		c.close()
		return
	}
	c.expires = p.clock.Now().Add(idleTime)
	h.idle = append(h.idle, c)
	h.keepIdle()
}
