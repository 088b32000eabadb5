package passthrough_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"azurehitch"

	qt "github.com/frankban/quicktest"
)

const (
	refusal           = "HTTP/1.1 503 Full\r\nX-Id: %ID%\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
	refusalWithBody   = "HTTP/1.1 503 Full\r\nX-Id: %ID%\r\nX-Not-Run: 1\r\nContent-Length: 4\r\n\r\nfull"
	misdirectedWithID = "HTTP/1.1 421 Misdirected\r\nX-Id: %ID%\r\nContent-Length: 0\r\n\r\n"
)

// ofOther returns a response as one to another request.
func ofOther(text string) string { return strings.ReplaceAll(text, "%ID%", "earlier") }

// keptBackend is a server that keeps its connections: to each request on a connection it sends the next
// of its answers.
type keptBackend struct {
	backend
	answers []string
	mu      sync.Mutex
	conns   []net.Conn
	// connections lists for each request the number of its connection.
	connections []int
}

func newKeptBackend(t *testing.T, answers ...string) *keptBackend {
	t.Helper()
	b := &keptBackend{answers: answers}
	b.address = listen(t, func(conn net.Conn) { b.play(conn, b.accepted(conn)) })
	t.Cleanup(b.closeAll)
	return b
}

// accepted records a connection and returns its number.
func (b *keptBackend) accepted(conn net.Conn) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.conns = append(b.conns, conn)
	return len(b.conns) - 1
}

func (b *keptBackend) closeAll() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, conn := range b.conns {
		conn.Close()
	}
}

func (b *keptBackend) received(connection int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.connections = append(b.connections, connection)
}

// usedConnections returns for each request the number of its connection.
func (b *keptBackend) usedConnections() []int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.connections
}

func (b *keptBackend) play(conn net.Conn, number int) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for _, text := range b.answers {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		b.received(number)
		if _, err := io.WriteString(conn, strings.ReplaceAll(text, "%ID%", request.Header.Get("X-Id"))); err != nil {
			return
		}
	}
}

func TestRefusalOfAnotherRequestIsNoRefusal(t *testing.T) {
	refusals := map[string]string{"503": ofOther(refusal), "421": ofOther(misdirectedWithID)}
	for name, text := range refusals {
		t.Run("new connection, "+name, func(t *testing.T) {
			second := newBackend(t, whole, 0)
			withGateway(t, nonIdempotent, []*backend{newBackend(t, text, 0), second}, func(g *gateway) {
				g.Assert(g.send("POST", "/x/y", "").status, qt.Equals, 502)
				g.Assert(second.requests(), qt.HasLen, 0)
			})
		})
	}
	refusals["503 without an id"] = notRun
	refusals["421 without an id"] = misdirected
	for name, text := range refusals {
		t.Run("kept connection, "+name, func(t *testing.T) {
			kept := newKeptBackend(t, whole, text)
			withGateway(t, idempotent, []*backend{&kept.backend, &kept.backend}, func(g *gateway) {
				g.Assert(g.send("POST", "/x/y", "").status, qt.Equals, 200)
				g.Assert(g.send("POST", "/x/y", "").status, qt.Equals, 502)
				g.Assert(kept.usedConnections(), qt.DeepEquals, []int{0, 0})
			})
		})
	}
}

func TestRefusalOfTheRequestIsOne(t *testing.T) {
	for name, text := range map[string]string{"503": refusal, "421": misdirectedWithID} {
		t.Run(name+" on a kept connection", func(t *testing.T) {
			kept := newKeptBackend(t, whole, text)
			withGateway(t, idempotent, []*backend{&kept.backend, &kept.backend}, func(g *gateway) {
				g.Assert(g.send("POST", "/x/y", "").status, qt.Equals, 200)
				g.Assert(g.send("POST", "/x/y", "").status, qt.Equals, 503)
			})
		})
	}
	for name, text := range map[string]string{"503": notRun, "421": misdirected} {
		t.Run(name+" without an id on a new connection", func(t *testing.T) {
			withGateway(t, nonIdempotent, []*backend{newBackend(t, text, 0)}, func(g *gateway) {
				g.Assert(g.send("POST", "/x/y", "").status, qt.Equals, 503)
			})
		})
	}
}

// TestRefusedRequestIsSentOverAnotherConnection checks a server that writes its refusal of a request again
// when it gets the request again.
func TestRefusedRequestIsSentOverAnotherConnection(t *testing.T) {
	for name, text := range map[string]string{"without a body": refusal, "with a body": refusalWithBody} {
		t.Run(name, func(t *testing.T) {
			kept := newKeptBackend(t, whole, text, text, text)
			withGateway(t, idempotent, []*backend{&kept.backend, &kept.backend, &kept.backend}, func(g *gateway) {
				g.placer.tier = azurehitch.CacheTierMemory
				g.Assert(g.send("POST", "/x/y", "").status, qt.Equals, 200)
				g.Assert(g.send("POST", "/x/y", "").status, qt.Equals, 200)
				g.Assert(kept.usedConnections(), qt.DeepEquals, []int{0, 0, 1})
			})
		})
	}
}

func TestNoticeInAnAnswerToAnotherRequestIsIgnored(t *testing.T) {
	for name, text := range map[string]string{"refusal": ofOther(refusal), "answer": otherID} {
		t.Run(name, func(t *testing.T) {
			text := withField(withField(text, "X-Leaving: 1"), "X-Rest: 1500")
			withGateway(t, nonIdempotent, []*backend{newBackend(t, text, 0)}, func(g *gateway) {
				g.Assert(g.send("POST", "/x/y", "").status, qt.Equals, 502)
				g.Assert(g.notices["s0"], qt.HasLen, 0)
			})
		})
	}
}
