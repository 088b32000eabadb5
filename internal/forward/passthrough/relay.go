package passthrough

import (
	"bytes"
	"io"
	"strconv"
	"time"

	"azurehitch"
	"azurehitch/internal/forward/place"
	"azurehitch/internal/telemetry/metrics"
	"azurehitch/internal/transport/connpool"
	"azurehitch/internal/transport/membudget"

	"github.com/pkg/errors"
)

const (
	relayBufferBytes = 8 << 10
	// silence is how long a resumable stream may bring no event before it goes on at
	// another server.
	silence = 1200 * time.Millisecond
)

// errStreamCut makes the HTTP server close the connection without the end of the body, so
// that a stream that was cut does not look complete.
var errStreamCut = errors.New("the stream was cut")

// idField begins the line of an event that holds its id.
var idField = []byte("id:")

// relay passes the events of a stream on, each whole. When its server breaks off, a
// resumable stream goes on at another server behind the last event that was passed on.
type relay struct {
	request  *request
	choice   place.Choice
	exchange *connpool.Exchange
	reader   *eventReader
	// held is the memory of long events, which are pending until they are passed on.
	held    *membudget.Hold
	pending bytes.Buffer
	// lastEvent is the id of the last event that was passed on.
	lastEvent string
	events    int
	// passedAt is when the last event was passed on.
	passedAt time.Time
	done     bool
	failure  error
}

// relay answers with a stream, once its first event has come. An error before that is a
// failed attempt.
func (r *request) relay(choice place.Choice, exchange *connpool.Exchange) result {
	stream := &relay{request: r, held: r.server.Connections.Memory().Hold()}
	stream.attach(choice, exchange)
	if err := stream.readEvent(); err != nil && !stream.done {
		stream.detach()
		r.trail.add(choice, err.Error())
		r.failedBy(choice, err)
		return result{run: azurehitch.RunStateUnknown, cause: err}
	}
	r.firstEvent = r.server.Clock.Now().Sub(r.began)
	r.server.Metrics.Observe(metrics.FirstEventTime, r.route.Name, r.firstEvent)
	copyAnswerHead(&r.http.Response.Header, &exchange.Header)
	r.http.Response.SetBodyStream(stream, unknownLength)
	return result{answered: true}
}

func (s *relay) attach(choice place.Choice, exchange *connpool.Exchange) {
	s.choice, s.exchange = choice, exchange
	s.reader = newEventReader(exchange, s.request.server.settings.MaxEvent, s.held)
}

// Read implements io.Reader. It returns as many whole events as have arrived.
func (s *relay) Read(p []byte) (int, error) {
	for s.pending.Len() == 0 {
		s.shrink()
		switch {
		case s.done:
			return 0, io.EOF
		case s.failure != nil:
			return 0, errStreamCut
		}
		if err := s.readEvent(); err != nil && !s.done {
			s.resume(err)
		}
	}
	return s.pending.Read(p)
}

// readEvent moves whole events to the pending bytes: the next one, and those behind it that
// have arrived.
func (s *relay) readEvent() error {
	if s.request.route.MayRepeat() {
		s.exchange.SetReadDeadline(s.request.ctx, s.request.until(silence))
	}
	event, err := s.reader.next()
	if err != nil {
		if err == io.EOF && len(event) == 0 {
			s.done = true
		}
		return err
	}
	s.pass(event)
	for s.pending.Len() < relayBufferBytes && s.reader.hasWhole() {
		event, err := s.reader.next()
		if err != nil {
			return err
		}
		s.pass(event)
	}
	return nil
}

// shrink gives back the memory of long events once they are passed on.
func (s *relay) shrink() {
	s.held.Release()
	if s.pending.Cap() > 2*eventBufferBytes {
		s.pending = bytes.Buffer{}
	}
}

func (s *relay) pass(event []byte) {
	now := s.request.server.Clock.Now()
	if s.events > 0 {
		s.request.longestPause = max(s.request.longestPause, now.Sub(s.passedAt))
	}
	s.passedAt = now
	for line := range bytes.Lines(event) {
		if id, ok := bytes.CutPrefix(line, idField); ok {
			s.lastEvent = string(bytes.TrimSpace(id))
		}
	}
	s.events++
	s.pending.Write(event)
}

// resume goes on at another server, or fails the stream.
func (s *relay) resume(cause error) {
	r := s.request
	r.trail.add(s.choice, "cut after "+strconv.Itoa(s.events)+" events: "+cause.Error())
	s.detach()
	r.failedBy(s.choice, cause)
	res := result{run: azurehitch.RunStateUnknown, cause: cause}
	for s.lastEvent != "" && r.mayRetry(res) {
		choice, err := r.place()
		if err != nil {
			s.failure = err
			return
		}
		var exchange *connpool.Exchange
		exchange, _, res = r.exchange(choice, s.lastEvent)
		if exchange != nil && r.isEventStream(exchange) {
			s.attach(choice, exchange)
			r.server.Metrics.Add(metrics.StreamsResumed, 1)
			return
		}
		if exchange != nil {
			res = result{run: azurehitch.RunStateUnknown, cause: errors.Errorf("status %d", exchange.Header.StatusCode())}
			exchange.Close()
		}
		choice.End()
		r.trail.add(choice, res.cause.Error())
	}
	s.failure = cause
}

// detach ends the use of a server.
func (s *relay) detach() {
	s.held.Release()
	s.exchange.Close()
	s.choice.End()
}

// Close ends the request, also when the caller has gone.
func (s *relay) Close() error {
	s.detach()
	r := s.request
	switch {
	case s.done && s.pending.Len() == 0:
		r.server.Breakers.Succeeded(s.choice.Server.Address)
		r.trail.add(s.choice, strconv.Itoa(s.events)+" events")
		r.server.Metrics.Add(metrics.RequestsAnswered, 1)
		r.end(s.status(), "answered")
	case s.failure != nil:
		r.server.Metrics.Add(metrics.StreamsCut, 1)
		r.end(s.status(), "stream cut: "+s.failure.Error())
	default:
		r.trail.add(s.choice, strconv.Itoa(s.events)+" events")
		r.server.Metrics.Add(metrics.RequestsAbandoned, 1)
		r.end(s.status(), "the caller has gone")
	}
	return nil
}

func (s *relay) status() int { return s.request.http.Response.StatusCode() }
