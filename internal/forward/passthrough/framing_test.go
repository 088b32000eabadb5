package passthrough_test

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// wholeInChunks is whole with its body in chunks.
var wholeInChunks = strings.TrimSuffix(strings.Replace(whole, "Content-Length: 2", "Transfer-Encoding: chunked", 1), "ok") +
	"2\r\nok\r\n0\r\n\r\n"

// withVersion returns an answer with another version of the protocol.
func withVersion(answer, version string) string {
	return strings.Replace(answer, "HTTP/1.1", version, 1)
}

// TestChunksThatTheVersionLacks guards against answers whose chunks are passed on as they came, sizes and all, as the
// body: the HTTP library reads chunks of HTTP/1.1 only.
func TestChunksThatTheVersionLacks(t *testing.T) {
	for _, version := range []string{"HTTP/1.0", "HTTP/1.2", "HTTP/1.9", "HTTP/0.9", "HTTP/2.0", "HTTP/3.0", "HTTP/9.1"} {
		t.Run(version+", may run once", func(t *testing.T) {
			withGateway(t, nonIdempotent, []*backend{newBackend(t, withVersion(wholeInChunks, version), 0)}, func(g *gateway) {
				got := g.send("POST", "/x/y", "")
				g.Assert(got.status, qt.Equals, 502, qt.Commentf("body %q", got.body))
				g.Assert(got.header.Get("X-Signature"), qt.Equals, "")
			})
		})
		t.Run(version+", may be repeated", func(t *testing.T) {
			servers := []*backend{newBackend(t, withVersion(wholeInChunks, version), 0), newBackend(t, whole, 0)}
			withGateway(t, idempotent, servers, func(g *gateway) {
				got := g.send("POST", "/x/y", "")
				g.Assert(got.status, qt.Equals, 200)
				g.Assert(got.body, qt.Equals, "ok")
			})
		})
	}
	t.Run("the name in other letters", func(t *testing.T) {
		answer := strings.Replace(withVersion(wholeInChunks, "HTTP/1.0"), "Transfer-Encoding", "transfer-ENCODING", 1)
		withGateway(t, nonIdempotent, []*backend{newBackend(t, answer, 0)}, func(g *gateway) {
			g.Assert(g.send("POST", "/x/y", "").status, qt.Equals, 502)
		})
	})
}

// TestVersions checks sound answers of both versions.
func TestVersions(t *testing.T) {
	for name, answer := range map[string]string{
		"1.1, in chunks":        wholeInChunks,
		"1.0, with a length":    withVersion(whole, "HTTP/1.0"),
		"1.0, without a length": withVersion(unsizedHead+"ok", "HTTP/1.0"),
		"1.0, a longer name":    strings.Replace(withVersion(whole, "HTTP/1.0"), "Content-Length", "Transfer-Encodings: chunked\r\nContent-Length", 1),
	} {
		t.Run(name, func(t *testing.T) {
			withGateway(t, nonIdempotent, []*backend{newBackend(t, answer, 0)}, func(g *gateway) {
				got := g.send("POST", "/x/y", "")
				g.Assert(got.status, qt.Equals, 200)
				g.Assert(got.cut, qt.IsFalse)
				g.Assert(got.body, qt.Equals, "ok")
			})
		})
	}
}
