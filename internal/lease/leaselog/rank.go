package leaselog

import (
	"cmp"
	"slices"

	"azurehitch/internal/membership/daemonrank"
)

// A daemon counts as full when it holds 5/4 (loadSlackNumerator / loadSlackDenominator) of the mean
// number of pools per daemon. Daemons that are not full are preferred.
const (
	loadSlackNumerator   = 5
	loadSlackDenominator = 4
)

// Load is the distribution of the leases over the daemons.
type Load struct {
	// Held is the number of leases that each daemon holds, by the name of the daemon.
	Held map[string]int
	// Pools is the number of all pools.
	Pools int
}

// bound is the number of leases at which a daemon counts as full.
func (l Load) bound(daemons int) int {
	if daemons == 0 {
		return 0
	}
	return (l.Pools*loadSlackNumerator + daemons*loadSlackDenominator - 1) / (daemons * loadSlackDenominator)
}

// Rank sorts daemons by preference for a pool: by rendezvous hashing, with full daemons last. All
// daemons that read the same log and list of hosts compute the same order.
func Rank(pool string, daemons []string, load Load) []string {
	ranking := slices.Clone(daemons)
	bound := load.bound(len(daemons))
	slices.SortFunc(ranking, func(a, b string) int {
		if fullA, fullB := load.Held[a] >= bound, load.Held[b] >= bound; fullA != fullB {
			if fullA {
				return 1
			}
			return -1
		}
		return cmp.Or(cmp.Compare(daemonrank.Weight(pool, b), daemonrank.Weight(pool, a)), cmp.Compare(a, b))
	})
	return ranking
}
