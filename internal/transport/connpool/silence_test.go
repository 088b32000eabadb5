package connpool_test

import (
	"context"
	"testing"
	"time"

	"azurehitch"
	"azurehitch/internal/transport/connpool"

	qt "github.com/frankban/quicktest"
)

// keepIdle makes exchanges at the same time, so that as many connections are idle afterwards.
func keepIdle(c *qt.C, pool *connpool.Pool, address string, count int) {
	c.Helper()
	exchanges := make([]*connpool.Exchange, count)
	for i := range exchanges {
		exchange, err := pool.Do(context.Background(), address, connpool.Request{Method: "GET", URI: "/x", Host: "h"}, connpool.Options{})
		c.Assert(err, qt.IsNil)
		exchanges[i] = exchange
	}
	for _, exchange := range exchanges {
		_, err := exchange.ReadWhole(1 << 20)
		c.Assert(err, qt.IsNil)
		exchange.Close()
	}
}

func TestSilentIdleConnectionIsUsedAfterATimeout(t *testing.T) {
	for name, wait := range map[string]func() (context.Context, context.CancelFunc){
		"of the exchange": func() (context.Context, context.CancelFunc) {
			return context.WithTimeout(context.Background(), 200*time.Millisecond)
		},
		"of a caller who leaves": func() (context.Context, context.CancelFunc) {
			ctx, cancel := context.WithCancel(context.Background())
			timer := time.AfterFunc(1100*time.Millisecond, cancel)
			return ctx, func() { timer.Stop(); cancel() }
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			goesSilent, answers := script{completeResponse, "", ""}, script{completeResponse, completeResponse}
			address, accepted := startServer(t, goesSilent, goesSilent, goesSilent, answers)
			pool := connpool.New(azurehitch.SystemClock{}, connpool.DefaultLimits())
			keepIdle(c, pool, address, 3)
			ctx, cancel := wait()
			defer cancel()
			_, err := pool.Do(ctx, address, connpool.Request{Method: "GET", URI: "/x", Host: "h"}, connpool.Options{})
			c.Assert(err, qt.IsNotNil)
			body, err := get(t, pool, address, connpool.Options{})
			c.Assert(err, qt.IsNil)
			c.Assert(string(body), qt.Equals, "ok")
			c.Assert(accepted(), qt.Equals, 4)
		})
	}
}

func TestCanceledExchangeClosesIdleConnections(t *testing.T) {
	c := qt.New(t)
	address, accepted := startServer(t, script{completeResponse, completeResponse}, script{completeResponse, "", ""})
	pool := connpool.New(azurehitch.SystemClock{}, connpool.DefaultLimits())
	keepIdle(c, pool, address, 2)
	ctx, cancel := context.WithCancel(context.Background())
	timer := time.AfterFunc(100*time.Millisecond, cancel)
	defer timer.Stop()
	_, err := pool.Do(ctx, address, connpool.Request{Method: "GET", URI: "/x", Host: "h"}, connpool.Options{})
	c.Assert(err, qt.IsNotNil)
	_, err = get(t, pool, address, connpool.Options{})
	c.Assert(err, qt.IsNil)
	c.Assert(accepted(), qt.Equals, 2)
}
