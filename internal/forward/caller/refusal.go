package caller

import (
	"context"
	"math"
	"strconv"
	"time"

	"azurehitch"
	"azurehitch/internal/forward/backend"
	"azurehitch/internal/forward/refusal"
	"azurehitch/internal/proof/sabotage"
	"azurehitch/internal/transport/lingerconn"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

const (
	drainRetryAfter      = time.Second
	failureRetryAfter    = time.Second
	overloadedRetryAfter = time.Second
)

func writeRefusal(ctx *fasthttp.RequestCtx, refused *azurehitch.ErrRefused) {
	ctx.Response.ResetBody()
	ctx.SetStatusCode(refusal.Status(refused.Code))
	ctx.SetContentType(refusal.ContentType)
	ctx.Response.Header.Set(HeaderRunState, string(refused.Run))
	if refused.RetryAfter > 0 {
		seconds := int(math.Ceil(refused.RetryAfter.Seconds()))
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.Itoa(seconds))
	}
	ctx.SetBody(refusal.Encode(refused))
}

// toRefusal converts an error that ended a request to a refusal. An error of an unknown kind
// becomes CodeNoCapacity.
func (r *request) toRefusal(err error) *azurehitch.ErrRefused {
	var refused *azurehitch.ErrRefused
	var attempt *backend.ErrAttempt
	switch {
	case errors.As(err, &refused):
		return refused
	case errors.As(err, &attempt):
		return r.attemptRefusal(attempt)
	case errors.Is(err, context.DeadlineExceeded):
		return azurehitch.Refuse(azurehitch.CodeDeadlineExceeded, "no replica was free before the deadline").WithRetryAfter(overloadedRetryAfter)
	}
	return azurehitch.Refuse(azurehitch.CodeNoCapacity, "%v", err).WithRetryAfter(failureRetryAfter)
}

// attemptRefusal returns the refusal for a request whose last attempt failed.
func (r *request) attemptRefusal(attempt *backend.ErrAttempt) *azurehitch.ErrRefused {
	code := azurehitch.CodeBackendFailed
	if r.ctx.Err() != nil {
		code = azurehitch.CodeDeadlineExceeded
	}
	run := attempt.Run
	if sabotage.Active(sabotage.ClaimNotRun) {
		run = azurehitch.RunStateNotRun
	}
	return &azurehitch.ErrRefused{
		Code: code, Run: run, RetryAfter: failureRetryAfter,
		Reason: "backend server " + attempt.Server + " brought no answer",
	}
}

// handleProtocolError refuses a malformed or oversized HTTP request. The rest of the request may
// still be arriving, so the connection stays open for a while to let the caller read the refusal.
func (s *Server) handleProtocolError(ctx *fasthttp.RequestCtx, err error) {
	refused := azurehitch.Refuse(azurehitch.CodeInvalidRequest, "%v", err)
	var tooLarge *fasthttp.ErrSmallBuffer
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		refused.Reason = "the body is larger than " + strconv.Itoa(s.settings.MaxBodyBytes) + " bytes"
	case errors.As(err, &tooLarge):
		refused.Reason = "the headers are larger than " + strconv.Itoa(s.settings.MaxHeaderBytes) + " bytes"
	}
	writeRefusal(ctx, refused)
	ctx.SetConnectionClose()
	lingerconn.Linger(ctx.Conn())
}
