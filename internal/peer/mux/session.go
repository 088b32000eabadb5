package mux

import (
	"net"
	"sync"
	"sync/atomic"

	"azurehitch/internal/transport/countconn"

	"github.com/hashicorp/yamux"
)

// session is a connection to a peer, with the calls that use it.
type session struct {
	*yamux.Session
	conn *readConn

	mu    sync.Mutex
	calls int
	// isRetired is true once no further call may begin. The session is closed when the last one ends.
	isRetired bool
}

func newSession(tcp net.Conn) (*session, error) {
	conn := &readConn{Conn: countconn.Wrap(tcp)}
	client, err := yamux.Client(conn, sessionConfig())
	if err != nil {
		return nil, err
	}
	return &session{Session: client, conn: conn}, nil
}

// bytesRead returns how many bytes have arrived from the peer.
func (s *session) bytesRead() int64 { return s.conn.bytes.Load() }

// beginCall counts a call. It returns false if the session is closed or retired.
func (s *session) beginCall() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isRetired || s.IsClosed() {
		return false
	}
	s.calls++
	return true
}

// endCall ends a call of beginCall.
func (s *session) endCall() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls--
	s.closeIfUnused()
}

// retire lets no further call begin.
func (s *session) retire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isRetired = true
	s.closeIfUnused()
}

// closeIfUnused closes a retired session without calls. The caller holds s.mu.
func (s *session) closeIfUnused() {
	if s.isRetired && s.calls == 0 {
		// The session is not used any more, even if closing it fails.
		_ = s.Close()
	}
}

// readConn counts the bytes that are read from a connection.
type readConn struct {
	net.Conn
	bytes atomic.Int64
}

// Read implements net.Conn.
func (c *readConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}
