package connpool

import (
	"context"
	"io"
	"net/http/httputil"
	"sync/atomic"
	"time"

	"azurehitch"
	"azurehitch/internal/memory/admission"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"
)

const (
	// initialBodyBytes is the size of the first buffer for a body of unknown length.
	initialBodyBytes = 1 << 10
	// lengthChunked and lengthUntilClose are the content lengths that fasthttp reports for a
	// chunked body and for a body that ends when the connection is closed.
	lengthChunked    = -1
	lengthUntilClose = -2
	// firstFinalStatus is the lowest status of a final response; lower ones are interim (1xx).
	firstFinalStatus = 200
	// syncSendBytes is the largest request body that is sent before the response is read. It fits
	// into the buffers of the connection, so that the write doesn't wait for the server.
	syncSendBytes = 4 << 10
)

// Exchange is a request that was sent and its response, whose body may still be arriving. It is not
// safe for concurrent use.
type Exchange struct {
	Header fasthttp.ResponseHeader

	pool    *Pool
	address string
	conn    *conn
	body    io.Reader
	// memory accounts for the body bytes that ReadWhole and ReadUpTo hold.
	memory *admission.Reservation
	// complete is true when the body has been read to its end.
	complete bool
	// readErr is the error that ended the body, or io.EOF.
	readErr error
	// sending runs the send of a long request body.
	sending *errgroup.Group
	// sent is closed when the request has been sent or the send has failed.
	sent chan struct{}
	// requestBody is the body of the request until it is released; nil for none.
	requestBody Source
	released    atomic.Bool
	// stopInterrupt detaches the exchange from the context. It returns false if the context has
	// ended.
	stopInterrupt func() bool
	// keepAlive is how long the server keeps the idle connection open; 0 if it announced no time.
	keepAlive time.Duration
	// fresh is true when the connection must not be reused after this exchange.
	fresh  bool
	closed bool
}

// Do sends a request once and reads the head of the response. The exchange, including later reads
// of the body, is aborted when the context ends. The error is an *ErrExchange.
func (p *Pool) Do(ctx context.Context, address string, request Request, options Options) (*Exchange, error) {
	if err := request.check(); err != nil {
		request.release()
		return nil, &ErrExchange{Address: address, Cause: err}
	}
	c, err := p.acquire(ctx, address, options)
	if err != nil {
		request.release()
		return nil, &ErrExchange{Address: address, Cause: err}
	}
	e := &Exchange{
		pool: p, address: address, conn: c,
		sending: &errgroup.Group{}, sent: make(chan struct{}), requestBody: request.Source,
		memory: p.memory.NewReservation(), fresh: options.Fresh || c.isSingleUse(),
	}
	if err := e.limitDelivery(ctx, options); err != nil {
		close(e.sent)
		e.Close()
		return nil, &ErrExchange{Address: address, NewConnection: e.conn.isNew(), Cause: err}
	}
	if options.MaySend != nil && !options.MaySend() {
		close(e.sent)
		e.Close()
		return nil, &ErrExchange{Address: address, Cause: errSendDenied}
	}
	startedAt := p.clock.Now()
	if err := e.start(ctx, request); err != nil {
		if !c.isNew() {
			p.closeIfSilent(ctx, address, startedAt, err)
		}
		e.Close()
		return nil, &ErrExchange{Address: address, Sent: true, NewConnection: e.conn.isNew(), Cause: err}
	}
	return e, nil
}

// limitDelivery applies Options.DiscardUndelivered to the connection.
func (e *Exchange) limitDelivery(ctx context.Context, options Options) error {
	deadline, ok := ctx.Deadline()
	if !ok || !options.DiscardUndelivered {
		return nil
	}
	return e.conn.discardUndelivered(deadline.Sub(e.pool.clock.Now()))
}

func (e *Exchange) start(ctx context.Context, request Request) error {
	if deadline, ok := ctx.Deadline(); ok {
		if err := e.conn.tcp.SetDeadline(deadline); err != nil {
			return errors.Wrap(err, "set deadline")
		}
	}
	e.stopInterrupt = context.AfterFunc(ctx, e.conn.interrupt)
	if err := ctx.Err(); err != nil {
		return err
	}
	e.conn.responses.Begin()
	if err := e.send(request); err != nil {
		return err
	}
	if !e.conn.isNew() {
		defer e.pool.awaitOnReused(e.address, e.conn)()
	}
	return e.readHead(request.Method)
}

// send sends the request. A long body is sent in the background while the response is read, because
// a server may respond before it has read the body.
func (e *Exchange) send(request Request) error {
	if request.bodyLen() <= syncSendBytes {
		defer e.releaseBody()
		defer close(e.sent)
		return errors.Wrap(request.write(e.conn.tcp), "send request")
	}
	e.sending.Go(func() error {
		defer e.releaseBody()
		defer close(e.sent)
		return errors.Wrap(request.write(e.conn.tcp), "send request")
	})
	return nil
}

// releaseBody releases the body of the request, which is not used after it. Further calls do nothing.
func (e *Exchange) releaseBody() {
	if e.requestBody != nil && !e.released.Swap(true) {
		e.requestBody.Release()
	}
}

func (e *Exchange) readHead(method string) error {
	if err := e.readFinalHead(); err != nil {
		return err
	}
	status := e.Header.StatusCode()
	length := e.Header.ContentLength()
	switch {
	case method == fasthttp.MethodHead, status == fasthttp.StatusNoContent, status == fasthttp.StatusNotModified:
		e.body = io.LimitReader(e.conn.reader, 0)
	case length == lengthChunked:
		e.body = &chunkedBody{reader: httputil.NewChunkedReader(e.conn.reader), exchange: e}
	case length >= 0:
		e.body = &sizedBody{reader: e.conn.reader, remaining: length}
	default:
		e.body = e.conn.reader
	}
	return nil
}

// readFinalHead skips interim (1xx) heads and reads the head of the final response.
func (e *Exchange) readFinalHead() error {
	limits := e.pool.limits
	for range limits.InterimHeads + 1 {
		err := e.Header.Read(e.conn.reader)
		var tooLarge *fasthttp.ErrSmallBuffer
		switch {
		case errors.As(err, &tooLarge):
			return &ErrTooLarge{Part: PartHead, Bound: int64(limits.Head)}
		case err != nil:
			return errors.Wrap(err, "read head")
		case e.Header.StatusCode() >= firstFinalStatus:
			return nil
		}
	}
	return &ErrTooLarge{Part: PartInterim, Bound: int64(limits.InterimHeads)}
}

// Read implements io.Reader for the body. It returns io.EOF only after a complete body.
func (e *Exchange) Read(p []byte) (int, error) {
	n, err := e.body.Read(p)
	if err != nil {
		e.complete = err == io.EOF
		e.readErr = err
	}
	return n, err
}

// IsFirst reports whether the exchange is the first one on its connection, so that its response can't be one
// to an earlier request. It must be called before Close.
func (e *Exchange) IsFirst() bool { return e.conn.isNew() }

// Through returns the name of the daemon that the request was sent through; empty if it was sent directly.
func (e *Exchange) Through() string { return e.conn.through() }

// IsCloseDelimited reports whether the body is delimited only by the close of the connection, so
// that io.EOF doesn't prove that it is complete.
func (e *Exchange) IsCloseDelimited() bool { return e.Header.ContentLength() == lengthUntilClose }

// ReadWhole reads the rest of the body, which must be complete and at most size bytes. The body
// counts against the memory budget of the pool until the exchange is closed. The error is an
// *ErrExchange; its cause is an *ErrTooLarge for a longer body, or a *admission.ErrExhausted.
func (e *Exchange) ReadWhole(size azurehitch.ByteSize) ([]byte, error) {
	body, complete, err := e.ReadUpTo(size)
	switch {
	case err != nil || complete:
	case azurehitch.ByteSize(len(body)) > size:
		err = &ErrTooLarge{Part: PartBody, Bound: int64(size)}
	default:
		err = e.pool.memory.ExhaustedError()
	}
	if err != nil {
		return nil, &ErrExchange{Address: e.address, Sent: true, NewConnection: e.conn.isNew(), Cause: err}
	}
	return body, nil
}

// ReadUpTo reads the body until it is complete or longer than size. It stops earlier, without an
// error, when the memory budget of the pool is exhausted. It returns the bytes read so far and
// whether they are the complete body. The bytes count against the budget until the exchange is
// closed.
func (e *Exchange) ReadUpTo(size azurehitch.ByteSize) (body []byte, complete bool, err error) {
	growth := azurehitch.ByteSize(initialBodyBytes)
	if length := e.Header.ContentLength(); length >= 0 {
		growth = azurehitch.ByteSize(length)
	}
	// The additional byte lets the read of the end of the body happen without growing the buffer.
	return e.readGrowing(size, int(min(growth, size))+1)
}

// readGrowing reads the body like ReadUpTo, into a buffer that begins with growth bytes and
// doubles.
func (e *Exchange) readGrowing(size azurehitch.ByteSize, growth int) (body []byte, complete bool, err error) {
	for {
		if len(body) == cap(body) {
			if e.memory.Grow(growth) != nil {
				return body, false, nil
			}
			body = append(make([]byte, 0, len(body)+growth), body...)
			growth = len(body) + growth
		}
		n, err := e.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case err == io.EOF:
			return body, true, nil
		case err != nil:
			return body, false, err
		case azurehitch.ByteSize(len(body)) > size:
			return body, false, nil
		}
	}
}

// SetReadDeadline makes reads of the body fail from t on. If the context ends before t, it still
// aborts the exchange.
func (e *Exchange) SetReadDeadline(ctx context.Context, t time.Time) {
	// A connection that can't take a deadline is closed already.
	_ = e.conn.tcp.SetReadDeadline(t)
	if ctx.Err() != nil {
		e.conn.interrupt()
	}
}

// SetKeepAlive sets the time for which the server has announced that it keeps the idle connection
// open.
func (e *Exchange) SetKeepAlive(d time.Duration) { e.keepAlive = d }

// CloseConnection makes Close close the connection, also after a complete response.
func (e *Exchange) CloseConnection() { e.fresh = true }

// Close ends the exchange. Unless the response was read completely, the connection is closed, which
// shows the server that nobody waits for the response any more.
func (e *Exchange) Close() {
	if e.closed {
		return
	}
	e.closed = true
	e.memory.Release()
	interrupted := e.stopInterrupt != nil && !e.stopInterrupt()
	switch {
	case !interrupted && e.isReusable():
		e.pool.putIdle(e.address, e.conn, e.keepAlive)
	case e.complete:
		e.conn.close()
	default:
		e.conn.reset()
	}
	// A failure to send shows in the response, or in its absence.
	_ = e.sending.Wait()
	e.releaseBody()
	e.pool.release(e.address)
}

// isReusable reports whether the connection can carry another request: the request was sent, the
// response is complete, and neither the options nor the server require to close the connection.
func (e *Exchange) isReusable() bool {
	select {
	case <-e.sent:
	default:
		return false
	}
	if e.fresh || !e.complete || e.IsCloseDelimited() || e.Header.ConnectionClose() || e.conn.reader.Buffered() > 0 {
		return false
	}
	return e.conn.tcp.SetDeadline(time.Time{}) == nil
}

// sizedBody reads a body of a known length.
type sizedBody struct {
	reader    io.Reader
	remaining int
}

// Read implements io.Reader.
func (b *sizedBody) Read(p []byte) (int, error) {
	if b.remaining == 0 {
		return 0, io.EOF
	}
	n, err := b.reader.Read(p[:min(len(p), b.remaining)])
	b.remaining -= n
	switch {
	case err == io.EOF && b.remaining > 0:
		err = io.ErrUnexpectedEOF
	case err == nil && b.remaining == 0:
		err = io.EOF
	}
	return n, err
}

// chunkedBody reads a chunked body and the trailers after it, which an empty line ends.
type chunkedBody struct {
	reader   io.Reader
	exchange *Exchange
}

// Read implements io.Reader.
func (b *chunkedBody) Read(p []byte) (int, error) {
	n, err := b.reader.Read(p)
	if err != io.EOF {
		return n, err
	}
	if err := b.skipTrailers(); err != nil {
		return n, err
	}
	return n, io.EOF
}

// skipTrailers discards the trailers after the last chunk, up to and including an empty line.
func (b *chunkedBody) skipTrailers() error {
	bound := int(b.exchange.pool.limits.Trailers)
	for size := 0; size <= bound; {
		line, err := b.exchange.conn.reader.ReadSlice('\n')
		if err != nil {
			return io.ErrUnexpectedEOF
		}
		if len(line) <= len("\r\n") {
			return nil
		}
		size += len(line)
	}
	return &ErrTooLarge{Part: PartTrailers, Bound: int64(bound)}
}
