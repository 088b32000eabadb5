package place

import (
	"sync"
	"time"

	"azurehitch"
)

// doubtTime is how long after a server broke off a request it may have started again without a new entry in the list.
const doubtTime = 3 * time.Second

// doubts holds the servers that have broken off requests a short time ago. Such a server may have started again under
// its id, with another software version than the one that is listed. A new entry has another identity, which is not
// doubted. It is safe for concurrent use.
type doubts struct {
	mu       sync.Mutex
	brokenAt map[azurehitch.ServerIdentity]time.Time
}

func newDoubts() *doubts { return &doubts{brokenAt: map[azurehitch.ServerIdentity]time.Time{}} }

// add records that a server has broken off a request.
func (d *doubts) add(server azurehitch.ServerIdentity, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for known, at := range d.brokenAt {
		if now.Sub(at) >= doubtTime {
			delete(d.brokenAt, known)
		}
	}
	d.brokenAt[server] = now
}

// has reports whether a server is doubted.
func (d *doubts) has(server azurehitch.ServerIdentity, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	at, ok := d.brokenAt[server]
	return ok && now.Sub(at) < doubtTime
}

// without returns the servers of a list that are not doubted, or all if all are.
func (d *doubts) without(servers []azurehitch.FleetServer, now time.Time) []azurehitch.FleetServer {
	var certain []azurehitch.FleetServer
	for _, s := range servers {
		if !d.has(s.ServerIdentity, now) {
			certain = append(certain, s)
		}
	}
	if len(certain) == 0 {
		return servers
	}
	return certain
}
