package connpool_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"slices"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"azurehitch"
	"azurehitch/internal/transport/connpool"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
)

// script is what a fake server does with a connection after each request: it sends the
// text, and closes the connection after the last one.
type script []string

// serve runs a fake server. Each connection plays the next script, the last one again.
func serve(t *testing.T, scripts ...script) (address string, accepted func() int) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.New(t).Assert(err, qt.IsNil)
	const maxConns = 100
	conns := make(chan net.Conn, maxConns)
	var group errgroup.Group
	t.Cleanup(func() {
		listener.Close()
		for len(conns) > 0 {
			(<-conns).Close()
		}
		_ = group.Wait()
	})
	group.Go(func() error {
		for i := 0; ; i++ {
			conn, err := listener.Accept()
			if err != nil {
				return nil
			}
			conns <- conn
			group.Go(func() error { return play(conn, scripts[min(i, len(scripts)-1)]) })
		}
	})
	return listener.Addr().String(), func() int { return len(conns) }
}

func play(conn net.Conn, s script) error {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for _, answer := range s {
		for {
			line, err := reader.ReadString('\n')
			if err != nil {
				return nil
			}
			if line == "\r\n" {
				break
			}
		}
		if _, err := io.WriteString(conn, answer); err != nil {
			return nil
		}
	}
	return nil
}

const whole = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

func get(t *testing.T, pool *connpool.Pool, address string, options connpool.Options) ([]byte, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	exchange, err := pool.Do(ctx, address, connpool.Request{Method: "GET", URI: "/x", Host: "h"}, options)
	if err != nil {
		return nil, err
	}
	defer exchange.Close()
	return exchange.ReadWhole(1 << 20)
}

func TestReuse(t *testing.T) {
	for _, test := range []struct {
		name    string
		answer  string
		options connpool.Options
		conns   int
	}{
		{"after a whole answer", whole, connpool.Options{}, 1},
		{"not when a fresh one is asked for", whole, connpool.Options{Fresh: true}, 2},
		{"not with bytes behind the answer", whole + "HTTP/1.1 200 OK\r\n", connpool.Options{}, 2},
		{"not when the server closes", "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok", connpool.Options{}, 2},
		{"after chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", connpool.Options{}, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			address, accepted := serve(t, script{test.answer, test.answer, test.answer})
			pool := connpool.New(azurehitch.SystemClock{}, connpool.DefaultLimits())
			for range 2 {
				body, err := get(t, pool, address, test.options)
				c.Assert(err, qt.IsNil)
				c.Assert(string(body), qt.Equals, "ok")
			}
			c.Assert(accepted(), qt.Equals, test.conns)
		})
	}
}

func TestCutAnswers(t *testing.T) {
	for name, answer := range map[string]string{
		"in the head":           "HTTP/1.1 200 OK\r\nContent-Le",
		"in a sized body":       "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nok",
		"between chunks":        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
		"behind the last chunk": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n",
		"no answer":             "",
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			address, _ := serve(t, script{answer})
			_, err := get(t, connpool.New(azurehitch.SystemClock{}, connpool.DefaultLimits()), address, connpool.Options{})
			var failed *connpool.ErrExchange
			c.Assert(errors.As(err, &failed), qt.IsTrue, qt.Commentf("%v", err))
			c.Assert(failed.Sent, qt.IsTrue)
		})
	}
}

func TestNotSent(t *testing.T) {
	assertNotSent := func(c *qt.C, err error) {
		c.Helper()
		var failed *connpool.ErrExchange
		c.Assert(errors.As(err, &failed), qt.IsTrue, qt.Commentf("%v", err))
		c.Assert(failed.Sent, qt.IsFalse)
	}
	t.Run("nobody listens", func(t *testing.T) {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		c := qt.New(t)
		c.Assert(err, qt.IsNil)
		c.Assert(listener.Close(), qt.IsNil)
		_, err = get(t, connpool.New(azurehitch.SystemClock{}, connpool.DefaultLimits()), listener.Addr().String(), connpool.Options{})
		assertNotSent(c, err)
	})
	t.Run("it may not be sent any more when the connection stands", func(t *testing.T) {
		c := qt.New(t)
		address, accepted := serve(t, script{whole})
		pool := connpool.New(azurehitch.SystemClock{}, connpool.DefaultLimits())
		_, err := get(t, pool, address, connpool.Options{MaySend: func() bool { return false }})
		assertNotSent(c, err)
		_, err = get(t, pool, address, connpool.Options{Fresh: true, MaySend: func() bool { return true }})
		c.Assert(err, qt.IsNil)
		c.Assert(accepted() > 0, qt.IsTrue)
	})
	t.Run("the cap is reached", func(t *testing.T) {
		c := qt.New(t)
		address, _ := serve(t, script{whole})
		pool := connpool.New(azurehitch.SystemClock{}, connpool.DefaultLimits())
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		held, err := pool.Do(ctx, address, connpool.Request{Method: "GET", URI: "/", Host: "h"}, connpool.Options{MaxOpen: 1})
		c.Assert(err, qt.IsNil)
		_, err = get(t, pool, address, connpool.Options{MaxOpen: 1})
		assertNotSent(c, err)
		held.Close()
		_, err = get(t, pool, address, connpool.Options{MaxOpen: 1, Fresh: true})
		c.Assert(err, qt.IsNil)
	})
}

// capped is a fake server that takes a number of connections and resets those beyond. It answers
// each request and keeps the connection.
type capped struct {
	address string
	most    int64
	open    atomic.Int64
	resets  atomic.Int64
}

func serveCapped(t *testing.T, most int64) *capped {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.New(t).Assert(err, qt.IsNil)
	s := &capped{address: listener.Addr().String(), most: most}
	var group errgroup.Group
	ctx, end := context.WithCancel(context.Background())
	t.Cleanup(func() {
		listener.Close()
		end()
		_ = group.Wait()
	})
	group.Go(func() error {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return nil
			}
			if s.open.Add(1) > most {
				s.resets.Add(1)
				s.open.Add(-1)
				_ = conn.(*net.TCPConn).SetLinger(0)
				conn.Close()
				continue
			}
			group.Go(func() error {
				defer s.open.Add(-1)
				defer context.AfterFunc(ctx, func() { conn.Close() })()
				return play(conn, slices.Repeat(script{whole}, 100))
			})
		}
	})
	return s
}

// awaitRoom waits until the server has seen closed connections go, so that it takes one more.
func (s *capped) awaitRoom(c *qt.C) {
	c.Helper()
	for range 5000 {
		if s.open.Load() < s.most {
			return
		}
		time.Sleep(time.Millisecond)
	}
	c.Fatalf("the server has no room for a further connection")
}

// TestConnectionCap plays requests of both kinds at a server that takes few connections: those that
// nobody will use again don't fill it.
func TestConnectionCap(t *testing.T) {
	const most, requests = 4, 40
	for _, test := range []struct {
		name    string
		options func(i int) connpool.Options
	}{
		{"fresh ones", func(int) connpool.Options { return connpool.Options{Fresh: true, MaxOpen: most} }},
		{"fresh and kept ones by turns", func(i int) connpool.Options {
			return connpool.Options{Fresh: i%3 != 0, MaxOpen: most}
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			server := serveCapped(t, most)
			pool := connpool.New(azurehitch.SystemClock{}, connpool.DefaultLimits())
			for i := range requests {
				server.awaitRoom(c)
				_, err := get(t, pool, server.address, test.options(i))
				c.Assert(err, qt.IsNil, qt.Commentf("request %d", i))
			}
			c.Assert(server.resets.Load(), qt.Equals, int64(0))
		})
	}
	t.Run("idle ones give way", func(t *testing.T) {
		c := qt.New(t)
		server := serveCapped(t, most)
		pool := connpool.New(azurehitch.SystemClock{}, connpool.DefaultLimits())
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		request := connpool.Request{Method: "GET", URI: "/", Host: "h"}
		hold := func(options connpool.Options) (held []*connpool.Exchange) {
			for range most {
				exchange, err := pool.Do(ctx, server.address, request, options)
				c.Assert(err, qt.IsNil)
				held = append(held, exchange)
			}
			return held
		}
		for _, exchange := range hold(connpool.Options{MaxOpen: most}) {
			_, err := exchange.ReadWhole(1 << 10)
			c.Assert(err, qt.IsNil)
			exchange.Close()
		}
		for range most {
			server.awaitRoom(c)
			exchange, err := pool.Do(ctx, server.address, request, connpool.Options{Fresh: true, MaxOpen: most})
			c.Assert(err, qt.IsNil)
			defer exchange.Close()
		}
		c.Assert(server.resets.Load(), qt.Equals, int64(0))
	})
}

// TestIdleClose answers servers that close idle connections: the next request goes over a
// new one.
func TestIdleClose(t *testing.T) {
	c := qt.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	const requests = 4
	closed := make(chan struct{}, requests)
	var group errgroup.Group
	group.Go(func() error {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return nil
			}
			if err := play(conn, script{whole}); err != nil {
				return err
			}
			closed <- struct{}{}
		}
	})
	pool := connpool.New(azurehitch.SystemClock{}, connpool.DefaultLimits())
	for range requests {
		_, err := get(t, pool, listener.Addr().String(), connpool.Options{})
		c.Assert(err, qt.IsNil)
		<-closed
	}
	c.Assert(listener.Close(), qt.IsNil)
	c.Assert(group.Wait(), qt.IsNil)
}

// TestLongBody answers servers that answer before they have read a body: its rest is sent,
// and nothing else goes over the connection.
func TestLongBody(t *testing.T) {
	c := qt.New(t)
	address, accepted := serve(t, script{"HTTP/1.1 413 Too Large\r\nContent-Length: 0\r\n\r\n"})
	pool := connpool.New(azurehitch.SystemClock{}, connpool.DefaultLimits())
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	body := []byte(strings.Repeat("x", 8<<20))
	exchange, err := pool.Do(ctx, address, connpool.Request{Method: "POST", URI: "/", Host: "h", Body: body}, connpool.Options{})
	c.Assert(err, qt.IsNil)
	c.Assert(exchange.Header.StatusCode(), qt.Equals, 413)
	exchange.Close()
	_, err = get(t, pool, address, connpool.Options{})
	c.Assert(err, qt.IsNil)
	c.Assert(accepted(), qt.Equals, 2)
}

// TestAbandon gives up an exchange whose request the server has not read: the connection is reset, so
// that no byte of it is delivered later.
func TestAbandon(t *testing.T) {
	c := qt.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer listener.Close()
	pool := connpool.New(azurehitch.SystemClock{}, connpool.DefaultLimits())
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, err = pool.Do(ctx, listener.Addr().String(), connpool.Request{Method: "POST", URI: "/order", Host: "h"}, connpool.Options{Fresh: true})
	c.Assert(err, qt.IsNotNil)
	conn, err := listener.Accept()
	c.Assert(err, qt.IsNil)
	defer conn.Close()
	_, err = io.ReadAll(conn)
	c.Assert(errors.Is(err, syscall.ECONNRESET), qt.IsTrue, qt.Commentf("%v", err))
}
