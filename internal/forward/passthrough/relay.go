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

	"github.com/pkg/errors"
)

const relayBufferBytes = 8 << 10

// errStreamCut makes the HTTP server close the connection without the end of the body, so that the
// caller does not take a cut stream for a complete one.
var errStreamCut = errors.New("the stream was cut")

// relay passes on the events of a stream, each only when it is complete. When a server fails
// midway, a resumable stream is resumed on another server after the last event that was passed on.
// When a server is silent, a resumable stream moves to another server if one takes it over.
type relay struct {
	request *request
	source
	// takeover asks other servers to become the source while the source is silent.
	takeover *takeover
	pending  bytes.Buffer
	// ids describes the events that the caller has.
	ids    eventIDs
	events int
	// sourceEvents is the number of events of the current source.
	sourceEvents int
	// lastEventAt is when the last event was passed on, or when the request started before the first
	// one. firstEventAt is when the first event of the source was passed on; zero before.
	lastEventAt  time.Time
	firstEventAt time.Time
	done         bool
	failure      error
}

// relay responds with a stream once its first event has arrived. An error before that fails the
// attempt.
func (r *request) relay(choice place.Choice, exchange *connpool.Exchange) result {
	// A server that takes the stream over has to have the same software version.
	unbound := r.bound
	r.bound = azurehitch.VersionBound{IsSet: true, Version: choice.SoftwareVersion}
	stream := &relay{
		request: r, lastEventAt: r.startedAt, ids: r.knownEventIDs(),
	}
	stream.attach(r.newSource(choice, exchange))
	if err := stream.readFirstEvents(); err != nil {
		r.bound = unbound
		return result{run: azurehitch.RunStateUnknown, cause: err}
	}
	if r.isNewStream() {
		r.server.Streams.Confirmed(r.ID)
	}
	if !r.route.MayRepeat() {
		r.releaseBody()
	}
	r.timeToFirstEvent = r.server.Clock.Now().Sub(r.startedAt)
	r.server.Metrics.Observe(metrics.FirstEventTime, r.route.Name, r.timeToFirstEvent)
	copyAnswerHead(&r.http.Response.Header, &stream.exchange.Header)
	r.http.Response.SetBodyStream(r.readAhead(stream), unknownLength)
	return result{answered: true}
}

// readFirstEvents waits for the first event or for the end of a stream without events. On an error,
// the use of the server has ended.
func (s *relay) readFirstEvents() error {
	for {
		err := s.readEvents()
		if err == nil || s.done {
			return nil
		}
		if !s.leave(err) {
			return err
		}
	}
}

// attach makes a server the source of further events.
func (s *relay) attach(from source) {
	s.source = from
	s.firstEventAt, s.sourceEvents = time.Time{}, 0
	s.takeover = newTakeover(s.request, from)
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
		if err := s.readEvents(); err != nil && !s.done && !s.leave(err) {
			s.resume(err)
		}
	}
	return s.pending.Read(p)
}

// readEvents waits for the next event and adds it to the pending bytes, together with later events
// that have already arrived. At the end of the stream it sets done and returns io.EOF.
func (s *relay) readEvents() error {
	s.takeover.await(s.position(), s.request.server.Clock.Now())
	event, err := s.reader.next()
	if err != nil {
		s.done = err == io.EOF && len(event) == 0 && !s.isUnframedAndEmpty()
		return err
	}
	if err := s.checkFirstEvent(event); err != nil {
		return err
	}
	if !s.takeover.keep() {
		return errTakenOver
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

// position returns where another server would go on with the stream now.
func (s *relay) position() position {
	return position{events: s.events, ids: s.ids, lastEventAt: s.lastEventAt}
}

// isUnframedAndEmpty reports whether the source has sent no event yet and its stream ends with its
// connection. Such an end is that of a server which has crashed as it began to answer.
func (s *relay) isUnframedAndEmpty() bool {
	return s.firstEventAt.IsZero() && s.exchange.IsCloseDelimited()
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
	if s.firstEventAt.IsZero() {
		s.firstEventAt = now
	}
	s.request.recordEvent(s.firstEventAt, now)
	s.ids = s.ids.With(eventID(event))
	s.events++
	s.sourceEvents++
	s.pending.Write(event)
}

// leave ends the use of the current server because of cause. If another server has taken the stream
// over or is about to, it becomes the source, and leave returns true.
func (s *relay) leave(cause error) bool {
	r := s.request
	left := s.source
	if s.takeover.sourceEnded() {
		cause = errTakenOver
	}
	left.end()
	next, ok := s.takeover.wait()
	r.attempts.add(left.choice, "cut after "+strconv.Itoa(s.events)+" events: "+cause.Error())
	r.recordError(left.choice, cause, s.firstEventAt)
	if !ok {
		return false
	}
	r.unknownOutcomes++
	s.moveTo(next)
	return true
}

// moveTo makes another server the source of further events.
func (s *relay) moveTo(next source) {
	s.attach(next)
	s.request.server.Metrics.Add(metrics.StreamsResumed, 1)
}

// resume resumes the stream on another server after the current one has ended, or fails it.
func (s *relay) resume(cause error) {
	r := s.request
	res := result{run: azurehitch.RunStateUnknown, cause: cause}
	for s.position().isResumable() && r.mayRetry(r.ctx, res) {
		choice, err := r.placeBegun(r.ctx, r.serversToAvoid, s.lastEventAt)
		if err != nil {
			s.failure = err
			return
		}
		var exchange *connpool.Exchange
		if exchange, res = r.resumedExchange(r.ctx, choice, s.ids.last); exchange != nil {
			s.moveTo(r.newSource(choice, exchange))
			return
		}
		r.attempts.add(choice, res.cause.Error())
	}
	s.failure = cause
}

// Close ends the request. The HTTP server also calls it when the caller has disconnected.
func (s *relay) Close() error {
	s.takeover.sourceEnded()
	s.source.end()
	s.takeover.stop()
	r := s.request
	switch {
	case s.done && s.pending.Len() == 0:
		r.server.Breakers.Succeeded(s.choice.Server.Address)
		r.recordComplete(s.choice, s.exchange)
		s.observePause()
		r.attempts.add(s.choice, strconv.Itoa(s.events)+" events")
		r.server.Metrics.Add(metrics.RequestsAnswered, 1)
		r.end(s.status(), answeredReason)
	case s.failure != nil:
		r.end(s.status(), "stream cut ("+string(r.countCut())+"): "+s.failure.Error())
	default:
		r.attempts.add(s.choice, strconv.Itoa(s.events)+" events")
		r.server.Metrics.Add(metrics.RequestsAbandoned, 1)
		r.end(s.status(), "the caller has gone")
	}
	return nil
}

// minPauses is the number of pauses from which their mean says something about the speed of a server.
const minPauses = 4

// observePause records the mean pause between the events of the current source.
func (s *relay) observePause() {
	pauses := s.sourceEvents - 1
	if pauses < minPauses {
		return
	}
	s.choice.Observe(place.Answer{Pause: s.lastEventAt.Sub(s.firstEventAt) / time.Duration(pauses)})
}

func (s *relay) status() int { return s.request.http.Response.StatusCode() }
