package backend_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"azurehitch"
	"azurehitch/internal/configuration/tables"
	"azurehitch/internal/forward/backend"

	qt "github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"
)

// startResettingServer starts a server that sends a text as the answer once it has the head of a request, and resets
// the connection.
func startResettingServer(t *testing.T, text string) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.New(t).Assert(err, qt.IsNil)
	var group errgroup.Group
	t.Cleanup(func() {
		listener.Close()
		_ = group.Wait()
	})
	group.Go(func() error {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return nil
			}
			if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				// The client may have given up.
				_, _ = io.WriteString(conn, text)
			}
			_ = conn.(*net.TCPConn).SetLinger(0)
			conn.Close()
		}
	})
	return listener.Addr().String()
}

// TestAnswerResetDuringUpload checks that an answer without a length is not taken for whole whose server resets the
// connection while the request is being sent.
func TestAnswerResetDuringUpload(t *testing.T) {
	const (
		plays       = 20
		requestSize = 8 << 20
	)
	address := startResettingServer(t, "HTTP/1.1 200 OK\r\nX-A: b\r\n\r\npart")
	for name, atMostOnce := range map[string]bool{"pinned": true, "pooled": false} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			for range plays {
				transport := backend.NewTransport(azurehitch.SystemClock{}, ignoreBreakers{})
				request := &fasthttp.Request{}
				request.Header.SetMethod(fasthttp.MethodPost)
				request.SetRequestURI("/x")
				request.SetBody(make([]byte, requestSize))
				ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
				exchange, err := transport.Send(ctx, backend.Call{
					Server: tables.BackendServer{Name: "s", Address: address}, Request: request, AtMostOnce: atMostOnce,
				})
				if err == nil {
					_, err = io.ReadAll(exchange.Body())
					exchange.Close()
				}
				cancel()
				c.Check(err, qt.IsNotNil)
			}
		})
	}
}
