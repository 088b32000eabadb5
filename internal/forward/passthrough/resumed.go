package passthrough

import (
	"strings"

	"azurehitch"
	"azurehitch/internal/transport/connpool"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

// isEventStream reports whether a response is the event stream that the request asked for. An error
// may have the content type of a stream too.
func (r *request) isEventStream(exchange *connpool.Exchange) bool {
	return r.route.Kind == azurehitch.RequestKindStream &&
		exchange.Header.StatusCode() == fasthttp.StatusOK &&
		strings.HasPrefix(string(exchange.Header.ContentType()), eventStreamType)
}

// checkResumed returns an error if a response does not continue a stream whose head the caller already
// has: it must not become a part of the stream.
func (r *request) checkResumed(exchange *connpool.Exchange) error {
	if !r.isEventStream(exchange) {
		return errors.Errorf("status %d with the content type %q does not continue the stream",
			exchange.Header.StatusCode(), exchange.Header.ContentType())
	}
	return nil
}

// knownEventIDs returns the events that the caller has of a stream that it takes up again.
func (r *request) knownEventIDs() eventIDs {
	if !r.route.MayRepeat() {
		return eventIDs{}
	}
	return eventIDs{last: r.LastEvent}
}

// checkFirstEvent returns an error if an event is the first one of a server that continues a stream, and
// does not continue it. The order of its further events is up to the server.
func (s *relay) checkFirstEvent(event []byte) error {
	if !s.firstEventAt.IsZero() {
		return nil
	}
	return s.ids.checkNext(eventID(event))
}
