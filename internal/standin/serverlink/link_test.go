package serverlink_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"azurehitch/internal/standin/serverlink"
	"azurehitch/internal/transport/connpool"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
)

// silence is how long a connection must stay silent to count as silent.
const silence = 100 * time.Millisecond

// testEnv is a link to a server that answers each line with the same line and reports it.
type testEnv struct {
	*qt.C
	link    *serverlink.Link
	address string
	lines   chan string
}

func withLink(t *testing.T, run func(env *testEnv)) {
	t.Helper()
	c := qt.New(t)
	link, err := serverlink.New(connpool.DirectDialer{})
	c.Assert(err, qt.IsNil)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	env := &testEnv{C: c, link: link, address: listener.Addr().String(), lines: make(chan string, 10)}
	var group errgroup.Group
	group.Go(func() error {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return nil
			}
			group.Go(func() error { return env.echo(conn) })
		}
	})
	run(env)
	c.Assert(link.Close(), qt.IsNil)
	c.Assert(listener.Close(), qt.IsNil)
	c.Assert(group.Wait(), qt.IsNil)
}

// echo answers the lines of a connection until it ends.
func (env *testEnv) echo(conn net.Conn) error {
	defer conn.Close()
	lines := bufio.NewScanner(conn)
	for lines.Scan() {
		env.lines <- lines.Text()
		if _, err := io.WriteString(conn, lines.Text()+"\n"); err != nil {
			return nil
		}
	}
	return nil
}

// dial returns a connection on which one line was answered.
func (env *testEnv) dial() net.Conn {
	env.Helper()
	conn, err := env.link.Dial(context.Background(), env.address)
	env.Assert(err, qt.IsNil)
	env.send(conn, "first")
	env.assertArrived("first")
	env.assertAnswered(conn, "first")
	return conn
}

func (env *testEnv) send(conn net.Conn, line string) {
	env.Helper()
	_, err := io.WriteString(conn, line+"\n")
	env.Assert(err, qt.IsNil)
}

func (env *testEnv) assertArrived(line string) {
	env.Helper()
	select {
	case got := <-env.lines:
		env.Assert(got, qt.Equals, line)
	case <-time.After(time.Second):
		env.Fatalf("%q has not arrived", line)
	}
}

func (env *testEnv) assertNothingArrives() {
	env.Helper()
	select {
	case got := <-env.lines:
		env.Fatalf("%q has arrived", got)
	case <-time.After(silence):
	}
}

func (env *testEnv) read(conn net.Conn, timeout time.Duration) (string, error) {
	env.Helper()
	env.Assert(conn.SetReadDeadline(time.Now().Add(timeout)), qt.IsNil)
	buffer := make([]byte, 100)
	n, err := conn.Read(buffer)
	return string(buffer[:n]), err
}

func (env *testEnv) assertAnswered(conn net.Conn, line string) {
	env.Helper()
	got, err := env.read(conn, time.Second)
	env.Assert(err, qt.IsNil)
	env.Assert(got, qt.Equals, line+"\n")
}

func (env *testEnv) assertSilent(conn net.Conn) {
	env.Helper()
	_, err := env.read(conn, silence)
	env.Assert(errors.Is(err, os.ErrDeadlineExceeded), qt.IsTrue, qt.Commentf("%v", err))
}

func (env *testEnv) assertDialHangs() {
	env.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), silence)
	defer cancel()
	_, err := env.link.Dial(ctx, env.address)
	var timeout net.Error
	env.Assert(errors.As(err, &timeout) && timeout.Timeout(), qt.IsTrue, qt.Commentf("%v", err))
}

func (env *testEnv) assertDialRefused() {
	env.Helper()
	_, err := env.link.Dial(context.Background(), env.address)
	env.Assert(errors.Is(err, syscall.ECONNREFUSED), qt.IsTrue, qt.Commentf("%v", err))
}

func TestHanging(t *testing.T) {
	withLink(t, func(env *testEnv) {
		conn := env.dial()
		env.link.Set(serverlink.Hanging)
		env.send(conn, "second")
		env.assertNothingArrives()
		env.assertSilent(conn)
		env.assertDialHangs()
		env.link.Set(serverlink.Up)
		env.assertArrived("second")
		env.assertAnswered(conn, "second")
		env.dial()
	})
}

func TestReset(t *testing.T) {
	withLink(t, func(env *testEnv) {
		conn := env.dial()
		env.link.Set(serverlink.Reset)
		_, err := env.read(conn, time.Second)
		env.Assert(errors.Is(err, syscall.ECONNRESET), qt.IsTrue, qt.Commentf("%v", err))
		env.assertDialRefused()
		env.link.Set(serverlink.Up)
		env.dial()
	})
}

func TestRefused(t *testing.T) {
	withLink(t, func(env *testEnv) {
		conn := env.dial()
		env.link.Set(serverlink.Refused)
		env.assertDialRefused()
		env.send(conn, "second")
		env.assertArrived("second")
		env.assertAnswered(conn, "second")
	})
}

func TestOneWay(t *testing.T) {
	withLink(t, func(env *testEnv) {
		conn := env.dial()
		env.link.Set(serverlink.OneWay)
		env.send(conn, "second")
		env.assertArrived("second")
		env.assertSilent(conn)
		env.assertDialHangs()
		env.link.Set(serverlink.Up)
		env.assertAnswered(conn, "second")
	})
}
