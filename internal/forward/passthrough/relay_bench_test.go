package passthrough_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"azurehitch"

	qt "github.com/frankban/quicktest"
)

// BenchmarkStreamEvents measures the cost of an event of a stream. One operation is one event.
func BenchmarkStreamEvents(b *testing.B) {
	for name, route := range map[string]azurehitch.PathRoute{"resumable": slowRoute(), "may run once": stream} {
		b.Run(name, func(b *testing.B) {
			route.Timeout = 1 << 40
			server := newCountingBackend(b, b.N)
			withGateway(b, route, []*backend{server}, func(g *gateway) {
				b.ReportAllocs()
				b.ResetTimer()
				request, err := http.NewRequest("POST", "http://"+g.address+"/x/y", nil)
				g.Assert(err, qt.IsNil)
				request.Host = "a.example"
				request.Header.Set("X-Id", "id-1")
				response, err := http.DefaultClient.Do(request)
				g.Assert(err, qt.IsNil)
				defer response.Body.Close()
				size, err := io.Copy(io.Discard, response.Body)
				g.Assert(err, qt.IsNil)
				g.Assert(size >= int64(b.N)*int64(len(firstEvent)), qt.IsTrue)
			})
		})
	}
}

// newCountingBackend starts a server that sends a stream of a number of events, each in a write of its
// own.
func newCountingBackend(t testing.TB, events int) *backend {
	t.Helper()
	server := &backend{closed: make(chan struct{}, 1)}
	server.address = listen(t, func(conn net.Conn) {
		defer conn.Close()
		request, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		if _, err := io.WriteString(conn, strings.ReplaceAll(streamHead, "%ID%", request.Header.Get("X-Id"))); err != nil {
			return
		}
		for n := range events {
			if _, err := io.WriteString(conn, chunk(fmt.Sprintf("id: %d\ndata: a\n\n", n+1))); err != nil {
				return
			}
		}
		// A failed write shows in the size that the caller gets.
		_, _ = io.WriteString(conn, streamEnd)
	})
	return server
}
