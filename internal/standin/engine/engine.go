// Package engine is a stand-in for a model engine.
//
// # Usage
//
//	e := engine.New(clock, store, engine.Options{Name: "engine-1", Memory: 80 << 30, ChecksToken: true})
//	err := e.Order(ctx, "", order)
//	journal := e.Journal()
//
// An Engine keeps the state and the journal; NewHandler serves it over HTTP. Tests
// check the journal: each load, how often each request was run, and the peak memory
// in use.
package engine

import (
	"context"
	"strconv"
	"sync"
	"time"

	"azurehitch"

	"github.com/pkg/errors"
)

// Loader loads checkpoints from the weight store.
type Loader interface {
	Load(ctx context.Context, artifact azurehitch.Artifact) error
}

// Options configure the simulated engine: what it can hold, how fast it loads and generates, and
// how it treats fencing tokens.
type Options struct {
	Name   string
	Memory azurehitch.ByteSize
	// ChecksToken makes the engine reject orders whose fencing token is lower than
	// the highest that it has seen for the pool.
	ChecksToken bool
	// KeepsToken makes the engine keep the highest token of each pool across restarts.
	KeepsToken bool
	// MemoryLoadTime and DiskLoadTime are the load times of a checkpoint that is cached in memory
	// or on disk. The load of an uncached checkpoint takes as long as the Loader.
	MemoryLoadTime time.Duration
	DiskLoadTime   time.Duration
	// TokenInterval is the time between generated tokens.
	TokenInterval time.Duration
	// Slots is the number of requests that run at once; 0 means no practical limit.
	Slots int
	// ReportLag is how long the engine keeps reporting the same number of active requests before it
	// counts them again, to simulate outdated reports.
	ReportLag time.Duration
	// Ledger records the loads and unloads of several engines; it may be nil.
	Ledger *Ledger
	// DiskCached are the checkpoints on the server's disk at the start.
	DiskCached []azurehitch.Artifact
}

// Journal records the loads and runs of an engine, and the orders with a stale fencing token: a
// token lower than the highest that the engine has seen for the pool.
type Journal struct {
	Loads []LoadEntry
	// StaleRefusals counts orders with a stale token that were rejected.
	StaleRefusals int
	// StaleAccepted counts orders with a stale token that were not rejected.
	StaleAccepted int
	// PeakMemory is the maximum of the memory in use.
	PeakMemory azurehitch.ByteSize
	// Runs counts how often each request was run, by request ID.
	Runs map[string]int
}

// LoadEntry is a load that the engine started at time At.
type LoadEntry struct {
	Artifact azurehitch.Artifact
	Token    int64
	At       time.Time
}

// Engine is a simulated model engine without a transport.
type Engine struct {
	clock   azurehitch.Clock
	loader  Loader
	options Options

	mu          sync.Mutex
	incarnation int
	leaving     bool
	// highestTokens holds the highest fencing token seen, by pool.
	highestTokens map[string]int64
	placements    map[azurehitch.Artifact]*placement
	// cached holds where the checkpoint of each artifact is cached.
	cached      map[azurehitch.Artifact]azurehitch.CacheTier
	journal     Journal
	slots       *slotQueue
	generations map[string]*Generation
	runs        map[*Run]bool
	reports     map[azurehitch.Artifact]loadReport
}

// loadReport is a reported number of active requests and the time it was taken at.
type loadReport struct {
	at     time.Time
	active int
}

type placement struct {
	azurehitch.Placement
	// ready is closed when the load has succeeded.
	ready chan struct{}
}

// New returns an engine with nothing loaded.
func New(clock azurehitch.Clock, loader Loader, options Options) *Engine {
	e := &Engine{
		clock:       clock,
		loader:      loader,
		options:     options,
		incarnation: int(clock.Now().UnixNano()),
		cached:      map[azurehitch.Artifact]azurehitch.CacheTier{},
		slots:       newSlotQueue(options.Slots),
		generations: map[string]*Generation{},
		runs:        map[*Run]bool{},
		reports:     map[azurehitch.Artifact]loadReport{},
	}
	for _, artifact := range options.DiskCached {
		e.cached[artifact] = azurehitch.CacheTierDisk
	}
	e.reset()
	e.journal.Runs = map[string]int{}
	return e
}

// Restart unloads everything and starts a new incarnation. The journal is kept, and
// checkpoints that were cached in memory remain on disk.
func (e *Engine) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.incarnation++
	e.reset()
	for artifact := range e.cached {
		e.cached[artifact] = azurehitch.CacheTierDisk
	}
}

func (e *Engine) reset() {
	for artifact, p := range e.placements {
		e.options.Ledger.recordUnload(e.options.Name, artifact, p.Memory, e.clock.Now())
	}
	if !e.options.KeepsToken || e.highestTokens == nil {
		e.highestTokens = map[string]int64{}
	}
	e.placements = map[azurehitch.Artifact]*placement{}
}

// SetLeaving sets whether the server announces that it is shutting down.
func (e *Engine) SetLeaving(leaving bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = leaving
}

// SetCached sets the cache tier of a checkpoint.
func (e *Engine) SetCached(artifact azurehitch.Artifact, tier azurehitch.CacheTier) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cached[artifact] = tier
}

// Incarnation returns the identifier of the current incarnation.
func (e *Engine) Incarnation() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return strconv.Itoa(e.incarnation)
}

// State returns the state that the engine reports.
func (e *Engine) State() azurehitch.EngineState {
	e.mu.Lock()
	defer e.mu.Unlock()
	state := azurehitch.EngineState{
		Name:        e.options.Name,
		Incarnation: strconv.Itoa(e.incarnation),
		Memory:      e.options.Memory,
		Leaving:     e.leaving,
		Cached:      map[azurehitch.Artifact]azurehitch.CacheTier{},
	}
	for artifact, p := range e.placements {
		reported := p.Placement
		reported.Active = e.reportedActive(artifact, p)
		state.Placements = append(state.Placements, reported)
	}
	for artifact, tier := range e.cached {
		state.Cached[artifact] = tier
	}
	return state
}

// reportedActive returns the number of active requests of a placement, at most
// ReportLag old.
func (e *Engine) reportedActive(artifact azurehitch.Artifact, p *placement) int {
	last, ok := e.reports[artifact]
	if now := e.clock.Now(); !ok || now.Sub(last.at) >= e.options.ReportLag {
		last = loadReport{at: now, active: p.Active}
		e.reports[artifact] = last
	}
	return last.active
}

// Journal returns a copy of the journal.
func (e *Engine) Journal() Journal {
	e.mu.Lock()
	defer e.mu.Unlock()
	journal := e.journal
	journal.Loads = append([]LoadEntry(nil), e.journal.Loads...)
	journal.Runs = map[string]int{}
	for id, n := range e.journal.Runs {
		journal.Runs[id] = n
	}
	return journal
}

// Order carries out an order and returns when it has finished. Unless incarnation
// is empty, a load fails if the engine has restarted since that incarnation.
func (e *Engine) Order(ctx context.Context, incarnation string, order azurehitch.EngineOrder) error {
	if err := e.checkToken(order); err != nil {
		return err
	}
	switch order.Kind {
	case azurehitch.OrderLoad:
		return e.load(ctx, incarnation, order)
	case azurehitch.OrderUnload:
		e.cancelBelow(order.Artifact, order.CancelBelow)
		return e.unload(ctx, order.Artifact)
	case azurehitch.OrderFence:
		return nil
	}
	return errors.Errorf("unknown order %q", order.Kind)
}

func (e *Engine) checkToken(order azurehitch.EngineOrder) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	highest := e.highestTokens[order.Pool]
	if order.Token >= highest {
		e.highestTokens[order.Pool] = order.Token
		return nil
	}
	if !e.options.ChecksToken {
		e.journal.StaleAccepted++
		return nil
	}
	e.journal.StaleRefusals++
	return e.fail(azurehitch.OrderFailureStaleToken, "token %d is older than %d", order.Token, highest)
}

func (e *Engine) fail(failure azurehitch.OrderFailure, format string, args ...any) error {
	return &azurehitch.ErrOrder{Failure: failure, Server: e.options.Name, Cause: errors.Errorf(format, args...)}
}

func (e *Engine) load(ctx context.Context, incarnation string, order azurehitch.EngineOrder) error {
	p, started, err := e.reserve(incarnation, order)
	if err != nil {
		return err
	}
	if !started {
		return e.awaitReady(ctx, p)
	}
	// As in a real engine, the load continues when the sender of the order disconnects.
	if err := e.loadCheckpoint(context.WithoutCancel(ctx), order.Artifact); err != nil {
		e.remove(order.Artifact, p)
		return e.fail(azurehitch.OrderFailureUnknown, "load: %v", err)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	p.State = azurehitch.PlacementReady
	e.cached[order.Artifact] = azurehitch.CacheTierMemory
	close(p.ready)
	return nil
}

// reserve adds a placement and its memory for a load. If the artifact has a placement
// already, reserve returns it with started=false.
func (e *Engine) reserve(incarnation string, order azurehitch.EngineOrder) (p *placement, started bool, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if incarnation != "" && incarnation != strconv.Itoa(e.incarnation) {
		return nil, false, e.fail(azurehitch.OrderFailureUnknown, "incarnation %s is gone", incarnation)
	}
	if existing, ok := e.placements[order.Artifact]; ok {
		return existing, false, nil
	}
	if e.leaving {
		return nil, false, e.fail(azurehitch.OrderFailureLeaving, "server is leaving")
	}
	p = &placement{
		Placement: azurehitch.Placement{Artifact: order.Artifact, State: azurehitch.PlacementLoading, Memory: order.Memory},
		ready:     make(chan struct{}),
	}
	e.placements[order.Artifact] = p
	e.options.Ledger.recordLoad(e.options.Name, order, e.clock.Now())
	e.journal.Loads = append(e.journal.Loads, LoadEntry{Artifact: order.Artifact, Token: order.Token, At: e.clock.Now()})
	e.journal.PeakMemory = max(e.journal.PeakMemory, e.memoryInUse())
	return p, true, nil
}

func (e *Engine) memoryInUse() azurehitch.ByteSize {
	var sum azurehitch.ByteSize
	for _, p := range e.placements {
		sum += p.Memory
	}
	return sum
}

func (e *Engine) awaitReady(ctx context.Context, p *placement) error {
	select {
	case <-p.ready:
		return nil
	case <-ctx.Done():
		return e.fail(azurehitch.OrderFailureUnknown, "%v", ctx.Err())
	}
}

func (e *Engine) loadCheckpoint(ctx context.Context, artifact azurehitch.Artifact) error {
	e.mu.Lock()
	tier, ok := e.cached[artifact]
	e.mu.Unlock()
	switch {
	case ok && tier == azurehitch.CacheTierMemory:
		return e.clock.Sleep(ctx, e.options.MemoryLoadTime)
	case ok && tier == azurehitch.CacheTierDisk:
		return e.clock.Sleep(ctx, e.options.DiskLoadTime)
	}
	return e.loader.Load(ctx, artifact)
}

func (e *Engine) remove(artifact azurehitch.Artifact, p *placement) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.placements[artifact] == p {
		e.options.Ledger.recordUnload(e.options.Name, artifact, p.Memory, e.clock.Now())
		delete(e.placements, artifact)
	}
}

const unloadPollInterval = 5 * time.Millisecond

// unload makes the engine reject new requests for the artifact at once, and frees its
// memory when the requests in progress have ended.
func (e *Engine) unload(ctx context.Context, artifact azurehitch.Artifact) error {
	for {
		if e.tryUnload(artifact) {
			return nil
		}
		if err := e.clock.Sleep(ctx, unloadPollInterval); err != nil {
			return e.fail(azurehitch.OrderFailureUnknown, "%v", err)
		}
	}
}

func (e *Engine) tryUnload(artifact azurehitch.Artifact) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	p, ok := e.placements[artifact]
	if !ok {
		return true
	}
	if p.State == azurehitch.PlacementLoading {
		return false
	}
	p.State = azurehitch.PlacementUnloading
	if p.Active > 0 {
		return false
	}
	e.options.Ledger.recordUnload(e.options.Name, artifact, p.Memory, e.clock.Now())
	delete(e.placements, artifact)
	return true
}
