package connpool_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"os"
	"os/exec"
	"syscall"
	"testing"
	"time"

	"azurehitch"
	"azurehitch/internal/transport/connpool"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"
)

const (
	// senderVariable contains the address to which a process of TestDiscardUndeliveredSender sends.
	senderVariable = "CONNPOOL_TEST_SENDER"
	// senderTimeout is the deadline of the request, and bufferedTime how long the server reads nothing.
	senderTimeout = 400 * time.Millisecond
	bufferedTime  = 1200 * time.Millisecond
	// sendTime is how long the process has to send before it gets the signal.
	sendTime = 100 * time.Millisecond
	// longBody is longer than the window of a small buffer, and fits into the buffer of the sender.
	longBody = 3500
)

// listenWithSmallBuffer returns a listener whose connections have the smallest receive buffer, so that the
// rest of a longer request stays in the buffer of the sender until the server reads.
func listenWithSmallBuffer(t *testing.T) net.Listener {
	t.Helper()
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 1) })
	}}
	listener, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	qt.New(t).Assert(err, qt.IsNil)
	t.Cleanup(func() { _ = listener.Close() })
	return listener
}

// TestDiscardUndeliveredSender is the process that the subtests of TestDiscardUndelivered signal.
func TestDiscardUndeliveredSender(t *testing.T) {
	address := os.Getenv(senderVariable)
	if address == "" {
		t.Skip("runs as a process of TestDiscardUndelivered")
	}
	ctx, cancel := context.WithTimeout(t.Context(), senderTimeout)
	defer cancel()
	pool := connpool.New(azurehitch.SystemClock{}, connpool.DefaultLimits())
	request := connpool.Request{Method: "POST", URI: "/", Host: address, Body: bytes.Repeat([]byte("x"), longBody)}
	_, err := pool.Do(ctx, address, request, connpool.Options{Fresh: true, DiscardUndelivered: true})
	qt.New(t).Check(err, qt.IsNotNil)
}

// checkDiscarded sends a request from a process that gets a signal before the server reads, and checks that
// the server doesn't get the whole request later.
func checkDiscarded(t *testing.T, signal syscall.Signal) {
	t.Helper()
	c := qt.New(t)
	listener := listenWithSmallBuffer(t)
	sender := exec.Command(os.Args[0], "-test.run=^TestDiscardUndeliveredSender$")
	sender.Env = append(os.Environ(), senderVariable+"="+listener.Addr().String())
	c.Assert(sender.Start(), qt.IsNil)
	t.Cleanup(func() {
		_ = sender.Process.Kill()
		_ = sender.Wait()
	})
	conn, err := listener.Accept()
	c.Assert(err, qt.IsNil)
	defer conn.Close()
	time.Sleep(sendTime)
	c.Assert(sender.Process.Signal(signal), qt.IsNil)
	time.Sleep(bufferedTime)
	c.Assert(conn.SetReadDeadline(time.Now().Add(bufferedTime)), qt.IsNil)
	// The connection ends by a reset, or not at all.
	received, _ := io.ReadAll(conn)
	c.Check(len(received) > 0, qt.IsTrue)
	c.Check(len(received) < longBody, qt.IsTrue, qt.Commentf("%d bytes received", len(received)))
}

// TestDiscardUndelivered guards against requests that the kernel delivers after the process can't reset their
// connections.
func TestDiscardUndelivered(t *testing.T) {
	for name, signal := range map[string]syscall.Signal{"killed": syscall.SIGKILL, "frozen": syscall.SIGSTOP} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			checkDiscarded(t, signal)
		})
	}
}

// answerAndAwaitEnd answers a request on one connection, and returns the error that ends the connection; nil
// if the caller closes it.
func answerAndAwaitEnd(listener net.Listener) error {
	conn, err := listener.Accept()
	if err != nil {
		return err
	}
	defer conn.Close()
	if _, err := conn.Read(make([]byte, longBody)); err != nil {
		return err
	}
	if _, err := io.WriteString(conn, completeResponse); err != nil {
		return err
	}
	_, err = io.ReadAll(conn)
	return err
}

// TestDiscardUndeliveredCloses checks that the connection of a complete exchange ends without a reset.
func TestDiscardUndeliveredCloses(t *testing.T) {
	c := qt.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer listener.Close()
	var group errgroup.Group
	group.Go(func() error { return answerAndAwaitEnd(listener) })
	pool := connpool.New(azurehitch.SystemClock{}, connpool.DefaultLimits())
	body, err := get(t, pool, listener.Addr().String(), connpool.Options{Fresh: true, DiscardUndelivered: true})
	c.Check(err, qt.IsNil)
	c.Check(string(body), qt.Equals, "ok")
	c.Check(group.Wait(), qt.IsNil)
}
