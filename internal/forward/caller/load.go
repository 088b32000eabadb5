package caller

import (
	"math/rand/v2"
	"sync"

	"azurehitch/internal/configuration/tables"
)

// serverLoad counts the requests of this daemon in progress on each backend server.
type serverLoad struct {
	mu       sync.Mutex
	inFlight map[string]int
}

func newServerLoad() *serverLoad { return &serverLoad{inFlight: map[string]int{}} }

func (l *serverLoad) add(server string, n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inFlight[server] += n
}

// pick returns the least loaded of the servers, by chance among equals, and
// prefers those that were not tried. It returns false if there are none.
func (l *serverLoad) pick(servers []tables.BackendServer, tried map[string]bool) (tables.BackendServer, bool) {
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

func (l *serverLoad) compare(a, b tables.BackendServer, tried map[string]bool) int {
	if tried[a.Name] != tried[b.Name] {
		if tried[a.Name] {
			return 1
		}
		return -1
	}
	return l.inFlight[a.Name] - l.inFlight[b.Name]
}
