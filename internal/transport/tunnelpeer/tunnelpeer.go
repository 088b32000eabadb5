// Package tunnelpeer opens connections to backend servers through another daemon, for a daemon that
// does not reach the servers itself.
//
// # Usage
//
//	server := tunnelpeer.NewServer(listener, tunnelpeer.ServerDependencies{Dialer: dialer, IsServer: isListed, ...})
//	group.Go(func() error { return server.Run(ctx) })
//	...
//	client := tunnelpeer.NewClient(tunnelpeer.ClientDependencies{Peers: peers, Clock: clock})
//	conn, err := client.Dial(ctx, "10.0.0.7:8080")
//
// A tunnel carries the bytes of one connection and knows nothing of the requests on it: attempts,
// deadlines and the retry budget stay with the daemon that took the request from its caller. The
// other daemon dials the server from its own host, never through a third one.
//
// Protocol, over one TCP connection for each tunnel: the client sends a line with a JSON object, the
// Opening, and reads a line with another, the Result. After OutcomeConnected, the client's bytes are
// passed to the server as they are. The server's bytes are passed back in frames of a length (4 bytes,
// big-endian) and as many bytes; a frame of length 0 means that the server has closed its connection. A
// connection that ends without such a frame was broken off, which the client reports as an error: an
// answer that ends with its connection must not look complete when a daemon on the way ends.
package tunnelpeer

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"syscall"

	"github.com/pkg/errors"
)

const (
	// maxLineBytes bounds an Opening and a Result.
	maxLineBytes = 1 << 10
	// frameHeadBytes is the size of the length of a frame.
	frameHeadBytes = 4
	// maxFrameBytes is the longest frame.
	maxFrameBytes = 8 << 10
)

// Opening asks for a tunnel.
type Opening struct {
	// Daemon is the name of the daemon that asks.
	Daemon string
	// Server is the address of the backend server.
	Server string
}

// Outcome is the result of an Opening.
type Outcome string

// The outcomes. Only OutcomeConnected opens a tunnel; after the others, no byte has reached the server.
const (
	OutcomeConnected Outcome = "Connected"
	// OutcomeRefused is a server that refused the connection, and OutcomeUnreachable one that did not
	// answer the other daemon in time.
	OutcomeRefused     Outcome = "Refused"
	OutcomeUnreachable Outcome = "Unreachable"
	// OutcomeBlocked is a daemon that does not reach the server itself, while others do.
	OutcomeBlocked Outcome = "Blocked"
	// OutcomeBusy is a daemon with too many tunnels, OutcomeStopping one that stops.
	OutcomeBusy     Outcome = "Busy"
	OutcomeStopping Outcome = "Stopping"
	// OutcomeUnknownServer is an address that is not that of a listed server.
	OutcomeUnknownServer Outcome = "UnknownServer"
	// OutcomeNoAnswer is a daemon that did not answer. It is not sent.
	OutcomeNoAnswer Outcome = "NoAnswer"
)

// Result answers an Opening.
type Result struct{ Outcome Outcome }

// ErrTunnel is returned when another daemon has opened no tunnel. No byte has reached the server.
type ErrTunnel struct {
	// Peer is the name of the daemon.
	Peer    string
	Outcome Outcome
	// Cause is why there is no answer.
	Cause error
}

// Error implements error.
func (e *ErrTunnel) Error() string {
	if e.Cause != nil {
		return fmt.Sprintf("tunnel through %s: %v", e.Peer, e.Cause)
	}
	return fmt.Sprintf("tunnel through %s: %s", e.Peer, e.Outcome)
}

// IsServerFault reports whether the server, and not the way to it, is the reason.
func (e *ErrTunnel) IsServerFault() bool {
	return e.Outcome == OutcomeUnreachable || e.Outcome == OutcomeRefused
}

// Unwrap returns syscall.ECONNREFUSED if the server has refused a connection. The Cause is not unwrapped: what happened
// to the connection to the daemon must not be taken for the server's.
func (e *ErrTunnel) Unwrap() error {
	if e.Outcome == OutcomeRefused {
		return syscall.ECONNREFUSED
	}
	return nil
}

// errNoPeer is returned when there is no daemon to open a tunnel through.
var errNoPeer = errors.New("no daemon opens tunnels")

// errLineTooLong is returned for a line longer than maxLineBytes.
var errLineTooLong = errors.New("the line is too long")

// writeLine writes a message as one line.
func writeLine(w io.Writer, message any) error {
	line, err := json.Marshal(message)
	if err != nil {
		return errors.Wrap(err, "encode message")
	}
	_, err = w.Write(append(line, '\n'))
	return errors.Wrap(err, "write message")
}

// readLine reads a message that is one line.
func readLine(r *bufio.Reader, message any) error {
	line, err := r.ReadSlice('\n')
	switch {
	case errors.Is(err, bufio.ErrBufferFull):
		return errLineTooLong
	case err != nil:
		return errors.Wrap(err, "read message")
	}
	return errors.Wrap(json.Unmarshal(line, message), "decode message")
}
