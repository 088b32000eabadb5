package connpool_test

import (
	"context"
	"net"
	"testing"
	"time"

	"azurehitch"
	"azurehitch/internal/transport/connpool"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"
)

// FuzzAnswer sends arbitrary bytes as a response. The exchange must end before its timeout, return
// no body beyond the bound, and release all memory of the budget.
func FuzzAnswer(f *testing.F) {
	for _, answer := range []string{
		"", completeResponse, "HTTP/1.1 100 Continue\r\n\r\n" + completeResponse, "HTTP/1.1 200 OK\r\n\r\nuntil the end",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;x=y\r\nok\r\n0\r\nTrailer: t\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 9223372036854775807\r\n\r\nz", "HTTP/1.1 204 No\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\nz",
		"HTTP/1.1 200 OK\r\nContent-Length: -1\r\nContent-Length: 2\r\n\r\nok", "\r\n\r\n" + completeResponse,
	} {
		f.Add([]byte(answer))
	}
	c := qt.New(f)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	answers := make(chan []byte, 1)
	var group errgroup.Group
	group.Go(func() error {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return nil
			}
			if err := runScript(conn, script{string(<-answers)}); err != nil {
				return err
			}
		}
	})
	f.Cleanup(func() {
		listener.Close()
		_ = group.Wait()
	})
	const bound = 4 << 10
	limits := connpool.DefaultLimits()
	limits.Memory = 10 * bound
	f.Fuzz(func(t *testing.T, answer []byte) {
		c := qt.New(t)
		pool := connpool.New(azurehitch.SystemClock{}, limits)
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		answers <- answer
		request := connpool.Request{Method: "GET", URI: "/x", Host: "h"}
		exchange, err := pool.Do(ctx, listener.Addr().String(), request, connpool.Options{Fresh: true})
		if err != nil {
			return
		}
		body, err := exchange.ReadWhole(bound)
		if err == nil {
			c.Assert(len(body) <= bound, qt.IsTrue)
			c.Assert(len(body) <= len(answer), qt.IsTrue)
		}
		exchange.Close()
		c.Assert(int64(pool.Memory().Taken()), qt.Equals, int64(0))
		c.Assert(ctx.Err(), qt.IsNil)
	})
}
