package jsonhttp_test

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"azurehitch/internal/transport/jsonhttp"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
)

// callRaw calls a server that answers each request on a connection with the next of the given texts, once for each.
func callRaw(t *testing.T, answers ...string) error {
	t.Helper()
	c := qt.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	var group errgroup.Group
	group.Go(func() error {
		conn, err := listener.Accept()
		if err != nil {
			return err
		}
		defer conn.Close()
		reader := bufio.NewReader(conn)
		for _, answer := range answers {
			if _, err := http.ReadRequest(reader); err != nil {
				return err
			}
			if _, err := conn.Write([]byte(answer)); err != nil {
				return err
			}
		}
		return nil
	})
	client := jsonhttp.NewClient(listener.Addr().String(), "test")
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	var result error
	for range answers {
		result = client.Call(ctx, http.MethodPost, "/", []byte("x"), nil)
	}
	c.Assert(group.Wait(), qt.IsNil)
	c.Assert(listener.Close(), qt.IsNil)
	return result
}

// TestStatusThatIsNone guards against calls whose answer has a status that no server can mean, 000 above all, which was
// taken for a success: an append that was never made counted as acknowledged.
func TestStatusThatIsNone(t *testing.T) {
	const good = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
	for _, status := range []string{"000", "001", "099", "600", "999"} {
		bad := "HTTP/1.1 " + status + " X\r\nContent-Length: 2\r\n\r\n{}"
		for name, answers := range map[string][]string{
			"the first answer": {bad}, "a later one on the connection": {good, bad}, "after an interim head": {"HTTP/1.1 100 Continue\r\n\r\n" + bad},
		} {
			t.Run(status+", "+name, func(t *testing.T) {
				var call *jsonhttp.ErrCall
				err := callRaw(t, answers...)
				qt.Assert(t, errors.As(err, &call), qt.IsTrue, qt.Commentf("%v", err))
				qt.Assert(t, call.Sent, qt.IsTrue)
			})
		}
	}
	for _, status := range []string{"200", "599"} {
		t.Run(status+" is a status", func(t *testing.T) {
			var call *jsonhttp.ErrCall
			qt.Assert(t, errors.As(callRaw(t, "HTTP/1.1 "+status+" X\r\nContent-Length: 2\r\n\r\n{}"), &call), qt.IsFalse)
		})
	}
}
