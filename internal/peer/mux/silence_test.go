package mux_test

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"azurehitch/internal/peer/mux"
	"azurehitch/internal/peer/peerpb"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"
)

const callTimeout = 400 * time.Millisecond

// link passes bytes between a client and a server, and counts the connections of the client.
type link struct {
	*qt.C
	address string
	target  string
	opened  atomic.Int64
	// silenced is the number of the last connection that passes nothing on any more.
	silenced atomic.Int64
	group    errgroup.Group
}

// newLink starts a server with a handler, and a link to it.
func newLink(t *testing.T, handle mux.Handler) *link {
	t.Helper()
	c := qt.New(t)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	outer, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	l := &link{C: c, address: outer.Addr().String(), target: inner.Addr().String()}
	ctx, cancel := context.WithCancel(context.Background())
	l.group.Go(func() error { return mux.NewServer(inner, handle).Run(ctx) })
	l.group.Go(func() error { return l.accept(outer) })
	c.Cleanup(func() {
		cancel()
		outer.Close()
		c.Check(l.group.Wait(), qt.IsNil)
	})
	return l
}

func (l *link) accept(outer net.Listener) error {
	for {
		caller, err := outer.Accept()
		if err != nil {
			return nil
		}
		server, err := net.Dial("tcp", l.target)
		if err != nil {
			return err
		}
		number := l.opened.Add(1)
		l.group.Go(func() error { return l.pass(number, caller, server) })
		l.group.Go(func() error { return l.pass(number, server, caller) })
	}
}

// pass passes on what it reads, unless the connection is silenced.
func (l *link) pass(number int64, from, to net.Conn) error {
	defer to.Close()
	buf := make([]byte, 4096)
	for {
		n, err := from.Read(buf)
		if err != nil {
			return nil
		}
		if number <= l.silenced.Load() {
			continue
		}
		if _, err := to.Write(buf[:n]); err != nil {
			return nil
		}
	}
}

// silence lets the open connections go silent for good.
func (l *link) silence() { l.silenced.Store(l.opened.Load()) }

func call(client *mux.Client, address string, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	_, err := client.Call(ctx, address, &peerpb.Request{})
	return err
}

func answer(context.Context, *peerpb.Request) *peerpb.Response { return &peerpb.Response{} }

func TestSilentConnectionIsUsedAfterATimeout(t *testing.T) {
	l := newLink(t, answer)
	client := mux.NewClient("daemon-1")
	l.Cleanup(client.Close)
	l.Assert(call(client, l.address, callTimeout), qt.IsNil)
	l.silence()
	l.Assert(call(client, l.address, callTimeout), qt.IsNotNil)
	l.Assert(call(client, l.address, callTimeout), qt.IsNil)
	l.Assert(l.opened.Load(), qt.Equals, int64(2))
}

func TestSlowAnswerEndsConnectionOfOthers(t *testing.T) {
	release := make(chan struct{})
	l := newLink(t, func(_ context.Context, request *peerpb.Request) *peerpb.Response {
		if request.TimeoutMs > callTimeout.Milliseconds() {
			<-release
		}
		return &peerpb.Response{}
	})
	answerAll := sync.OnceFunc(func() { close(release) })
	l.Cleanup(answerAll)
	client := mux.NewClient("daemon-1")
	l.Cleanup(client.Close)
	l.Assert(call(client, l.address, callTimeout), qt.IsNil)
	var slow errgroup.Group
	slow.Go(func() error { return call(client, l.address, 10*callTimeout) })
	l.Assert(call(client, l.address, callTimeout), qt.IsNil)
	// This one gets no answer either, while the connection passes on those of others.
	l.Assert(call(client, l.address, callTimeout+50*time.Millisecond), qt.IsNotNil)
	l.Assert(call(client, l.address, callTimeout), qt.IsNil)
	answerAll()
	l.Assert(slow.Wait(), qt.IsNil)
	l.Assert(l.opened.Load(), qt.Equals, int64(1))
}
