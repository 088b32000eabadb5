package gateway

import (
	"context"
	"net"
	"testing"

	"azurehitch"
	"azurehitch/internal/transport/connpool"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"
)

func TestShowsEnd(t *testing.T) {
	server := azurehitch.ServerIdentity{ID: "s", Incarnation: 7}
	timeout := &net.OpError{Op: "read", Err: context.DeadlineExceeded}
	for name, test := range map[string]struct {
		report azurehitch.ServerReport
		err    error
		want   bool
	}{
		"same incarnation":    {azurehitch.ServerReport{Incarnation: 7}, nil, false},
		"no incarnation":      {azurehitch.ServerReport{}, nil, false},
		"another incarnation": {azurehitch.ServerReport{Incarnation: 8}, nil, true},
		"another server":      {err: errors.Wrap(azurehitch.ErrOtherServer, "report"), want: true},
		"connection refused":  {err: &connpool.ErrExchange{Cause: errors.New("connection refused")}, want: true},
		"no answer in time":   {err: &connpool.ErrExchange{Sent: true, Cause: timeout}, want: false},
		"an error status":     {err: errors.New("status 500"), want: false},
	} {
		t.Run(name, func(t *testing.T) {
			qt.Assert(t, showsEnd(server, test.report, test.err), qt.Equals, test.want)
		})
	}
}
