package passthrough

import (
	"io"
	"strconv"

	"azurehitch"
	"azurehitch/internal/forward/place"
	"azurehitch/internal/telemetry/metrics"
	"azurehitch/internal/transport/connpool"
)

// smallAnswer is up to which size an answer is written with its head.
const smallAnswer = 16 << 10

// unknownLength tells the HTTP library to send a body in chunks.
const unknownLength = -1

// passBody answers with a body. One that is not too long is held until it is whole, so that a
// request whose server breaks off may be sent again. A longer one is passed on as it comes.
func (r *request) passBody(choice place.Choice, exchange *connpool.Exchange) result {
	body, whole, err := exchange.ReadUpTo(r.server.settings.HeldAnswer)
	if err != nil {
		exchange.Close()
		choice.End()
		r.failed(choice)
		r.noteTooLarge(err)
		r.trail.add(choice, err.Error())
		return result{run: azurehitch.RunStateUnknown, cause: err}
	}
	copyAnswerHead(&r.http.Response.Header, &exchange.Header)
	passed := &passedBody{request: r, choice: choice, exchange: exchange, head: body, whole: whole}
	if whole && len(body) <= smallAnswer {
		r.http.Response.SetBodyRaw(body)
		passed.head = nil
		// Closing what was read to its end can't fail.
		_ = passed.Close()
		return result{answered: true}
	}
	length := len(body)
	if !whole {
		length = max(exchange.Header.ContentLength(), unknownLength)
	}
	r.http.Response.SetBodyStream(passed, length)
	return result{answered: true}
}

// passedBody is the body of an answer on its way to the caller.
type passedBody struct {
	request  *request
	choice   place.Choice
	exchange *connpool.Exchange
	// head is what was read and not yet passed on.
	head []byte
	// whole is true when the server's body was read to its end.
	whole   bool
	size    azurehitch.ByteSize
	failure error
}

// Read implements io.Reader. An error other than io.EOF makes the HTTP server close the
// connection, so that the answer doesn't look complete.
func (b *passedBody) Read(p []byte) (int, error) {
	if len(b.head) > 0 {
		n := copy(p, b.head)
		b.head = b.head[n:]
		b.size += azurehitch.ByteSize(n)
		return n, nil
	}
	if b.whole {
		return 0, io.EOF
	}
	n, err := b.exchange.Read(p)
	b.size += azurehitch.ByteSize(n)
	bound := b.request.server.settings.MaxAnswer
	switch {
	case err == io.EOF:
		b.whole = true
	case err != nil:
		b.failure = err
	case b.size > bound:
		b.failure = &connpool.ErrTooLarge{Part: connpool.PartBody, Bound: int64(bound)}
	}
	if b.failure != nil {
		return n, b.failure
	}
	return n, err
}

// Close ends the request, also when the caller has gone.
func (b *passedBody) Close() error {
	b.exchange.Close()
	b.choice.End()
	r := b.request
	status := b.exchange.Header.StatusCode()
	switch {
	case b.whole && len(b.head) == 0:
		r.server.Breakers.Succeeded(b.choice.Server.Address)
		r.trail.add(b.choice, strconv.Itoa(status))
		r.server.Metrics.Add(metrics.RequestsAnswered, 1)
		r.end(status, "answered")
	case b.failure != nil:
		r.failedBy(b.choice, b.failure)
		r.trail.add(b.choice, "cut after "+strconv.FormatInt(int64(b.size), 10)+" bytes: "+b.failure.Error())
		r.server.Metrics.Add(metrics.StreamsCut, 1)
		r.end(status, "answer cut: "+b.failure.Error())
	default:
		r.trail.add(b.choice, strconv.Itoa(status))
		r.server.Metrics.Add(metrics.RequestsAbandoned, 1)
		r.end(status, "the caller has gone")
	}
	return nil
}
