package passthrough_test

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestStatusAloneIsNoPromiseOfAServer(t *testing.T) {
	for _, status := range []string{"408", "429", "503"} {
		text := strings.Replace(failed, "500", status, 1)
		t.Run(status+", non-idempotent", func(t *testing.T) {
			second := newBackend(t, whole, 0)
			withGateway(t, nonIdempotent, []*backend{newBackend(t, text, 0), second}, func(g *gateway) {
				got := g.send("POST", "/x/y", "")
				g.Assert(got.status, qt.Equals, 502)
				g.Assert(got.header.Get("X-Signature"), qt.Equals, "")
				g.Assert(second.requests(), qt.HasLen, 0)
			})
		})
		t.Run(status+", idempotent", func(t *testing.T) {
			withGateway(t, idempotent, []*backend{newBackend(t, text, 0), newBackend(t, whole, 0)}, func(g *gateway) {
				g.Assert(g.send("POST", "/x/y", "").status, qt.Equals, 200)
			})
		})
	}
}
