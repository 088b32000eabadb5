package passthrough_test

import (
	"testing"
	"time"

	"azurehitch/internal/telemetry/metrics"

	qt "github.com/frankban/quicktest"
)

// TestCutsByCause checks how cut streams are counted.
func TestCutsByCause(t *testing.T) {
	begun := streamHead + chunk(firstEvent)
	for cause, test := range map[string]struct {
		steps []step
		// during is called when the server has the request.
		during func(g *gateway)
	}{
		"Server":   {steps: []step{{0, begun}}},
		"Deadline": {steps: []step{{0, begun}, {5 * time.Second, streamEnd}}},
		"Stop":     {steps: []step{{0, begun}, {5 * time.Second, streamEnd}}, during: func(g *gateway) { g.server.CancelRequests() }},
	} {
		t.Run(cause, func(t *testing.T) {
			t.Parallel()
			route := stream
			route.Timeout = 600 * time.Millisecond
			server := newPausingBackend(t, test.steps...)
			withGateway(t, route, []*backend{server}, func(g *gateway) {
				got := g.sendDuring(func() {
					g.awaitRequest(server)
					time.Sleep(100 * time.Millisecond)
					if test.during != nil {
						test.during(g)
					}
				})
				g.Assert(got.cut, qt.IsTrue)
				g.awaitMetric(metrics.StreamsCut, 1)
				g.Assert(g.server.Metrics.GetLabeled(metrics.StreamsCut, cause), qt.Equals, int64(1))
			})
		})
	}
}

// awaitMetric waits until a counter has a value. A request is counted after its caller has the answer.
func (g *gateway) awaitMetric(name metrics.Name, want int64) {
	g.Helper()
	for end := time.Now().Add(time.Second); g.server.Metrics.Get(name) != want; time.Sleep(time.Millisecond) {
		g.Assert(time.Now().Before(end), qt.IsTrue)
	}
}
