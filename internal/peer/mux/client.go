package mux

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"azurehitch"
	"azurehitch/internal/peer/peerpb"

	"github.com/hashicorp/yamux"
	"github.com/pkg/errors"
)

const (
	dialTimeout = time.Second
	// maxSilence is how long a call waits at least before a connection on which nothing arrives meanwhile
	// counts as silent. A peer confirms each new stream at once.
	maxSilence        = 250 * time.Millisecond
	keepAliveInterval = 5 * time.Second
	writeTimeout      = 5 * time.Second
)

// ErrUnreachable reports that a request could not be sent to a peer, or that no response arrived.
type ErrUnreachable struct {
	Address string
	// Sent is false only if the request can't have reached the peer.
	Sent  bool
	Cause error
}

// Error implements error.
func (e *ErrUnreachable) Error() string { return "peer " + e.Address + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *ErrUnreachable) Unwrap() error { return e.Cause }

// Client sends requests to other daemons. It keeps one connection to each of them, and is safe for
// concurrent use.
type Client struct {
	// daemon is the name of this daemon, which each request contains.
	daemon     string
	maxMessage azurehitch.ByteSize
	mu         sync.Mutex
	// sessions holds the connections, by the address of the peer.
	sessions map[string]*session
}

// NewClient returns a client that sends requests in the name of a daemon.
func NewClient(daemon string) *Client {
	return &Client{daemon: daemon, maxMessage: defaultMaxMessage, sessions: map[string]*session{}}
}

// WithMaxMessage returns a new client that reads responses of at most the given size. It doesn't
// share the connections of c.
func (c *Client) WithMaxMessage(size azurehitch.ByteSize) *Client {
	limited := NewClient(c.daemon)
	limited.maxMessage = size
	return limited
}

// Call sends a request and waits for the response. The error is an
// *ErrUnreachable.
func (c *Client) Call(ctx context.Context, address string, request *peerpb.Request) (*peerpb.Response, error) {
	session, err := c.session(ctx, address)
	if err != nil {
		return nil, &ErrUnreachable{Address: address, Cause: err}
	}
	defer session.endCall()
	bytesBefore := session.bytesRead()
	stream, err := session.OpenStream()
	if err != nil {
		c.retire(address, session)
		return nil, &ErrUnreachable{Address: address, Cause: err}
	}
	defer stream.Close()
	timeout := maxSilence
	stop := context.AfterFunc(ctx, func() { interrupt(stream) })
	defer stop()
	request.Daemon = c.daemon
	if deadline, ok := ctx.Deadline(); ok {
		timeout = time.Until(deadline)
		request.TimeoutMs = timeout.Milliseconds()
		if err := stream.SetDeadline(deadline); err != nil {
			return nil, &ErrUnreachable{Address: address, Cause: err}
		}
	}
	response := &peerpb.Response{}
	if err := exchange(stream, request, response, c.maxMessage); err != nil {
		if timeout >= maxSilence && isTimeout(ctx, err) && session.bytesRead() == bytesBefore {
			c.retire(address, session)
		}
		return nil, &ErrUnreachable{Address: address, Sent: true, Cause: err}
	}
	return response, nil
}

func exchange(stream *yamux.Stream, request *peerpb.Request, response *peerpb.Response, maxMessage azurehitch.ByteSize) error {
	if err := writeFrame(stream, request); err != nil {
		return err
	}
	return readFrame(stream, response, maxMessage)
}

func interrupt(stream *yamux.Stream) {
	// SetDeadline fails only on a stream that is already closed.
	_ = stream.SetDeadline(time.Unix(1, 0))
}

// isTimeout reports whether a call failed because its time was over, and not because it was canceled.
func isTimeout(ctx context.Context, err error) bool {
	return errors.Is(err, yamux.ErrTimeout) && !errors.Is(ctx.Err(), context.Canceled)
}

// session returns the connection to an address, on which a call has begun.
func (c *Client) session(ctx context.Context, address string) (*session, error) {
	c.mu.Lock()
	existing, ok := c.sessions[address]
	isOpen := ok && existing.beginCall()
	c.mu.Unlock()
	if isOpen {
		return existing, nil
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "dial")
	}
	opened, err := newSession(conn)
	if err != nil {
		return nil, errors.Wrap(err, "open session")
	}
	return c.storeSession(address, opened), nil
}

// storeSession stores a new session, begins a call on it and returns it. If a concurrent call has stored an
// open session to the address, storeSession closes the new session and returns the stored one.
func (c *Client) storeSession(address string, opened *session) *session {
	c.mu.Lock()
	defer c.mu.Unlock()
	if existing, ok := c.sessions[address]; ok && existing.beginCall() {
		opened.Close()
		return existing
	}
	c.sessions[address] = opened
	opened.beginCall()
	return opened
}

// retire lets further calls use another session. Those in progress may end on this one.
func (c *Client) retire(address string, unused *session) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sessions[address] == unused {
		delete(c.sessions, address)
	}
	unused.retire()
}

// Close closes all connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, session := range c.sessions {
		session.Close()
		delete(c.sessions, address)
	}
}

func sessionConfig() *yamux.Config {
	config := yamux.DefaultConfig()
	config.LogOutput = io.Discard
	config.KeepAliveInterval = keepAliveInterval
	config.ConnectionWriteTimeout = writeTimeout
	return config
}
