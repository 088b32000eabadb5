// Package speed learns how fast the servers of a service are, from the pauses between the events of streams.
//
// # Usage
//
//	recorder := speed.NewRecorder()
//	recorder.Add("s1", "m", pause)
//	table := speed.NewTable()
//	table.Add(recorder.Take(), now)
//	slowness := table.Slowness("s1", now)
//
// A daemon records the pauses that it observes, and reports them to the holder of the service. Pauses depend on
// the model as well, so the holder estimates a factor for each model and one for each server. Without enough
// observations, and while servers differ little, each server has the slowness 1.
package speed

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// maxObservations bounds the replicas in one report of a daemon.
	maxObservations = 64
	// minPause and maxPause bound the pauses that count.
	minPause = 100 * time.Microsecond
	maxPause = 5 * time.Second
	// weight is the weight of an observation in the mean of a replica, and maxChange the largest factor by which
	// an observation may differ from the mean: a daemon that reports false values moves it slowly.
	weight    = 0.2
	maxChange = 2
	// observationTTL is how long the observations of a replica count. It bounds how long a server counts as slow
	// that was slow for a moment.
	observationTTL = 20 * time.Second
	// refreshInterval is how often the estimates are computed.
	refreshInterval = time.Second
	// rounds is the number of rounds in which the factors of servers and models are fitted to each other.
	rounds = 5
	// minDifference is the factor by which a server must differ from the median to count as slower or faster:
	// pauses also depend on how many requests a server has.
	minDifference = 1.4
	// maxSlowness bounds the slowness, and its inverse.
	maxSlowness = 3
)

// Observation is the mean pause between events at a replica.
type Observation struct {
	Server, Model string
	Pause         time.Duration
}

type replica struct{ server, model string }

// Recorder collects the pauses that a daemon observes. It is not safe for concurrent use.
type Recorder struct {
	sums   map[replica]time.Duration
	counts map[replica]int
}

// NewRecorder returns an empty Recorder.
func NewRecorder() *Recorder {
	return &Recorder{sums: map[replica]time.Duration{}, counts: map[replica]int{}}
}

// Add adds the mean pause of a stream.
func (r *Recorder) Add(server, model string, pause time.Duration) {
	key := replica{server: server, model: model}
	if _, ok := r.sums[key]; pause < minPause || pause > maxPause || !ok && len(r.sums) >= maxObservations {
		return
	}
	r.sums[key] += pause
	r.counts[key]++
}

// Take returns the observations since the last call.
func (r *Recorder) Take() []Observation {
	var observations []Observation
	for key, sum := range r.sums {
		observations = append(observations, Observation{Server: key.server, Model: key.model, Pause: sum / time.Duration(r.counts[key])})
	}
	clear(r.sums)
	clear(r.counts)
	return observations
}

// Table holds the slowness of the servers of a service. It is not safe for concurrent use.
type Table struct {
	replicas   map[replica]*mean
	slowness   map[string]float64
	computedAt time.Time
}

// mean is the mean of the logarithms of the pauses at a replica.
type mean struct {
	logPause  float64
	updatedAt time.Time
}

// NewTable returns a Table without observations.
func NewTable() *Table { return &Table{replicas: map[replica]*mean{}} }

// Add adds the observations in the report of a daemon.
func (t *Table) Add(observations []Observation, now time.Time) {
	for _, o := range observations[:min(len(observations), maxObservations)] {
		if o.Pause < minPause || o.Pause > maxPause {
			continue
		}
		key, logPause := replica{server: o.Server, model: o.Model}, math.Log(float64(o.Pause))
		known, ok := t.replicas[key]
		if !ok || now.Sub(known.updatedAt) >= observationTTL {
			t.replicas[key] = &mean{logPause: logPause, updatedAt: now}
			continue
		}
		change := min(max(logPause-known.logPause, -math.Log(maxChange)), math.Log(maxChange))
		known.logPause += weight * change
		known.updatedAt = now
	}
}

// Slowness returns how long a server takes for a step, as a multiple of what the median of the servers takes.
func (t *Table) Slowness(server string, now time.Time) float64 {
	if now.Sub(t.computedAt) >= refreshInterval {
		t.compute(now)
	}
	if slowness, ok := t.slowness[server]; ok {
		return slowness
	}
	return 1
}

// compute estimates the slowness of all servers with observations.
func (t *Table) compute(now time.Time) {
	t.computedAt = now
	maps.DeleteFunc(t.replicas, func(_ replica, m *mean) bool { return now.Sub(m.updatedAt) >= observationTTL })
	servers, models := map[string]float64{}, map[string]float64{}
	for range rounds {
		models = t.fit(meanOf, func(r replica) (key string, other float64) { return r.model, servers[r.server] })
		// The median ignores a few models of a server that other daemons reported falsely.
		servers = t.fit(medianOf, func(r replica) (key string, other float64) { return r.server, models[r.model] })
	}
	t.slowness = map[string]float64{}
	median := medianOf(slices.Collect(maps.Values(servers)))
	for server, factor := range servers {
		slowness := math.Exp(factor - median)
		if slowness > minDifference || slowness < 1/minDifference {
			t.slowness[server] = min(max(slowness, 1.0/maxSlowness), maxSlowness)
		}
	}
}

// fit returns the factors of servers or models: for each key, the center of the pauses at its replicas after the
// factor of the other key is taken out.
func (t *Table) fit(center func(values []float64) float64, split func(r replica) (key string, other float64)) map[string]float64 {
	values := map[string][]float64{}
	for r, m := range t.replicas {
		key, other := split(r)
		values[key] = append(values[key], m.logPause-other)
	}
	factors := map[string]float64{}
	for key, list := range values {
		factors[key] = center(list)
	}
	return factors
}

func meanOf(values []float64) float64 {
	// The order of additions changes the result in the last digits.
	slices.Sort(values)
	sum := 0.0
	for _, value := range values {
		sum += value
	}
	return sum / float64(len(values))
}

// medianOf returns the median, or 0 without values.
func medianOf(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return (values[(len(values)-1)/2] + values[len(values)/2]) / 2
}
