package caller

import (
	"context"
	"time"

	"azurehitch"
	"azurehitch/internal/configuration/tables"
	"azurehitch/internal/forward/backend"
	"azurehitch/internal/forward/router"
	"azurehitch/internal/idempotency/claimlog"
	"azurehitch/internal/idempotency/outcomes"
	"azurehitch/internal/proof/sabotage"
	"azurehitch/internal/telemetry/metrics"
	"azurehitch/internal/telemetry/tracing"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
	"go.opentelemetry.io/otel/attribute"
)

// withdrawRetryInterval is the delay between attempts to withdraw a claim while the log fails.
const withdrawRetryInterval = time.Second

// serviceCall is one call to a plain service, a backend that is no model engine.
type serviceCall struct {
	*request
	target router.ServiceTarget
	tried  *attempts
}

func (r *request) serveService() {
	target, err := r.index.Service(r.caller, string(r.http.Method()), string(r.http.Path()))
	if err != nil {
		r.refuse(err)
		return
	}
	key := string(r.http.Request.Header.Peek(HeaderIdempotencyKey))
	if len(key) > maxIdempotencyKeyBytes {
		r.refuse(azurehitch.Refuse(azurehitch.CodeInvalidRequest, "%s is longer than %d bytes", HeaderIdempotencyKey, maxIdempotencyKeyBytes))
		return
	}
	if err := r.admit(target.Pool); err != nil {
		r.refuse(err)
		return
	}
	defer r.server.gate(target.Pool).Release(r.caller.Tier)
	c := &serviceCall{request: r, target: target, tried: newAttempts()}
	if key == "" || target.Idempotent || sabotage.Active(sabotage.SkipClaim) {
		c.respond(c.runWithRetries())
		return
	}
	c.respond(c.runOnce(claimlog.NewKey(r.caller.Name, key)))
}

// respond sends the outcome to the caller and ends the request.
func (c *serviceCall) respond(outcome outcomes.Outcome) {
	if outcome.Refusal != nil {
		c.refuse(outcome.Refusal)
		return
	}
	c.http.SetStatusCode(outcome.Status)
	c.http.SetContentType(outcome.ContentType)
	c.http.SetBody(outcome.Body)
	c.end(metrics.RequestsAnswered)
}

// runOnce runs a call with an idempotency key. It first claims the key in the log, and sends the
// call to a server only if no other claim on the key came before. If one did, runOnce returns the
// outcome of the call that claimed the key. Concurrent calls with the same key at this daemon share
// one run.
func (c *serviceCall) runOnce(key claimlog.Key) outcomes.Outcome {
	body := c.digest()
	run, first := c.server.Outcomes.Begin(key, body)
	if !first {
		c.server.Metrics.Add(metrics.DuplicateCalls, 1)
		return c.await(run, body)
	}
	claim, won, err := c.server.Claimer.Claim(c.ctx, key, body)
	if err != nil {
		outcome := refusedOutcome(azurehitch.Refuse(azurehitch.CodeLogUnavailable, "the key can't be claimed now").WithRetryAfter(failureRetryAfter))
		run.Finish(outcome)
		c.server.withdraw(run, key)
		return outcome
	}
	if !won {
		outcome := c.claimedOutcome(claim, body)
		run.Finish(outcome)
		run.Remove()
		return outcome
	}
	outcome := c.runWithRetries()
	run.Finish(outcome)
	if isNotRun(outcome) {
		c.server.withdraw(run, key)
	}
	return outcome
}

func isNotRun(outcome outcomes.Outcome) bool {
	return outcome.Refusal != nil && outcome.Refusal.Run == azurehitch.RunStateNotRun
}

func refusedOutcome(refused *azurehitch.ErrRefused) outcomes.Outcome {
	return outcomes.Outcome{Refusal: refused}
}

// withdraw withdraws, in the background, the claim on a key after its call was not run. It removes
// the run only after the withdrawal is in the log, so that no later run relies on the withdrawn
// claim.
func (s *Server) withdraw(run *outcomes.Run, key claimlog.Key) {
	s.group.Go(func() error {
		ctx, cancel := context.WithTimeout(s.backgroundCtx, s.settings.MaxTimeout)
		defer cancel()
		for s.Claimer.Withdraw(ctx, key) != nil {
			if err := s.Clock.Sleep(ctx, withdrawRetryInterval); err != nil {
				return nil
			}
		}
		run.Remove()
		return nil
	})
}

// digest returns a hash of the method, URI and body, to detect a key reused for another request.
func (c *serviceCall) digest() uint64 {
	hash := xxhash.New()
	// Writes to a hash never fail.
	_, _ = hash.Write(c.http.Method())
	_, _ = hash.Write(c.http.RequestURI())
	_, _ = hash.Write(c.http.PostBody())
	return hash.Sum64()
}

func (c *serviceCall) await(run *outcomes.Run, body uint64) outcomes.Outcome {
	if run.Body != body {
		return keyReusedOutcome()
	}
	outcome, err := run.Wait(c.ctx)
	if err != nil {
		return unknownOutcome()
	}
	return outcome
}

// claimedOutcome requests the outcome from the daemon that claimed the key. If this daemon itself
// claimed the key but no longer has the run, the outcome is unknown: the call may have been run,
// and its answer dropped since.
func (c *serviceCall) claimedOutcome(claim claimlog.Claim, body uint64) outcomes.Outcome {
	c.server.Metrics.Add(metrics.DuplicateCalls, 1)
	if claim.Body != body {
		return keyReusedOutcome()
	}
	if claim.Owner == c.server.Self {
		return unknownOutcome()
	}
	outcome, err := c.server.OutcomeClient.Outcome(c.ctx, claim.Owner, claim.Key)
	if err != nil {
		return unknownOutcome()
	}
	return outcome
}

func keyReusedOutcome() outcomes.Outcome {
	return refusedOutcome(azurehitch.Refuse(azurehitch.CodeInvalidRequest, "%s was used for another request", HeaderIdempotencyKey))
}

func unknownOutcome() outcomes.Outcome {
	return refusedOutcome(&azurehitch.ErrRefused{
		Code: azurehitch.CodeDuplicateRequest, Run: azurehitch.RunStateUnknown,
		Reason: "another request with this key was run, and its outcome is not known",
	})
}

// runWithRetries sends the call, and retries it while mayRetry allows that.
func (c *serviceCall) runWithRetries() outcomes.Outcome {
	c.server.budget.Earn()
	for attempt := 1; ; attempt++ {
		outcome, err := c.attempt()
		if err == nil {
			return outcome
		}
		if !c.mayRetry(err, attempt) {
			return refusedOutcome(c.toRefusal(err))
		}
		c.server.Metrics.Add(metrics.RequestsRetried, 1)
	}
}

// mayRetry reports whether to make another attempt: only if the call was not run or is idempotent.
// It spends the retry budget unless the server itself rejected the call without running it.
func (c *serviceCall) mayRetry(err error, attempt int) bool {
	var failed *backend.ErrAttempt
	if !errors.As(err, &failed) || attempt >= maxAttempts || c.ctx.Err() != nil {
		return false
	}
	if failed.Run != azurehitch.RunStateNotRun && !c.target.Idempotent && !sabotage.Active(sabotage.RetryUnsafe) {
		return false
	}
	return failed.Reason != "" || c.server.budget.Spend()
}

func (c *serviceCall) attempt() (outcomes.Outcome, error) {
	server, ok := c.server.load.pick(c.candidates(), c.tried)
	if !ok {
		return outcomes.Outcome{}, azurehitch.Refuse(azurehitch.CodeNoCapacity, "no backend server of pool %s takes calls", c.target.Pool.Name).WithRetryAfter(failureRetryAfter)
	}
	c.tried.add(server)
	outcome, err := c.send(server)
	var failed *backend.ErrAttempt
	if errors.As(err, &failed) && failed.Reason == backend.NotRunLeaving {
		c.server.Directory.Avoid(server.Name)
	}
	return outcome, err
}

// candidates returns the servers of the pool that are not shutting down and have no open circuit
// breaker.
func (c *serviceCall) candidates() []tables.BackendServer {
	backends := c.server.Members().Backends()
	var candidates []tables.BackendServer
	for _, server := range c.target.Pool.BackendServers {
		leaving := backends[server.Name] == azurehitch.HostStateLeaving || c.server.Directory.IsAvoided(server.Name)
		if !leaving || sabotage.Active(sabotage.IgnoreLeaving) {
			candidates = append(candidates, server)
		}
	}
	return c.server.withoutOpenBreakers(candidates)
}

func (c *serviceCall) send(server tables.BackendServer) (outcomes.Outcome, error) {
	ctx, span := c.server.Tracer.Start(c.ctx, "forward", attribute.String("server", server.Name))
	defer span.End()
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	c.serviceRequest(req)
	req.Header.Set(tracing.HeaderTraceparent, tracing.Traceparent(ctx))
	c.server.load.add(server.Name, 1)
	defer c.server.load.add(server.Name, -1)
	exchange, err := c.server.Transport.Send(ctx, backend.Call{Server: server, Request: req, AtMostOnce: !c.target.Idempotent})
	if err != nil {
		return outcomes.Outcome{}, err
	}
	defer exchange.Close()
	body, err := readBody(server, exchange)
	if err != nil {
		return outcomes.Outcome{}, err
	}
	c.http.Response.Header.Set(HeaderServer, server.Name)
	return outcomes.Outcome{
		Status:      exchange.Response.StatusCode(),
		ContentType: string(exchange.Response.Header.ContentType()),
		Body:        body,
	}, nil
}

func (c *serviceCall) serviceRequest(req *fasthttp.Request) {
	req.Header.SetMethodBytes(c.http.Method())
	req.SetRequestURI(string(c.http.RequestURI()))
	req.Header.SetContentTypeBytes(c.http.Request.Header.ContentType())
	req.Header.SetUserAgent(c.server.Self.Daemon)
	req.Header.Set(HeaderRequestID, c.id)
	if key := c.http.Request.Header.Peek(HeaderIdempotencyKey); len(key) > 0 {
		req.Header.SetBytesV(HeaderIdempotencyKey, key)
	}
	req.SetBodyRaw(c.http.PostBody())
}
