package tunnelpeer

import (
	"net"
	"os"
	"syscall"
	"time"

	"azurehitch"

	"github.com/pkg/errors"
)

// stalledInterval is how often the client of a tunnel is looked at while its server takes no bytes.
const stalledInterval = 200 * time.Millisecond

// errClientGone is returned for bytes of a client that has reset its connection.
var errClientGone = errors.New("the client has gone")

// requestWriter writes a client's bytes to a server. While the server takes none, the client is not read, so its
// connection is looked at instead.
type requestWriter struct {
	server net.Conn
	client net.Conn
	clock  azurehitch.Clock
}

// Write implements io.Writer. The error is errClientGone once the client has reset its connection.
func (w requestWriter) Write(p []byte) (int, error) {
	written := 0
	for written < len(p) {
		if err := w.server.SetWriteDeadline(w.clock.Now().Add(stalledInterval)); err != nil {
			return written, err
		}
		n, err := w.server.Write(p[written:])
		written += n
		switch {
		case err == nil:
		case !errors.Is(err, os.ErrDeadlineExceeded):
			return written, err
		case isReset(w.client):
			return written, errClientGone
		}
	}
	return written, nil
}

// isReset reports whether the peer of a connection has reset it.
func isReset(conn net.Conn) bool {
	tcp, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return true
	}
	failure := 0
	if err := raw.Control(func(fd uintptr) {
		failure, err = syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_ERROR)
	}); err != nil {
		return true
	}
	return err == nil && failure != 0
}
