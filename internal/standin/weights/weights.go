// Package weights is a stand-in for the platform's rate-limited weight store.
//
// # Usage
//
//	store := weights.New(clock, weights.Options{LoadsPerSecond: 7, ConcurrentLoads: 4, LoadTime: time.Second})
//	err := store.Load(ctx, artifact) // returns when the checkpoint has arrived
//
// Over HTTP: GET /v1/limits, POST /v1/loads with an artifact, GET /v1/usage and
// PUT /v1/slowdown with a factor.
package weights

import (
	"context"
	"sync"
	"time"

	"azurehitch"

	"golang.org/x/time/rate"
)

// Options are the limits and speeds of the store.
type Options struct {
	LoadsPerSecond  float64
	ConcurrentLoads int
	// LoadTime is the time of one load at full speed.
	LoadTime time.Duration
	// AdapterLoadTime is the time of one adapter load at full speed.
	AdapterLoadTime time.Duration
	// ConcurrentAdapters is the number of adapter loads at full speed.
	ConcurrentAdapters int
}

// Usage is what the store has done for one kind of checkpoint.
type Usage struct {
	Loads        int
	InFlight     int
	PeakInFlight int
}

// Store is the weight store in memory.
type Store struct {
	clock    azurehitch.Clock
	options  Options
	limiter  *rate.Limiter
	mu       sync.Mutex
	models   lane
	adapters lane
	slowdown float64
}

// lane is the loads of one kind of checkpoint, which share a limit.
type lane struct {
	fullSpeed int
	loadTime  time.Duration
	usage     Usage
}

// New returns a store.
func New(clock azurehitch.Clock, options Options) *Store {
	return &Store{
		clock:    clock,
		options:  options,
		limiter:  rate.NewLimiter(rate.Limit(options.LoadsPerSecond), 1),
		models:   lane{fullSpeed: options.ConcurrentLoads, loadTime: options.LoadTime},
		adapters: lane{fullSpeed: options.ConcurrentAdapters, loadTime: options.AdapterLoadTime},
		slowdown: 1,
	}
}

// SetSlowdown makes loads take a multiple of their time.
func (s *Store) SetSlowdown(factor float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slowdown = factor
}

// Limits implements azurehitch.WeightStore.
func (s *Store) Limits(context.Context) (azurehitch.WeightStoreLimits, error) {
	return azurehitch.WeightStoreLimits{
		LoadsPerSecond:         s.options.LoadsPerSecond,
		ConcurrentLoads:        s.options.ConcurrentLoads,
		ConcurrentAdapterLoads: s.options.ConcurrentAdapters,
	}, nil
}

// Usage returns what the store has done for models and for adapters.
func (s *Store) Usage() (models, adapters Usage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.models.usage, s.adapters.usage
}

// Load returns when the checkpoint of an artifact has arrived. More loads at
// once than the limit make each proportionally slower.
func (s *Store) Load(ctx context.Context, artifact azurehitch.Artifact) error {
	if artifact.Adapter != "" {
		return s.transfer(ctx, &s.adapters)
	}
	if err := s.limiter.Wait(ctx); err != nil {
		return err
	}
	return s.transfer(ctx, &s.models)
}

func (s *Store) transfer(ctx context.Context, l *lane) error {
	duration := s.begin(l)
	defer s.end(l)
	return s.clock.Sleep(ctx, duration)
}

func (s *Store) begin(l *lane) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	l.usage.Loads++
	l.usage.InFlight++
	l.usage.PeakInFlight = max(l.usage.PeakInFlight, l.usage.InFlight)
	duration := float64(l.loadTime) * s.slowdown
	if l.fullSpeed > 0 && l.usage.InFlight > l.fullSpeed {
		duration *= float64(l.usage.InFlight) / float64(l.fullSpeed)
	}
	return time.Duration(duration)
}

func (s *Store) end(l *lane) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l.usage.InFlight--
}
