package metrics

import (
	"cmp"
	"expvar"
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/valyala/fasthttp"
)

const (
	// shortestTime and longestTime are the range of histograms. Shorter times are recorded as
	// shortestTime, and longer ones as longestTime.
	shortestTime = time.Microsecond
	longestTime  = 2 * time.Minute
	// histogramDigits is the number of significant decimal digits of recorded values.
	histogramDigits = 2
	// maxHistograms bounds the number of histograms, and so their memory. Once it is reached, times
	// with a new label are recorded in one histogram per name, with the label otherLabel.
	maxHistograms = 64
	otherLabel    = "Other"
)

// quantiles are the quantiles that WriteText writes, in percent.
var quantiles = []float64{50, 90, 99, 100}

// series identifies a histogram.
type series struct {
	name  Name
	label string
}

// histograms holds the histograms of one daemon.
type histograms struct {
	mu     sync.Mutex
	values map[series]*hdrhistogram.Histogram
}

func newHistograms() *histograms {
	return &histograms{values: map[series]*hdrhistogram.Histogram{}}
}

func (h *histograms) observe(name Name, label string, took time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	key := series{name: name, label: label}
	histogram, ok := h.values[key]
	if !ok && len(h.values) >= maxHistograms {
		key.label = otherLabel
		histogram, ok = h.values[key]
	}
	if !ok {
		histogram = hdrhistogram.New(shortestTime.Microseconds(), longestTime.Microseconds(), histogramDigits)
		h.values[key] = histogram
	}
	// The value is within the range of the histogram.
	_ = histogram.RecordValue(min(max(took, shortestTime), longestTime).Microseconds())
}

// Observe records a duration in the histogram of a name and label.
func (m *Metrics) Observe(name Name, label string, took time.Duration) {
	m.times.observe(name, label, took)
}

// TextHandler serves the output of WriteText.
func (m *Metrics) TextHandler() fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		ctx.SetContentType("text/plain; charset=utf-8")
		m.WriteText(ctx)
	}
}

// WriteText writes the variables and the quantiles of the histograms as text, one per line. Times
// are in seconds.
func (m *Metrics) WriteText(w io.Writer) {
	for _, values := range []*expvar.Map{m.values, m.labeled} {
		values.Do(func(kv expvar.KeyValue) { fmt.Fprintf(w, "%s %s\n", kv.Key, kv.Value) })
	}
	m.times.mu.Lock()
	defer m.times.mu.Unlock()
	keys := slices.SortedFunc(maps.Keys(m.times.values), func(a, b series) int {
		return cmp.Or(cmp.Compare(a.name, b.name), cmp.Compare(a.label, b.label))
	})
	for _, key := range keys {
		histogram := m.times.values[key]
		fmt.Fprintf(w, "%s{Label=%q}.Count %d\n", key.name, key.label, histogram.TotalCount())
		for _, q := range quantiles {
			took := time.Duration(histogram.ValueAtPercentile(q)) * time.Microsecond
			fmt.Fprintf(w, "%s{Label=%q}.P%g %.6f\n", key.name, key.label, q, took.Seconds())
		}
	}
}
