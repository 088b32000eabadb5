package caller

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"azurehitch"
	"azurehitch/internal/configuration/tables"
	"azurehitch/internal/forward/backend"
	"azurehitch/internal/placement/directory"
	"azurehitch/internal/telemetry/metrics"
	"azurehitch/internal/telemetry/tracing"

	qt "github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"
)

const (
	resumedHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
	eventA      = "id: 0\ndata: a\n\n"
	eventB      = "id: 1\ndata: b\n\n"
	eventC      = "id: 2\ndata: c\n\n"
	doneEvent   = "data: [DONE]\n\n"
)

// startEngine starts an engine that answers the i-th request with the i-th text and closes the
// connection. Further requests get the last text.
func startEngine(c *qt.C, answers ...string) (address string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	var group errgroup.Group
	c.Cleanup(func() {
		listener.Close()
		_ = group.Wait()
	})
	group.Go(func() error {
		for i := 0; ; i++ {
			conn, err := listener.Accept()
			if err != nil {
				return nil
			}
			if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				_, _ = io.WriteString(conn, answers[min(i, len(answers)-1)])
			}
			conn.Close()
		}
	})
	return listener.Addr().String()
}

// ignoreBreakers is a backend.Observer that ignores all events.
type ignoreBreakers struct{}

// BreakerOpened implements backend.Observer.
func (ignoreBreakers) BreakerOpened(string) {}

// newTestCompletion returns a completion of a server that reaches engines only.
func newTestCompletion(c *qt.C) *completion {
	clock := azurehitch.SystemClock{}
	tracer, err := tracing.New(context.Background(), tracing.Options{})
	c.Assert(err, qt.IsNil)
	server := &Server{
		Dependencies: Dependencies{
			Directory: directory.New(nil, clock, "daemon-1"), Transport: backend.NewTransport(clock, ignoreBreakers{}),
			Metrics: metrics.New(), Tracer: tracer, Clock: clock,
		},
		load: newServerLoad("reduit"),
	}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	c.Cleanup(cancel)
	return &completion{request: &request{server: server, http: &fasthttp.RequestCtx{}, ctx: ctx, id: "id-1"}, tried: newAttempts()}
}

// relayed returns what a caller gets of a stream whose engine gives one answer after the other, and
// whether the stream looks complete.
func relayed(c *qt.C, answers ...string) (body string, isWhole bool) {
	completion := newTestCompletion(c)
	server := tables.BackendServer{Name: "engine-1", Address: startEngine(c, answers...)}
	exchange, err := completion.send(server, 0)
	c.Assert(err, qt.IsNil)
	stream := newRelay(completion, server, exchange)
	content, err := io.ReadAll(stream)
	stream.exchange.Close()
	return string(content), err == nil
}

func TestStreamHasOnlyItsOwnEvents(t *testing.T) {
	begun := resumedHead + eventA + eventB + "id: 2\nda"
	for name, text := range map[string]string{
		"an error with the content type of streams": strings.Replace(resumedHead, "200 OK", "500 Oops", 1) + "id: 2\ndata: out of memory\n\n" + doneEvent,
		"an error with a text":                      "HTTP/1.1 404 Gone\r\nContent-Type: text/html\r\n\r\n<html>\n\n" + doneEvent,
		"another content type":                      "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n{}\n\n" + doneEvent,
		"all events again":                          resumedHead + eventA + eventB + eventC + doneEvent,
		"a gap":                                     resumedHead + "id: 3\ndata: d\n\n" + doneEvent,
		"an event without an id":                    resumedHead + "data: out of memory\n\n" + doneEvent,
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			body, isWhole := relayed(c, begun, text)
			c.Check(isWhole, qt.IsFalse)
			rest, ok := strings.CutPrefix(body, eventA+eventB)
			c.Check(ok, qt.IsTrue)
			c.Check(rest, qt.Matches, `event: error\ndata: .*engine-1 brought no answer.*\n\n`)
		})
		t.Run(name+", then the rest", func(t *testing.T) {
			c := qt.New(t)
			body, isWhole := relayed(c, begun, text, resumedHead+eventC+doneEvent)
			c.Check(isWhole, qt.IsTrue)
			c.Check(body, qt.Equals, eventA+eventB+eventC+doneEvent)
		})
	}
	t.Run("only the end was missing", func(t *testing.T) {
		c := qt.New(t)
		body, isWhole := relayed(c, begun, resumedHead+doneEvent)
		c.Check(isWhole, qt.IsTrue)
		c.Check(body, qt.Equals, eventA+eventB+doneEvent)
	})
}
