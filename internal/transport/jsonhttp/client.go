// Package jsonhttp provides JSON over HTTP for the clients of the platform's services, for the
// administration API and for the stand-ins.
//
// # Usage
//
//	client := jsonhttp.NewClient("http://127.0.0.1:7001", "daemon-1")
//	var answer Answer
//	if err := client.Call(ctx, http.MethodGet, "/v1/state", nil, &answer); err != nil {
//		return err
//	}
//
// A failed call returns an *ErrCall, which tells whether the server may have processed the request,
// or an *ErrStatus with the response of the server. Calls are never retried.
package jsonhttp

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"strings"
	"time"

	"azurehitch"
	"azurehitch/internal/transport/countconn"
	"azurehitch/internal/transport/idleconn"
	"azurehitch/internal/transport/responsehead"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

const (
	// defaultCallTimeout bounds calls whose context has no deadline.
	defaultCallTimeout = 5 * time.Second
	maxConnections     = 512
	maxAnswerBytes     = 64 << 20
	maxIdleTime        = 30 * time.Second
)

// ErrCall is returned for a call that got no usable response.
type ErrCall struct {
	Method string
	Path   string
	// Sent is false only when no byte of the request can have reached the server.
	Sent  bool
	Cause error
}

// Error implements error.
func (e *ErrCall) Error() string {
	return fmt.Sprintf("%s %s got no answer (sent: %t): %v", e.Method, e.Path, e.Sent, e.Cause)
}

// Unwrap returns the cause.
func (e *ErrCall) Unwrap() error { return e.Cause }

// ErrStatus is returned for a response with a status other than 2xx.
type ErrStatus struct {
	Method string
	Path   string
	Status int
	Body   []byte
}

// Error implements error.
func (e *ErrStatus) Error() string {
	return fmt.Sprintf("%s %s answered %d: %s", e.Method, e.Path, e.Status, strings.TrimSpace(string(e.Body)))
}

// Client calls one server.
type Client struct {
	base   string
	agent  string
	bearer string
	http   *fasthttp.Client
}

// NewClient returns a client of the server at base, such as http://127.0.0.1:7001. The default
// scheme is http. The agent names the calling process in the User-Agent header.
func NewClient(base, agent string) *Client {
	if !strings.Contains(base, "://") {
		base = "http://" + base
	}
	return &Client{
		base:  strings.TrimSuffix(base, "/"),
		agent: agent,
		http: &fasthttp.Client{
			Name:                          agent,
			Dial:                          dialCounted,
			MaxConnsPerHost:               maxConnections,
			MaxIdleConnDuration:           maxIdleTime,
			MaxResponseBodySize:           maxAnswerBytes,
			MaxIdemponentCallAttempts:     1,
			RetryIfErr:                    NeverRetry,
			NoDefaultUserAgentHeader:      true,
			DisableHeaderNamesNormalizing: false,
		},
	}
}

// WithMaxAnswer returns a client that accepts response bodies up to size. It shares no connections
// with c.
func (c Client) WithMaxAnswer(size azurehitch.ByteSize) *Client {
	bounded := NewClient(c.base, c.agent)
	bounded.bearer = c.bearer
	bounded.http.MaxResponseBodySize = int(size)
	return bounded
}

func dialCounted(address string) (net.Conn, error) {
	conn, err := fasthttp.Dial(address)
	if err != nil {
		return nil, err
	}
	return countconn.Wrap(responsehead.Wrap(idleconn.Wrap(conn))), nil
}

// WithBearer returns a copy that sends key as the bearer token of each call. It shares the
// connections of c.
func (c Client) WithBearer(key string) *Client {
	c.bearer = key
	return &c
}

// NeverRetry is a RetryIfErr function of fasthttp that disables retries.
func NeverRetry(*fasthttp.Request, int, error) (resetTimeout, retry bool) { return false, false }

// Call sends in as JSON, unless in is nil, and decodes the JSON response into out, unless out is
// nil. An in of type []byte is sent as is, and an out of type *[]byte receives the response body as
// is.
func (c *Client) Call(ctx context.Context, method, path string, in, out any) error {
	_, err := c.call(ctx, call{method: method, path: path, in: in, out: out})
	return err
}

// CallWithHeader is like Call, and also returns the header field name of the response, which may be one with
// an error status.
func (c *Client) CallWithHeader(ctx context.Context, method, path, name string, in, out any) (value string, err error) {
	return c.call(ctx, call{method: method, path: path, in: in, out: out, header: name})
}

// CallTagged reads a resource that rarely changes. It sends tag, the ETag of an earlier response, in
// If-None-Match and returns the ETag of this response. If the resource is unchanged, CallTagged
// returns tag and does not modify out.
func (c *Client) CallTagged(ctx context.Context, method, path, tag string, out any) (string, error) {
	received, err := c.call(ctx, call{method: method, path: path, tag: tag, out: out, header: fasthttp.HeaderETag})
	if errors.Is(err, errNotModified) {
		return tag, nil
	}
	return received, err
}

// errNotModified reports that a resource still has the tag of the call.
var errNotModified = errors.New("the resource is unchanged")

// call is one call and where its response goes.
type call struct {
	method string
	path   string
	// tag is sent in If-None-Match unless it is empty.
	tag string
	in  any
	out any
	// header is the field of the response that is returned.
	header string
}

func (c *Client) call(ctx context.Context, call call) (header string, err error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI(c.base + call.path)
	req.Header.SetMethod(call.method)
	req.Header.SetUserAgent(c.agent)
	if c.bearer != "" {
		req.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+c.bearer)
	}
	if call.tag != "" {
		req.Header.Set(fasthttp.HeaderIfNoneMatch, call.tag)
	}
	if err := setBody(req, call.in); err != nil {
		return "", err
	}
	if err := ctx.Err(); err != nil {
		return "", &ErrCall{Method: call.method, Path: call.path, Cause: err}
	}
	if err := idleconn.Send(func() error { return c.http.DoDeadline(req, resp, deadlineOf(ctx)) }); err != nil {
		c.dropIdle(err)
		return "", &ErrCall{Method: call.method, Path: call.path, Sent: !IsDialError(err), Cause: err}
	}
	if call.header != "" {
		header = string(resp.Header.Peek(call.header))
	}
	if call.tag != "" && resp.StatusCode() == fasthttp.StatusNotModified {
		return header, errNotModified
	}
	if resp.StatusCode()/100 != 2 {
		body := append([]byte(nil), resp.Body()...)
		return header, &ErrStatus{Method: call.method, Path: call.path, Status: resp.StatusCode(), Body: body}
	}
	return header, decodeBody(resp, call.out)
}

// dropIdle closes the idle connections after a call without an answer in time: what silenced its connection may
// have silenced them too, and each would cost a call its whole timeout.
func (c *Client) dropIdle(err error) {
	var timeout interface{ Timeout() bool }
	if errors.As(err, &timeout) && timeout.Timeout() {
		c.http.CloseIdleConnections()
	}
}

func setBody(req *fasthttp.Request, in any) error {
	switch body := in.(type) {
	case nil:
		return nil
	case []byte:
		req.SetBody(body)
		return nil
	}
	encoded, err := json.Marshal(in)
	if err != nil {
		return errors.Wrap(err, "encode request")
	}
	req.Header.SetContentType("application/json")
	req.SetBody(encoded)
	return nil
}

func decodeBody(resp *fasthttp.Response, out any) error {
	switch target := out.(type) {
	case nil:
		return nil
	case *[]byte:
		*target = append([]byte(nil), resp.Body()...)
		return nil
	}
	return errors.Wrap(json.Unmarshal(resp.Body(), out), "decode answer")
}

// deadlineOf returns the deadline of the context, or else one after defaultCallTimeout.
func deadlineOf(ctx context.Context) time.Time {
	if deadline, ok := ctx.Deadline(); ok {
		return deadline
	}
	return time.Now().Add(defaultCallTimeout)
}

// IsDialError reports whether a call failed because it got no connection, so that nothing was sent.
func IsDialError(err error) bool {
	if errors.Is(err, idleconn.ErrStale) || errors.Is(err, fasthttp.ErrDialTimeout) || errors.Is(err, fasthttp.ErrNoFreeConns) {
		return true
	}
	var opErr *net.OpError
	return errors.As(err, &opErr) && opErr.Op == "dial"
}
