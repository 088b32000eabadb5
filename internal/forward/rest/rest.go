// Package rest keeps requests from backend servers that have asked for a time without any.
//
// # Usage
//
//	rests := rest.New("daemon-1", clock)
//	rests.Ask(server, 2*time.Second)
//	if end, ok := rests.Begin(server); ok {
//		defer end()
//		rests.Taken(server)
//	}
//
// A server that is full turns requests away and says for how long. When that time is over, all
// daemons would send it what has gathered meanwhile. So the end differs a little between
// daemons, and each lets one request go first; each that is taken doubles the number that may be
// under way, until the server counts like any other.
package rest

import (
	"sync"
	"time"

	"azurehitch"

	"github.com/cespare/xxhash/v2"
)

const (
	// longest bounds what is believed.
	longest = time.Minute
	// spreadPart of a rest, but longestSpread at most, is how much later some daemons come back.
	spreadPart    = 0.25
	longestSpread = 400 * time.Millisecond
	// fullReturn is the number of requests under way from which on a server counts like others.
	fullReturn = 8
	// returnTTL is how long after its rest a server counts as returning that gets no requests.
	returnTTL = 10 * time.Second
)

// State is what a server takes now.
type State string

// The states.
const (
	// StateOpen servers take requests.
	StateOpen State = "Open"
	// StateResting servers take none.
	StateResting State = "Resting"
	// StateReturning servers have rested, and have as many requests under way as they may.
	StateReturning State = "Returning"
)

// Rests knows the servers that rest, or come back from it. A new start of a server does not.
type Rests struct {
	daemon string
	clock  azurehitch.Clock

	mu      sync.Mutex
	servers map[azurehitch.ServerIdentity]*server
}

// server is one that rests or returns.
type server struct {
	until time.Time
	// allowed is the number of requests that may be under way after the rest, and underWay
	// that of those which began after it.
	allowed  int
	underWay int
}

// New returns the rests that a daemon knows: none.
func New(daemon string, clock azurehitch.Clock) *Rests {
	return &Rests{daemon: daemon, clock: clock, servers: map[azurehitch.ServerIdentity]*server{}}
}

// Ask takes in that a server wants no requests for some time. It returns until when it gets
// none; never earlier than an earlier word has it.
func (r *Rests) Ask(id azurehitch.ServerIdentity, d time.Duration) time.Time {
	d = min(d, longest)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.forget()
	s, ok := r.servers[id]
	if !ok {
		s = &server{}
		r.servers[id] = s
	}
	s.allowed = 1
	if until := r.clock.Now().Add(d + r.spread(id, d)); until.After(s.until) {
		s.until = until
	}
	return s.until
}

// spread is how much later than asked for this daemon comes back.
func (r *Rests) spread(id azurehitch.ServerIdentity, d time.Duration) time.Duration {
	const steps = 1 << 10
	widest := min(time.Duration(spreadPart*float64(d)), longestSpread)
	step := xxhash.Sum64String(r.daemon+"\x00"+id.ID) % steps
	return widest * time.Duration(step) / steps
}

// State returns what a server takes now.
func (r *Rests) State(id azurehitch.ServerIdentity) State {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state(r.servers[id])
}

func (r *Rests) state(s *server) State {
	switch {
	case s == nil, r.isOver(s):
		return StateOpen
	case r.clock.Now().Before(s.until):
		return StateResting
	case s.underWay >= s.allowed:
		return StateReturning
	}
	return StateOpen
}

// Left is how long a server still rests; 0 if it doesn't.
func (r *Rests) Left(id azurehitch.ServerIdentity) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	s, ok := r.servers[id]
	if !ok {
		return 0
	}
	return r.left(s)
}

func (r *Rests) left(s *server) time.Duration { return max(s.until.Sub(r.clock.Now()), 0) }

// List returns the servers that take no requests now.
func (r *Rests) List() []azurehitch.ServerRest {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []azurehitch.ServerRest
	for id, s := range r.servers {
		if r.state(s) != StateOpen {
			list = append(list, azurehitch.ServerRest{Server: id, Left: r.left(s)})
		}
	}
	return list
}

// Begin counts a request that goes to a server, and returns false if the server doesn't take it.
// The returned function ends it.
func (r *Rests) Begin(id azurehitch.ServerIdentity) (end func(), ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.servers[id]
	if r.state(s) != StateOpen {
		return nil, false
	}
	if s == nil {
		return func() {}, true
	}
	s.underWay++
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		s.underWay--
	}, true
}

// Taken notes that a server has taken a request.
func (r *Rests) Taken(id azurehitch.ServerIdentity) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s, ok := r.servers[id]
	if !ok || r.clock.Now().Before(s.until) {
		return
	}
	if s.allowed *= 2; s.allowed > fullReturn {
		delete(r.servers, id)
	}
}

// isOver reports whether a server has rested so long ago that it counts like others.
func (r *Rests) isOver(s *server) bool { return r.clock.Now().Sub(s.until) >= returnTTL }

// forget drops the servers that count like others.
func (r *Rests) forget() {
	for id, s := range r.servers {
		if r.isOver(s) {
			delete(r.servers, id)
		}
	}
}
