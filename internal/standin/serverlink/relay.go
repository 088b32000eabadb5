package serverlink

import (
	"net"

	"golang.org/x/sync/errgroup"
)

// bufferSize is the size of the buffer of one direction of a connection in bytes.
const bufferSize = 16 << 10

// direction is a direction of a connection.
type direction string

const (
	toServer direction = "ToServer"
	toDaemon direction = "ToDaemon"
)

// isDelivered reports whether bytes in this direction are delivered in a state of the link.
func (d direction) isDelivered(state State) bool {
	return state != Hanging && (state != OneWay || d == toServer)
}

// relay is a connection of a daemon to a server.
type relay struct {
	link           *Link
	daemon, server net.Conn
}

// run relays both directions until both ends are closed.
func (r *relay) run() {
	var group errgroup.Group
	group.Go(func() error {
		r.copy(toServer, r.daemon, r.server)
		return nil
	})
	group.Go(func() error {
		r.copy(toDaemon, r.server, r.daemon)
		return nil
	})
	// The directions return no errors.
	_ = group.Wait()
}

// copy relays one direction. It closes both ends when an end has closed its side and the other may learn
// of it.
func (r *relay) copy(d direction, from, to net.Conn) {
	defer to.Close()
	defer from.Close()
	buffer := make([]byte, bufferSize)
	for {
		n, err := from.Read(buffer)
		if !r.link.awaitDelivery(d) {
			return
		}
		if _, writeErr := to.Write(buffer[:n]); err != nil || writeErr != nil {
			return
		}
	}
}

// reset closes both ends so that their peers see a reset.
func (r *relay) reset() {
	for _, conn := range []net.Conn{r.daemon, r.server} {
		if tcp, ok := conn.(*net.TCPConn); ok {
			// The connection is closed in any case.
			_ = tcp.SetLinger(0)
		}
		// The relay doesn't use the connection any more.
		_ = conn.Close()
	}
}
