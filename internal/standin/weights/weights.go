// Package weights is a stand-in for the platform's rate-limited weight store.
//
// # Usage
//
//	store := weights.New(clock, weights.Options{LoadsPerSecond: 7, ConcurrentLoads: 4, LoadTime: time.Second})
//	err := store.Load(ctx, artifact) // returns when the checkpoint has been loaded
//
// NewHandler serves a store over HTTP: GET /v1/limits, POST /v1/loads with an artifact,
// GET /v1/usage and PUT /v1/slowdown with a factor.
package weights

import (
	"context"
	"sync"
	"time"

	"azurehitch"

	"golang.org/x/time/rate"
)

// Options set how many loads the store serves and how long they take. More concurrent loads than
// the limit are not rejected but slower in proportion.
type Options struct {
	// LoadsPerSecond limits the rate at which loads of models start.
	LoadsPerSecond float64
	// ConcurrentLoads is the number of concurrent model loads at full speed.
	ConcurrentLoads int
	// LoadTime is the duration of a model load at full speed.
	LoadTime time.Duration
	// AdapterLoadTime is the duration of an adapter load at full speed.
	AdapterLoadTime time.Duration
	// ConcurrentAdapters is the number of concurrent adapter loads at full speed.
	ConcurrentAdapters int
}

// Usage counts the loads of one kind of checkpoint.
type Usage struct {
	// Loads counts all loads that have started.
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
	models   loadClass
	adapters loadClass
	slowdown float64
}

// loadClass is the state of all loads of models, or of all loads of adapters. Each of the two has
// its own limit.
type loadClass struct {
	// fullSpeedLoads is the number of concurrent loads at full speed; 0 is unlimited.
	fullSpeedLoads int
	loadTime       time.Duration
	usage          Usage
}

// New returns a store.
func New(clock azurehitch.Clock, options Options) *Store {
	return &Store{
		clock:    clock,
		options:  options,
		limiter:  rate.NewLimiter(rate.Limit(options.LoadsPerSecond), 1),
		models:   loadClass{fullSpeedLoads: options.ConcurrentLoads, loadTime: options.LoadTime},
		adapters: loadClass{fullSpeedLoads: options.ConcurrentAdapters, loadTime: options.AdapterLoadTime},
		slowdown: 1,
	}
}

// SetSlowdown multiplies the duration of loads that start from now on.
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

// Usage returns the counts of the loads of models and of adapters.
func (s *Store) Usage() (models, adapters Usage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.models.usage, s.adapters.usage
}

// Load returns when the checkpoint of an artifact has been loaded. A load that starts
// while more loads than the limit are in flight is slower in proportion.
func (s *Store) Load(ctx context.Context, artifact azurehitch.Artifact) error {
	if artifact.Adapter != "" {
		return s.transfer(ctx, &s.adapters)
	}
	if err := s.limiter.Wait(ctx); err != nil {
		return err
	}
	return s.transfer(ctx, &s.models)
}

func (s *Store) transfer(ctx context.Context, l *loadClass) error {
	duration := s.begin(l)
	defer s.end(l)
	return s.clock.Sleep(ctx, duration)
}

// begin counts the start of a load and returns its duration.
func (s *Store) begin(l *loadClass) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	l.usage.Loads++
	l.usage.InFlight++
	l.usage.PeakInFlight = max(l.usage.PeakInFlight, l.usage.InFlight)
	duration := float64(l.loadTime) * s.slowdown
	if l.fullSpeedLoads > 0 && l.usage.InFlight > l.fullSpeedLoads {
		duration *= float64(l.usage.InFlight) / float64(l.fullSpeedLoads)
	}
	return time.Duration(duration)
}

func (s *Store) end(l *loadClass) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l.usage.InFlight--
}
