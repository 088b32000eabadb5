package swap

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// maxEstimateErrors is the number of errors of a kind that are remembered.
	maxEstimateErrors = 128
	// correctionWeight is the weight of the newest wait in the correction of a kind, and maxCorrectionStep the
	// factor by which one wait differs from its estimate at most.
	correctionWeight  = 0.1
	maxCorrectionStep = 2
	// minCorrection and maxCorrection bound the correction.
	minCorrection = 0.5
	maxCorrection = 4
	// estimateGrain is the difference between estimate and wait that is not worth a correction: grants are
	// decided and sent in steps of this order.
	estimateGrain = 50 * time.Millisecond
	// correctionTTL is how long a correction counts after the last wait.
	correctionTTL = 30 * time.Second
)

// EstimateError says how well the waits for a free slot of a kind of requests were estimated.
type EstimateError struct {
	// Urgency is the rank of the kind.
	Urgency int
	// P50 and P95 are quantiles of the difference between estimate and wait, either way, of the last Count waits
	// that ended.
	P50, P95 time.Duration
	Count    int
	// Correction is the factor by which waits were longer than estimated without it.
	Correction float64
	// Age is the time since the last wait ended.
	Age time.Duration
}

// estimates compare the estimated waits for a slot with the actual ones, by urgency of the requests. Requests that
// arrive later may be served earlier, so waits of less urgent ones are longer than the queue before them.
type estimates map[int]*estimateErrors

type estimateErrors struct {
	// logCorrection is the logarithm of the correction.
	logCorrection float64
	errors        []time.Duration
	endedAt       time.Time
}

// correction returns the factor for estimates of a kind; 1 without recent waits.
func (e estimates) correction(urgency int, now time.Time) float64 {
	kind, ok := e[urgency]
	if !ok || now.Sub(kind.endedAt) >= correctionTTL {
		return 1
	}
	return math.Exp(kind.logCorrection)
}

// ended records the end of a wait for a slot. A request that waited in vain waited for longer than it did.
func (e estimates) ended(w *waiter, isGranted bool, now time.Time) {
	waited := now.Sub(w.estimatedAt)
	if w.estimatedAt.IsZero() || !isGranted && waited < w.estimate {
		return
	}
	kind, ok := e[w.Urgency]
	if !ok {
		kind = &estimateErrors{}
		e[w.Urgency] = kind
	}
	if now.Sub(kind.endedAt) >= correctionTTL {
		*kind = estimateErrors{}
	}
	kind.endedAt = now
	if kind.errors = append(kind.errors, (waited - w.estimate).Abs()); len(kind.errors) > maxEstimateErrors {
		kind.errors = kind.errors[1:]
	}
	step := math.Log(float64(waited+estimateGrain) / float64(w.estimate+estimateGrain))
	step = min(max(step, -math.Log(maxCorrectionStep)), math.Log(maxCorrectionStep))
	kind.logCorrection = min(max(kind.logCorrection+correctionWeight*step, math.Log(minCorrection)), math.Log(maxCorrection))
}

// EstimateErrors returns the errors of the estimated waits, by urgency.
func (p *Plan) EstimateErrors(now time.Time) []EstimateError {
	var list []EstimateError
	for _, urgency := range slices.Sorted(maps.Keys(p.estimates)) {
		kind := p.estimates[urgency]
		sorted := slices.Sorted(slices.Values(kind.errors))
		list = append(list, EstimateError{
			Urgency: urgency, P50: sorted[len(sorted)/2], P95: sorted[len(sorted)*95/100], Count: len(sorted),
			Correction: math.Exp(kind.logCorrection), Age: now.Sub(kind.endedAt),
		})
	}
	return list
}
