// Package resetconn keeps the reset of a connection from being read as its orderly end.
//
// # Usage
//
//	conn = resetconn.Wrap(conn)
//	n, err := conn.Read(p) // io.EOF only if the peer has ended its side in order
//
// The kernel reports that a connection has failed once, to whichever of its users asks first. If that is the write of a
// request, a read of the response at the same time returns its bytes and then io.EOF, as if the peer had sent all of
// it. A response that has neither a length nor chunks would be taken for whole.
package resetconn

import (
	"fmt"
	"io"
	"net"
	"sync"
	"syscall"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// ErrReset is returned by the read at the end of a connection whose failure a write has seen.
type ErrReset struct {
	// Cause is the error of the write.
	Cause error
}

// Error implements error.
func (e *ErrReset) Error() string {
	return fmt.Sprintf("the connection was not ended in order: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *ErrReset) Unwrap() error { return e.Cause }

// Conn is a TCP connection that one goroutine may read while another one writes.
type Conn struct {
	*net.TCPConn
	// writing is held during writes, and guards failure.
	writing sync.Mutex
	// failure is the error by which a write has seen that the connection failed; nil for none.
	failure error
	// readFailure is the same of a read. Only reads use it.
	readFailure error
}

// Wrap returns a connection whose reads return io.EOF only after its orderly end. It takes over conn. Connections of
// other kinds than TCP are returned as they are.
func Wrap(conn net.Conn) net.Conn {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return conn
	}
	return &Conn{TCPConn: tcp}
}

// Read implements net.Conn. It returns an *ErrReset in place of io.EOF if a write has seen that the connection failed
// before the peer ended its side.
func (c *Conn) Read(p []byte) (int, error) {
	if c.readFailure != nil {
		return 0, c.readFailure
	}
	n, err := c.TCPConn.Read(p)
	switch {
	case err == io.EOF:
		return n, c.checkEnd()
	case isFailure(err):
		c.readFailure = err
	}
	return n, err
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.TCPConn.Write(p)
	if c.failure == nil && isFailure(err) {
		c.failure = err
	}
	return n, err
}

// ReadFrom implements io.ReaderFrom by Write.
func (c *Conn) ReadFrom(r io.Reader) (int64, error) { return io.Copy(struct{ io.Writer }{c}, r) }

// WriteTo implements io.WriterTo by Read.
func (c *Conn) WriteTo(w io.Writer) (int64, error) { return io.Copy(w, struct{ io.Reader }{c}) }

// checkEnd returns io.EOF if the peer has ended its side of the connection in order, and otherwise an *ErrReset. While
// the connection is half closed, it doesn't wait for a write in progress: the peer may read on for long. On one that is
// closed altogether, a write returns at once.
func (c *Conn) checkEnd() error {
	if c.isHalfClosed() {
		return io.EOF
	}
	c.writing.Lock()
	defer c.writing.Unlock()
	if c.failure != nil {
		return &ErrReset{Cause: c.failure}
	}
	return io.EOF
}

// isHalfClosed reports whether the peer has ended its side, and the connection can still send. It returns false if the
// state of the connection can't be read.
func (c *Conn) isHalfClosed() bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	var info *unix.TCPInfo
	if controlErr := raw.Control(func(fd uintptr) {
		info, err = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	}); controlErr != nil || err != nil {
		return false
	}
	return info.State == unix.BPF_TCP_CLOSE_WAIT
}

// isFailure reports whether an error says that the connection failed before the peer ended its side. After that end, the
// kernel reports EPIPE to writes, which is no failure of what the peer has sent.
func isFailure(err error) bool {
	var errno syscall.Errno
	return errors.As(err, &errno) && errno != syscall.EPIPE
}
