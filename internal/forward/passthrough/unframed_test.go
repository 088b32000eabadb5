package passthrough_test

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// unframedHead begins a stream that has neither a length nor chunks and ends with its connection.
const unframedHead = "HTTP/1.1 200 OK\r\nX-Id: %ID%\r\nX-Signature: s\r\nContent-Type: text/event-stream\r\n\r\n"

func TestUnframedStreams(t *testing.T) {
	t.Run("complete", func(t *testing.T) {
		withGateway(t, stream, []*backend{newBackend(t, unframedHead+"id: 1\ndata: a\n\n", 0)}, func(g *gateway) {
			got := g.send("POST", "/x/y", "")
			g.Assert(got.cut, qt.IsFalse)
			g.Assert(got.body, qt.Equals, "id: 1\ndata: a\n\n")
			g.awaitProbableAnswer()
			g.assertEvidence(0)
		})
	})
	t.Run("an end inside an event is no end", func(t *testing.T) {
		withGateway(t, stream, []*backend{newBackend(t, unframedHead+"id: 1\ndata: a\n\nid: 2\nda", 0)}, func(g *gateway) {
			got := g.send("POST", "/x/y", "")
			g.Assert(got.cut, qt.IsTrue)
			g.Assert(got.body, qt.Equals, "id: 1\ndata: a\n\n")
		})
	})
	t.Run("an end before the first event is no answer", func(t *testing.T) {
		withGateway(t, stream, []*backend{newBackend(t, unframedHead, 0)}, func(g *gateway) {
			g.Assert(g.send("POST", "/x/y", "").status, qt.Equals, 502)
			g.assertEvidence(0, "s0")
		})
	})
	t.Run("an end inside an event resumes a resumable stream", func(t *testing.T) {
		servers := []*backend{
			newBackend(t, unframedHead+"id: 1\ndata: a\n\nid: 2\nda", 0),
			newBackend(t, unframedHead+"id: 2\ndata: b\n\n", 0),
		}
		withGateway(t, resumable, servers, func(g *gateway) {
			got := g.send("POST", "/x/y", "")
			g.Assert(got.cut, qt.IsFalse)
			g.Assert(got.body, qt.Equals, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n")
		})
	})
}
