package passthrough_test

import (
	"strconv"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// threeEvents is a stream, and the others are its events.
const (
	firstEvent  = "id: 1\ndata: a\n\n"
	secondEvent = "id: 2\ndata: b\n\n"
	thirdEvent  = "id: 3\ndata: c\n\n"
	threeEvents = firstEvent + secondEvent + thirdEvent
)

// chunk returns text as one chunk of a body.
func chunk(text string) string {
	return strconv.FormatInt(int64(len(text)), 16) + "\r\n" + text + "\r\n"
}

// eventStream returns a response with a status and with events, one in each chunk.
func eventStream(status string, events ...string) string {
	var body strings.Builder
	for _, event := range events {
		body.WriteString(chunk(event))
	}
	return strings.Replace(streamHead, "200 OK", status, 1) + body.String() + streamEnd
}

// badResumptions are responses that don't continue a stream after its first two events.
var badResumptions = map[string]string{
	"an error with the content type of streams": eventStream("500 Oops", "event: error\ndata: out of memory\n\n"),
	"an error without a body":                   eventStream("500 Oops"),
	"an error without a length":                 strings.Replace(unframedHead, "200 OK", "500 Oops", 1) + "data: bad\n\n",
	"an error of an intermediate":               "HTTP/1.1 504 Late\r\nContent-Type: text/event-stream\r\nContent-Length: 11\r\n\r\ndata: bad\n\n",
	"an error with the text of events":          strings.Replace(failed, "3\r\n\r\nbad", "11\r\n\r\ndata: bad\n\n", 1),
	"another success":                           eventStream("206 Part", thirdEvent),
	"a success without content":                 strings.Replace(strings.Replace(streamHead, "200 OK", "204 No", 1), "Transfer-Encoding: chunked\r\n", "", 1),
	"no stream":                                 strings.Replace(eventStream("200 OK", thirdEvent), "text/event-stream", "application/json", 1),
	"no signature":                              strings.Replace(eventStream("200 OK", thirdEvent), "X-Signature", "X-Other", 1),
	"an encoded body":                           strings.Replace(eventStream("200 OK", thirdEvent), "\r\n\r\n", "\r\nContent-Encoding: gzip\r\n\r\n", 1),
	"a response to another request":             strings.Replace(eventStream("200 OK", thirdEvent), "%ID%", "other", 1),
	"all events again":                          eventStream("200 OK", firstEvent, secondEvent, thirdEvent),
	"the last event again":                      eventStream("200 OK", secondEvent, thirdEvent),
	"a gap":                                     eventStream("200 OK", "id: 4\ndata: d\n\n"),
	"an event without an id":                    eventStream("200 OK", "data: c\n\n"),
	"an end before an event, by a close":        unframedHead,
	"an end inside an event":                    eventStream("200 OK", "id: 3\nda"),
	"bytes that are no response":                "out of memory\r\n\r\n",
}

// begunStream is a response that breaks off after two events and a part of the third.
func begunStream() string {
	return streamHead + chunk(firstEvent) + chunk(secondEvent) + chunk("id: 3\nda")
}

func TestStreamHasOnlyItsOwnEvents(t *testing.T) {
	for name, text := range badResumptions {
		t.Run(name+", then no more attempts", func(t *testing.T) {
			withGateway(t, resumable, []*backend{newBackend(t, begunStream(), 0), newBackend(t, text, 0)}, func(g *gateway) {
				got := g.send("POST", "/x/y", "")
				g.Assert(got.body, qt.Equals, firstEvent+secondEvent)
				g.Assert(got.cut, qt.IsTrue)
			})
		})
		t.Run(name+", then the rest", func(t *testing.T) {
			route := resumable
			route.MaxAttempts = 3
			last := newBackend(t, eventStream("200 OK", thirdEvent), 0)
			withGateway(t, route, []*backend{newBackend(t, begunStream(), 0), newBackend(t, text, 0), last}, func(g *gateway) {
				got := g.send("POST", "/x/y", "")
				g.Assert(got.body, qt.Equals, threeEvents)
				g.Assert(got.cut, qt.IsFalse)
				g.Assert(last.requests(), qt.DeepEquals, []string{"POST /x/y s2 2  "})
				g.Assert(g.placer.avoided, qt.DeepEquals, []string{"s0", "s1"})
			})
		})
	}
}

func TestResumedStreamsAreWhole(t *testing.T) {
	for name, test := range map[string]struct{ first, second, want string }{
		"the next event": {begunStream(), eventStream("200 OK", thirdEvent), threeEvents},
		// Only the end was missing: the second server states in a complete response that no event is left.
		"no event left": {begunStream(), eventStream("200 OK"), firstEvent + secondEvent},
		"ids with gaps": {
			streamHead + chunk("id: 4\n\n") + chunk("id: 8\n\n"), eventStream("200 OK", "id: 12\n\n"), "id: 4\n\nid: 8\n\nid: 12\n\n",
		},
		"one event, so that the step of the ids is unknown": {
			streamHead + chunk("id: 4\n\n"), eventStream("200 OK", "id: 8\n\n"), "id: 4\n\nid: 8\n\n",
		},
		"ids that are no numbers": {
			streamHead + chunk("id: x\n\n") + chunk("id: c\n\n"), eventStream("200 OK", "id: b\n\n"), "id: x\n\nid: c\n\nid: b\n\n",
		},
	} {
		t.Run(name, func(t *testing.T) {
			withGateway(t, resumable, []*backend{newBackend(t, test.first, 0), newBackend(t, test.second, 0)}, func(g *gateway) {
				got := g.send("POST", "/x/y", "")
				g.Assert(got.body, qt.Equals, test.want)
				g.Assert(got.cut, qt.IsFalse)
			})
		})
	}
}

// TestStreamTakenUpByItsCaller checks a stream of which the caller has the first two events.
func TestStreamTakenUpByItsCaller(t *testing.T) {
	takeUp := func(g *gateway) answer { return g.sendWith("POST", "/x/y", "", map[string]string{"X-Last": "2"}) }
	t.Run("an error is passed on as it is", func(t *testing.T) {
		text := eventStream("500 Oops", "event: error\ndata: out of memory\n\n")
		withGateway(t, resumable, []*backend{newBackend(t, text, 0)}, func(g *gateway) {
			got := takeUp(g)
			g.Assert(got.status, qt.Equals, 500)
			g.Assert(got.body, qt.Equals, "event: error\ndata: out of memory\n\n")
		})
	})
	t.Run("an event of a stream that may not be taken up is passed on as it is", func(t *testing.T) {
		withGateway(t, stream, []*backend{newBackend(t, badResumptions["all events again"], 0)}, func(g *gateway) {
			g.Assert(takeUp(g).body, qt.Equals, threeEvents)
		})
	})
	for _, name := range []string{"all events again", "the last event again", "an event without an id"} {
		t.Run(name+" are no answer", func(t *testing.T) {
			servers := []*backend{newBackend(t, badResumptions[name], 0), newBackend(t, eventStream("200 OK", thirdEvent), 0)}
			withGateway(t, resumable, servers, func(g *gateway) {
				g.Assert(takeUp(g).body, qt.Equals, thirdEvent)
			})
			withGateway(t, resumable, []*backend{newBackend(t, badResumptions[name], 0)}, func(g *gateway) {
				g.Assert(takeUp(g).status, qt.Equals, 502)
			})
		})
	}
}
