package policy

import (
	"slices"
	"time"

	"golang.org/x/sync/errgroup"
)

const tail = 0.99

// Summary is a policy in a scenario: medians over the seeds.
type Summary struct {
	Scenario   string
	Policy     Policy
	Seeds      int
	Requests   int
	ColdStarts int

	ColdStartP99 time.Duration
	IdleHours    float64
	Loads        int
	Refused      int
	Late         int
	// Unended is the requests that came to no end: none should.
	Unended int
}

// Comparison is the figures of a scenario under all policies.
type Comparison struct {
	Scenario  string
	Summaries []Summary
	// Results are the runs of each policy with the first seed, for plots.
	Results []Result `json:"-"`
}

// Compare runs a scenario under all policies, with seeds from 1 on.
func Compare(s Scenario, seeds int) (Comparison, error) {
	policies := Policies()
	results := make([][]Result, len(policies))
	var group errgroup.Group
	for i, p := range policies {
		results[i] = make([]Result, seeds)
		for seed := range seeds {
			group.Go(func() error {
				results[i][seed] = Run(s, p, uint64(seed+1))
				return nil
			})
		}
	}
	comparison := Comparison{Scenario: s.Name}
	if err := group.Wait(); err != nil {
		return comparison, err
	}
	for i := range policies {
		comparison.Summaries = append(comparison.Summaries, summarize(results[i]))
		comparison.Results = append(comparison.Results, results[i][0])
	}
	return comparison, nil
}

func summarize(results []Result) Summary {
	s := Summary{Scenario: results[0].Scenario, Policy: results[0].Policy, Seeds: len(results)}
	s.Requests = median(results, func(r Result) int { return r.Requests })
	s.ColdStarts = median(results, func(r Result) int { return len(r.ColdStarts) })

	s.ColdStartP99 = median(results, func(r Result) time.Duration { return r.Quantile(tail) })
	s.IdleHours = median(results, func(r Result) float64 { return r.IdleHours })
	s.Loads = median(results, func(r Result) int { return r.Loads })
	for _, r := range results {
		s.Refused += r.Refused
		s.Late += r.Late
		s.Unended += r.Requests - r.Served - r.Refused
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
