package swapholder

import (
	"time"

	"azurehitch/internal/telemetry/logging"
)

// estimateLogInterval is the least time between two log lines with the errors of estimated waits of a kind.
const estimateLogInterval = 10 * time.Second

// logEstimates logs how well the waits for slots were estimated that ended since the last call. The caller holds
// h.mu.
func (h *holder) logEstimates(now time.Time) {
	since := now.Sub(h.estimatesLoggedAt)
	if since < estimateLogInterval {
		return
	}
	h.estimatesLoggedAt = now
	for _, e := range h.plan.EstimateErrors(now) {
		if e.Age >= since {
			continue
		}
		h.Logs.Layer(logging.LayerPlacement).Info().Str("Service", h.service).Int("Urgency", e.Urgency).
			Dur("ErrorP50", e.P50).Dur("ErrorP95", e.P95).Int("Waits", e.Count).Float64("Correction", e.Correction).
			Dur("Age", e.Age).Msg("waits estimated")
	}
}
