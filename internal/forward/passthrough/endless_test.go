package passthrough_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"azurehitch"
	"azurehitch/internal/proof/liveheap"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"
)

// endless is a server that sends the prefix of a response and then repeats a text until the gateway
// closes the connection.
type endless struct {
	backend
	sent atomic.Int64
}

func newEndless(t *testing.T, prefix, repeated string) *endless {
	t.Helper()
	const pieceBytes = 32 << 10
	piece := []byte(strings.Repeat(repeated, 1+pieceBytes/len(repeated)))
	e := &endless{}
	e.address = listen(t, func(conn net.Conn) { e.play(conn, prefix, piece) })
	return e
}

func (e *endless) play(conn net.Conn, prefix string, piece []byte) {
	defer conn.Close()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	_, err = io.WriteString(conn, strings.ReplaceAll(prefix, "%ID%", request.Header.Get("X-Id")))
	for err == nil {
		var n int
		n, err = conn.Write(piece)
		e.sent.Add(int64(n))
	}
}

const (
	head        = "HTTP/1.1 200 OK\r\nX-Id: %ID%\r\nX-Signature: s\r\n"
	chunkedHead = head + "Transfer-Encoding: chunked\r\n\r\n"
)

// endlessAnswers are the parts of a response that a server may send without end.
var endlessAnswers = []struct {
	name             string
	prefix, repeated string
	// isPartlySent is true if the caller has got a part of the response when the limit is reached.
	isPartlySent bool
}{
	{name: "before the status line", prefix: "", repeated: "\r\n"},
	{name: "the status line", prefix: "HTTP/1.1 200 ", repeated: "O"},
	{name: "a field of the head", prefix: head + "X-Long: ", repeated: "x"},
	{name: "fields of the head", prefix: head, repeated: "X-More: y\r\n"},
	{name: "interim responses", prefix: "", repeated: "HTTP/1.1 100 Continue\r\n\r\n"},
	{name: "not HTTP", prefix: "", repeated: "\x00\xff garbage"},
	{name: "the header of a chunk", prefix: chunkedHead + "2;x=", repeated: "y"},
	{name: "small chunks", prefix: chunkedHead, repeated: "1\r\nz\r\n", isPartlySent: true},
	{name: "trailers", prefix: chunkedHead + "2\r\nok\r\n0\r\n", repeated: "X-More: y\r\n"},
	{name: "a body in chunks", prefix: chunkedHead, repeated: "400\r\n" + strings.Repeat("z", 1024) + "\r\n", isPartlySent: true},
	{name: "a body with a length", prefix: head + "Content-Length: 900000000000\r\n\r\n", repeated: "z", isPartlySent: true},
	{name: "a body without a length", prefix: head + "Connection: close\r\n\r\n", repeated: "z", isPartlySent: true},
}

// sendRaw sends a request over a new connection. It returns the status line and the number of bytes
// that followed the status line until the connection was closed.
func (g *gateway) sendRaw() (status string, size int64) {
	conn, err := net.Dial("tcp", g.address)
	g.Assert(err, qt.IsNil)
	defer conn.Close()
	_, err = io.WriteString(conn, "POST /x/y HTTP/1.1\r\nHost: a.example\r\nX-Id: id-1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
	g.Assert(err, qt.IsNil)
	reader := bufio.NewReader(conn)
	status, err = reader.ReadString('\n')
	g.Assert(err, qt.IsNil)
	size, _ = io.Copy(io.Discard, reader)
	return strings.TrimSpace(status), size
}

// TestEndless checks that a request to a server that sends without end is finished long before its
// deadline, as its kind demands, and that the gateway reads a limited number of bytes.
func TestEndless(t *testing.T) {
	const timeout = 20 * time.Second
	for _, test := range endlessAnswers {
		t.Run(test.name+": a request that may run once is not refused as not run", func(t *testing.T) {
			e := newEndless(t, test.prefix, test.repeated)
			route := nonIdempotent
			route.Timeout = timeout
			withGateway(t, route, []*backend{&e.backend}, func(g *gateway) {
				began := time.Now()
				status, size := g.sendRaw()
				g.Assert(time.Since(began) < timeout/4, qt.IsTrue, qt.Commentf("took %v", time.Since(began)))
				g.Assert(size < 3*maxAnswer, qt.IsTrue, qt.Commentf("%d bytes", size))
				if !test.isPartlySent {
					g.Assert(status, qt.Contains, "502")
				}
			})
		})
		if test.isPartlySent {
			continue
		}
		t.Run(test.name+": a request that may be repeated is answered by another server", func(t *testing.T) {
			e := newEndless(t, test.prefix, test.repeated)
			route := idempotent
			route.Timeout = timeout
			withGateway(t, route, []*backend{&e.backend, newBackend(t, whole, 0)}, func(g *gateway) {
				status, _ := g.sendRaw()
				g.Assert(status, qt.Contains, "200")
			})
		})
	}
	t.Run("a response cut at the limit does not look complete", func(t *testing.T) {
		e := newEndless(t, chunkedHead, "400\r\n"+strings.Repeat("z", 1024)+"\r\n")
		withGateway(t, idempotent, []*backend{&e.backend}, func(g *gateway) {
			g.Assert(g.send("POST", "/x/y", "").cut, qt.IsTrue)
		})
	})
	t.Run("an event: the stream is resumed on another server", func(t *testing.T) {
		e := newEndless(t, streamHead+events+"400\r\n"+strings.Repeat("z", 1024)+"\r\n", "400\r\n"+strings.Repeat("z", 1024)+"\r\n")
		second := newBackend(t, streamHead+"f\r\nid: 2\ndata: b\n\n\r\n"+resumed+streamEnd, 0)
		withGateway(t, resumable, []*backend{&e.backend, second}, func(g *gateway) {
			got := g.send("POST", "/x/y", "")
			g.Assert(got.body, qt.Equals, "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n")
			g.Assert(got.cut, qt.IsFalse)
		})
	})
	t.Run("an event of a stream that may run once: the stream is cut", func(t *testing.T) {
		e := newEndless(t, streamHead+events, "400\r\n"+strings.Repeat("z", 1024)+"\r\n")
		withGateway(t, stream, []*backend{&e.backend}, func(g *gateway) {
			g.Assert(g.send("POST", "/x/y", "").cut, qt.IsTrue)
		})
	})
}

// TestLongAnswer checks that valid responses are passed on completely if they are longer than the
// gateway buffers.
func TestLongAnswer(t *testing.T) {
	const size = 10 * maxBufferedAnswer
	body := strings.Repeat("0123456789abcdef", size/16)
	for name, text := range map[string]string{
		"with a length":       head + "Content-Length: 655360\r\n\r\n" + body,
		"in chunks":           chunkedHead + "a0000\r\n" + body + "\r\n0\r\n\r\n",
		"without a length":    head + "Connection: close\r\n\r\n" + body,
		"buffered completely": head + "Content-Length: 40000\r\n\r\n" + body[:40000],
	} {
		t.Run(name, func(t *testing.T) {
			withGateway(t, nonIdempotent, []*backend{newBackend(t, text, 0)}, func(g *gateway) {
				got := g.send("POST", "/x/y", "")
				want := body
				if name == "buffered completely" {
					want = body[:40000]
				}
				g.Assert(got.cut, qt.IsFalse)
				g.Assert(got.body == want, qt.IsTrue, qt.Commentf("%d bytes", len(got.body)))
			})
		})
	}
	t.Run("cut by the server", func(t *testing.T) {
		text := head + "Content-Length: 655360\r\n\r\n" + body[:300000]
		withGateway(t, nonIdempotent, []*backend{newBackend(t, text, 0)}, func(g *gateway) {
			g.Assert(g.send("POST", "/x/y", "").cut, qt.IsTrue)
		})
	})
}

// TestEndlessMemory checks that 60 concurrent requests to servers that send without end stay within
// the shared memory budget.
func TestEndlessMemory(t *testing.T) {
	const (
		requests = 60
		// overhead is what connections, their buffers and the test itself may take.
		overhead = 16 << 20
	)
	for _, test := range endlessAnswers {
		t.Run(test.name, func(t *testing.T) {
			e := newEndless(t, test.prefix, test.repeated)
			var backends []*backend
			for range requests {
				backends = append(backends, &e.backend)
			}
			route := nonIdempotent
			route.Timeout = 5 * time.Second
			withGateway(t, route, backends, func(g *gateway) {
				ctx, cancel := context.WithCancel(context.Background())
				var peak atomic.Int64
				var group errgroup.Group
				before := liveheap.Size()
				group.Go(func() error {
					for (azurehitch.SystemClock{}).Sleep(ctx, 20*time.Millisecond) == nil {
						peak.Store(max(peak.Load(), liveheap.Size()))
					}
					return nil
				})
				var callers errgroup.Group
				for range requests {
					callers.Go(func() error {
						g.sendRaw()
						return nil
					})
				}
				g.Assert(callers.Wait(), qt.IsNil)
				cancel()
				g.Assert(group.Wait(), qt.IsNil)
				grown := peak.Load() - before
				g.Assert(grown < answerMemory+overhead, qt.IsTrue, qt.Commentf("heap grew by %d bytes", grown))
			})
		})
	}
}
