package jsonhttp_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"azurehitch/internal/transport/jsonhttp"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
)

// TestAnswerResetDuringUpload checks that a call fails whose server answers before it has read the request, and resets
// the connection.
func TestAnswerResetDuringUpload(t *testing.T) {
	const (
		plays       = 20
		requestSize = 8 << 20
	)
	for name, answer := range map[string]string{
		"a success":            "HTTP/1.1 200 OK\r\n\r\n{}",
		"a success, head only": "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			c.Assert(err, qt.IsNil)
			var group errgroup.Group
			group.Go(func() error {
				for {
					conn, err := listener.Accept()
					if err != nil {
						return nil
					}
					if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
						return err
					}
					_, _ = io.WriteString(conn, answer)
					_ = conn.(*net.TCPConn).SetLinger(0)
					conn.Close()
				}
			})
			for range plays {
				client := jsonhttp.NewClient(listener.Addr().String(), "test")
				ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
				err := client.Call(ctx, http.MethodPost, "/", make([]byte, requestSize), nil)
				cancel()
				var call *jsonhttp.ErrCall
				c.Check(errors.As(err, &call), qt.IsTrue, qt.Commentf("%v", err))
			}
			c.Assert(listener.Close(), qt.IsNil)
			c.Assert(group.Wait(), qt.IsNil)
		})
	}
}
