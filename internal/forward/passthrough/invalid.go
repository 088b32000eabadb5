package passthrough

import (
	"os"
	"time"

	"azurehitch/internal/telemetry/metrics"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

// maxBodyTime bounds the time limit of a caller as the time for a body to arrive.
const maxBodyTime = time.Minute

// headReceived returns how long the body of a request may take to arrive, once its head has. The read timeout
// bounds the head; a body has the time limit of its caller as well.
func (s *Server) headReceived(header *fasthttp.RequestHeader) fasthttp.RequestConfig {
	if header.ContentLength() == 0 {
		return fasthttp.RequestConfig{}
	}
	return fasthttp.RequestConfig{ReadTimeout: max(s.settings.ReadTimeout, min(s.timeLimit(header), maxBodyTime))}
}

// timeLimit returns the time limit that the caller of a request has named; 0 if there is none.
func (s *Server) timeLimit(header *fasthttp.RequestHeader) time.Duration {
	return s.Protocol.ReadRequest(requestHeader{header}).TimeLeft
}

// handleProtocolError responds to a malformed, oversized or incomplete HTTP request.
func (s *Server) handleProtocolError(ctx *fasthttp.RequestCtx, err error) {
	s.respondInvalid(ctx, protocolErrorStatus(err))
}

// respondInvalid responds with a status and closes the connection.
func (s *Server) respondInvalid(ctx *fasthttp.RequestCtx, status int) {
	ctx.Response.Reset()
	ctx.SetStatusCode(status)
	ctx.SetConnectionClose()
	s.Metrics.Add(metrics.RequestsInvalid, 1)
}

func protocolErrorStatus(err error) int {
	var tooLarge *fasthttp.ErrSmallBuffer
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		return fasthttp.StatusRequestEntityTooLarge
	case errors.As(err, &tooLarge):
		return fasthttp.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, os.ErrDeadlineExceeded), errors.Is(err, fasthttp.ErrTimeout):
		return fasthttp.StatusRequestTimeout
	}
	return fasthttp.StatusBadRequest
}
