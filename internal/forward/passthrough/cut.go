package passthrough

import "azurehitch/internal/telemetry/metrics"

// cutCause says what ended an answer before its end.
type cutCause string

// The causes of cuts. Their values are labels of the metric StreamsCut.
const (
	// cutByServer is a server that broke off its answer, where no other one went on with it.
	cutByServer cutCause = "Server"
	// cutByStop is the end of the time of a planned stop.
	cutByStop cutCause = "Stop"
	// cutByDeadline is the end of the time of the request.
	cutByDeadline cutCause = "Deadline"
)

// cutCause returns what has cut the answer to the request.
func (r *request) cutCause() cutCause {
	switch {
	case r.isPastDeadline():
		return cutByDeadline
	case r.server.lifeCtx.Err() != nil:
		return cutByStop
	default:
		return cutByServer
	}
}

// countCut counts an answer that ended before its end, and returns the cause.
func (r *request) countCut() cutCause {
	cause := r.cutCause()
	r.server.Metrics.AddLabeled(metrics.StreamsCut, string(cause), 1)
	return cause
}
