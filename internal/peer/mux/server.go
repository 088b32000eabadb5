package mux

import (
	"context"
	"net"
	"time"

	"azurehitch"
	"azurehitch/internal/peer/peerpb"
	"azurehitch/internal/transport/countconn"

	"github.com/hashicorp/yamux"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
)

const (
	// defaultTimeout applies to requests without a timeout.
	defaultTimeout = 10 * time.Second
	// maxStreams limits the concurrent requests of one connection.
	maxStreams = 4096
)

// Handler handles a request of a peer and returns the response.
type Handler func(ctx context.Context, request *peerpb.Request) *peerpb.Response

// Server handles the requests of other daemons.
type Server struct {
	listener   net.Listener
	handler    Handler
	maxMessage azurehitch.ByteSize
}

// NewServer returns a server that accepts connections on a listener.
func NewServer(listener net.Listener, handler Handler) *Server {
	return &Server{listener: listener, handler: handler, maxMessage: defaultMaxMessage}
}

// WithMaxMessage returns a copy of the server that reads requests of at most the given size.
func (s Server) WithMaxMessage(size azurehitch.ByteSize) *Server {
	s.maxMessage = size
	return &s
}

// Run accepts connections and handles their requests until the context ends.
func (s *Server) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		<-ctx.Done()
		return s.listener.Close()
	})
	group.Go(func() error {
		for {
			conn, err := s.listener.Accept()
			if ctx.Err() != nil {
				return nil
			}
			if err != nil {
				return errors.Wrap(err, "accept peer")
			}
			group.Go(func() error { return s.serveConn(ctx, conn) })
		}
	})
	return group.Wait()
}

// serveConn handles the requests of one connection until it is closed. Failures of a connection
// don't end the server.
func (s *Server) serveConn(ctx context.Context, conn net.Conn) error {
	session, err := yamux.Server(countconn.Wrap(conn), sessionConfig())
	if err != nil {
		return conn.Close()
	}
	defer session.Close()
	stop := context.AfterFunc(ctx, func() { session.Close() })
	defer stop()
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxStreams)
	for {
		stream, err := session.AcceptStream()
		if err != nil {
			return group.Wait()
		}
		group.Go(func() error {
			s.serveStream(ctx, stream)
			return nil
		})
	}
}

func (s *Server) serveStream(ctx context.Context, stream *yamux.Stream) {
	defer stream.Close()
	request := &peerpb.Request{}
	if err := readFrame(stream, request, s.maxMessage); err != nil {
		return
	}
	timeout := time.Duration(request.TimeoutMs) * time.Millisecond
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	// If the write fails, the client reports ErrUnreachable.
	_ = writeFrame(stream, s.handler(ctx, request))
}
