// Package pinnedhttp sends HTTP requests over a single connection that is never re-established.
//
// # Usage
//
//	conn, err := pinnedhttp.Dial(ctx, "127.0.0.1:7001")
//	err = conn.Do(ctx, req, resp)
//
// If Dial fails, no request was sent. If Do fails, the server may have processed the request, and
// the connection must not be used again. Client libraries with a connection pool can't tell these
// cases apart.
package pinnedhttp

import (
	"bufio"
	"context"
	"net"
	"time"

	"azurehitch/internal/transport/countconn"
	"azurehitch/internal/transport/responsehead"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

const bufferBytes = 4096

// Conn is a connection to one server process. It is not safe for concurrent use.
type Conn struct {
	conn    net.Conn
	reader  *bufio.Reader
	address string
}

// DialControl is Dial for control traffic, which package countconn counts.
func DialControl(ctx context.Context, address string) (*Conn, error) {
	c, err := Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	c.conn = countconn.Wrap(c.conn)
	c.reader.Reset(c.conn)
	return c, nil
}

// Dial connects to an address.
func Dial(ctx context.Context, address string) (*Conn, error) {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "dial")
	}
	conn = responsehead.Wrap(conn)
	return &Conn{conn: conn, reader: bufio.NewReaderSize(conn, bufferBytes), address: address}, nil
}

// Do sends a request once and reads the response. It is aborted when the context ends.
func (c *Conn) Do(ctx context.Context, req *fasthttp.Request, resp *fasthttp.Response) error {
	stop := context.AfterFunc(ctx, c.interrupt)
	defer stop()
	if err := ctx.Err(); err != nil {
		return err
	}
	if deadline, ok := ctx.Deadline(); ok {
		if err := c.conn.SetDeadline(deadline); err != nil {
			return errors.Wrap(err, "set deadline")
		}
	}
	req.SetHost(c.address)
	writer := bufio.NewWriterSize(c.conn, bufferBytes)
	if err := req.Write(writer); err != nil {
		return errors.Wrap(err, "write request")
	}
	if err := writer.Flush(); err != nil {
		return errors.Wrap(err, "write request")
	}
	return errors.Wrap(resp.Read(c.reader), "read answer")
}

// interrupt makes reads and writes in progress fail, by a deadline in the past.
func (c *Conn) interrupt() {
	// A connection that can't take a deadline is closed already.
	_ = c.conn.SetDeadline(time.Unix(1, 0))
}

// Close closes the connection.
func (c *Conn) Close() error { return c.conn.Close() }
