package passthrough_test

import (
	"cmp"
	"context"
	"sync"
	"testing"

	"azurehitch"
	"azurehitch/internal/forward/streams"

	qt "github.com/frankban/quicktest"
)

// testStreams is a Streams that returns fixed results, and records what began.
type testStreams struct {
	mu    sync.Mutex
	bound azurehitch.VersionBound
	// service is where streams go on that are taken up; empty for the one that the route chooses.
	service string
	err     error
	// began are the versions with which streams began, and asked are the IDs passed to Bound.
	began []string
	asked []string
}

// Began implements passthrough.Streams.
func (s *testStreams) Began(requestID string, origin streams.Origin, _ int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.began = append(s.began, requestID+" "+origin.Version)
}

// Confirmed implements passthrough.Streams.
func (s *testStreams) Confirmed(requestID string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.began = append(s.began, requestID+" confirmed")
}

// Bound implements passthrough.Streams.
func (s *testStreams) Bound(_ context.Context, resumption streams.Resumption) (streams.Bound, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.asked = append(s.asked, resumption.ID)
	return streams.Bound{Service: cmp.Or(s.service, resumption.Service), VersionBound: s.bound}, s.err
}

// assertBound checks to which version the last attempt was bound.
func (g *gateway) assertBound(want azurehitch.VersionBound) {
	g.Helper()
	g.placer.mu.Lock()
	defer g.placer.mu.Unlock()
	g.Assert(g.placer.bound, qt.Equals, want)
}

// assertStreams checks which streams began, and after which ones the gateway asked.
func (g *gateway) assertStreams(began, asked []string) {
	g.Helper()
	g.streams.mu.Lock()
	defer g.streams.mu.Unlock()
	g.Assert(g.streams.began, qt.DeepEquals, began)
	g.Assert(g.streams.asked, qt.DeepEquals, asked)
}

func TestStreamResumedAtAnotherSoftwareVersion(t *testing.T) {
	run := func(t *testing.T, versions []string, check func(got answer, c *qt.C)) []*backend {
		servers := []*backend{newBackend(t, streamHead+events, 0), newBackend(t, streamHead+resumed+streamEnd, 0)}
		withGateway(t, resumable, servers, func(g *gateway) {
			g.placer.versions = versions
			check(g.send("POST", "/x/y", ""), g.C)
			g.assertBound(azurehitch.VersionBound{IsSet: true, Version: versions[0]})
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

// TestStreamsTakenUpAgain checks requests whose callers take up a stream that another attempt began.
func TestStreamsTakenUpAgain(t *testing.T) {
	v1 := azurehitch.VersionBound{IsSet: true, Version: "v1"}
	taken := map[string]string{"X-Last": "2", "X-Resumes": "first"}
	t.Run("goes on at the version that began it", func(t *testing.T) {
		withGateway(t, resumable, []*backend{newBackend(t, streamHead+resumed+streamEnd, 0)}, func(g *gateway) {
			g.streams.bound, g.placer.versions = v1, []string{"v1"}
			g.Assert(g.sendWith("POST", "/x/y", "", taken).status, qt.Equals, 200)
			g.assertStreams(nil, []string{"first"})
			g.assertBound(v1)
		})
	})
	t.Run("goes on at the service that began it", func(t *testing.T) {
		withGateway(t, resumable, []*backend{newBackend(t, streamHead+resumed+streamEnd, 0)}, func(g *gateway) {
			g.streams.service = "llm-b"
			g.Assert(g.sendWith("POST", "/x/y", "", taken).status, qt.Equals, 200)
			g.Assert(g.placer.service, qt.Equals, "llm-b")
			g.Assert(g.budget.earnedFor.Load(), qt.Equals, "llm-b")
		})
	})
	t.Run("reaches no server of another version", func(t *testing.T) {
		server := newBackend(t, streamHead+resumed+streamEnd, 0)
		withGateway(t, resumable, []*backend{server}, func(g *gateway) {
			g.streams.bound, g.placer.versions = v1, []string{"v2"}
			g.Assert(g.sendWith("POST", "/x/y", "", taken).status, qt.Equals, 503)
			g.Assert(server.requests(), qt.HasLen, 0)
			// A request that is not sent is no trial of a held part.
			g.Assert(g.quarantine.begun(), qt.Equals, 0)
		})
	})
	t.Run("is refused if the version is not known", func(t *testing.T) {
		server := newBackend(t, streamHead+resumed+streamEnd, 0)
		withGateway(t, resumable, []*backend{server}, func(g *gateway) {
			g.streams.err = azurehitch.Refuse(azurehitch.CodeNoCapacity, "unknown")
			g.Assert(g.sendWith("POST", "/x/y", "", taken).status, qt.Equals, 503)
			g.Assert(server.requests(), qt.HasLen, 0)
		})
	})
	t.Run("a new stream is recorded with each server it is sent to", func(t *testing.T) {
		servers := []*backend{newBackend(t, silent, 0), newBackend(t, streamHead+events+lastEvents+streamEnd, 0)}
		withGateway(t, resumable, servers, func(g *gateway) {
			g.placer.versions = []string{"v1", "v2"}
			g.Assert(g.send("POST", "/x/y", "").status, qt.Equals, 200)
			g.assertStreams([]string{"id-1 v1", "id-1 v2", "id-1 confirmed"}, nil)
		})
	})
}
