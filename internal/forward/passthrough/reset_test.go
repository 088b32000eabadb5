package passthrough_test

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
	"azurehitch/internal/standin/hookconn"
	"azurehitch/internal/transport/connpool"

	qt "github.com/frankban/quicktest"
)

// unsizedHead begins an answer that has neither a length nor chunks and ends with its connection.
const unsizedHead = "HTTP/1.1 200 OK\r\nX-Id: %ID%\r\nX-Signature: s\r\n\r\n"

// longBody is an upload that doesn't fit into the buffers of a connection.
var longBody = strings.Repeat("u", 1000<<10)

// newResettingBackend starts a server that answers a request once it has its head, and resets the connection after
// delay while the body is still being sent.
func newResettingBackend(t testing.TB, answer string, delay time.Duration) *backend {
	t.Helper()
	return newEarlyBackend(t, answer, func(conn *net.TCPConn, _ io.Reader) {
		time.Sleep(delay)
		_ = conn.SetLinger(0)
	})
}

// newEarlyBackend starts a server that answers a request once it has its head. Then it calls end, and closes the
// connection.
func newEarlyBackend(t testing.TB, answer string, end func(conn *net.TCPConn, request io.Reader)) *backend {
	t.Helper()
	b := &backend{}
	b.address = listen(t, func(conn net.Conn) {
		defer conn.Close()
		reader := bufio.NewReader(conn)
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.WriteString(conn, strings.ReplaceAll(answer, "%ID%", request.Header.Get("X-Id"))); err != nil {
			return
		}
		end(conn.(*net.TCPConn), request.Body)
	})
	return b
}

// partialAnswers are answers without a length whose end only the end of the connection shows.
var partialAnswers = []struct {
	name   string
	answer string
}{
	{"a few bytes", unsizedHead + "part"},
	{"a close announced", strings.Replace(unsizedHead, "\r\n\r\n", "\r\nConnection: close\r\n\r\n", 1) + "part"},
	{"HTTP/1.0", strings.Replace(unsizedHead, "HTTP/1.1", "HTTP/1.0", 1) + "part"},
	{"the head only", unsizedHead},
	{"many bytes", unsizedHead + strings.Repeat("p", 200<<10)},
}

// TestAnswerResetDuringUpload guards against answers that are taken for whole although their server has reset the
// connection: the write of the request's body sees the reset, and the read of the answer then only an end.
func TestAnswerResetDuringUpload(t *testing.T) {
	for _, test := range partialAnswers {
		t.Run(test.name+", may run once", func(t *testing.T) {
			first, second := newResettingBackend(t, test.answer, 0), newBackend(t, whole, 0)
			withWritesFirst(t, nonIdempotent, []*backend{first, second}, func(g *gateway) {
				got := g.send("POST", "/x/y", longBody)
				assertNotWhole(g, got)
				g.Assert(second.requests(), qt.HasLen, 0)
			})
		})
	}
	t.Run("may be repeated", func(t *testing.T) {
		first, second := newResettingBackend(t, unsizedHead+"part", 0), newBackend(t, whole, 0)
		withWritesFirst(t, idempotent, []*backend{first, second}, func(g *gateway) {
			got := g.send("POST", "/x/y", longBody)
			g.Assert(got.status, qt.Equals, 200)
			g.Assert(got.body, qt.Equals, "ok")
			g.Assert(second.requests(), qt.HasLen, 1)
		})
	})
	t.Run("a stream, between two events", func(t *testing.T) {
		withWritesFirst(t, stream, []*backend{newResettingBackend(t, unframedHead+"id: 1\ndata: a\n\n", 0)}, func(g *gateway) {
			got := g.send("POST", "/x/y", longBody)
			g.Assert(got.cut, qt.IsTrue)
			g.Assert(got.body, qt.Equals, "id: 1\ndata: a\n\n")
		})
	})
	t.Run("a stream that another server goes on with", func(t *testing.T) {
		first := newResettingBackend(t, unframedHead+"id: 1\ndata: a\n\n", 0)
		second := newBackend(t, unframedHead+"id: 2\ndata: b\n\n", 0)
		withWritesFirst(t, resumable, []*backend{first, second}, func(g *gateway) {
			got := g.send("POST", "/x/y", longBody)
			g.Assert(got.cut, qt.IsFalse)
			g.Assert(got.body, qt.Equals, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n")
		})
	})
	t.Run("counts against the server", func(t *testing.T) {
		withWritesFirst(t, nonIdempotent, []*backend{newResettingBackend(t, unsizedHead+"part", 0)}, func(g *gateway) {
			assertNotWhole(g, g.send("POST", "/x/y", longBody))
			g.assertEvidence(0, "s0")
		})
	})
}

// assertNotWhole checks that a caller got no success, or one that it can see to be cut.
func assertNotWhole(g *gateway, got answer) {
	g.Helper()
	if got.status == 200 {
		g.Assert(got.cut, qt.IsTrue, qt.Commentf("taken for whole: %d bytes", len(got.body)))
		return
	}
	g.Assert(got.status, qt.Equals, 502)
	g.Assert(got.header.Get("X-Signature"), qt.Equals, "")
}

// withWritesFirst calls run with a gateway that has only its writes see how the first server ends its connection.
func withWritesFirst(t *testing.T, route azurehitch.PathRoute, backends []*backend, run func(g *gateway)) {
	t.Helper()
	withGateway(t, route, backends, func(g *gateway) {
		g.server.Connections.WithDialer(&firstDialer{})
		run(g)
	})
}

// firstDialer opens the first connection with a hookconn.Dialer. It is used by one request.
type firstDialer struct{ wasUsed bool }

// Dial implements connpool.Dialer.
func (d *firstDialer) Dial(ctx context.Context, address string) (net.Conn, error) {
	direct := connpool.DirectDialer{}
	if d.wasUsed {
		return direct.Dial(ctx, address)
	}
	d.wasUsed = true
	return hookconn.Dialer{Dialer: direct}.Dial(ctx, address)
}

// TestAnswerResetDuringUploadAsItComes is TestAnswerResetDuringUpload with whatever sees the reset first.
func TestAnswerResetDuringUploadAsItComes(t *testing.T) {
	const plays = 20
	for _, delay := range []time.Duration{0, time.Millisecond} {
		for _, test := range partialAnswers {
			t.Run(test.name+" "+delay.String(), func(t *testing.T) {
				for range plays {
					withGateway(t, nonIdempotent, []*backend{newResettingBackend(t, test.answer, delay)}, func(g *gateway) {
						assertNotWhole(g, g.send("POST", "/x/y", longBody))
					})
				}
			})
		}
	}
}

// TestWholeAnswerDuringUpload checks answers that are whole though they come before the body of their request has been
// sent.
func TestWholeAnswerDuringUpload(t *testing.T) {
	readOn := func(_ *net.TCPConn, request io.Reader) { _, _ = io.Copy(io.Discard, request) }
	closeHalf := func(conn *net.TCPConn, request io.Reader) {
		_ = conn.CloseWrite()
		readOn(conn, request)
	}
	for name, server := range map[string]struct {
		answer string
		end    func(conn *net.TCPConn, request io.Reader)
	}{
		"with a length, the server reads on":                 {whole, readOn},
		"in chunks, the server reads on":                     {wholeInChunks, readOn},
		"without a length, half closed, the server reads on": {unsizedHead + "ok", closeHalf},
		"without a length, half closed, the server reads nothing": {unsizedHead + "ok", func(conn *net.TCPConn, _ io.Reader) {
			_ = conn.CloseWrite()
			time.Sleep(300 * time.Millisecond)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			for range 5 {
				withGateway(t, nonIdempotent, []*backend{newEarlyBackend(t, server.answer, server.end)}, func(g *gateway) {
					got := g.send("POST", "/x/y", longBody)
					g.Assert(got.status, qt.Equals, 200)
					g.Assert(got.cut, qt.IsFalse)
					g.Assert(got.body, qt.Equals, "ok")
				})
			}
		})
	}
	t.Run("without a length, after the upload", func(t *testing.T) {
		withGateway(t, nonIdempotent, []*backend{newBackend(t, unsizedHead+"ok", 0)}, func(g *gateway) {
			got := g.send("POST", "/x/y", longBody)
			g.Assert(got.cut, qt.IsFalse)
			g.Assert(got.body, qt.Equals, "ok")
		})
	})
}
