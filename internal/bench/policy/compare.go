package policy

import (
	"runtime"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"
)

const tail = 0.99

// Summary is a policy in a scenario: medians over the seeds, and sums where a single
// case matters.
type Summary struct {
	Scenario   string
	Policy     Policy
	Seeds      int
	Requests   int
	ColdStarts int

	ColdStartP99 time.Duration
	IdleHours    float64
	Loads        int
	LoadsAhead   int
	Refused      int
	Late         int
	// Unended is the requests that came to no end: none should.
	Unended int
	// Displaced is the requests that waited longer than without trials. It is measured
	// for the policy Learned.
	Displaced int
	// ExcessReplicas, RefusedLoads and PeakRemoteLoads are sums, and the peak, over all
	// seeds.
	ExcessReplicas  int
	RefusedLoads    int
	PeakRemoteLoads int
	TrialRequests   int
	TrialWaitP99    time.Duration
	TrialRefused    int
	TrialsMoved     int
}

// Comparison is the figures of a scenario under all policies.
type Comparison struct {
	Scenario  string
	Summaries []Summary
	// Results are the runs of each policy with the first seed, for plots.
	Results []Result `json:"-"`
}

// pair is a run, and for the policy Learned the same without trials.
type pair struct {
	result Result
	alone  Result
}

// Compare runs a scenario under all policies, with seeds from 1 on.
func Compare(s Scenario, seeds int) (Comparison, error) {
	policies := Policies()
	pairs := make([][]pair, len(policies))
	var group errgroup.Group
	group.SetLimit(runtime.GOMAXPROCS(0))
	for i, p := range policies {
		pairs[i] = make([]pair, seeds)
		for seed := range seeds {
			group.Go(func() error {
				pairs[i][seed].result = Run(s, p, uint64(seed+1))
				return nil
			})
			if p != Learned {
				continue
			}
			group.Go(func() error {
				pairs[i][seed].alone = Run(s.WithoutTrials(), p, uint64(seed+1))
				return nil
			})
		}
	}
	comparison := Comparison{Scenario: s.Name}
	if err := group.Wait(); err != nil {
		return comparison, err
	}
	for i := range policies {
		comparison.Summaries = append(comparison.Summaries, summarize(pairs[i]))
		comparison.Results = append(comparison.Results, pairs[i][0].result)
	}
	return comparison, nil
}

func summarize(pairs []pair) Summary {
	var results []Result
	for _, p := range pairs {
		results = append(results, p.result)
	}
	s := Summary{Scenario: results[0].Scenario, Policy: results[0].Policy, Seeds: len(results)}
	s.Requests = median(results, func(r Result) int { return r.Requests })
	s.ColdStarts = median(results, func(r Result) int { return len(r.ColdStarts) })
	s.ColdStartP99 = median(results, func(r Result) time.Duration { return r.Quantile(tail) })
	s.IdleHours = median(results, func(r Result) float64 { return r.IdleHours })
	s.Loads = median(results, func(r Result) int { return r.Loads })
	s.LoadsAhead = median(results, func(r Result) int { return r.LoadsAhead })
	s.TrialRequests = median(results, func(r Result) int { return r.TrialRequests })
	s.TrialWaitP99 = median(results, func(r Result) time.Duration { return r.trialQuantile(tail) })
	for _, p := range pairs {
		if s.Policy == Learned {
			s.Displaced += p.result.Displaced(p.alone)
		}
	}
	for _, r := range results {
		s.Refused += r.Refused
		s.Late += r.Late
		s.Unended += r.Requests - r.Served - r.Refused + r.TrialRequests - r.TrialServed - r.TrialRefused
		s.ExcessReplicas += r.ExcessReplicas
		s.RefusedLoads += r.RefusedLoads
		s.PeakRemoteLoads = max(s.PeakRemoteLoads, r.PeakRemoteLoads)
		s.TrialRefused += r.TrialRefused
		s.TrialsMoved += r.TrialsMoved
	}
	return s
}

func median[V int | float64 | time.Duration](results []Result, value func(Result) V) V {
	values := make([]V, 0, len(results))
	for _, r := range results {
		values = append(values, value(r))
	}
	slices.Sort(values)
	return values[len(values)/2]
}

// Summary returns the figures of one policy.
func (c Comparison) Summary(p Policy) Summary {
	i := slices.IndexFunc(c.Summaries, func(s Summary) bool { return s.Policy == p })
	return c.Summaries[i]
}
