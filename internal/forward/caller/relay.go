package caller

import (
	"bufio"
	"bytes"
	"fmt"
	"io"

	"azurehitch"
	"azurehitch/internal/configuration/tables"
	"azurehitch/internal/forward/backend"
	"azurehitch/internal/forward/refusal"
	"azurehitch/internal/proof/sabotage"
	"azurehitch/internal/telemetry/metrics"

	"github.com/pkg/errors"
)

const (
	relayBufferBytes = 32 << 10
	maxEventBytes    = 1 << 20
	maxResumes       = 3
	doneLine         = "data: [DONE]"
	positionPrefix   = "id: "
)

// errStreamCut makes the server close the connection without terminating the body, so that a
// truncated stream does not look complete.
var errStreamCut = errors.New("stream was cut")

// relay forwards the events of a streamed response, each as a whole. When the connection to the
// engine breaks, it resumes the stream after the last forwarded event, so that no token is
// duplicated or lost. It resumes at the same server, or moves the state of the request to another
// server and resumes there.
type relay struct {
	completion *completion
	server     tables.BackendServer
	exchange   *backend.Exchange
	reader     *bufio.Reader
	pending    bytes.Buffer
	// nextPosition is the position after the last forwarded event.
	nextPosition int
	resumes      int
	// isResumed is true from a resumption to the next event.
	isResumed bool
	// done is set once the last event of the stream has been read.
	done bool
	// failed is set when the stream broke and could not be resumed.
	failed bool
}

func newRelay(c *completion, server tables.BackendServer, exchange *backend.Exchange) *relay {
	r := &relay{completion: c}
	r.attach(server, exchange)
	return r
}

// attach makes an exchange the source of further events.
func (r *relay) attach(server tables.BackendServer, exchange *backend.Exchange) {
	r.server, r.exchange = server, exchange
	r.reader = bufio.NewReaderSize(exchange.Body(), relayBufferBytes)
}

// Read implements io.Reader. It blocks until at least one whole event has arrived.
func (r *relay) Read(p []byte) (int, error) {
	for r.pending.Len() == 0 {
		switch {
		case r.done:
			return 0, io.EOF
		case r.failed && sabotage.Active(sabotage.EndCutStreams):
			return 0, io.EOF
		case r.failed:
			return 0, errStreamCut
		}
		r.fillPending()
	}
	return r.pending.Read(p)
}

// fillPending waits for one event and adds it to the pending bytes. It adds further events that
// have already arrived whole, until relayBufferBytes are pending.
func (r *relay) fillPending() {
	if err := r.readEvent(); err != nil {
		r.recover(err)
		return
	}
	for !r.done && r.reader.Buffered() > 0 && r.pending.Len() < relayBufferBytes {
		buffered, err := r.reader.Peek(r.reader.Buffered())
		if err != nil || !bytes.Contains(buffered, []byte("\n\n")) {
			return
		}
		if err := r.readEvent(); err != nil {
			r.recover(err)
			return
		}
	}
}

// readEvent appends one event to the pending bytes. On an error it appends nothing, so that no
// partial event is forwarded.
func (r *relay) readEvent() error {
	var event []byte
	for {
		line, err := r.reader.ReadSlice('\n')
		if err != nil && !errors.Is(err, bufio.ErrBufferFull) {
			return err
		}
		if len(event)+len(line) > maxEventBytes {
			return errors.Errorf("event is larger than %d bytes", maxEventBytes)
		}
		event = append(event, line...)
		if err == nil && len(line) == 1 {
			break
		}
	}
	parsed := parseEvent(string(event))
	if err := r.checkFirst(parsed); err != nil {
		return err
	}
	r.record(parsed)
	r.pending.Write(event)
	return nil
}

// record records the position of an event, and whether it ends the stream.
func (r *relay) record(event engineEvent) {
	r.isResumed = false
	r.done = r.done || event.isDone
	if event.hasPosition {
		r.nextPosition = event.position + 1
	}
}

// recover handles an error of the engine's stream: it resumes the stream or, if that fails, appends
// an error event and marks the stream as failed.
func (r *relay) recover(cause error) {
	if r.resume() {
		return
	}
	r.failed = true
	refused := r.completion.attemptRefusal(&backend.ErrAttempt{Server: r.server.Name, Run: azurehitch.RunStateRun, Cause: cause})
	fmt.Fprintf(&r.pending, "event: error\ndata: %s\n\n", refusal.Encode(refused))
}

// resume reconnects, with at most maxResumes attempts per stream, and reports whether it succeeded.
// A stream can't be resumed before an event with a position has been forwarded.
func (r *relay) resume() bool {
	c := r.completion
	for r.nextPosition > 0 && r.resumes < maxResumes && c.ctx.Err() == nil {
		r.resumes++
		if err := r.resumeOnce(); err != nil {
			continue
		}
		c.server.Metrics.Add(metrics.StreamsResumed, 1)
		return true
	}
	return false
}

func (r *relay) resumePosition() int {
	if sabotage.Active(sabotage.ResumeFromStart) {
		return 0
	}
	return r.nextPosition
}

// Close implements io.Closer and ends the request. The HTTP server also calls it when the caller
// has disconnected.
func (r *relay) Close() error {
	r.exchange.Close()
	r.completion.server.load.add(r.server.Name, -1)
	r.completion.release()
	r.completion.end(r.endMetric())
	return nil
}

// endMetric returns the metric that counts how the stream ended.
func (r *relay) endMetric() metrics.Name {
	switch {
	case r.done && r.pending.Len() == 0:
		return metrics.RequestsAnswered
	case r.failed:
		return metrics.StreamsCut
	}
	return metrics.RequestsAbandoned
}
