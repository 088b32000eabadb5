package passthrough

import (
	"bytes"
	"strconv"

	"github.com/pkg/errors"
)

// idField is the prefix of the line with the id of an event.
var idField = []byte("id:")

// eventID returns the id of an event; empty without one.
func eventID(event []byte) string {
	id := ""
	for line := range bytes.Lines(event) {
		if text, ok := bytes.CutPrefix(line, idField); ok {
			id = string(bytes.TrimSpace(text))
		}
	}
	return id
}

// eventIDs is what is known of the ids of the events that the caller has of a stream. The zero value is
// that of a new stream.
type eventIDs struct {
	// last is the id of the last event; empty before the first one.
	last string
	// steps counts the changes from one id to the next, and gaps those that were not by one.
	steps int
	gaps  int
}

// With returns e with the id of a further event. An event without an id does not change it.
func (e eventIDs) With(id string) eventIDs {
	if id == "" {
		return e
	}
	if e.last != "" {
		e.steps++
		if !isNext(e.last, id) {
			e.gaps++
		}
	}
	e.last = id
	return e
}

// isGapless reports whether each id so far was one more than the id before.
func (e eventIDs) isGapless() bool { return e.steps > 0 && e.gaps == 0 }

// checkNext returns an error if the event with the given id can't be the next one of the stream, because
// it repeats an event or leaves out some. Ids increase; they have gaps only if they had some before.
func (e eventIDs) checkNext(id string) error {
	switch {
	case e.last == "":
		return nil
	case id == "" || !isLater(e.last, id):
		return errors.Errorf("event %q does not come after %q", id, e.last)
	case e.isGapless() && !isNext(e.last, id):
		return errors.Errorf("event %q leaves out events after %q", id, e.last)
	}
	return nil
}

// isNext reports whether id is the number after last.
func isNext(last, id string) bool {
	before, lastErr := strconv.ParseInt(last, 10, 64)
	number, err := strconv.ParseInt(id, 10, 64)
	return lastErr == nil && err == nil && number > before && number-before == 1
}

// isLater reports whether id is a greater number than last. Ids that are not both numbers are only
// compared for equality.
func isLater(last, id string) bool {
	before, lastErr := strconv.ParseInt(last, 10, 64)
	number, err := strconv.ParseInt(id, 10, 64)
	if lastErr != nil || err != nil {
		return id != last
	}
	return number > before
}
