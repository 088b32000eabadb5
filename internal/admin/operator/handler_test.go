package operator_test

import (
	"context"
	"net"
	"testing"

	"azurehitch/internal/admin/operator"
	"azurehitch/internal/peer/peerpb"
	"azurehitch/internal/telemetry/metrics"
	"azurehitch/internal/transport/jsonhttp"

	qt "github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttputil"
	"golang.org/x/sync/errgroup"
)

// TestStopRacesWithRequest stops HTTP servers while they answer a request. The race detector must see nothing.
func TestStopRacesWithRequest(t *testing.T) {
	const rounds, concurrentRounds = 200, 50
	c := qt.New(t)
	var group errgroup.Group
	group.SetLimit(concurrentRounds)
	for range rounds {
		group.Go(func() error {
			stopDuringRequest(c)
			return nil
		})
	}
	c.Assert(group.Wait(), qt.IsNil)
}

// stopDuringRequest shuts a server down just before it answers a request.
func stopDuringRequest(c *qt.C) {
	listener := fasthttputil.NewInmemoryListener()
	lifetime, stop := context.WithCancel(context.Background())
	var group errgroup.Group
	server := &fasthttp.Server{Logger: discardLogger{}}
	server.Handler = operator.NewHandler(operator.Dependencies{
		Metrics: metrics.New(), Daemons: func() []string { return []string{"daemon-1"} },
		Status: func(context.Context, string) (*peerpb.StatusResponse, error) {
			stop()
			return &peerpb.StatusResponse{}, nil
		},
	})
	group.Go(func() error { return jsonhttp.Serve(lifetime, listener, server) })
	client := &fasthttp.HostClient{Addr: "daemon-1", Dial: func(string) (net.Conn, error) { return listener.Dial() }}
	status, _, err := client.Get(nil, "http://daemon-1"+operator.PathDaemons)
	c.Check(err, qt.IsNil)
	c.Check(status, qt.Equals, fasthttp.StatusOK)
	client.CloseIdleConnections()
	c.Check(group.Wait(), qt.IsNil)
}

// discardLogger is a fasthttp.Logger that ignores all lines.
type discardLogger struct{}

// Printf implements fasthttp.Logger.
func (discardLogger) Printf(string, ...any) {}
