// Package backend sends requests to backend servers.
//
// # Usage
//
//	transport := backend.NewTransport(clock, observer)
//	exchange, err := transport.Send(ctx, call)
//	defer exchange.Close()
//
// Errors are of type *ErrAttempt, which tells whether the server may have run the request.
package backend

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"time"

	"azurehitch"
	"azurehitch/internal/configuration/tables"
	"azurehitch/internal/forward/breaker"
	"azurehitch/internal/transport/idleconn"
	"azurehitch/internal/transport/jsonhttp"
	"azurehitch/internal/transport/pinnedhttp"
	"azurehitch/internal/transport/responsehead"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

const (
	maxConnections      = 4096
	maxIdleTime         = 20 * time.Second
	responseBufferBytes = 16 << 10
	headerBufferBytes   = 16 << 10
)

// Observer receives events of a transport.
type Observer interface {
	BreakerOpened(server string)
}

// HeaderNotRun is the response header of a backend server that did not run a request. Its value is
// a NotRunReason.
const HeaderNotRun = "X-Not-Run"

// NotRunReason is why a backend server did not run a request.
type NotRunReason string

// The values are those of the header HeaderNotRun.
const (
	NotRunLeaving   NotRunReason = "Leaving"
	NotRunNotLoaded NotRunReason = "NotLoaded"
	NotRunBusy      NotRunReason = "Busy"
	// NotRunCancelled means that the server cancelled the request for a request of higher priority,
	// before it sent any part of a response.
	NotRunCancelled NotRunReason = "Cancelled"
)

// ErrAttempt is the failure of an attempt at a backend server.
type ErrAttempt struct {
	Server string
	// Run tells whether the server may have run the request.
	Run azurehitch.RunState
	// Reason is the value of HeaderNotRun if the server rejected the request, and otherwise empty.
	Reason NotRunReason
	Cause  error
}

// Error implements error.
func (e *ErrAttempt) Error() string {
	return fmt.Sprintf("backend server %s (%s): %v", e.Server, e.Run, e.Cause)
}

// Unwrap returns the cause.
func (e *ErrAttempt) Unwrap() error { return e.Cause }

// Call is one attempt at a backend server.
type Call struct {
	Server  tables.BackendServer
	Request *fasthttp.Request
	// AtMostOnce sends the request over a new connection, so that a failure to connect proves that
	// it was not run.
	AtMostOnce bool
}

// Exchange is a response whose body may not have arrived completely.
type Exchange struct {
	Response *fasthttp.Response
	conn     *pinnedhttp.Conn
}

// Body returns the body as a stream.
func (e *Exchange) Body() io.Reader {
	if stream := e.Response.BodyStream(); stream != nil {
		return stream
	}
	return bytes.NewReader(e.Response.Body())
}

// Close releases the response. If the body was not read to its end, the connection is closed, which
// shows the server that the caller has disconnected.
func (e *Exchange) Close() {
	// An error of closing the body affects only this connection.
	_ = e.Response.CloseBodyStream()
	fasthttp.ReleaseResponse(e.Response)
	if e.conn != nil {
		_ = e.conn.Close()
	}
}

// Transport sends requests to backend servers, with a circuit breaker for each server.
type Transport struct {
	client   *fasthttp.Client
	breakers *breaker.Breakers
	observer Observer
}

// NewTransport returns a transport that makes no retries of its own.
func NewTransport(clock azurehitch.Clock, observer Observer) *Transport {
	return &Transport{
		client: &fasthttp.Client{
			Dial:                      dial,
			MaxConnsPerHost:           maxConnections,
			MaxIdleConnDuration:       maxIdleTime,
			ReadBufferSize:            headerBufferBytes,
			StreamResponseBody:        true,
			MaxResponseBodySize:       responseBufferBytes,
			MaxIdemponentCallAttempts: 1,
			RetryIfErr:                jsonhttp.NeverRetry,
			NoDefaultUserAgentHeader:  true,
		},
		breakers: breaker.NewBreakers(clock),
		observer: observer,
	}
}

func dial(address string) (net.Conn, error) {
	conn, err := fasthttp.Dial(address)
	if err != nil {
		return nil, err
	}
	return responsehead.Wrap(idleconn.Wrap(conn)), nil
}

// IsOpen reports whether the circuit breaker of a server is open.
func (t *Transport) IsOpen(server tables.BackendServer) bool {
	return t.breakers.IsOpen(server.Address)
}

// Send makes one attempt. The error is an *ErrAttempt.
func (t *Transport) Send(ctx context.Context, call Call) (*Exchange, error) {
	address := call.Server.Address
	if !t.breakers.Allow(address) {
		return nil, call.failed(azurehitch.RunStateNotRun, errors.New("circuit breaker is open"))
	}
	exchange, err := t.send(ctx, call)
	if err != nil {
		if t.breakers.Failed(address) {
			t.observer.BreakerOpened(call.Server.Name)
		}
		return nil, err
	}
	t.breakers.Succeeded(address)
	return call.checkRejection(exchange)
}

func (t *Transport) send(ctx context.Context, call Call) (*Exchange, error) {
	call.Request.SetRequestURI("http://" + call.Server.Address + string(call.Request.RequestURI()))
	if call.AtMostOnce {
		return call.sendPinned(ctx)
	}
	deadline, ok := ctx.Deadline()
	if !ok {
		return nil, call.failed(azurehitch.RunStateNotRun, errors.New("no deadline"))
	}
	resp := fasthttp.AcquireResponse()
	if err := idleconn.Send(func() error { return t.client.DoDeadline(call.Request, resp, deadline) }); err != nil {
		fasthttp.ReleaseResponse(resp)
		run := azurehitch.RunStateUnknown
		if jsonhttp.IsDialError(err) {
			run = azurehitch.RunStateNotRun
		}
		return nil, call.failed(run, err)
	}
	return &Exchange{Response: resp}, nil
}

func (c Call) sendPinned(ctx context.Context) (*Exchange, error) {
	conn, err := pinnedhttp.Dial(ctx, c.Server.Address)
	if err != nil {
		return nil, c.failed(azurehitch.RunStateNotRun, err)
	}
	resp := fasthttp.AcquireResponse()
	if err := conn.Do(ctx, c.Request, resp); err != nil {
		fasthttp.ReleaseResponse(resp)
		// The error of the request is returned, not that of closing the connection.
		_ = conn.Close()
		return nil, c.failed(azurehitch.RunStateUnknown, err)
	}
	return &Exchange{Response: resp, conn: conn}, nil
}

func (c Call) failed(run azurehitch.RunState, cause error) *ErrAttempt {
	return &ErrAttempt{Server: c.Server.Name, Run: run, Cause: cause}
}

// checkRejection returns an *ErrAttempt if the server has rejected the request with HeaderNotRun.
func (c Call) checkRejection(exchange *Exchange) (*Exchange, error) {
	reason := NotRunReason(exchange.Response.Header.Peek(HeaderNotRun))
	if reason == "" {
		return exchange, nil
	}
	exchange.Close()
	return nil, &ErrAttempt{
		Server: c.Server.Name, Run: azurehitch.RunStateNotRun, Reason: reason, Cause: errors.Errorf("refused: %s", reason),
	}
}
