package passthrough

import (
	"os"
	"strings"
	"time"

	"azurehitch"
	"azurehitch/internal/forward/refusal"
	"azurehitch/internal/telemetry/logging"
	"azurehitch/internal/telemetry/metrics"
	"azurehitch/internal/transport/callerconn"

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
	if refused := s.oversizedKeyRefusal(ctx, err); refused != nil {
		ctx.Response.Reset()
		s.refuseUnread(ctx, refused)
		return
	}
	s.respondInvalid(ctx, protocolErrorStatus(err))
}

// respondInvalid responds with a status and closes the connection.
func (s *Server) respondInvalid(ctx *fasthttp.RequestCtx, status int) {
	ctx.Response.Reset()
	ctx.SetStatusCode(status)
	ctx.SetConnectionClose()
	s.Metrics.Add(metrics.RequestsInvalid, 1)
}

// oversizedKeyRefusal returns the refusal of a request whose credentials exceed the limit of the header, where keys
// are needed or not known yet; nil for other requests.
func (s *Server) oversizedKeyRefusal(ctx *fasthttp.RequestCtx, err error) *azurehitch.ErrRefused {
	var tooLarge *fasthttp.ErrSmallBuffer
	if !errors.As(err, &tooLarge) || !strings.EqualFold(callerconn.LineStart(ctx.Conn()), credentialsField) {
		return nil
	}
	index := s.Routing()
	switch {
	case index.Table.Version == 0:
		return azurehitch.Refuse(azurehitch.CodeNotConfigured, "no configuration is known").WithRetryAfter(longUnconfiguredRetryAfter)
	case !index.Accounts.HasEntries():
		return nil
	}
	s.Metrics.AddLabeled(metrics.CredentialsRefused, string(azurehitch.CredentialTooLong), 1)
	return azurehitch.Refuse(azurehitch.CodeInvalidCredentials, "no valid API key: %s", azurehitch.CredentialTooLong)
}

// credentialsField is how the line of the credentials begins.
const credentialsField = fasthttp.HeaderAuthorization + ":"

// refuseUnread refuses a request whose header was not read, and closes its connection.
func (s *Server) refuseUnread(ctx *fasthttp.RequestCtx, refused *azurehitch.ErrRefused) {
	ctx.SetConnectionClose()
	s.writeRefusal(&ctx.Response, azurehitch.CallerRequest{}, refused)
	s.Metrics.Add(metrics.RequestsInvalid, 1)
	s.Logs.Layer(logging.LayerForward).Info().Int("Status", ctx.Response.StatusCode()).Str("Code", string(refused.Code)).
		Str("Reason", refused.Reason).Msg("request header not read")
}

// writeRefusal writes the response of a refusal.
func (s *Server) writeRefusal(response *fasthttp.Response, request azurehitch.CallerRequest, refused *azurehitch.ErrRefused) {
	response.Reset()
	response.Header.SetNoDefaultContentType(true)
	response.SetStatusCode(refusal.Status(refused.Code))
	response.Header.SetContentType(refusal.ContentType)
	s.Protocol.WriteRefusal(responseHeader{&response.Header}, request, refused.RetryAfter)
	response.SetBody(refusal.Encode(refused))
	if refused.Code == azurehitch.CodeInvalidCredentials {
		response.Header.Set(fasthttp.HeaderWWWAuthenticate, authenticationScheme)
	}
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
