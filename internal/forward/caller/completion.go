package caller

import (
	"encoding/json"
	"io"
	"strconv"
	"time"

	"azurehitch"
	"azurehitch/internal/configuration/tables"
	"azurehitch/internal/forward/backend"
	"azurehitch/internal/forward/refusal"
	"azurehitch/internal/forward/router"
	"azurehitch/internal/placement/directory"
	"azurehitch/internal/proof/sabotage"
	"azurehitch/internal/telemetry/metrics"
	"azurehitch/internal/telemetry/tracing"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
	"go.opentelemetry.io/otel/attribute"
)

// The headers of the engines' protocol.
const (
	headerEngineModel      = "X-Engine-Model"
	headerEngineVersion    = "X-Engine-Version"
	headerEngineAdapter    = "X-Engine-Adapter"
	headerEnginePriority   = "X-Engine-Priority"
	headerEngineResumeFrom = "X-Engine-Resume-From"
)

const (
	maxAttempts = 4
	// breakerPollInterval is how often a request checks its servers while all breakers are open.
	breakerPollInterval = 50 * time.Millisecond
	maxResponseBytes    = 64 << 20
)

// completionBody has the fields of a request body that the daemon reads. The body itself is
// forwarded to the engine unchanged.
type completionBody struct {
	Model     string `json:"model"`
	Stream    bool   `json:"stream"`
	MaxTokens *int   `json:"max_tokens"`
}

func (b completionBody) check() error {
	if b.Model == "" {
		return azurehitch.Refuse(azurehitch.CodeInvalidRequest, "model is missing")
	}
	if b.MaxTokens != nil && *b.MaxTokens <= 0 {
		return azurehitch.Refuse(azurehitch.CodeInvalidRequest, "max_tokens is not positive")
	}
	return nil
}

func (r *request) serveCompletion() {
	if !r.http.IsPost() {
		r.refuse(azurehitch.Refuse(azurehitch.CodeInvalidRequest, "completions take POST"))
		return
	}
	var body completionBody
	if err := json.Unmarshal(r.http.PostBody(), &body); err != nil {
		r.refuse(azurehitch.Refuse(azurehitch.CodeInvalidRequest, "the body is not a completion request: %v", err))
		return
	}
	if err := body.check(); err != nil {
		r.refuse(err)
		return
	}
	target, err := r.index.Model(r.caller, body.Model)
	if err != nil {
		r.refuse(err)
		return
	}
	if err := r.admit(target.Pool); err != nil {
		r.refuse(err)
		return
	}
	c := &completion{request: r, target: target, tried: newAttempts()}
	c.endProgress = r.server.Directory.Begin(c.key())
	c.serve(body.Stream)
}

// admit waits until the pool admits the request. The error is an *azurehitch.ErrRefused.
func (r *request) admit(pool tables.Pool) error {
	r.server.Metrics.Add(metrics.RequestsWaiting, 1)
	defer r.server.Metrics.Add(metrics.RequestsWaiting, -1)
	err := r.server.gate(pool).Acquire(r.ctx, r.caller.Tier)
	var refused *azurehitch.ErrRefused
	switch {
	case err == nil:
		return nil
	case errors.As(err, &refused):
		return refused.WithRetryAfter(overloadedRetryAfter)
	}
	return azurehitch.Refuse(azurehitch.CodeOverloaded, "no place in pool %s before the deadline", pool.Name).WithRetryAfter(overloadedRetryAfter)
}

// completion is one request for a model. It may be retried as long as no part of a response has
// been sent to the caller.
type completion struct {
	*request
	target router.Target
	tried  *attempts
	// endProgress stops counting the request as in progress in the directory.
	endProgress func()
}

// key returns the directory key of the artifact that the completion uses.
func (c *completion) key() directory.Key {
	return directory.Key{Pool: c.target.Pool.Name, Artifact: c.target.Artifact, Tier: c.caller.Tier}
}

// release stops counting the completion as in progress in the directory and at the admission gate
// of its pool.
func (c *completion) release() {
	c.endProgress()
	c.server.gate(c.target.Pool).Release(c.caller.Tier)
}

func (c *completion) serve(stream bool) {
	c.server.budget.Earn()
	for attempt := 1; ; attempt++ {
		server, exchange, err := c.attempt(0)
		if err == nil {
			err = c.respond(server, exchange, stream)
		}
		if err == nil {
			return
		}
		if !c.mayRetry(err, attempt) {
			c.release()
			c.refuse(err)
			return
		}
		c.server.Metrics.Add(metrics.RequestsRetried, 1)
	}
}

// mayRetry reports whether to make another attempt. It spends the retry budget unless the server
// itself rejected the request without running it.
func (c *completion) mayRetry(err error, attempt int) bool {
	var failed *backend.ErrAttempt
	if !errors.As(err, &failed) || attempt >= maxAttempts || c.ctx.Err() != nil {
		return false
	}
	return failed.Reason != "" || c.server.budget.Spend()
}

// attempt sends the request to one ready replica. The response starts at event resumeFrom; 0 is
// the first one.
func (c *completion) attempt(resumeFrom int) (tables.BackendServer, *backend.Exchange, error) {
	server, err := c.findReplica()
	if err != nil {
		return server, nil, err
	}
	exchange, err := c.send(server, resumeFrom)
	return server, exchange, err
}

// findReplica waits until the directory has ready replicas of the artifact, and chooses one of
// their servers.
func (c *completion) findReplica() (tables.BackendServer, error) {
	view, err := c.server.Directory.Find(c.ctx, c.key())
	if err != nil {
		return tables.BackendServer{}, err
	}
	c.coldStart = max(c.coldStart, view.ColdStart)
	return c.pickServer(view.Servers)
}

// pickServer chooses one of the servers. While the circuit breakers of all servers are open, it
// polls until one of them lets a request through.
func (c *completion) pickServer(servers []tables.BackendServer) (tables.BackendServer, error) {
	for {
		if server, ok := c.server.load.pick(c.server.withoutOpenBreakers(servers), c.tried); ok {
			return server, nil
		}
		if err := c.server.Clock.Sleep(c.ctx, breakerPollInterval); err != nil {
			return tables.BackendServer{}, azurehitch.Refuse(azurehitch.CodeNoCapacity,
				"the replicas of %v fail", c.target.Artifact).WithRetryAfter(failureRetryAfter)
		}
	}
}

func (c *completion) send(server tables.BackendServer, resumeFrom int) (*backend.Exchange, error) {
	ctx, span := c.server.Tracer.Start(c.ctx, "forward", attribute.String("server", server.Name))
	defer span.End()
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	c.engineRequest(req, resumeFrom)
	req.Header.Set(tracing.HeaderTraceparent, tracing.Traceparent(ctx))
	c.server.load.add(server.Name, 1)
	exchange, err := c.server.Transport.Send(ctx, backend.Call{Server: server, Request: req})
	if err != nil {
		c.server.load.add(server.Name, -1)
		c.recordFailure(server, err)
		return nil, err
	}
	return exchange, nil
}

func (c *completion) engineRequest(req *fasthttp.Request, resumeFrom int) {
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI(string(c.http.Path()))
	req.Header.SetContentType(refusal.ContentType)
	req.Header.SetUserAgent(c.server.Self.Daemon)
	req.Header.Set(HeaderRequestID, c.id)
	req.Header.Set(headerEngineModel, c.target.Artifact.Model)
	req.Header.Set(headerEngineVersion, c.target.Artifact.Version)
	req.Header.Set(headerEngineAdapter, c.target.Artifact.Adapter)
	req.Header.Set(headerEnginePriority, strconv.Itoa(c.priority()))
	if resumeFrom > 0 {
		req.Header.Set(headerEngineResumeFrom, strconv.Itoa(resumeFrom))
	}
	req.SetBodyRaw(c.http.PostBody())
}

func (c *completion) priority() int {
	if c.caller.Tier == tables.TierPaid {
		return azurehitch.PriorityPaid
	}
	return azurehitch.PriorityTrial
}

// recordFailure marks the server as tried and updates the directory after a failed attempt. From
// now on the directory avoids a server that is shutting down. It forgets the replica at a server
// that did not respond, does not have the model, or cancelled the request for one of higher
// priority.
func (c *completion) recordFailure(server tables.BackendServer, err error) {
	var failed *backend.ErrAttempt
	if !errors.As(err, &failed) {
		return
	}
	c.tried.add(server)
	switch failed.Reason {
	case backend.NotRunLeaving:
		c.server.Directory.Avoid(server.Name)
	case backend.NotRunNotLoaded, backend.NotRunCancelled, "":
		c.server.Directory.RemoveServer(c.key(), server.Name)
	}
}

// respond forwards a response to the caller. If it returns an error, nothing has been sent to the
// caller.
func (c *completion) respond(server tables.BackendServer, exchange *backend.Exchange, stream bool) error {
	if stream && exchange.Response.StatusCode() == fasthttp.StatusOK {
		c.writeHeaders(server, exchange)
		c.http.SetBodyStream(newRelay(c, server, exchange), -1)
		return nil
	}
	defer c.server.load.add(server.Name, -1)
	defer exchange.Close()
	body, err := readBody(server, exchange)
	if err != nil {
		return err
	}
	c.writeHeaders(server, exchange)
	c.http.SetBody(body)
	c.release()
	c.end(metrics.RequestsAnswered)
	return nil
}

// readBody reads the whole body of a response. The error is a *backend.ErrAttempt if the body is
// truncated or larger than maxResponseBytes.
func readBody(server tables.BackendServer, exchange *backend.Exchange) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(exchange.Body(), maxResponseBytes+1))
	size := exchange.Response.Header.ContentLength()
	switch {
	case err != nil:
	case len(body) > maxResponseBytes:
		err = errors.Errorf("answer is larger than %d bytes", maxResponseBytes)
	case size >= 0 && size != len(body):
		err = io.ErrUnexpectedEOF
	}
	if err != nil && !sabotage.Active(sabotage.SkipWholeCheck) {
		return nil, &backend.ErrAttempt{Server: server.Name, Run: azurehitch.RunStateUnknown, Cause: err}
	}
	return body, nil
}

func (c *completion) writeHeaders(server tables.BackendServer, exchange *backend.Exchange) {
	c.http.SetStatusCode(exchange.Response.StatusCode())
	c.http.SetContentTypeBytes(exchange.Response.Header.ContentType())
	header := &c.http.Response.Header
	header.Set(HeaderServer, server.Name)
	if c.coldStart > 0 {
		header.Set(HeaderColdStart, strconv.FormatInt(c.coldStart.Milliseconds(), 10))
	}
}

// modelList is the response body of a request that lists the models.
type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID     string `json:"id"`
	Object string `json:"object"`
}

func (r *request) serveModels() {
	list := modelList{Object: "list", Data: []modelItem{}}
	for _, name := range r.index.Models(r.caller) {
		list.Data = append(list.Data, modelItem{ID: name, Object: "model"})
	}
	body, err := json.Marshal(list)
	if err != nil {
		r.refuse(errors.Wrap(err, "encode models"))
		return
	}
	r.http.SetContentType(refusal.ContentType)
	r.http.SetBody(body)
	r.end(metrics.RequestsAnswered)
}
