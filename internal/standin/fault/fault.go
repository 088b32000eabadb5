// Package fault injects failures into the HTTP servers of the stand-ins. Tests set the failures in
// process or over HTTP.
//
// # Usage
//
//	faults := fault.NewSet()
//	server.Handler = faults.Wrap(handler)
//
// PUT /faults replaces the set by a JSON list of faults, and GET /faults returns it:
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

// Path is the path at which the faults of a stand-in are read and set.
const Path = "/faults"

// Kind is a kind of failure.
type Kind string

// The values are those of Fault.Kind in JSON.
const (
	// KindDown closes the connection before the request takes effect.
	KindDown Kind = "Down"
	// KindSlow delays the request before it takes effect.
	KindSlow Kind = "Slow"
	// KindLoseAnswer closes the connection after the request took effect.
	KindLoseAnswer Kind = "LoseAnswer"
	// KindFreeze delays the request until the fault is removed or used up.
	KindFreeze Kind = "Freeze"
	// KindCutBody closes the connection after half of a body that is not a stream.
	KindCutBody Kind = "CutBody"
	// KindCutStream closes the connection of a stream after Fault.After events.
	KindCutStream Kind = "CutStream"
)

const freezePollInterval = 10 * time.Millisecond

// Fault is an injected failure with the requests to which it applies.
type Fault struct {
	Kind Kind
	// Delay is the delay of KindSlow.
	Delay azurehitch.Duration
	// Caller limits the fault to requests of one user agent; empty means all.
	Caller string
	// PathPrefix limits the fault to paths with this prefix; empty means all.
	PathPrefix string
	// Method limits the fault to one HTTP method; empty means all.
	Method string
	// After is the number of events that KindCutStream lets through.
	After int
	// Count is the number of requests to which the fault applies; 0 means no limit. With
	// KindFreeze, each frozen request polls every 10 ms, and Count is the number of polls of all
	// requests.
	Count int
}

// Set is a set of active faults.
type Set struct {
	mu     sync.Mutex
	faults []Fault
}

// NewSet returns a set without faults.
func NewSet() *Set { return &Set{} }

// Replace replaces the active faults.
func (s *Set) Replace(faults ...Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = append([]Fault(nil), faults...)
}

// Take returns the first fault of a kind that applies to a request, and whether there is
// one. It decrements the remaining count of the fault.
func (s *Set) Take(kind Kind, caller, method, path string) (Fault, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, f := range s.faults {
		if !f.appliesTo(kind, caller, method, path) {
			continue
		}
		s.decrement(i)
		return f, true
	}
	return Fault{}, false
}

func (f Fault) appliesTo(kind Kind, caller, method, path string) bool {
	return f.Kind == kind &&
		(f.Caller == "" || f.Caller == caller) &&
		(f.Method == "" || f.Method == method) &&
		strings.HasPrefix(path, f.PathPrefix)
}

// decrement lowers the remaining count of a fault, and removes the fault at 0.
func (s *Set) decrement(i int) {
	if s.faults[i].Count == 0 {
		return
	}
	s.faults[i].Count--
	if s.faults[i].Count == 0 {
		s.faults = append(s.faults[:i], s.faults[i+1:]...)
	}
}

// Wrap returns a handler that serves Path and applies the active faults to other
// requests. The handler next applies KindCutBody and KindCutStream itself.
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
		s.waitWhileFrozen(caller, method, path)
		next(ctx)
		if _, hit := s.Take(KindLoseAnswer, caller, method, path); hit {
			DropConnection(ctx)
		}
	}
}

func (s *Set) waitWhileFrozen(caller, method, path string) {
	for {
		if _, hit := s.Take(KindFreeze, caller, method, path); !hit {
			return
		}
		time.Sleep(freezePollInterval)
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

// DropConnection closes the connection of a request without sending an answer.
func DropConnection(ctx *fasthttp.RequestCtx) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(closeHijacked)
}

func closeHijacked(net.Conn) {}
