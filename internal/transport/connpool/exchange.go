package connpool

import (
	"context"
	"io"
	"net/http/httputil"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"
)

const (
	// maxAnswerBytes bounds an answer that is read whole.
	maxAnswerBytes = 64 << 20
	// chunkedLength and untilClose are the lengths of the HTTP library for a body in
	// chunks and for one that ends with its connection.
	chunkedLength = -1
	untilClose    = -2
	// interimStatuses are below this.
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
	// whole is true when the body has been read to its end.
	whole bool
	// readErr is the error that ended the body.
	readErr error
	sending *errgroup.Group
	// sent is closed when the request has been sent.
	sent      chan struct{}
	stop      func() bool
	keepAlive time.Duration
	closed    bool
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
	}
	if err := e.start(ctx, request); err != nil {
		e.Close()
		return nil, &ErrExchange{Address: address, Sent: true, Cause: err}
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
	for {
		if err := e.Header.Read(e.conn.reader); err != nil {
			return errors.Wrap(err, "read head")
		}
		if e.Header.StatusCode() >= firstFinalStatus {
			break
		}
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

// ReadWhole reads the rest of the body, which must be whole.
func (e *Exchange) ReadWhole() ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(e, maxAnswerBytes+1))
	if err == nil && len(body) > maxAnswerBytes {
		err = errors.Errorf("answer is larger than %d bytes", maxAnswerBytes)
	}
	if err != nil {
		return nil, &ErrExchange{Address: e.address, Sent: true, Cause: err}
	}
	return body, nil
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
	interrupted := e.stop != nil && !e.stop()
	if !interrupted && e.isReusable() {
		e.pool.giveBack(e.address, e.conn, e.keepAlive)
	} else {
		e.conn.close()
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
	if !e.whole || e.IsUnframed() || e.Header.ConnectionClose() || e.conn.reader.Buffered() > 0 {
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
	reader := b.exchange.conn.reader
	for {
		line, err := reader.ReadSlice('\n')
		if err != nil {
			return n, io.ErrUnexpectedEOF
		}
		if len(line) <= len("\r\n") {
			return n, io.EOF
		}
	}
}
