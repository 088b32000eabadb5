package serve_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"azurehitch/internal/standin/fleet"
	"azurehitch/internal/telemetry/metrics"

	qt "github.com/frankban/quicktest"
)

// TestEstimates teaches a holder that a load takes some time. A request with less than
// that is refused at once, with when to come back, and one with more is served; both
// estimates are followed up.
func TestEstimates(t *testing.T) {
	const loadTime = 600 * time.Millisecond
	options := defaultOptions()
	options.Daemons = 1
	options.LoadTime = loadTime
	withFleet(t, options, func(ctx context.Context, c *qt.C, f *fleet.Fleet) {
		ask := func(model, timeout string) fleet.Answer {
			answer, err := f.Do(ctx, 0, fleet.Request{
				Method: http.MethodPost, Path: "/v1/completions", Key: fleet.PaidKey,
				Headers: map[string]string{"Azurehitch-Timeout": timeout}, Body: fmt.Appendf(nil, `{"model":%q}`, model),
			})
			c.Assert(err, qt.IsNil)
			return answer
		}
		assertStatus(c, ask("care-note", "20s"), http.StatusOK)
		refused := ask("follow-up", "300ms")
		assertRefused(c, refused, http.StatusServiceUnavailable, "deadline_too_short", "NotRun")
		c.Assert(refused.Header.Get("Retry-After"), qt.Equals, "1")
		assertStatus(c, ask("follow-up", "20s"), http.StatusOK)
		m := f.Daemons[0].Metrics()
		c.Assert(fleet.Eventually(testTimeout/3, func() bool { return m.GetLabeled(metrics.EstimatesEnded, "Right") >= 3 }), qt.IsTrue)
		c.Assert(m.GetLabeled(metrics.EstimatesEnded, "TooShort"), qt.Equals, int64(0))
		c.Assert(m.GetLabeled(metrics.EstimatesEnded, "TooLong"), qt.Equals, int64(0))
	})
}
