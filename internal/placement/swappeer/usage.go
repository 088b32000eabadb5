package swappeer

import (
	"maps"
	"sync"
	"time"

	"azurehitch/internal/placement/speed"
	"azurehitch/internal/placement/swap"
)

// usage tracks the requests of this daemon for one service, and the answers of its holder.
type usage struct {
	mu         sync.Mutex
	inProgress map[swap.Replica]int
	// arrivals counts the requests since the last report that this daemon placed without the
	// holder, by model.
	arrivals  map[string]int
	lastGrant int64
	// pauses are the pauses in streams since the last report.
	pauses *speed.Recorder
	// withdrawn are the IDs of requests that no longer wait for a verdict, to be removed from the
	// holder's queue with the next report.
	withdrawn []string
	// reportDue is true if a report goes out at the next reportInterval even if the last report was
	// less than idleReportInterval ago.
	reportDue  bool
	reportedAt time.Time
	pinned     []swap.PinnedReplica
	pinnedAt   time.Time
	// awaited are the servers for whose slots requests waited at the last answer of the holder. freed is true
	// if a request of this daemon has ended at one of them since the last report.
	awaited map[string]bool
	freed   bool
	// answeredAt is when the holder last answered a report; zero after a failed call.
	answeredAt time.Time
	// unansweredSince is the time of the first failed call to the holder since the last answer;
	// zero while the holder answers.
	unansweredSince time.Time
	// confirmed is true if the last answer of the holder confirmed how far it has read the streams
	// that all daemons follow. The next report then goes out before that confirmation is too old.
	confirmed bool
	// changeSincePinned is, by server ID, the change in the number of this daemon's requests in
	// progress since pinned was set.
	changeSincePinned map[string]int
}

func newUsage() *usage {
	return &usage{inProgress: map[swap.Replica]int{}, arrivals: map[string]int{}, changeSincePinned: map[string]int{}, pauses: speed.NewRecorder()}
}

// takeDemand returns the demand to report and resets it, if a report is due.
func (u *usage) takeDemand(now time.Time) (demand swap.Demand, withdrawn []string, due bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	interval := idleReportInterval
	if u.confirmed {
		interval = confirmedReportInterval
	}
	if !u.reportDue && now.Sub(u.reportedAt) < interval {
		return swap.Demand{}, nil, false
	}
	demand = swap.Demand{InProgress: maps.Clone(u.inProgress), Arrivals: u.arrivals, LastGrant: u.lastGrant, Pauses: u.pauses.Take()}
	withdrawn = u.withdrawn
	u.arrivals, u.withdrawn = map[string]int{}, nil
	u.reportDue, u.freed = false, false
	u.reportedAt = now
	return demand, withdrawn, true
}

// returnDemand adds arrivals that could not be reported to those of the next report.
func (u *usage) returnDemand(demand swap.Demand) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for model, n := range demand.Arrivals {
		u.arrivals[model] += n
	}
	u.reportDue = true
}

// setAnswer records the answer of the holder to a report.
func (u *usage) setAnswer(answer swap.DemandAnswer, now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.pinned, u.pinnedAt = answer.Pinned, now
	u.awaited = map[string]bool{}
	for _, server := range answer.Awaited {
		u.awaited[server] = true
	}
	u.changeSincePinned = map[string]int{}
	u.unansweredSince = time.Time{}
}

// setReportAnswered records that the holder has answered a report, and whether it confirmed
// positions in streams.
func (u *usage) setReportAnswered(at time.Time, confirmed bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.answeredAt, u.confirmed = at, confirmed
}

// setRequestAnswered records that the holder has answered a request.
func (u *usage) setRequestAnswered() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.unansweredSince = time.Time{}
}

// setUnanswered records that the called daemon did not answer as the holder: the leases may have
// changed.
func (u *usage) setUnanswered(now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.answeredAt = time.Time{}
	if u.unansweredSince.IsZero() {
		u.unansweredSince = now
	}
}

// unansweredFor returns how long no daemon has answered as the holder.
func (u *usage) unansweredFor(now time.Time) time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.unansweredSince.IsZero() {
		return 0
	}
	return now.Sub(u.unansweredSince)
}

func (u *usage) lastAnswer() time.Time {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.answeredAt
}

func (u *usage) pinnedOf(model string, now time.Time) []swap.PinnedReplica {
	u.mu.Lock()
	defer u.mu.Unlock()
	if now.Sub(u.pinnedAt) > pinnedTTL {
		return nil
	}
	var found []swap.PinnedReplica
	for _, k := range u.pinned {
		if k.Model == model {
			k.Requests += u.changeSincePinned[k.Server]
			found = append(found, k)
		}
	}
	return found
}

func (u *usage) countArrival(model string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.arrivals[model]++
	u.reportDue = true
}

func (u *usage) addInProgress(r swap.Replica, n int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.changeSincePinned[r.Server] += n
	u.inProgress[r] += n
	if u.inProgress[r] == 0 {
		delete(u.inProgress, r)
	}
	u.reportDue = true
	u.freed = u.freed || n < 0 && u.awaited[r.Server]
}

// hasFreed reports whether a request has ended at a server for whose slots requests wait, and the holder does not know
// it yet.
func (u *usage) hasFreed() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.freed
}

// addPause adds the mean pause of a stream to the next report, which it does not make due.
func (u *usage) addPause(r swap.Replica, pause time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.pauses.Add(r.Server, r.Model, pause)
}

func (u *usage) requestReport() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.reportDue = true
}

func (u *usage) recordGrant(number int64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.lastGrant = max(u.lastGrant, number)
}

func (u *usage) withdraw(id string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.withdrawn = append(u.withdrawn, id)
	u.reportDue = true
}
