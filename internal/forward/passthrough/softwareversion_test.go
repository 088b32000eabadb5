package passthrough_test

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestStreamResumedAtAnotherSoftwareVersion(t *testing.T) {
	run := func(t *testing.T, versions []string, check func(got answer, c *qt.C)) []*backend {
		servers := []*backend{newBackend(t, streamHead+events, 0), newBackend(t, streamHead+resumed+streamEnd, 0)}
		withGateway(t, resumable, servers, func(g *gateway) {
			g.placer.versions = versions
			check(g.send("POST", "/x/y", ""), g.C)
		})
		return servers
	}
	t.Run("another version: the stream is cut", func(t *testing.T) {
		servers := run(t, []string{"v1", "v2"}, func(got answer, c *qt.C) { c.Assert(got.cut, qt.IsTrue) })
		qt.Assert(t, servers[1].requests(), qt.HasLen, 0)
	})
	t.Run("the same version: the stream goes on", func(t *testing.T) {
		run(t, []string{"v2", "v2"}, func(got answer, c *qt.C) { c.Assert(got.cut, qt.IsFalse) })
	})
}
