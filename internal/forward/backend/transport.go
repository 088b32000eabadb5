// Package backend sends requests to backend servers.
//
// # Usage
//
//	transport := backend.NewTransport(clock, observer)
//	exchange, err := transport.Send(call)
//	defer exchange.Close()
//
// An *ErrAttempt tells whether the server may have run the request.
package backend

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"time"

	"azurehitch"
	"azurehitch/internal/configuration/tables"
	"azurehitch/internal/forward/breaker"
	"azurehitch/internal/transport/jsonhttp"
	"azurehitch/internal/transport/pinnedhttp"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

const (
	maxConnections      = 4096
	maxIdleTime         = 20 * time.Second
	responseBufferBytes = 16 << 10
	headerBufferBytes   = 16 << 10
)

// Observer is told of changes.
type Observer interface {
	BreakerOpened(server string)
}

// HeaderNotRun is the header by which a backend server says that it did not run
// a request, and why.
const HeaderNotRun = "X-Not-Run"

// NotRunReason is why a backend server did not run a request.
type NotRunReason string

// The reasons.
const (
	NotRunLeaving   NotRunReason = "Leaving"
	NotRunNotLoaded NotRunReason = "NotLoaded"
	NotRunBusy      NotRunReason = "Busy"
	// NotRunCancelled is a request that made room for one of higher priority. Nothing of
	// an answer was sent.
	NotRunCancelled NotRunReason = "Cancelled"
)

// ErrAttempt is an attempt at a backend server that brought no answer.
type ErrAttempt struct {
	Server string
	// Run says whether the server may have run the request.
	Run azurehitch.RunState
	// Reason is set when the server itself refused the request.
	Reason NotRunReason
	Cause  error
}

// Error implements error.
func (e *ErrAttempt) Error() string {
	return fmt.Sprintf("backend server %s (%s): %v", e.Server, e.Run, e.Cause)
}

// Unwrap returns the cause.
func (e *ErrAttempt) Unwrap() error { return e.Cause }

// Call is one attempt.
type Call struct {
	Server  tables.BackendServer
	Request *fasthttp.Request
	// AtMostOnce sends over a new connection, so that a failure to connect proves
	// that the request was not run.
	AtMostOnce bool
}

// Exchange is an answer whose body may still be arriving.
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

// Close frees the exchange. A body that was not read whole breaks the connection,
// which tells the server that the caller has gone.
func (e *Exchange) Close() {
	// A failure to close concerns only this connection.
	_ = e.Response.CloseBodyStream()
	fasthttp.ReleaseResponse(e.Response)
	if e.conn != nil {
		_ = e.conn.Close()
	}
}

// Transport sends attempts.
type Transport struct {
	client   *fasthttp.Client
	breakers *breaker.Breakers
	observer Observer
}

// NewTransport returns a transport.
func NewTransport(clock azurehitch.Clock, observer Observer) *Transport {
	return &Transport{
		client: &fasthttp.Client{
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

// IsOpen reports whether the breaker of a server is open.
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
	return call.checkRefusal(exchange)
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
	if err := t.client.DoDeadline(call.Request, resp, deadline); err != nil {
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
		// The failure that matters is reported.
		_ = conn.Close()
		return nil, c.failed(azurehitch.RunStateUnknown, err)
	}
	return &Exchange{Response: resp, conn: conn}, nil
}

func (c Call) failed(run azurehitch.RunState, cause error) *ErrAttempt {
	return &ErrAttempt{Server: c.Server.Name, Run: run, Cause: cause}
}

// checkRefusal turns the server's own refusal into an error.
func (c Call) checkRefusal(exchange *Exchange) (*Exchange, error) {
	reason := NotRunReason(exchange.Response.Header.Peek(HeaderNotRun))
	if reason == "" {
		return exchange, nil
	}
	exchange.Close()
	return nil, &ErrAttempt{
		Server: c.Server.Name, Run: azurehitch.RunStateNotRun, Reason: reason, Cause: errors.Errorf("refused: %s", reason),
	}
}
