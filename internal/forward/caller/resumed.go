package caller

import (
	"strconv"
	"strings"

	"azurehitch/internal/forward/backend"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

// eventStreamType is the content type of streamed responses.
const eventStreamType = "text/event-stream"

// checkResumed returns an error if a response does not continue a stream: an error of an engine must not
// become a part of the stream.
func checkResumed(exchange *backend.Exchange) error {
	status, contentType := exchange.Response.StatusCode(), string(exchange.Response.Header.ContentType())
	if status != fasthttp.StatusOK || !strings.HasPrefix(contentType, eventStreamType) {
		return errors.Errorf("status %d with the content type %q does not continue the stream", status, contentType)
	}
	return nil
}

// resumeOnce reconnects the stream once, and checks that the response continues it.
func (r *relay) resumeOnce() error {
	server, exchange, err := r.reconnect()
	if err != nil {
		return err
	}
	load := r.completion.server.load
	if err := checkResumed(exchange); err != nil {
		exchange.Close()
		load.add(server.Name, -1)
		return err
	}
	load.add(r.server.Name, -1)
	r.exchange.Close()
	r.attach(server, exchange)
	r.isResumed = true
	return nil
}

// checkFirst returns an error if the event is the first one after the stream was resumed and does not follow
// the last forwarded event.
func (r *relay) checkFirst(event engineEvent) error {
	if !r.isResumed || event.isDone || event.hasPosition && event.position == r.nextPosition {
		return nil
	}
	return errors.Errorf("the stream was to be resumed at %d", r.nextPosition)
}

// engineEvent is what the relay reads from an event of an engine.
type engineEvent struct {
	// isDone is true for the event that ends a stream.
	isDone bool
	// position is the position of the event in its stream, if it has one.
	position    int
	hasPosition bool
}

func parseEvent(event string) engineEvent {
	var parsed engineEvent
	for line := range strings.Lines(event) {
		line = strings.TrimSuffix(line, "\n")
		if line == doneLine {
			parsed.isDone = true
		}
		if text, ok := strings.CutPrefix(line, positionPrefix); ok {
			if position, err := strconv.Atoi(text); err == nil {
				parsed.position, parsed.hasPosition = position, true
			}
		}
	}
	return parsed
}
