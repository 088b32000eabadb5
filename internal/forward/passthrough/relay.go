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
	// maxEventGap is how long a resumable stream may be without an event before it is resumed on
	// another server.
	maxEventGap = 1200 * time.Millisecond
)

// errStreamCut makes the HTTP server close the connection without the end of the body, so that the
// caller does not take a cut stream for a complete one.
var errStreamCut = errors.New("the stream was cut")

// relay passes on the events of a stream, each only when it is complete. When a server fails
// midway, a resumable stream is resumed on another server after the last event that was passed on.
type relay struct {
	request  *request
	choice   place.Choice
	exchange *connpool.Exchange
	reader   *eventReader
	// memory is the part of the shared memory budget that is reserved for long events until they
	// are passed on.
	memory  *membudget.Reservation
	pending bytes.Buffer
	// ids describes the events that the caller has.
	ids    eventIDs
	events int
	// lastEventAt is when the last event was passed on.
	lastEventAt time.Time
	done        bool
	failure     error
}

// relay responds with a stream once its first event has arrived. An error before that fails the
// attempt.
func (r *request) relay(choice place.Choice, exchange *connpool.Exchange) result {
	stream := &relay{request: r, memory: r.server.Connections.Memory().NewReservation(), ids: r.knownEventIDs()}
	stream.attach(choice, exchange)
	if err := stream.readEvents(); err != nil && !stream.done {
		stream.detach()
		r.attempts.add(choice, err.Error())
		r.recordError(choice, err)
		return result{run: azurehitch.RunStateUnknown, cause: err}
	}
	r.bound = azurehitch.VersionBound{IsSet: true, Version: choice.SoftwareVersion}
	r.timeToFirstEvent = r.server.Clock.Now().Sub(r.startedAt)
	r.server.Metrics.Observe(metrics.FirstEventTime, r.route.Name, r.timeToFirstEvent)
	copyAnswerHead(&r.http.Response.Header, &exchange.Header)
	r.http.Response.SetBodyStream(stream, unknownLength)
	return result{answered: true}
}

// attach makes an exchange the source of further events.
func (s *relay) attach(choice place.Choice, exchange *connpool.Exchange) {
	s.choice, s.exchange = choice, exchange
	s.reader = newEventReader(exchange, s.request.server.settings.MaxEvent, s.memory)
}

// Read implements io.Reader. It reads the complete events that have arrived, and waits for the next
// one if there are none.
func (s *relay) Read(p []byte) (int, error) {
	for s.pending.Len() == 0 {
		s.releaseMemory()
		switch {
		case s.done:
			return 0, io.EOF
		case s.failure != nil:
			return 0, errStreamCut
		}
		if err := s.readEvents(); err != nil && !s.done {
			s.resume(err)
		}
	}
	return s.pending.Read(p)
}

// readEvents waits for the next event and adds it to the pending bytes, together with later events
// that have already arrived. At the end of the stream it sets done and returns io.EOF.
func (s *relay) readEvents() error {
	if s.request.route.MayRepeat() {
		s.exchange.SetReadDeadline(s.request.ctx, s.request.earlierDeadline(maxEventGap))
	}
	event, err := s.reader.next()
	if err != nil {
		s.done = err == io.EOF && len(event) == 0 && !s.isUnframedAndEmpty()
		return err
	}
	if err := s.checkFirstEvent(event); err != nil {
		return err
	}
	s.queue(event)
	for s.pending.Len() < relayBufferBytes && s.reader.hasWholeEvent() {
		event, err := s.reader.next()
		if err != nil {
			return err
		}
		s.queue(event)
	}
	return nil
}

// isUnframedAndEmpty reports whether the source has sent no event yet and its stream ends with its
// connection. Such an end is that of a server which has crashed as it began to answer.
func (s *relay) isUnframedAndEmpty() bool {
	return s.request.firstEventAt.IsZero() && s.exchange.IsCloseDelimited()
}

// releaseMemory returns the memory of long events to the budget once they are passed on.
func (s *relay) releaseMemory() {
	s.memory.Release()
	if s.pending.Cap() > 2*unbudgetedEventBytes {
		s.pending = bytes.Buffer{}
	}
}

// queue adds an event to the pending bytes.
func (s *relay) queue(event []byte) {
	now := s.request.server.Clock.Now()
	if s.events > 0 {
		s.request.longestPause = max(s.request.longestPause, now.Sub(s.lastEventAt))
	}
	s.lastEventAt = now
	s.request.recordEvent(now)
	s.ids = s.ids.With(eventID(event))
	s.events++
	s.pending.Write(event)
}

// resume resumes the stream on another server, or fails it.
func (s *relay) resume(cause error) {
	r := s.request
	r.attempts.add(s.choice, "cut after "+strconv.Itoa(s.events)+" events: "+cause.Error())
	s.detach()
	r.recordError(s.choice, cause)
	res := result{run: azurehitch.RunStateUnknown, cause: cause}
	for s.ids.last != "" && r.mayRetry(res) {
		choice, err := r.place()
		if err != nil {
			s.failure = err
			return
		}
		var exchange *connpool.Exchange
		exchange, _, res = r.exchange(choice, s.ids.last)
		if exchange != nil {
			if err = r.checkResumed(exchange); err == nil {
				s.attach(choice, exchange)
				r.server.Metrics.Add(metrics.StreamsResumed, 1)
				return
			}
			exchange.Close()
			r.serversToAvoid = append(r.serversToAvoid, choice.Server.ID)
			res = result{run: azurehitch.RunStateUnknown, cause: err}
		}
		choice.End()
		r.attempts.add(choice, res.cause.Error())
	}
	s.failure = cause
}

// detach ends the use of the current server.
func (s *relay) detach() {
	s.memory.Release()
	s.exchange.Close()
	s.choice.End()
}

// Close ends the request. The HTTP server also calls it when the caller has disconnected.
func (s *relay) Close() error {
	s.detach()
	r := s.request
	switch {
	case s.done && s.pending.Len() == 0:
		r.server.Breakers.Succeeded(s.choice.Server.Address)
		r.recordComplete(s.choice, s.exchange)
		r.attempts.add(s.choice, strconv.Itoa(s.events)+" events")
		r.server.Metrics.Add(metrics.RequestsAnswered, 1)
		r.end(s.status(), "answered")
	case s.failure != nil:
		r.server.Metrics.Add(metrics.StreamsCut, 1)
		r.end(s.status(), "stream cut: "+s.failure.Error())
	default:
		r.attempts.add(s.choice, strconv.Itoa(s.events)+" events")
		r.server.Metrics.Add(metrics.RequestsAbandoned, 1)
		r.end(s.status(), "the caller has gone")
	}
	return nil
}

func (s *relay) status() int { return s.request.http.Response.StatusCode() }
