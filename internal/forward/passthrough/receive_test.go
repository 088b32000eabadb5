package passthrough_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"azurehitch"
	"azurehitch/internal/forward/router"

	qt "github.com/frankban/quicktest"
)

// configuredBody is max_body_bytes of the configuration in these tests.
const configuredBody = 400 << 10

// bodyHead is the head of a request with a body in the given framing.
func bodyHead(framing string) string {
	return "POST /x/y HTTP/1.1\r\nHost: a.example\r\nX-Id: id-1\r\n" + framing + "\r\n\r\n"
}

// withBodyLimit calls run with a gateway whose configuration limits bodies, and a connection to it.
func withBodyLimit(t *testing.T, backends []*backend, run func(g *gateway, conn net.Conn, answers *bufio.Reader)) {
	withGateway(t, idempotent, backends, func(g *gateway) {
		table := g.routing.Load().Table
		table.Limits = azurehitch.CallerLimits{MaxBodyBytes: configuredBody}
		g.routing.Store(router.NewPathIndex(table))
		conn, err := net.Dial("tcp", g.address)
		g.Assert(err, qt.IsNil)
		defer conn.Close()
		g.Assert(conn.SetDeadline(time.Now().Add(5*time.Second)), qt.IsNil)
		run(g, conn, bufio.NewReader(conn))
	})
}

func (g *gateway) assertStatus(answers *bufio.Reader, want int) *http.Response {
	g.Helper()
	response, err := http.ReadResponse(answers, nil)
	g.Assert(err, qt.IsNil)
	_, err = io.Copy(io.Discard, response.Body)
	g.Assert(err, qt.IsNil)
	g.Assert(response.StatusCode, qt.Equals, want)
	return response
}

// takeMemory takes all of the budget that large requests may have.
func (g *gateway) takeMemory() {
	budget := g.server.Connections.Memory()
	held := budget.NewRequest("other", nil)
	for held.Grow(64<<10) == nil {
	}
}

// TestPipelinedBodies guards against bytes of a body that are lost, changed or taken for the next request.
func TestPipelinedBodies(t *testing.T) {
	content := strings.Repeat("0123456789", configuredBody/10)
	kept := []*backend{newBackend(t, whole, 0), newBackend(t, whole, 0), newBackend(t, whole, 0)}
	withBodyLimit(t, kept, func(g *gateway, conn net.Conn, answers *bufio.Reader) {
		_, err := io.WriteString(conn, bodyHead(fmt.Sprintf("Content-Length: %d", len(content)))+content+
			bodyHead("Transfer-Encoding: chunked")+chunk(content[:5])+chunk(content[5:])+"0\r\n\r\n"+
			bodyHead("Content-Length: 2")+"ok")
		g.Assert(err, qt.IsNil)
		for i, want := range []string{content, content, "ok"} {
			g.assertStatus(answers, 200)
			g.Assert(strings.HasSuffix(kept[i].requests()[0], " "+want), qt.IsTrue)
		}
		g.Assert(int64(g.server.Connections.Memory().Taken()), qt.Equals, int64(0))
	})
}

// TestBodyBeyondConfiguration guards against bodies beyond the configuration's limit that reach a server, or whose
// callers see no answer because their connection is reset.
func TestBodyBeyondConfiguration(t *testing.T) {
	tooLong := strings.Repeat("a", configuredBody+1)
	for name, text := range map[string]string{
		"announced":       bodyHead(fmt.Sprintf("Content-Length: %d", len(tooLong))) + tooLong,
		"chunked":         bodyHead("Transfer-Encoding: chunked") + chunk(tooLong) + "0\r\n\r\n",
		"asked for first": bodyHead(fmt.Sprintf("Expect: 100-continue\r\nContent-Length: %d", len(tooLong))),
	} {
		t.Run(name, func(t *testing.T) {
			server := newBackend(t, whole, 0)
			withBodyLimit(t, []*backend{server}, func(g *gateway, conn net.Conn, answers *bufio.Reader) {
				_, err := io.WriteString(conn, text)
				g.Assert(err, qt.IsNil)
				g.Assert(g.assertStatus(answers, 413).Close, qt.IsTrue)
				g.Assert(server.requests(), qt.HasLen, 0)
			})
		})
	}
}

// TestNoMemoryForBody guards against bodies that are read although the budget is exhausted, and against refusals of
// small requests beside them.
func TestNoMemoryForBody(t *testing.T) {
	content := strings.Repeat("a", configuredBody)
	for name, text := range map[string]string{
		"announced":       bodyHead(fmt.Sprintf("Content-Length: %d", len(content))) + content,
		"chunked":         bodyHead("Transfer-Encoding: chunked") + chunk(content),
		"asked for first": bodyHead(fmt.Sprintf("Expect: 100-continue\r\nContent-Length: %d", len(content))),
	} {
		t.Run(name, func(t *testing.T) {
			server := newBackend(t, whole, 0)
			withBodyLimit(t, []*backend{server}, func(g *gateway, conn net.Conn, answers *bufio.Reader) {
				g.takeMemory()
				_, err := io.WriteString(conn, text)
				g.Assert(err, qt.IsNil)
				response := g.assertStatus(answers, 503)
				g.Assert(response.Close, qt.IsTrue)
				g.Assert(response.Header.Get("Retry-After"), qt.Equals, "1")
				g.Assert(server.requests(), qt.HasLen, 0)
				g.Assert(g.send("POST", "/x/y", "small").status, qt.Equals, 200)
			})
		})
	}
}

// TestStalledBodyGivesWay guards against a body without progress that holds memory while others are refused.
func TestStalledBodyGivesWay(t *testing.T) {
	withBodyLimit(t, []*backend{newBackend(t, whole, 0)}, func(g *gateway, conn net.Conn, answers *bufio.Reader) {
		_, err := io.WriteString(conn, bodyHead(fmt.Sprintf("X-Left: 4000\r\nContent-Length: %d", configuredBody))+strings.Repeat("a", 9<<10))
		g.Assert(err, qt.IsNil)
		pause(g, 1200*time.Millisecond)
		g.takeMemory()
		g.Assert(g.assertStatus(answers, 408).Close, qt.IsTrue)
	})
}

// TestBodyIsReleasedWhenAnswerBegins guards against bodies that are held during streams that can't be resumed.
func TestBodyIsReleasedWhenAnswerBegins(t *testing.T) {
	for name, test := range map[string]struct {
		route  azurehitch.PathRoute
		isHeld bool
	}{"may run once": {stream, false}, "resumable": {resumable, true}} {
		t.Run(name, func(t *testing.T) {
			withGateway(t, test.route, []*backend{newBackend(t, streamHead+events, time.Second)}, func(g *gateway) {
				conn, err := net.Dial("tcp", g.address)
				g.Assert(err, qt.IsNil)
				defer conn.Close()
				_, err = io.WriteString(conn, bodyHead("Content-Length: 50000")+strings.Repeat("a", 50000))
				g.Assert(err, qt.IsNil)
				_, err = bufio.NewReader(conn).Peek(len(streamHead))
				g.Assert(err, qt.IsNil)
				pause(g, 50*time.Millisecond)
				g.Assert(g.server.Connections.Memory().Taken() >= 50000, qt.Equals, test.isHeld)
			})
		})
	}
}
