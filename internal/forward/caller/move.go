package caller

import (
	"context"
	"net/url"
	"time"

	"azurehitch/internal/configuration/tables"
	"azurehitch/internal/forward/backend"
	"azurehitch/internal/telemetry/metrics"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

// pathState is the path at which engines export and import the state of a request, which includes
// its KV cache.
const pathState = "/v1/kv"

// stateTimeout limits the time of an export of a state, and that of an import.
const stateTimeout = 2 * time.Second

// reconnect sends the request to the same server again, to resume after the last forwarded event.
// If the server rejects the request, for example because the model was unloaded to free memory,
// reconnect moves the request and its state to a server that has the model.
func (r *relay) reconnect() (tables.BackendServer, *backend.Exchange, error) {
	exchange, err := r.completion.send(r.server, r.resumePosition())
	var failed *backend.ErrAttempt
	if errors.As(err, &failed) && failed.Reason != "" {
		return r.move()
	}
	return r.server, exchange, err
}

// move transfers the state of the request to a server that has the model and resumes there.
func (r *relay) move() (tables.BackendServer, *backend.Exchange, error) {
	c := r.completion
	state, err := c.exportState(r.server)
	if err != nil {
		return r.server, nil, err
	}
	server, err := c.findReplica()
	if err != nil {
		return server, nil, err
	}
	if server.Name != r.server.Name {
		if err := c.importState(server, state); err != nil {
			return server, nil, err
		}
	}
	exchange, err := c.send(server, r.resumePosition())
	if err == nil {
		c.server.Metrics.Add(metrics.StreamsMoved, 1)
	}
	return server, exchange, err
}

// exportState reads the state of the request from a server.
func (c *completion) exportState(server tables.BackendServer) ([]byte, error) {
	return c.callEngine(server, fasthttp.MethodGet, pathState+"?id="+url.QueryEscape(c.id), nil)
}

func (c *completion) importState(server tables.BackendServer, state []byte) error {
	_, err := c.callEngine(server, fasthttp.MethodPost, pathState, state)
	return err
}

func (c *completion) callEngine(server tables.BackendServer, method, uri string, body []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(c.ctx, stateTimeout)
	defer cancel()
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetMethod(method)
	req.Header.SetUserAgent(c.server.Self.Daemon)
	req.SetRequestURI(uri)
	req.SetBodyRaw(body)
	exchange, err := c.server.Transport.Send(ctx, backend.Call{Server: server, Request: req})
	if err != nil {
		return nil, err
	}
	defer exchange.Close()
	response, err := readBody(server, exchange)
	if status := exchange.Response.StatusCode(); err == nil && status != fasthttp.StatusOK {
		return nil, errors.Errorf("state of %s at %s: status %d", c.id, server.Name, status)
	}
	return response, err
}
