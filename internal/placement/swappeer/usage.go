package swappeer

import (
	"maps"
	"sync"
	"time"

	"azurehitch/internal/placement/swap"
)

// usage is what the requests of this daemon use of one service.
type usage struct {
	mu         sync.Mutex
	inProgress map[swap.Replica]int
	arrivals   map[string]int
	lastGrant  int64
	withdrawn  []string
	dirty      bool
	reportedAt time.Time
	kept       []swap.Kept
	keptAt     time.Time
	answeredAt time.Time
	// silentSince is since when nobody has answered as the holder; zero while one answers.
	silentSince time.Time
	// vouched is true when the holder told how far it has read the streams that all follow:
	// it is asked again before that is too old.
	vouched bool
	// sinceKept is how the requests at a server changed since the last report.
	sinceKept map[string]int
}

func newUsage() *usage {
	return &usage{inProgress: map[swap.Replica]int{}, arrivals: map[string]int{}, sinceKept: map[string]int{}}
}

// takeDemand returns what is to be reported, if a report is due.
func (u *usage) takeDemand(now time.Time) (demand swap.Demand, withdrawn []string, due bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	interval := idleReportInterval
	if u.vouched {
		interval = vouchedReportInterval
	}
	if !u.dirty && now.Sub(u.reportedAt) < interval {
		return swap.Demand{}, nil, false
	}
	demand = swap.Demand{InProgress: maps.Clone(u.inProgress), Arrived: u.arrivals, LastGrant: u.lastGrant}
	withdrawn = u.withdrawn
	u.arrivals, u.withdrawn = map[string]int{}, nil
	u.dirty = false
	u.reportedAt = now
	return demand, withdrawn, true
}

// returnDemand gives back arrivals that could not be reported.
func (u *usage) returnDemand(demand swap.Demand) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for model, n := range demand.Arrived {
		u.arrivals[model] += n
	}
	u.dirty = true
}

func (u *usage) setKept(kept []swap.Kept, now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.kept, u.keptAt = kept, now
	u.sinceKept = map[string]int{}
	u.silentSince = time.Time{}
}

func (u *usage) setAnswered(at time.Time, vouched bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.answeredAt, u.vouched = at, vouched
}

// setHeard notes that the holder has answered a question.
func (u *usage) setHeard() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.silentSince = time.Time{}
}

// setUnanswered notes that who was asked did not answer as the holder: the leases may have changed.
func (u *usage) setUnanswered(now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.answeredAt = time.Time{}
	if u.silentSince.IsZero() {
		u.silentSince = now
	}
}

// silentFor is how long nobody has answered as the holder.
func (u *usage) silentFor(now time.Time) time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.silentSince.IsZero() {
		return 0
	}
	return now.Sub(u.silentSince)
}

func (u *usage) lastAnswer() time.Time {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.answeredAt
}

func (u *usage) keptOf(model string, now time.Time) []swap.Kept {
	u.mu.Lock()
	defer u.mu.Unlock()
	if now.Sub(u.keptAt) > tableTTL {
		return nil
	}
	var found []swap.Kept
	for _, k := range u.kept {
		if k.Model == model {
			k.Requests += u.sinceKept[k.Server]
			found = append(found, k)
		}
	}
	return found
}

func (u *usage) arrived(model string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.arrivals[model]++
	u.dirty = true
}

func (u *usage) change(r swap.Replica, n int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.sinceKept[r.Server] += n
	u.inProgress[r] += n
	if u.inProgress[r] == 0 {
		delete(u.inProgress, r)
	}
	u.dirty = true
}

func (u *usage) hurry() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.dirty = true
}

func (u *usage) granted(number int64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.lastGrant = max(u.lastGrant, number)
}

func (u *usage) withdraw(id string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.withdrawn = append(u.withdrawn, id)
	u.dirty = true
}
