package passthrough

import (
	"io"
	"strconv"
	"time"

	"azurehitch"
	"azurehitch/internal/forward/place"
	"azurehitch/internal/telemetry/metrics"
	"azurehitch/internal/transport/connpool"

	"github.com/valyala/fasthttp"
)

// maxInlineBodyBytes is the size up to which a body is written together with the head of its
// response.
const maxInlineBodyBytes = 16 << 10

// unknownLength makes the HTTP library send a body in chunks.
const unknownLength = -1

// passBody responds with a body. A body up to MaxBufferedAnswer is buffered until it is complete,
// so that the request can be sent again if its server fails midway. A longer one is streamed.
func (r *request) passBody(choice place.Choice, exchange *connpool.Exchange) result {
	body, complete, err := exchange.ReadUpTo(r.server.settings.MaxBufferedAnswer)
	return r.passRead(choice, exchange, body, complete, err)
}

// passRead responds with a body of which the first part was read, or all of it if complete is true. An error
// of the read fails the attempt.
func (r *request) passRead(choice place.Choice, exchange *connpool.Exchange, body []byte, complete bool, err error) result {
	if err != nil {
		exchange.Close()
		choice.End()
		r.recordBadAnswer(choice)
		r.recordBrokenOff(choice, err, time.Time{})
		r.countTooLarge(err)
		r.attempts.add(choice, err.Error())
		return result{run: azurehitch.RunStateUnknown, cause: err}
	}
	r.releaseBody()
	copyAnswerHead(&r.http.Response.Header, &exchange.Header)
	passed := &passedBody{request: r, choice: choice, exchange: exchange, buffered: body, complete: complete}
	if complete && len(body) <= maxInlineBodyBytes {
		r.http.Response.SetBodyRaw(body)
		passed.buffered = nil
		// Close can't fail for a body that was read to its end.
		_ = passed.Close()
		return result{answered: true}
	}
	if complete {
		r.http.Response.SetBodyStream(passed, len(body))
		return result{answered: true}
	}
	r.http.Response.SetBodyStream(r.readAhead(passed), max(exchange.Header.ContentLength(), unknownLength))
	return result{answered: true}
}

// passedBody is the body of a response while it is sent to the caller.
type passedBody struct {
	request  *request
	choice   place.Choice
	exchange *connpool.Exchange
	// buffered holds the bytes that were read from the server and not yet passed on.
	buffered []byte
	// complete is true when the server's body was read to its end.
	complete bool
	// sent is the number of bytes passed on.
	sent    azurehitch.ByteSize
	failure error
}

// Read implements io.Reader. An error other than io.EOF makes the HTTP server close the connection,
// so that the caller does not take the response for a complete one.
func (b *passedBody) Read(p []byte) (int, error) {
	if len(b.buffered) > 0 {
		n := copy(p, b.buffered)
		b.buffered = b.buffered[n:]
		b.sent += azurehitch.ByteSize(n)
		return n, nil
	}
	if b.complete {
		return 0, io.EOF
	}
	n, err := b.exchange.Read(p)
	b.sent += azurehitch.ByteSize(n)
	limit := b.request.server.settings.MaxAnswer
	switch {
	case err == io.EOF:
		b.complete = true
	case err != nil:
		b.failure = err
	case b.sent > limit:
		b.failure = &connpool.ErrTooLarge{Part: connpool.PartBody, Bound: int64(limit)}
	}
	if b.failure != nil {
		return n, b.failure
	}
	return n, err
}

// Close ends the request. The HTTP server also calls it when the caller has disconnected.
func (b *passedBody) Close() error {
	b.exchange.Close()
	b.choice.End()
	r := b.request
	status := b.exchange.Header.StatusCode()
	switch {
	case b.complete && len(b.buffered) == 0:
		r.server.Breakers.Succeeded(b.choice.Server.Address)
		if status == fasthttp.StatusOK {
			r.recordComplete(b.choice, b.exchange)
		}
		r.attempts.add(b.choice, strconv.Itoa(status))
		r.server.Metrics.Add(metrics.RequestsAnswered, 1)
		r.end(status, answeredReason)
	case b.failure != nil:
		r.recordError(b.choice, b.failure, time.Time{})
		r.attempts.add(b.choice, "cut after "+strconv.FormatInt(int64(b.sent), 10)+" bytes: "+b.failure.Error())
		r.end(status, "answer cut ("+string(r.countCut())+"): "+b.failure.Error())
	default:
		r.attempts.add(b.choice, strconv.Itoa(status))
		r.server.Metrics.Add(metrics.RequestsAbandoned, 1)
		r.end(status, "the caller has gone")
	}
	return nil
}
