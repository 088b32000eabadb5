package passthrough_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"azurehitch"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"
)

// endless is a server that sends the begin of an answer, and then a text again and again until
// the caller closes.
type endless struct {
	backend
	sent atomic.Int64
}

func newEndless(t *testing.T, begin, again string) *endless {
	t.Helper()
	const pieceBytes = 32 << 10
	piece := []byte(strings.Repeat(again, 1+pieceBytes/len(again)))
	e := &endless{}
	e.address = listen(t, func(conn net.Conn) { e.play(conn, begin, piece) })
	return e
}

func (e *endless) play(conn net.Conn, begin string, piece []byte) {
	defer conn.Close()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	_, err = io.WriteString(conn, strings.ReplaceAll(begin, "%ID%", request.Header.Get("X-Id")))
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

// endlessAnswers are the places in an answer at which a server may send without end.
var endlessAnswers = []struct {
	name         string
	begin, again string
	// isPassedOn is true where the caller has a part of the answer when the bound is reached.
	isPassedOn bool
}{
	{name: "before the head", begin: "", again: "\r\n"},
	{name: "the status line", begin: "HTTP/1.1 200 ", again: "O"},
	{name: "a field of the head", begin: head + "X-Long: ", again: "x"},
	{name: "fields of the head", begin: head, again: "X-More: y\r\n"},
	{name: "interim heads", begin: "", again: "HTTP/1.1 100 Continue\r\n\r\n"},
	{name: "no protocol", begin: "", again: "\x00\xff garbage"},
	{name: "the line of a chunk", begin: chunkedHead + "2;x=", again: "y"},
	{name: "small chunks", begin: chunkedHead, again: "1\r\nz\r\n", isPassedOn: true},
	{name: "trailers", begin: chunkedHead + "2\r\nok\r\n0\r\n", again: "X-More: y\r\n"},
	{name: "a body in chunks", begin: chunkedHead, again: "400\r\n" + strings.Repeat("z", 1024) + "\r\n", isPassedOn: true},
	{name: "a body with a length", begin: head + "Content-Length: 900000000000\r\n\r\n", again: "z", isPassedOn: true},
	{name: "a body without a length", begin: head + "Connection: close\r\n\r\n", again: "z", isPassedOn: true},
}

// sendRaw returns how many bytes the caller got until its connection was closed, and the status
// line.
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

// TestEndless answers servers that send bytes without end: the request ends long before its
// deadline, as its kind demands, and little is read and held.
func TestEndless(t *testing.T) {
	const timeout = 20 * time.Second
	for _, test := range endlessAnswers {
		t.Run(test.name+": a request that may run once ends without a promise", func(t *testing.T) {
			e := newEndless(t, test.begin, test.again)
			route := nonIdempotent
			route.Timeout = timeout
			withGateway(t, route, []*backend{&e.backend}, func(g *gateway) {
				began := time.Now()
				status, size := g.sendRaw()
				g.Assert(time.Since(began) < timeout/4, qt.IsTrue, qt.Commentf("took %v", time.Since(began)))
				g.Assert(size < 3*maxAnswer, qt.IsTrue, qt.Commentf("%d bytes", size))
				if !test.isPassedOn {
					g.Assert(status, qt.Contains, "502")
				}
			})
		})
		if test.isPassedOn {
			continue
		}
		t.Run(test.name+": one that may run again is answered by another server", func(t *testing.T) {
			e := newEndless(t, test.begin, test.again)
			route := idempotent
			route.Timeout = timeout
			withGateway(t, route, []*backend{&e.backend, newBackend(t, whole, 0)}, func(g *gateway) {
				status, _ := g.sendRaw()
				g.Assert(status, qt.Contains, "200")
			})
		})
	}
	t.Run("an answer that is cut at the bound does not look complete", func(t *testing.T) {
		e := newEndless(t, chunkedHead, "400\r\n"+strings.Repeat("z", 1024)+"\r\n")
		withGateway(t, idempotent, []*backend{&e.backend}, func(g *gateway) {
			g.Assert(g.send("POST", "/x/y", "").cut, qt.IsTrue)
		})
	})
	t.Run("an event: the stream goes on at another server", func(t *testing.T) {
		e := newEndless(t, streamHead+events+"400\r\n"+strings.Repeat("z", 1024)+"\r\n", "400\r\n"+strings.Repeat("z", 1024)+"\r\n")
		second := newBackend(t, streamHead+"f\r\nid: 2\ndata: b\n\n\r\n"+resumed+streamEnd, 0)
		withGateway(t, resumable, []*backend{&e.backend, second}, func(g *gateway) {
			got := g.send("POST", "/x/y", "")
			g.Assert(got.body, qt.Equals, "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n")
			g.Assert(got.cut, qt.IsFalse)
		})
	})
	t.Run("an event of a stream that may run once: cut", func(t *testing.T) {
		e := newEndless(t, streamHead+events, "400\r\n"+strings.Repeat("z", 1024)+"\r\n")
		withGateway(t, stream, []*backend{&e.backend}, func(g *gateway) {
			g.Assert(g.send("POST", "/x/y", "").cut, qt.IsTrue)
		})
	})
}

// TestLongAnswer answers sound answers that are longer than what is held: they come whole.
func TestLongAnswer(t *testing.T) {
	const size = 10 * heldAnswer
	body := strings.Repeat("0123456789abcdef", size/16)
	for name, text := range map[string]string{
		"with a length":    head + "Content-Length: 655360\r\n\r\n" + body,
		"in chunks":        chunkedHead + "a0000\r\n" + body + "\r\n0\r\n\r\n",
		"without a length": head + "Connection: close\r\n\r\n" + body,
		"held whole":       head + "Content-Length: 40000\r\n\r\n" + body[:40000],
	} {
		t.Run(name, func(t *testing.T) {
			withGateway(t, nonIdempotent, []*backend{newBackend(t, text, 0)}, func(g *gateway) {
				got := g.send("POST", "/x/y", "")
				want := body
				if name == "held whole" {
					want = body[:40000]
				}
				g.Assert(got.cut, qt.IsFalse)
				g.Assert(got.body == want, qt.IsTrue, qt.Commentf("%d bytes", len(got.body)))
			})
		})
	}
	t.Run("cut by its server", func(t *testing.T) {
		text := head + "Content-Length: 655360\r\n\r\n" + body[:300000]
		withGateway(t, nonIdempotent, []*backend{newBackend(t, text, 0)}, func(g *gateway) {
			g.Assert(g.send("POST", "/x/y", "").cut, qt.IsTrue)
		})
	})
}

// TestEndlessMemory plays the load of 60 requests at once to servers that send without end, to
// callers that read slowly: what all of them hold together stays in the bound.
func TestEndlessMemory(t *testing.T) {
	const (
		requests = 60
		// beside is what connections, their buffers and the test itself may take.
		beside = 16 << 20
	)
	for _, test := range endlessAnswers {
		t.Run(test.name, func(t *testing.T) {
			e := newEndless(t, test.begin, test.again)
			var backends []*backend
			for range requests {
				backends = append(backends, &e.backend)
			}
			route := nonIdempotent
			route.Timeout = 5 * time.Second
			withGateway(t, route, backends, func(g *gateway) {
				ctx, cancel := context.WithCancel(context.Background())
				var most atomic.Uint64
				var group errgroup.Group
				before := liveHeap()
				group.Go(func() error {
					for (azurehitch.SystemClock{}).Sleep(ctx, 20*time.Millisecond) == nil {
						most.Store(max(most.Load(), liveHeap()))
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
				grown := int64(most.Load()) - int64(before)
				g.Assert(grown < answerMemory+beside, qt.IsTrue, qt.Commentf("%d bytes more", grown))
			})
		})
	}
}

// liveHeap is the memory that is still referred to.
func liveHeap() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
