package sharedlimit_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"azurehitch/internal/allowance/sharedlimit"
	"azurehitch/internal/proof/liveheap"
)

// BenchmarkTake measures a request with its part of the messages, and the memory for each limit in use, at a daemon
// that has all traffic and is the coordinator too.
func BenchmarkTake(b *testing.B) {
	for _, accounts := range []int{16, 1000, 100_000} {
		b.Run(fmt.Sprintf("%d accounts", accounts), func(b *testing.B) {
			names := make([]string, accounts)
			for i := range names {
				names[i] = fmt.Sprintf("account-%d", i)
			}
			limit := sharedlimit.Limit{PerSecond: 1e6, Burst: 1e6}
			now, random := time.Unix(1000, 0), rand.New(rand.NewPCG(1, 1))
			before := liveheap.Size()
			lender := sharedlimit.NewLender("a", 1, now)
			coordinator := sharedlimit.NewCoordinator(1, func(string) (sharedlimit.Limit, bool) { return limit, true })
			lender.SetActive(true)
			lender.SetFleet(now, sharedlimit.Fleet{Daemons: 1, Candidates: []string{"a"}})
			exchange := func() {
				for _, m := range lender.Due(now) {
					lender.Answered(now, m.To, m.Report.Sequence, coordinator.Handle(now, m.Report))
				}
			}
			take := func(name string) { lender.Take(now, name, limit, 1) }
			for range 500 {
				now = now.Add(10 * time.Millisecond)
				exchange()
			}
			for i, name := range names {
				take(name)
				if i%1000 == 0 {
					now = now.Add(10 * time.Millisecond)
					exchange()
				}
			}
			memory := liveheap.Size() - before
			b.ReportAllocs()
			const requestsPerMessage = 500
			for i := 0; b.Loop(); i++ {
				if i%requestsPerMessage == 0 {
					now = now.Add(10 * time.Millisecond)
					exchange()
				}
				take(names[random.IntN(accounts)])
			}
			b.ReportMetric(float64(memory)/float64(accounts), "B/account")
		})
	}
}
