package serverlink

import (
	"net"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const (
	// fillTimeout is how long a connection to a black hole is tried while its queue may have room.
	fillTimeout = 20 * time.Millisecond
	// maxQueued is more than the number of connections in the queue of a black hole.
	maxQueued = 8
)

// blackHole is an address at which dials hang: a listener whose queue is full.
type blackHole struct {
	listener net.Listener
	queued   []net.Conn
}

func newBlackHole() (*blackHole, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen for the black hole")
	}
	h := &blackHole{listener: listener}
	if err := shortenQueue(listener); err != nil {
		return nil, err
	}
	for range maxQueued {
		conn, err := net.DialTimeout("tcp", h.address(), fillTimeout)
		if err != nil {
			return h, nil
		}
		h.queued = append(h.queued, conn)
	}
	return nil, errors.Errorf("dials to the black hole don't hang after %d connections", maxQueued)
}

// shortenQueue makes the queue of a listener as short as the system allows.
func shortenQueue(listener net.Listener) error {
	raw, err := listener.(*net.TCPListener).SyscallConn()
	if err != nil {
		return errors.Wrap(err, "socket of the black hole")
	}
	var listenErr error
	if err := raw.Control(func(fd uintptr) { listenErr = syscall.Listen(int(fd), 0) }); err != nil {
		return errors.Wrap(err, "socket of the black hole")
	}
	return errors.Wrap(listenErr, "shorten the queue of the black hole")
}

func (h *blackHole) address() string { return h.listener.Addr().String() }

func (h *blackHole) close() error {
	for _, conn := range h.queued {
		// Nothing was sent on the connection.
		_ = conn.Close()
	}
	return errors.Wrap(h.listener.Close(), "close the black hole")
}
