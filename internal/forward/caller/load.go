package caller

import (
	"cmp"
	"math/rand/v2"
	"sync"

	"azurehitch/internal/configuration/tables"
)

// serverLoad counts the requests of this daemon in progress on each backend server.
type serverLoad struct {
	// domain is the failure domain of this daemon.
	domain   string
	mu       sync.Mutex
	inFlight map[string]int
}

func newServerLoad(domain string) *serverLoad {
	return &serverLoad{domain: domain, inFlight: map[string]int{}}
}

func (l *serverLoad) add(server string, n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inFlight[server] += n
}

// attempts are the servers that a request was sent to.
type attempts struct {
	servers map[string]bool
	domains map[string]bool
}

func newAttempts() *attempts {
	return &attempts{servers: map[string]bool{}, domains: map[string]bool{}}
}

func (a *attempts) add(server tables.BackendServer) {
	a.servers[server.Name] = true
	a.domains[server.FailureDomain] = true
}

// pick returns the best server for the next attempt, by chance among equals: one
// that was not tried, in a failure domain that was not tried, with the least load
// of this daemon, in the daemon's own failure domain. It returns false if there
// are none.
func (l *serverLoad) pick(servers []tables.BackendServer, tried *attempts) (tables.BackendServer, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var best tables.BackendServer
	found, ties := false, 0
	for _, s := range servers {
		switch order := l.compare(s, best, tried); {
		case !found || order < 0:
			best, found, ties = s, true, 1
		case order == 0:
			ties++
			if rand.IntN(ties) == 0 {
				best = s
			}
		}
	}
	return best, found
}

func (l *serverLoad) compare(a, b tables.BackendServer, tried *attempts) int {
	return cmp.Or(
		falseFirst(tried.servers[a.Name], tried.servers[b.Name]),
		falseFirst(tried.domains[a.FailureDomain], tried.domains[b.FailureDomain]),
		cmp.Compare(l.inFlight[a.Name], l.inFlight[b.Name]),
		falseFirst(a.FailureDomain != l.domain, b.FailureDomain != l.domain),
	)
}

func falseFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}
