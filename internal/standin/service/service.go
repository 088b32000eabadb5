// Package service is a stand-in for a plain service, a backend that is no model engine. Tests use
// it to check that no call with an effect is run twice.
//
// # Usage
//
// The service runs each call on any path. The pool table says which calls are idempotent: usually
// GET on any path, but not POST /reminders. The answer describes the call as it was received, and
// GET /v1/journal returns how often each call was run, by its Idempotency-Key or else its
// X-Request-Id.
package service

import (
	"crypto/sha256"
	"encoding/hex"
	"maps"
	"sync"
	"time"

	"azurehitch"
	"azurehitch/internal/transport/jsonhttp"

	"github.com/valyala/fasthttp"
)

// Options configure the simulated service.
type Options struct {
	Name string
	// RunTime is the duration of each call.
	RunTime time.Duration
}

// Answer is the answer to a call. It describes the call as it was received.
type Answer struct {
	Server     string
	Method     string
	Path       string
	BodyBytes  int
	BodySHA256 string
	// Run is the number of runs of this call so far, including this one.
	Run int
}

// Service is a simulated service that counts the runs of each call.
type Service struct {
	clock   azurehitch.Clock
	options Options
	mu      sync.Mutex
	leaving bool
	// runs is the number of runs by Idempotency-Key or else X-Request-Id.
	runs map[string]int
}

// New returns a service with an empty journal.
func New(clock azurehitch.Clock, options Options) *Service {
	return &Service{clock: clock, options: options, runs: map[string]int{}}
}

// Runs returns the number of runs by Idempotency-Key or else X-Request-Id.
func (s *Service) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.runs)
}

// NewHandler serves a service over HTTP.
func NewHandler(s *Service) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		switch string(ctx.Path()) {
		case "/v1/journal":
			jsonhttp.Write(ctx, fasthttp.StatusOK, s.Runs())
		case "/v1/leaving":
			var leaving bool
			if jsonhttp.Read(ctx, &leaving) {
				s.SetLeaving(leaving)
			}
		default:
			s.serveCall(ctx)
		}
	}
}

// SetLeaving sets whether the server is shutting down and rejects calls.
func (s *Service) SetLeaving(leaving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = leaving
}

func (s *Service) serveCall(ctx *fasthttp.RequestCtx) {
	id := string(ctx.Request.Header.Peek("Idempotency-Key"))
	if id == "" {
		id = string(ctx.Request.Header.Peek("X-Request-Id"))
	}
	run, ok := s.recordRun(id)
	if !ok {
		ctx.Response.Header.Set("X-Not-Run", "Leaving")
		jsonhttp.WriteError(ctx, fasthttp.StatusServiceUnavailable, "Leaving", "server is leaving")
		return
	}
	if err := s.clock.Sleep(ctx, s.options.RunTime); err != nil {
		return
	}
	digest := sha256.Sum256(ctx.PostBody())
	jsonhttp.Write(ctx, fasthttp.StatusOK, Answer{
		Server:     s.options.Name,
		Method:     string(ctx.Method()),
		Path:       string(ctx.Path()),
		BodyBytes:  len(ctx.PostBody()),
		BodySHA256: hex.EncodeToString(digest[:]),
		Run:        run,
	})
}

// recordRun counts a run of a call and returns the number of its runs. ok is false, and
// nothing is counted, if the server is shutting down.
func (s *Service) recordRun(id string) (run int, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaving {
		return 0, false
	}
	s.runs[id]++
	return s.runs[id], true
}
