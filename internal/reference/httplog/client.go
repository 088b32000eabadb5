// Package httplog is an HTTP client of the platform's append-only log.
//
// # Usage
//
//	log := httplog.NewClient("127.0.0.1:7000", "daemon-1")
//	offset, err := log.Append(ctx, "control", payload)
package httplog

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"sync"
	"time"

	"azurehitch"
	"azurehitch/internal/transport/jsonhttp"
	"azurehitch/internal/transport/pinnedhttp"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

// Client implements azurehitch.Log.
type Client struct {
	http    *jsonhttp.Client
	address string
	agent   string

	mu sync.Mutex
	// idle are the idle connections for reads. Reads use connections of their own, since
	// a long poll must end as soon as its context is done.
	idle []*pinnedhttp.Conn
}

// NewClient returns a client of the log at an address.
func NewClient(address, agent string) *Client {
	return &Client{http: jsonhttp.NewClient(address, agent), address: address, agent: agent}
}

type appendResponse struct{ Offset int64 }

// Append implements azurehitch.Log.
func (c *Client) Append(ctx context.Context, stream string, payload []byte) (int64, error) {
	var answer appendResponse
	if err := c.http.Call(ctx, http.MethodPost, streamPath(stream), payload, &answer); err != nil {
		return 0, appendError(err)
	}
	return answer.Offset, nil
}

// Read implements azurehitch.Log.
func (c *Client) Read(ctx context.Context, stream string, from int64, wait time.Duration) (azurehitch.Batch, error) {
	batch, err := c.read(ctx, fmt.Sprintf("%s?from=%d&wait=%s", streamPath(stream), from, wait))
	if err != nil {
		return azurehitch.Batch{}, &azurehitch.ErrLog{Operation: "read", Cause: err}
	}
	return batch, nil
}

func (c *Client) read(ctx context.Context, path string) (batch azurehitch.Batch, err error) {
	conn, err := c.takeConn(ctx)
	if err != nil {
		return batch, err
	}
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + c.address + path)
	req.Header.SetUserAgent(c.agent)
	if err := conn.Do(ctx, req, resp); err != nil {
		// The error of the request is returned; that of Close adds nothing.
		_ = conn.Close()
		return batch, err
	}
	c.putConn(conn)
	if resp.StatusCode() != http.StatusOK {
		return batch, errors.Errorf("status %d", resp.StatusCode())
	}
	return batch, errors.Wrap(json.Unmarshal(resp.Body(), &batch), "decode batch")
}

func (c *Client) takeConn(ctx context.Context) (*pinnedhttp.Conn, error) {
	if conn, ok := c.idleConn(); ok {
		return conn, nil
	}
	return pinnedhttp.DialControl(ctx, c.address)
}

func (c *Client) idleConn() (*pinnedhttp.Conn, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	last := len(c.idle) - 1
	if last < 0 {
		return nil, false
	}
	conn := c.idle[last]
	c.idle = c.idle[:last]
	return conn, true
}

func (c *Client) putConn(conn *pinnedhttp.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = append(c.idle, conn)
}

func streamPath(stream string) string { return "/v1/streams/" + url.PathEscape(stream) }

// appendError wraps an error of an append in an *azurehitch.ErrLog, which tells whether the
// append may have taken effect. It can't have if nothing was sent, or if the service rejected
// the request with a status below 500.
func appendError(err error) error {
	var call *jsonhttp.ErrCall
	var status *jsonhttp.ErrStatus
	mayHaveTakenEffect := true
	switch {
	case errors.As(err, &call):
		mayHaveTakenEffect = call.Sent
	case errors.As(err, &status):
		mayHaveTakenEffect = status.Status >= http.StatusInternalServerError
	}
	return &azurehitch.ErrLog{Operation: "append", MayHaveTakenEffect: mayHaveTakenEffect, Cause: err}
}
