package policy

import "time"

// Policy is how long replicas are kept, and who decides it.
type Policy string

// The policies.
const (
	// Learned keeps each artifact as its own arrivals suggest, and wakes models ahead
	// of the times of day at which they were used before.
	Learned Policy = "Learned"
	// OnDemand is Learned without waking ahead.
	OnDemand Policy = "OnDemand"
	// Fixed keeps all for 10 minutes.
	Fixed Policy = "Fixed"
	// Never unloads only for room.
	Never Policy = "Never"
	// Offline knows the next arrival: it keeps a replica exactly if the price of a
	// cold start is higher than the idle time until then. It is the bound for
	// policies that load on demand.
	Offline Policy = "Offline"
	// Uncoordinated is Fixed with a decision maker in each daemon, which knows the
	// others' decisions only from the reports of the engines.
	Uncoordinated Policy = "Uncoordinated"
)

// Policies lists all.
func Policies() []Policy {
	return []Policy{Learned, OnDemand, Fixed, Never, Offline, Uncoordinated}
}

// uncoordinatedDaemons is the number of daemons that decide by themselves.
const uncoordinatedDaemons = 8

// keepOf returns how long a policy keeps replicas, and its price of a cold start.
func keepOf(s Scenario, p Policy) (keep, price time.Duration) {
	switch p {
	case Learned, OnDemand:
		return longestKeep, s.ColdStartPrice
	case Fixed, Uncoordinated:
		return fixedKeep, 0
	}
	return 365 * day, 0
}

// Result is the figures of one run. Requests are those of paying callers, after the
// scenario's warm-up, unless the name says otherwise.
type Result struct {
	Scenario string
	Policy   Policy
	Seed     uint64
	Requests int
	// Served and Refused are the requests by their end; Late were neither by their
	// deadline.
	Served  int
	Refused int
	Late    int
	// Waits are the waits of all requests, by their number, and ColdStarts those of
	// requests that found no replica ready, sorted.
	Waits      []time.Duration
	ColdStarts []time.Duration
	// IdleHours is the hours of whole servers that loaded replicas were idle.
	IdleHours float64
	Loads     int
	// LoadsAhead are the loads that nobody waited for.
	LoadsAhead int
	// ExcessReplicas are the loads above the limit of a model, and RefusedLoads those
	// for which an engine had no memory left.
	ExcessReplicas int
	RefusedLoads   int
	// PeakRemoteLoads is the most loads from the weight store at once.
	PeakRemoteLoads int
	// TrialRequests, TrialServed and TrialRefused are requests of trials.
	TrialRequests int
	TrialServed   int
	TrialRefused  int
	// TrialWaits are the waits of the served ones, sorted.
	TrialWaits []time.Duration
	// TrialsMoved are requests of trials that were cancelled to make room.
	TrialsMoved int
}

// Quantile returns a quantile of the waits of all requests, those without a wait
// included.
func (r Result) Quantile(q float64) time.Duration {
	warm := r.Requests - len(r.ColdStarts)
	index := int(q*float64(r.Requests)) - warm
	if index < 0 || len(r.ColdStarts) == 0 {
		return 0
	}
	return r.ColdStarts[min(index, len(r.ColdStarts)-1)]
}

// trialQuantile returns a quantile of the waits of the trials that were served.
func (r Result) trialQuantile(q float64) time.Duration {
	if len(r.TrialWaits) == 0 {
		return 0
	}
	return r.TrialWaits[min(int(q*float64(len(r.TrialWaits))), len(r.TrialWaits)-1)]
}

// displacement is from which difference on a request counts as displaced.
const displacement = time.Second

// Displaced returns how many requests waited longer than in a run without trials.
func (r Result) Displaced(alone Result) int {
	count := 0
	for i, wait := range r.Waits {
		if wait > alone.Waits[i]+displacement {
			count++
		}
	}
	return count
}
