package crashcheck_test

import (
	"context"
	"net"
	"testing"
	"time"

	"azurehitch"
	"azurehitch/internal/forward/crashcheck"
	"azurehitch/internal/transport/connpool"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
)

func TestFind(t *testing.T) {
	server := azurehitch.ServerIdentity{ID: "s", Incarnation: 7}
	timeout := &net.OpError{Op: "read", Err: context.DeadlineExceeded}
	for name, test := range map[string]struct {
		report azurehitch.ServerReport
		err    error
		want   crashcheck.Finding
	}{
		"same incarnation":    {azurehitch.ServerReport{Incarnation: 7}, nil, crashcheck.FindingRuns},
		"no incarnation":      {azurehitch.ServerReport{}, nil, crashcheck.FindingRuns},
		"another incarnation": {azurehitch.ServerReport{Incarnation: 8}, nil, crashcheck.FindingReplaced},
		"another server":      {err: errors.Wrap(azurehitch.ErrOtherServer, "report"), want: crashcheck.FindingReplaced},
		"connection refused":  {err: &connpool.ErrExchange{Cause: errors.New("connection refused")}, want: crashcheck.FindingUnconnected},
		"no answer in time":   {err: &connpool.ErrExchange{Sent: true, Cause: timeout}, want: crashcheck.FindingSilent},
		"an error status":     {err: errors.New("status 500"), want: crashcheck.FindingRuns},
	} {
		t.Run(name, func(t *testing.T) {
			qt.Assert(t, crashcheck.Find(server, test.report, test.err), qt.Equals, test.want)
		})
	}
}

// TestReportsOfEndedServers checks Find with the errors that real connections give.
func TestReportsOfEndedServers(t *testing.T) {
	for name, test := range map[string]struct {
		accept func(conn net.Conn)
		want   crashcheck.Finding
	}{
		"nothing listens":          {nil, crashcheck.FindingUnconnected},
		"closes without an answer": {func(conn net.Conn) { conn.Close() }, crashcheck.FindingUnconnected},
		"keeps silent":             {func(conn net.Conn) { time.Sleep(time.Second); conn.Close() }, crashcheck.FindingSilent},
	} {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			qt.Assert(t, err, qt.IsNil)
			var group errgroup.Group
			if test.accept == nil {
				listener.Close()
			} else {
				group.Go(func() error {
					if conn, err := listener.Accept(); err == nil {
						test.accept(conn)
					}
					return nil
				})
			}
			server := azurehitch.ServerIdentity{ID: "s", Address: listener.Addr().String()}
			pool := connpool.New(azurehitch.SystemClock{}, connpool.DefaultLimits())
			ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
			defer cancel()
			_, err = pool.Do(ctx, server.Address, connpool.Request{Method: "GET", URI: "/report", Host: server.Address}, connpool.Options{})
			qt.Assert(t, crashcheck.Find(server, azurehitch.ServerReport{}, err), qt.Equals, test.want, qt.Commentf("%v", err))
			listener.Close()
			qt.Assert(t, group.Wait(), qt.IsNil)
		})
	}
}
