package caller

import (
	"cmp"
	"math/rand/v2"
	"sync"

	"azurehitch/internal/configuration/tables"
)

// serverLoad counts the requests of this daemon in progress on each backend server.
type serverLoad struct {
	// failureDomain is the failure domain of this daemon.
	failureDomain string
	mu            sync.Mutex
	// inFlight is keyed by server name.
	inFlight map[string]int
}

func newServerLoad(failureDomain string) *serverLoad {
	return &serverLoad{failureDomain: failureDomain, inFlight: map[string]int{}}
}

func (l *serverLoad) add(server string, n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inFlight[server] += n
}

// attempts holds the names of the servers and of the failure domains to which a request was sent.
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

// pick returns the best server for the next attempt, and false if servers is empty. It compares in
// this order: a server not yet tried, a failure domain not yet tried, fewer requests of this daemon
// in progress, a server in the daemon's own failure domain. Ties are broken at random.
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

// compare returns a negative number if a is the better server for the next attempt, 0 on a tie.
func (l *serverLoad) compare(a, b tables.BackendServer, tried *attempts) int {
	return cmp.Or(
		falseFirst(tried.servers[a.Name], tried.servers[b.Name]),
		falseFirst(tried.domains[a.FailureDomain], tried.domains[b.FailureDomain]),
		cmp.Compare(l.inFlight[a.Name], l.inFlight[b.Name]),
		falseFirst(a.FailureDomain != l.failureDomain, b.FailureDomain != l.failureDomain),
	)
}

// falseFirst compares two booleans for sorting: false comes before true.
func falseFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}
