package place

import (
	"slices"
	"sync"
	"time"

	"azurehitch/internal/forward/priority"
)

// waitlist holds the requests of this daemon that wait for servers of plain services, so that the first one in the
// order of service gets the next unit that becomes free. It is safe for concurrent use.
type waitlist struct {
	mu sync.Mutex
	// waiting are the requests by service. Those that may use only some servers are not among them: they wait
	// for others.
	waiting map[string][]priority.Standing
}

func newWaitlist() *waitlist { return &waitlist{waiting: map[string][]priority.Standing{}} }

// mayTry reports whether no request goes before this one.
func (l *waitlist) mayTry(r Request, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if isRestricted(r) {
		return true
	}
	own := standing(r)
	return !slices.ContainsFunc(l.waiting[r.Service.Name], func(other priority.Standing) bool {
		return other.ID != own.ID && priority.Compare(withLateness(other, now), withLateness(own, now)) < 0
	})
}

// add adds a request that has to wait.
func (l *waitlist) add(r Request) (remove func()) {
	if isRestricted(r) {
		return func() {}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	service, id := r.Service.Name, r.ID
	l.waiting[service] = append(l.waiting[service], standing(r))
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		i := slices.IndexFunc(l.waiting[service], func(s priority.Standing) bool { return s.ID == id })
		if l.waiting[service] = slices.Delete(l.waiting[service], i, i+1); len(l.waiting[service]) == 0 {
			delete(l.waiting, service)
		}
	}
}

// isRestricted reports whether a request may use only some of the servers.
func isRestricted(r Request) bool { return len(r.Avoid) > 0 || r.SoftwareVersion.IsSet }

// standing returns the position of a request in the order of service. What it takes until the answer is not known
// for plain services.
func standing(r Request) priority.Standing {
	return priority.Standing{ID: r.ID, Rank: r.Urgency, Objective: r.Objective}
}

func withLateness(s priority.Standing, now time.Time) priority.Standing {
	s.IsLate = s.MustBeLate(now)
	return s
}
