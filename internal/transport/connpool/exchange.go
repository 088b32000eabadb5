package connpool

import (
	"context"
	"io"
	"net/http/httputil"
	"time"

	"azurehitch"
	"azurehitch/internal/transport/membudget"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"
)

const (
	// firstReadBytes is the memory that a body of unknown length begins with.
	firstReadBytes = 1 << 10
	// chunkedLength and untilClose are the lengths of the HTTP library for a body in
	// chunks and for one that ends with its connection.
	chunkedLength = -1
	untilClose    = -2
	// firstFinalStatus is behind the statuses of interim heads.
	firstFinalStatus = 200
	// atOnceBytes is the size up to which a body is sent before the answer is looked
	// for: it fits into the buffers of the connection.
	atOnceBytes = 4 << 10
)

// Exchange is an answer whose body may still be arriving. It is not safe for concurrent
// use.
type Exchange struct {
	Header fasthttp.ResponseHeader

	pool    *Pool
	address string
	conn    *conn
	body    io.Reader
	// held is the memory of a body that was read whole.
	held *membudget.Hold
	// whole is true when the body has been read to its end.
	whole bool
	// readErr is the error that ended the body.
	readErr error
	sending *errgroup.Group
	// sent is closed when the request has been sent.
	sent      chan struct{}
	stop      func() bool
	keepAlive time.Duration
	// fresh is true when the connection is for this exchange alone.
	fresh  bool
	closed bool
}

// Do sends a request once and reads the head of the answer. The end of the context
// breaks the exchange off.
func (p *Pool) Do(ctx context.Context, address string, request Request, options Options) (*Exchange, error) {
	c, err := p.acquire(ctx, address, options)
	if err != nil {
		return nil, &ErrExchange{Address: address, Cause: err}
	}
	e := &Exchange{
		pool: p, address: address, conn: c,
		sending: &errgroup.Group{}, sent: make(chan struct{}),
		held: p.memory.Hold(), fresh: options.Fresh,
	}
	if options.MaySend != nil && !options.MaySend() {
		close(e.sent)
		e.Close()
		return nil, &ErrExchange{Address: address, Cause: errDenied}
	}
	if err := e.start(ctx, request); err != nil {
		e.Close()
		return nil, &ErrExchange{Address: address, Sent: true, New: e.conn.isNew(), Cause: err}
	}
	return e, nil
}

func (e *Exchange) start(ctx context.Context, request Request) error {
	if deadline, ok := ctx.Deadline(); ok {
		if err := e.conn.tcp.SetDeadline(deadline); err != nil {
			return errors.Wrap(err, "set deadline")
		}
	}
	e.stop = context.AfterFunc(ctx, e.conn.interrupt)
	if err := ctx.Err(); err != nil {
		return err
	}
	if err := e.send(request); err != nil {
		return err
	}
	if err := e.readHead(request.Method); err != nil {
		return err
	}
	return nil
}

// send sends the request. A long body goes out while the answer is looked for, because a
// server may answer before it has read it.
func (e *Exchange) send(request Request) error {
	if len(request.Body) <= atOnceBytes {
		defer close(e.sent)
		return errors.Wrap(request.write(e.conn.tcp), "send request")
	}
	e.sending.Go(func() error {
		defer close(e.sent)
		return errors.Wrap(request.write(e.conn.tcp), "send request")
	})
	return nil
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
	case length == chunkedLength:
		e.body = &chunkedBody{reader: httputil.NewChunkedReader(e.conn.reader), exchange: e}
	case length >= 0:
		e.body = &sizedBody{reader: e.conn.reader, left: length}
	default:
		e.body = e.conn.reader
	}
	return nil
}

// readFinalHead reads the head behind the interim ones.
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

// Read reads the body. io.EOF comes only after a whole body.
func (e *Exchange) Read(p []byte) (int, error) {
	n, err := e.body.Read(p)
	if err != nil {
		e.whole = err == io.EOF
		e.readErr = err
	}
	return n, err
}

// IsUnframed reports whether the body ends with its connection, so that its end doesn't
// show that it is whole.
func (e *Exchange) IsUnframed() bool { return e.Header.ContentLength() == untilClose }

// ReadWhole reads the rest of the body, which must be whole and no longer than a size. The body counts against the memory
// of the pool until the exchange is closed. The cause of the error may be an *ErrTooLarge.
func (e *Exchange) ReadWhole(size azurehitch.ByteSize) ([]byte, error) {
	body, whole, err := e.ReadUpTo(size)
	switch {
	case err != nil || whole:
	case azurehitch.ByteSize(len(body)) > size:
		err = &ErrTooLarge{Part: PartBody, Bound: int64(size)}
	default:
		err = e.pool.memory.Exhausted()
	}
	if err != nil {
		return nil, &ErrExchange{Address: e.address, Sent: true, Cause: err}
	}
	return body, nil
}

// ReadUpTo reads the body up to a size, and tells whether it is whole. It reads less where the
// memory of the pool is taken. What was read counts against that until the exchange is closed.
func (e *Exchange) ReadUpTo(size azurehitch.ByteSize) (body []byte, whole bool, err error) {
	room := azurehitch.ByteSize(firstReadBytes)
	if length := e.Header.ContentLength(); length >= 0 {
		room = azurehitch.ByteSize(length)
	}
	// One byte more shows the end without growing.
	return e.readGrowing(size, int(min(room, size))+1)
}

// readGrowing reads the body up to a size into memory that begins with some room.
func (e *Exchange) readGrowing(size azurehitch.ByteSize, room int) (body []byte, whole bool, err error) {
	for {
		if len(body) == cap(body) {
			if e.held.Grow(room) != nil {
				return body, false, nil
			}
			body = append(make([]byte, 0, len(body)+room), body...)
			room = len(body) + room
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

// SetReadDeadline bounds the wait for further bytes. The end of the context still breaks the
// exchange off.
func (e *Exchange) SetReadDeadline(ctx context.Context, t time.Time) {
	// A connection that can't take a deadline is closed already.
	_ = e.conn.tcp.SetReadDeadline(t)
	if ctx.Err() != nil {
		e.conn.interrupt()
	}
}

// SetKeepAlive tells how long the server keeps the connection.
func (e *Exchange) SetKeepAlive(d time.Duration) { e.keepAlive = d }

// Close ends the exchange. Unless the answer was read whole, the connection is closed,
// which tells the server that nobody waits for it any more.
func (e *Exchange) Close() {
	if e.closed {
		return
	}
	e.closed = true
	e.held.Release()
	interrupted := e.stop != nil && !e.stop()
	switch {
	case !interrupted && e.isReusable():
		e.pool.giveBack(e.address, e.conn, e.keepAlive)
	case e.whole:
		e.conn.close()
	default:
		e.conn.abandon()
	}
	// A failure to send shows in the answer, or in its absence.
	_ = e.sending.Wait()
	e.pool.release(e.address)
}

// isReusable reports whether the connection may carry another request.
func (e *Exchange) isReusable() bool {
	select {
	case <-e.sent:
	default:
		return false
	}
	if e.fresh || !e.whole || e.IsUnframed() || e.Header.ConnectionClose() || e.conn.reader.Buffered() > 0 {
		return false
	}
	return e.conn.tcp.SetDeadline(time.Time{}) == nil
}

// sizedBody is a body of a known length.
type sizedBody struct {
	reader io.Reader
	left   int
}

// Read implements io.Reader.
func (b *sizedBody) Read(p []byte) (int, error) {
	if b.left == 0 {
		return 0, io.EOF
	}
	n, err := b.reader.Read(p[:min(len(p), b.left)])
	b.left -= n
	switch {
	case err == io.EOF && b.left > 0:
		err = io.ErrUnexpectedEOF
	case err == nil && b.left == 0:
		err = io.EOF
	}
	return n, err
}

// chunkedBody is a body in chunks. Its end is followed by an empty line.
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

// skipTrailers reads what follows the last chunk, up to an empty line.
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
