package connpool_test

import (
	"context"
	"testing"
	"time"

	"azurehitch"
	"azurehitch/internal/transport/connpool"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"
)

func TestRequestIsOneRequest(t *testing.T) {
	for name, change := range map[string]func(request *connpool.Request){
		"a line in a value":    func(r *connpool.Request) { r.Add("X-A", "a\r\n\r\nGET /other HTTP/1.1") },
		"a carriage return":    func(r *connpool.Request) { r.Add("X-A", "3\rX-B: 1") },
		"a NUL byte":           func(r *connpool.Request) { r.Add("X-A", "3\x00") },
		"a line in a name":     func(r *connpool.Request) { r.Add("X-A: 1\nX-B", "1") },
		"a line in the host":   func(r *connpool.Request) { r.Host = "h\nX-B: 1" },
		"a line in the path":   func(r *connpool.Request) { r.URI = "/x HTTP/1.1\r\nX-B: 1" },
		"a line in the method": func(r *connpool.Request) { r.Method = "GET /y HTTP/1.1\nX" },
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			address, accepted := startServer(t, script{completeResponse})
			pool := connpool.New(azurehitch.SystemClock{}, connpool.DefaultLimits())
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
			defer cancel()
			request := connpool.Request{Method: "GET", URI: "/x", Host: "h"}
			change(&request)
			_, err := pool.Do(ctx, address, request, connpool.Options{})
			var failed *connpool.ErrExchange
			c.Assert(errors.As(err, &failed), qt.IsTrue)
			c.Assert(failed.Sent, qt.IsFalse)
			c.Assert(accepted(), qt.Equals, 0)
		})
	}
}
