// Package rejectbudget limits the requests that brittle backend servers have to reject. A brittle server
// falls over once it has to reject more than a number of requests within a second, its allowance, for lack
// of capacity. The requests of all daemons count.
//
// # Usage
//
//	tracker := rejectbudget.New(dependencies)
//	if end, ok := tracker.Begin(server, waited); ok {
//		defer end()
//		tracker.Answered(server, rejectbudget.Answer{Notice: notice, Rejected: true, SentAt: sentAt})
//	}
//
// The slots of a server and most of its allowance are its units. All daemons divide them alike, so each knows how many
// are its own without asking the others. A request holds a unit while it is in progress. If
// it is rejected, it holds the unit for a further rejectionWindow. A full server has at least as many requests
// in progress as slots, so the other units bound the rejected requests, whatever the server lets wait. The
// daemons together therefore stay within the allowance as long as they know each other.
//
// If there are fewer units than daemons, those without one use one server of the service each, one request at
// a time, and stop for homePause after a rejection.
//
// The servers of a service are brittle together: an answer of one of them also counts for the others from
// which no answer came meanwhile. While a daemon has had no answer of a service for statementTTL, it begins
// with one request at each server, and the others wait for the first answer.
package rejectbudget

import (
	"sync"
	"time"

	"azurehitch"
)

const (
	// rejectionWindow is how long a rejection counts. It is longer than the second of the server, since
	// answers take different times to arrive.
	rejectionWindow = 1500 * time.Millisecond
	// answerTTL is how long the last answer of a server goes before later ones of the other servers of its
	// service.
	answerTTL = time.Second
	// statementTTL is how long it is certain that a service which was not brittle lets as many requests wait
	// as before: servers name their allowance at least three seconds earlier.
	statementTTL = 2500 * time.Millisecond
	// maxStatementWait is how long a request waits for the first answer of a service.
	maxStatementWait = 200 * time.Millisecond
	// idleTTL is how long a server without requests is remembered.
	idleTTL = 5 * time.Minute
)

// Observer receives changes of brittleness.
type Observer interface {
	// BrittlenessChanged is called with the brittleness of a server when it changes. It must not call the
	// tracker.
	BrittlenessChanged(server azurehitch.ServerIdentity, b Brittleness)
	// BrittleServerRejected is called when a brittle server has rejected a request. It must not call the
	// tracker.
	BrittleServerRejected(server azurehitch.ServerIdentity)
}

// Brittleness is what the answers of a server state.
type Brittleness struct {
	IsBrittle bool
	// Allowance is the number of requests that a brittle server can reject within a second.
	Allowance int
}

// Answer is what a daemon learns from the head of a server's answer.
type Answer struct {
	Notice azurehitch.ServerNotice
	// Rejected is true if the server rejected the request for lack of capacity.
	Rejected bool
	SentAt   time.Time
}

// Dependencies holds what a Tracker needs. Self is the name of this daemon.
type Dependencies struct {
	Self string
	// Daemons returns the names of all daemons, with this one; none while they are unknown.
	Daemons func() []string
	// Server returns the listed server with an ID, and Service all listed servers of a service.
	Server   func(id string) (azurehitch.FleetServer, bool)
	Service  func(name string) []azurehitch.FleetServer
	Clock    azurehitch.Clock
	Observer Observer
}

// statement is the brittleness that an answer stated.
type statement struct {
	Brittleness
	// sentAt is when the request was sent; zero without an answer.
	sentAt time.Time
}

// isKnown reports whether the statement still holds.
func (s statement) isKnown(now time.Time) bool {
	return !s.sentAt.IsZero() && (s.IsBrittle || now.Sub(s.sentAt) < statementTTL)
}

// server is the state of one incarnation of a server.
type server struct {
	statement
	inProgress int
	// rejectedAt are the times of the rejections within rejectionWindow.
	rejectedAt     []time.Time
	lastRejectedAt time.Time
	usedAt         time.Time
}

// Tracker tracks the requests of this daemon at servers. It is safe for concurrent use.
type Tracker struct {
	Dependencies

	mu      sync.Mutex
	servers map[azurehitch.ServerIdentity]*server
	// services are the newest statements of any server, by service.
	services map[string]statement
	// shares are the units of brittle servers that this daemon may use, by service.
	shares  map[string]shares
	sweptAt time.Time
}

// New returns a tracker without requests.
func New(dependencies Dependencies) *Tracker {
	return &Tracker{
		Dependencies: dependencies,
		servers:      map[azurehitch.ServerIdentity]*server{}, services: map[string]statement{}, shares: map[string]shares{},
	}
}

// Begin counts a request to a server as in progress until end is called. It returns false if the request
// must not be sent now. The request has waited for that long.
func (t *Tracker) Begin(id azurehitch.ServerIdentity, waited time.Duration) (end func(), ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.hasUnit(id, waited) {
		return nil, false
	}
	return t.add(id), true
}

// BeginGranted is Begin for a request that the holder of the service has granted. Grants stay within the
// slots of all daemons together.
func (t *Tracker) BeginGranted(id azurehitch.ServerIdentity) (end func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.add(id)
}

// IsBrittle reports whether a server is known to be brittle.
func (t *Tracker) IsBrittle(id azurehitch.ServerIdentity) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	listed, ok := t.Server(id.ID)
	return ok && t.current(id, listed.Service, t.Clock.Now()).IsBrittle
}

// IsHeld reports whether a new request to a server has to wait until this daemon has a unit of it.
func (t *Tracker) IsHeld(id azurehitch.ServerIdentity) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.hasUnit(id, 0)
}

// Answered records the head of an answer.
func (t *Tracker) Answered(id azurehitch.ServerIdentity, a Answer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	stated := statement{sentAt: a.SentAt, Brittleness: Brittleness{IsBrittle: a.Notice.Brittle, Allowance: a.Notice.MaxRejections}}
	s := t.server(id)
	if a.SentAt.After(s.sentAt) {
		t.state(id, s, stated)
	}
	if !a.Rejected {
		return
	}
	now := t.Clock.Now()
	s.rejectedAt, s.lastRejectedAt = append(s.recentRejections(now), now), now
	if s.IsBrittle {
		t.Observer.BrittleServerRejected(id)
	}
}

// state replaces the statement of a server, and that of its service unless it is newer. The caller holds
// t.mu.
func (t *Tracker) state(id azurehitch.ServerIdentity, s *server, stated statement) {
	if s.Brittleness != stated.Brittleness {
		t.Observer.BrittlenessChanged(id, stated.Brittleness)
	}
	s.statement = stated
	listed, ok := t.Server(id.ID)
	if ok && stated.sentAt.After(t.services[listed.Service].sentAt) {
		t.services[listed.Service] = stated
	}
}

// add counts a request. The caller holds t.mu.
func (t *Tracker) add(id azurehitch.ServerIdentity) (end func()) {
	t.removeIdle()
	s := t.server(id)
	s.inProgress++
	return sync.OnceFunc(func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		s.inProgress--
		s.usedAt = t.Clock.Now()
	})
}

// server returns the state of a server. The caller holds t.mu.
func (t *Tracker) server(id azurehitch.ServerIdentity) *server {
	s, ok := t.servers[id]
	if !ok {
		s = &server{}
		t.servers[id] = s
	}
	s.usedAt = t.Clock.Now()
	return s
}

// removeIdle removes the servers without requests for idleTTL. The caller holds t.mu.
func (t *Tracker) removeIdle() {
	now := t.Clock.Now()
	if now.Sub(t.sweptAt) < idleTTL {
		return
	}
	t.sweptAt = now
	for id, s := range t.servers {
		if s.inProgress == 0 && now.Sub(s.usedAt) >= idleTTL {
			delete(t.servers, id)
		}
	}
}

// recentRejections returns the rejections that still count.
func (s *server) recentRejections(now time.Time) []time.Time {
	for len(s.rejectedAt) > 0 && now.Sub(s.rejectedAt[0]) >= rejectionWindow {
		s.rejectedAt = s.rejectedAt[1:]
	}
	return s.rejectedAt
}
