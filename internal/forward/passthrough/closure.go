package passthrough

import (
	"azurehitch/internal/telemetry/logging"
	"azurehitch/internal/telemetry/metrics"
	"azurehitch/internal/transport/callerconn"
)

// recordClosure records a connection of a caller that is closed without an answer to the last request on it.
func (s *Server) recordClosure(closure callerconn.Closure) {
	s.Metrics.AddLabeled(metrics.ConnectionsLost, string(closure.Loss), 1)
	s.Logs.Layer(logging.LayerForward).Info().Str("Loss", string(closure.Loss)).Str("Caller", closure.Caller).Int("BytesRead", closure.BytesRead).
		Dur("Age", closure.Age).Bool("Expired", closure.Expired).Bool("Stopping", s.drain.hasBegun()).AnErr("Cause", closure.Cause).
		Msg("connection closed without an answer")
}
