package caller

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"azurehitch"
	"azurehitch/internal/configuration/tables"
	"azurehitch/internal/standin/hookconn"
	"azurehitch/internal/telemetry/metrics"
	"azurehitch/internal/telemetry/tracing"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"
)

const (
	modelsRequest    = "GET /v1/models HTTP/1.1\r\nHost: a.example\r\n\r\n"
	maxTestBodyBytes = 1 << 20
)

// listen returns a listener on a free port.
func listen(c *qt.C) net.Listener {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	return listener
}

// startServer starts a server without a configuration, which ends with the test at the latest.
func startServer(c *qt.C, listener net.Listener) *Server {
	tracer, err := tracing.New(context.Background(), tracing.Options{})
	c.Assert(err, qt.IsNil)
	server := NewServer(Dependencies{
		Configuration: func() tables.Configuration { return tables.Configuration{} },
		Clock:         azurehitch.SystemClock{}, Metrics: metrics.New(), Tracer: tracer,
	}, Settings{
		DefaultTimeout: time.Second, MaxTimeout: 10 * time.Second, ReadTimeout: 5 * time.Second,
		MaxBodyBytes: maxTestBodyBytes, MaxHeaderBytes: 16 << 10, MaxConnections: 10,
	})
	var group errgroup.Group
	group.Go(func() error { return server.Serve(listener) })
	c.Cleanup(func() {
		listener.Close()
		c.Check(group.Wait(), qt.IsNil)
	})
	return server
}

// stopWithin makes the planned stop of a server.
func stopWithin(server *Server, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	if err := server.Drain(ctx); err != nil {
		return err
	}
	return server.Shutdown(ctx)
}

// keptConn is a caller's connection.
type keptConn struct {
	*qt.C
	net.Conn
	reader *bufio.Reader
}

func dial(c *qt.C, address string) *keptConn {
	conn, err := net.Dial("tcp", address)
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { conn.Close() })
	c.Assert(conn.SetDeadline(time.Now().Add(5*time.Second)), qt.IsNil)
	return &keptConn{C: c, Conn: conn, reader: bufio.NewReader(conn)}
}

func (k *keptConn) write(text string) {
	_, err := io.WriteString(k.Conn, text)
	k.Assert(err, qt.IsNil)
}

// assertAnswer reads an answer and checks its status, and whether it closes the connection.
func (k *keptConn) assertAnswer(status int, closes bool) {
	response, err := http.ReadResponse(k.reader, nil)
	k.Assert(err, qt.IsNil)
	_, err = io.Copy(io.Discard, response.Body)
	k.Assert(err, qt.IsNil)
	k.Check(response.StatusCode, qt.Equals, status)
	k.Check(response.Close, qt.Equals, closes)
}

func TestStopDropsRequestThatWasJustRead(t *testing.T) {
	for name, isKept := range map[string]bool{"on a kept connection": true, "on a new connection": false} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			listener := &hookconn.Listener{Listener: listen(c)}
			server := startServer(c, listener)
			kept := dial(c, listener.Addr().String())
			if isKept {
				kept.write(modelsRequest)
				kept.assertAnswer(http.StatusServiceUnavailable, false)
			}
			var group errgroup.Group
			stop := func() {
				group.Go(func() error { return stopWithin(server, 2*time.Second) })
				time.Sleep(200 * time.Millisecond)
			}
			listener.CallOnRead(stop)
			kept.write(modelsRequest)
			kept.assertAnswer(http.StatusServiceUnavailable, true)
			c.Assert(group.Wait(), qt.IsNil)
		})
	}
}

func TestStopWaitsForIdleConnections(t *testing.T) {
	for name, isUsed := range map[string]bool{"used before": true, "never used": false} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			listener := listen(c)
			server := startServer(c, listener)
			kept := dial(c, listener.Addr().String())
			if isUsed {
				kept.write(modelsRequest)
				kept.assertAnswer(http.StatusServiceUnavailable, false)
			}
			c.Assert(azurehitch.SystemClock{}.Sleep(context.Background(), 50*time.Millisecond), qt.IsNil)
			c.Assert(stopWithin(server, time.Second), qt.IsNil)
			rest, err := kept.reader.ReadByte()
			c.Assert(err, qt.ErrorMatches, "EOF", qt.Commentf("got %d", rest))
		})
	}
}

func TestRefusalOfLargeBodyIsLostWithItsConnection(t *testing.T) {
	c := qt.New(t)
	listener := listen(c)
	startServer(c, listener)
	kept := dial(c, listener.Addr().String())
	kept.write("POST /v1/completions HTTP/1.1\r\nHost: a.example\r\nContent-Length: 1048577\r\n\r\n")
	kept.write(strings.Repeat("a", maxTestBodyBytes+1))
	kept.assertAnswer(http.StatusBadRequest, true)
}
