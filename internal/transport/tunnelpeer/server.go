package tunnelpeer

import (
	"bufio"
	"context"
	"encoding/binary"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"azurehitch"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
)

const (
	// openingTimeout is how long a client may take to send its Opening.
	openingTimeout = time.Second
	// serverTimeout is how long a server may take to accept a connection.
	serverTimeout = 250 * time.Millisecond
	// lingerTime is how long a client may take to close its end after the server has closed its connection.
	lingerTime = time.Second
)

// ServerDependencies holds what a Server needs.
type ServerDependencies struct {
	// Dialer connects to backend servers from this host, never through another daemon.
	Dialer interface {
		Dial(ctx context.Context, address string) (net.Conn, error)
	}
	// IsServer reports whether an address is that of a listed backend server; others are not dialed.
	IsServer func(address string) bool
	// IsBlocked reports whether this daemon does not reach a server that others reach.
	IsBlocked func(address string) bool
	// IsStopping reports whether this daemon stops.
	IsStopping func() bool
	// OnFailed is called when this daemon has not reached a server.
	OnFailed func()
	// MaxTunnels bounds the open tunnels.
	MaxTunnels int
	Clock      azurehitch.Clock
	// OnOutcome is called with the outcome of each Opening.
	OnOutcome func(Outcome)
}

// Server opens connections to backend servers for other daemons. It is safe for concurrent use.
type Server struct {
	ServerDependencies
	listener net.Listener

	mu     sync.Mutex
	active int
}

// NewServer returns a Server for the connections of a listener, which goes on after errors that pass.
func NewServer(listener net.Listener, dependencies ServerDependencies) *Server {
	return &Server{ServerDependencies: dependencies, listener: listener}
}

// Active returns the number of open tunnels. Each carries one request.
func (s *Server) Active() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.active
}

// Run accepts tunnels until the context ends, and then breaks the open ones off.
func (s *Server) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	stop := context.AfterFunc(ctx, func() { s.listener.Close() })
	defer stop()
	for {
		conn, err := s.listener.Accept()
		if ctx.Err() != nil {
			return group.Wait()
		}
		if err != nil {
			return errors.Wrap(err, "accept tunnel")
		}
		group.Go(func() error {
			s.serve(ctx, conn)
			return nil
		})
	}
}

// serve answers an Opening and passes bytes on until either end closes.
func (s *Server) serve(ctx context.Context, client net.Conn) {
	defer client.Close()
	stop := context.AfterFunc(ctx, func() { client.Close() })
	defer stop()
	reader := bufio.NewReaderSize(client, maxLineBytes)
	var opening Opening
	if client.SetDeadline(s.Clock.Now().Add(openingTimeout)) != nil || readLine(reader, &opening) != nil {
		return
	}
	server, outcome := s.connect(ctx, opening)
	s.OnOutcome(outcome)
	if server == nil {
		// The client takes a connection without a Result for one that failed.
		_ = writeLine(client, Result{Outcome: outcome})
		return
	}
	defer s.end()
	defer server.Close()
	if writeLine(client, Result{Outcome: outcome}) != nil || client.SetDeadline(time.Time{}) != nil {
		return
	}
	s.pass(client, reader, server)
}

// connect connects to a server and counts the tunnel. The connection is nil unless the outcome is
// OutcomeConnected.
func (s *Server) connect(ctx context.Context, opening Opening) (net.Conn, Outcome) {
	switch {
	case s.IsStopping():
		return nil, OutcomeStopping
	case !s.IsServer(opening.Server):
		return nil, OutcomeUnknownServer
	case s.IsBlocked(opening.Server):
		return nil, OutcomeBlocked
	case !s.begin():
		return nil, OutcomeBusy
	}
	ctx, cancel := context.WithTimeout(ctx, serverTimeout)
	defer cancel()
	server, err := s.Dialer.Dial(ctx, opening.Server)
	if err == nil {
		return server, OutcomeConnected
	}
	s.end()
	s.OnFailed()
	if errors.Is(err, syscall.ECONNREFUSED) {
		return nil, OutcomeRefused
	}
	return nil, OutcomeUnreachable
}

// begin counts one more tunnel; it returns false if there are too many.
func (s *Server) begin() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.active >= s.MaxTunnels {
		return false
	}
	s.active++
	return true
}

func (s *Server) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active--
}

// pass passes bytes on in both directions until the server closes its connection or the client its own.
func (s *Server) pass(client net.Conn, reader io.Reader, server net.Conn) {
	var group errgroup.Group
	group.Go(func() error {
		passRequest(requestWriter{server: server, client: client, clock: s.Clock}, reader)
		return nil
	})
	if passFrames(client, server) != nil || s.closeWrite(client) != nil {
		reset(client)
	}
	// Until the client closes its end, it may still read the last frames.
	_ = group.Wait()
}

// closeWrite ends the sending side of a connection, and gives its peer some time to close its own.
func (s *Server) closeWrite(conn net.Conn) error {
	if err := conn.SetReadDeadline(s.Clock.Now().Add(lingerTime)); err != nil {
		return err
	}
	if tcp, ok := conn.(interface{ CloseWrite() error }); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// passRequest passes the client's bytes on until the client closes its end: it wants no answer any more
// then. What the server does not take is discarded, because a connection that is closed with unread bytes
// loses what its peer has not read.
func passRequest(w requestWriter, client io.Reader) {
	buf := make([]byte, maxFrameBytes)
	if _, err := io.CopyBuffer(w, onlyReader{client}, buf); err != nil && !errors.Is(err, errClientGone) {
		_, _ = io.CopyBuffer(onlyWriter{io.Discard}, onlyReader{client}, buf)
	}
	reset(w.server)
}

// onlyWriter and onlyReader hide the other methods of a connection, so that a copy uses its own buffer.
type (
	onlyWriter struct{ io.Writer }
	onlyReader struct{ io.Reader }
)

// passFrames passes the bytes of a server on in frames until the server closes its connection.
func passFrames(client io.Writer, server io.Reader) error {
	var buf [frameHeadBytes + maxFrameBytes]byte
	for {
		n, err := server.Read(buf[frameHeadBytes:])
		if n > 0 {
			binary.BigEndian.PutUint32(buf[:], uint32(n))
			if _, err := client.Write(buf[:frameHeadBytes+n]); err != nil {
				return err
			}
		}
		switch {
		case err == io.EOF:
			_, err := client.Write(make([]byte, frameHeadBytes))
			return err
		case err != nil:
			return err
		}
	}
}

// reset closes a connection such that its peer sees it broken off. Bytes that were not delivered yet are
// discarded.
func reset(conn net.Conn) {
	if tcp, ok := conn.(interface{ SetLinger(seconds int) error }); ok {
		// A connection that can't take the option is closed already.
		_ = tcp.SetLinger(0)
	}
	conn.Close()
}
