// Package fault switches failures of the stand-ins on and off over HTTP.
//
// # Usage
//
//	faults := fault.NewSet()
//	server.Handler = faults.Wrap(handler)
//
// PUT /faults with a JSON list of faults replaces the set, and GET /faults shows
// it:
//
//	[{"Kind":"Down"},{"Kind":"Slow","Delay":"5s","Caller":"daemon-1"}]
package fault

import (
	"net"
	"strings"
	"sync"
	"time"

	"azurehitch"
	"azurehitch/internal/transport/jsonhttp"

	"github.com/valyala/fasthttp"
)

// Path is where the faults of a stand-in are read and set.
const Path = "/faults"

// Kind is a kind of failure.
type Kind string

// The kinds of failures.
const (
	// KindDown closes the connection before the request takes effect.
	KindDown Kind = "Down"
	// KindSlow delays the request before it takes effect.
	KindSlow Kind = "Slow"
	// KindLoseAnswer closes the connection after the request took effect.
	KindLoseAnswer Kind = "LoseAnswer"
	// KindFreeze holds the request until the fault is taken back.
	KindFreeze Kind = "Freeze"
	// KindCutBody closes the connection in the middle of a body that is not a stream.
	KindCutBody Kind = "CutBody"
	// KindCutStream closes the connection after some events of a stream.
	KindCutStream Kind = "CutStream"
)

const freezePoll = 10 * time.Millisecond

// Fault is one failure in force.
type Fault struct {
	Kind  Kind
	Delay azurehitch.Duration
	// Caller limits the fault to requests of one user agent; empty means all.
	Caller string
	// PathPrefix limits the fault to some paths; empty means all.
	PathPrefix string
	// Method limits the fault to one HTTP method; empty means all.
	Method string
	// After is the number of events before a stream is cut.
	After int
	// Count is how many requests it hits before it ends; 0 means no end.
	Count int
}

// Set is the faults in force.
type Set struct {
	mu     sync.Mutex
	faults []Fault
}

// NewSet returns a set without faults.
func NewSet() *Set { return &Set{} }

// Replace sets the faults in force.
func (s *Set) Replace(faults ...Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = append([]Fault(nil), faults...)
}

// Take returns whether a fault of the kind hits the request, and uses it up by one.
func (s *Set) Take(kind Kind, caller, method, path string) (Fault, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, f := range s.faults {
		if !f.hits(kind, caller, method, path) {
			continue
		}
		s.consume(i)
		return f, true
	}
	return Fault{}, false
}

func (f Fault) hits(kind Kind, caller, method, path string) bool {
	return f.Kind == kind &&
		(f.Caller == "" || f.Caller == caller) &&
		(f.Method == "" || f.Method == method) &&
		strings.HasPrefix(path, f.PathPrefix)
}

func (s *Set) consume(i int) {
	if s.faults[i].Count == 0 {
		return
	}
	s.faults[i].Count--
	if s.faults[i].Count == 0 {
		s.faults = append(s.faults[:i], s.faults[i+1:]...)
	}
}

// Wrap returns a handler that applies the faults and serves Path.
func (s *Set) Wrap(next fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		if string(ctx.Path()) == Path {
			s.serve(ctx)
			return
		}
		caller, method, path := string(ctx.UserAgent()), string(ctx.Method()), string(ctx.Path())
		if _, hit := s.Take(KindDown, caller, method, path); hit {
			DropConnection(ctx)
			return
		}
		if f, hit := s.Take(KindSlow, caller, method, path); hit {
			time.Sleep(f.Delay.Std())
		}
		s.waitFrozen(caller, method, path)
		next(ctx)
		if _, hit := s.Take(KindLoseAnswer, caller, method, path); hit {
			DropConnection(ctx)
		}
	}
}

func (s *Set) waitFrozen(caller, method, path string) {
	for {
		if _, hit := s.Take(KindFreeze, caller, method, path); !hit {
			return
		}
		time.Sleep(freezePoll)
	}
}

func (s *Set) serve(ctx *fasthttp.RequestCtx) {
	if ctx.IsPut() {
		var faults []Fault
		if jsonhttp.Read(ctx, &faults) {
			s.Replace(faults...)
			jsonhttp.Write(ctx, fasthttp.StatusOK, faults)
		}
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	jsonhttp.Write(ctx, fasthttp.StatusOK, s.faults)
}

// DropConnection closes the connection of a request without an answer.
func DropConnection(ctx *fasthttp.RequestCtx) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(closeHijacked)
}

func closeHijacked(net.Conn) {}
