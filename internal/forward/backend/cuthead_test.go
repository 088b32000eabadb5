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

// startCuttingServer starts a server that sends a text as the answer to each request and closes the connection.
func startCuttingServer(t *testing.T, text string) (address string) {
	t.Helper()
	return startEarlyServer(t, text, func(*net.TCPConn) {})
}

// startEarlyServer starts a server that sends a text as the answer once it has the head of a request. Then it calls end,
// and closes the connection.
func startEarlyServer(t *testing.T, text string, end func(conn *net.TCPConn)) (address string) {
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
			end(conn.(*net.TCPConn))
			conn.Close()
		}
	})
	return listener.Addr().String()
}

// sendTimeout bounds send.
const sendTimeout = 2 * time.Second

// send sends a request with a body to a server.
func send(address string, body []byte, atMostOnce bool) (*backend.Exchange, error) {
	transport := backend.NewTransport(azurehitch.SystemClock{}, ignoreBreakers{})
	request := &fasthttp.Request{}
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetRequestURI("/x")
	request.SetBody(body)
	ctx, cancel := context.WithTimeout(context.Background(), sendTimeout)
	defer cancel()
	return transport.Send(ctx, backend.Call{
		Server: tables.BackendServer{Name: "s", Address: address}, Request: request, AtMostOnce: atMostOnce,
	})
}

// TestAnswerCutInItsHead cuts the head of an answer after each of its bytes. It must not be taken for an answer.
func TestAnswerCutInItsHead(t *testing.T) {
	for name, whole := range map[string]string{
		"with a length":    "HTTP/1.1 200 OK\r\nX-A: b\r\nContent-Length: 0\r\n\r\n",
		"in chunks":        "HTTP/1.1 200 OK\r\nX-A: b\r\nTransfer-Encoding: chunked\r\n\r\n",
		"without a length": "HTTP/1.1 200 OK\r\nX-A: b\r\nContent-Type: text/plain\r\n\r\n",
	} {
		for _, atMostOnce := range []bool{false, true} {
			t.Run(name, func(t *testing.T) {
				c := qt.New(t)
				for cut := range len(whole) {
					exchange, err := send(startCuttingServer(t, whole[:cut]), nil, atMostOnce)
					c.Check(err, qt.IsNotNil, qt.Commentf("taken for an answer: %q", whole[:cut]))
					if err == nil {
						exchange.Close()
					}
				}
			})
		}
	}
}
