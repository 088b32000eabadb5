package place

import (
	"maps"
	"sync"
	"time"

	"azurehitch"
)

const (
	// paceTTL is how long an answer of a server says something about its response time. It also bounds how long
	// a daemon avoids a server that was slow for a moment.
	paceTTL = 5 * time.Second
	// maxPaceAge is how long a server without requests is remembered.
	maxPaceAge = time.Minute
	// paceWeight is the weight of the newest answer in the mean response time.
	paceWeight = 0.3
	// slowFactor is how many times longer than that of the fastest server a mean response time must be for its
	// server to be avoided. Below it, differences of a few answers are chance.
	slowFactor = 2
	// minAvoidTime and maxAvoidTime bound how long a server is avoided after it has rejected a request. The time
	// doubles with each further rejection until an answer.
	minAvoidTime = 500 * time.Millisecond
	maxAvoidTime = 4 * time.Second
	// slowPenalty and rejectedPenalty are added to the cost of a server: more than that of another failure
	// domain, and rejectedPenalty as much as that of a server with all slots taken.
	slowPenalty     = 0.5
	rejectedPenalty = 1
)

// paces holds what this daemon has observed of the servers that it chooses by itself: how long they take to
// answer, and whether they reject requests. Each daemon sends few requests, so its counts of them say little
// about how full a server is. It is safe for concurrent use.
type paces struct {
	mu      sync.Mutex
	servers map[azurehitch.ServerIdentity]*pace
}

// pace is what this daemon has observed of a server.
type pace struct {
	responseTime time.Duration
	answeredAt   time.Time
	// avoidTime is how long the server is avoided after rejectedAt.
	avoidTime  time.Duration
	rejectedAt time.Time
}

func newPaces() *paces { return &paces{servers: map[azurehitch.ServerIdentity]*pace{}} }

// answered records that a server took the given time to answer a request.
func (p *paces) answered(server azurehitch.ServerIdentity, took time.Duration, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.of(server, now)
	if s.isFresh(now) {
		took = time.Duration(paceWeight*float64(took) + (1-paceWeight)*float64(s.responseTime))
	}
	s.responseTime, s.answeredAt, s.avoidTime = took, now, 0
}

// rejected records that a server rejected a request without running it.
func (p *paces) rejected(server azurehitch.ServerIdentity, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.of(server, now)
	s.avoidTime, s.rejectedAt = min(max(2*s.avoidTime, minAvoidTime), maxAvoidTime), now
}

// of returns the pace of a server. It forgets servers without observations in the last maxPaceAge whenever it adds one.
func (p *paces) of(server azurehitch.ServerIdentity, now time.Time) *pace {
	s, ok := p.servers[server]
	if !ok {
		maps.DeleteFunc(p.servers, func(_ azurehitch.ServerIdentity, s *pace) bool {
			return now.Sub(s.answeredAt) > maxPaceAge && now.Sub(s.rejectedAt) > maxPaceAge
		})
		s = &pace{}
		p.servers[server] = s
	}
	return s
}

// isFresh reports whether the response time says something about the server now.
func (s *pace) isFresh(now time.Time) bool {
	return !s.answeredAt.IsZero() && now.Sub(s.answeredAt) < paceTTL
}

// penalties returns what is added to the cost of each server. It is 0 for servers without observations.
func (p *paces) penalties(servers []azurehitch.FleetServer, now time.Time) map[azurehitch.ServerIdentity]float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.servers) == 0 {
		return nil
	}
	fastest := time.Duration(0)
	for _, listed := range servers {
		if s, ok := p.servers[listed.ServerIdentity]; ok && s.isFresh(now) && (fastest == 0 || s.responseTime < fastest) {
			fastest = s.responseTime
		}
	}
	penalties := map[azurehitch.ServerIdentity]float64{}
	for _, listed := range servers {
		s, ok := p.servers[listed.ServerIdentity]
		if !ok {
			continue
		}
		if s.isFresh(now) && s.responseTime > slowFactor*fastest {
			penalties[listed.ServerIdentity] += slowPenalty
		}
		if now.Sub(s.rejectedAt) < s.avoidTime {
			penalties[listed.ServerIdentity] += rejectedPenalty
		}
	}
	return penalties
}
