package caller

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"strconv"
	"strings"

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
	lastEvent        = "data: [DONE]"
	positionField    = "id: "
)

// errStreamCut makes the server close the connection without the end of the
// body, so that a stream that was cut does not look complete.
var errStreamCut = errors.New("stream was cut")

// relay passes the events of a streamed answer on, each whole. When the
// connection to the engine breaks, it resumes after the last event that it has
// passed on, so that no token is doubled or lost: at the same server, or at another one
// that takes the state of the request over.
type relay struct {
	completion *completion
	server     tables.BackendServer
	exchange   *backend.Exchange
	reader     *bufio.Reader
	pending    bytes.Buffer
	// next is the position after the last event that was passed on.
	next    int
	resumes int
	done    bool
	failed  bool
}

func newRelay(c *completion, server tables.BackendServer, exchange *backend.Exchange) *relay {
	return &relay{completion: c, server: server, exchange: exchange, reader: bufio.NewReaderSize(exchange.Body(), relayBufferBytes)}
}

// Read implements io.Reader. It returns as many whole events as have arrived.
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
		r.fill()
	}
	return r.pending.Read(p)
}

func (r *relay) fill() {
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

// readEvent moves one event to the pending bytes, or nothing if it is not whole.
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
	r.note(string(event))
	r.pending.Write(event)
	return nil
}

// note remembers the position of an event, and the end of the stream.
func (r *relay) note(event string) {
	for line := range strings.Lines(event) {
		line = strings.TrimSuffix(line, "\n")
		if line == lastEvent {
			r.done = true
		}
		if text, ok := strings.CutPrefix(line, positionField); ok {
			if position, err := strconv.Atoi(text); err == nil {
				r.next = position + 1
			}
		}
	}
}

// recover resumes the stream, or ends it with an error event and without its end.
func (r *relay) recover(cause error) {
	if r.resume() {
		return
	}
	r.failed = true
	refused := r.completion.attemptRefusal(&backend.ErrAttempt{Server: r.server.Name, Run: azurehitch.RunStateRun, Cause: cause})
	fmt.Fprintf(&r.pending, "event: error\ndata: %s\n\n", refusal.Encode(refused))
}

func (r *relay) resume() bool {
	c := r.completion
	for r.next > 0 && r.resumes < maxResumes && c.ctx.Err() == nil {
		r.resumes++
		server, exchange, err := r.reconnect()
		if err != nil {
			continue
		}
		c.server.load.add(r.server.Name, -1)
		r.exchange.Close()
		r.server, r.exchange = server, exchange
		r.reader = bufio.NewReaderSize(exchange.Body(), relayBufferBytes)
		c.server.Metrics.Add(metrics.StreamsResumed, 1)
		return true
	}
	return false
}

func (r *relay) resumePosition() int {
	if sabotage.Active(sabotage.ResumeFromStart) {
		return 0
	}
	return r.next
}

// Close ends the request, also when the caller has gone.
func (r *relay) Close() error {
	r.exchange.Close()
	r.completion.server.load.add(r.server.Name, -1)
	r.completion.release()
	r.completion.end(r.ending())
	return nil
}

func (r *relay) ending() metrics.Name {
	switch {
	case r.done && r.pending.Len() == 0:
		return metrics.RequestsAnswered
	case r.failed:
		return metrics.StreamsCut
	}
	return metrics.RequestsAbandoned
}
