// Package engine is a stand-in for a model engine.
//
// # Usage
//
//	e := engine.New(clock, store, engine.Options{Name: "engine-1", Memory: 80 << 30, ChecksToken: true})
//	err := e.Order(ctx, "", order)
//	journal := e.Journal()
//
// The type Engine keeps the state and the journal; NewHandler serves it over
// HTTP. The journal holds what tests check against: each load, each request that
// was run, and the peak of memory that was in use.
package engine

import (
	"context"
	"strconv"
	"sync"
	"time"

	"azurehitch"

	"github.com/pkg/errors"
)

// Loader brings checkpoints from the weight store.
type Loader interface {
	Load(ctx context.Context, artifact azurehitch.Artifact) error
}

// Options are the properties of the engine.
type Options struct {
	Name   string
	Memory azurehitch.ByteSize
	// ChecksToken makes the engine refuse orders with a token older than the
	// newest that it has seen for the pool.
	ChecksToken bool
	// KeepsToken makes it remember that token across restarts.
	KeepsToken bool
	// MemoryLoadTime and DiskLoadTime are the load times by cache tier.
	MemoryLoadTime time.Duration
	DiskLoadTime   time.Duration
	// TokenInterval is the time between generated tokens.
	TokenInterval time.Duration
	// Slots is the number of requests that run at once.
	Slots int
	// ReportLag is how old the reported load is.
	ReportLag time.Duration
	// Ledger records what is loaded across engines; it may be nil.
	Ledger *Ledger
	// DiskCached are checkpoints that lie on the server's disk from the start.
	DiskCached []azurehitch.Artifact
}

// Journal is what the engine did.
type Journal struct {
	Loads         []LoadEntry
	StaleRefusals int
	// StaleAccepted counts orders with an old token that were carried out.
	StaleAccepted int
	// PeakMemory is the most memory that was in use at once.
	PeakMemory azurehitch.ByteSize
	// Runs counts how often each request was run, by request identifier.
	Runs map[string]int
}

// LoadEntry is one load that was carried out.
type LoadEntry struct {
	Artifact azurehitch.Artifact
	Token    int64
	At       time.Time
}

// Engine is the engine without transport.
type Engine struct {
	clock   azurehitch.Clock
	loader  Loader
	options Options

	mu          sync.Mutex
	incarnation int
	leaving     bool
	highest     map[string]int64
	placements  map[azurehitch.Artifact]*placement
	cached      map[azurehitch.Artifact]azurehitch.CacheTier
	journal     Journal
	slots       *slotQueue
	generations map[string]*Generation
	runs        map[*Run]bool
	reports     map[azurehitch.Artifact]loadReport
}

type loadReport struct {
	at     time.Time
	active int
}

type placement struct {
	azurehitch.Placement
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

// Restart drops all that is loaded and starts a new incarnation. The journal stays.
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
		e.options.Ledger.unloaded(e.options.Name, artifact, p.Memory, e.clock.Now())
	}
	if !e.options.KeepsToken || e.highest == nil {
		e.highest = map[string]int64{}
	}
	e.placements = map[azurehitch.Artifact]*placement{}
}

// SetLeaving announces or takes back that the server leaves.
func (e *Engine) SetLeaving(leaving bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = leaving
}

// SetCached changes where a checkpoint lies.
func (e *Engine) SetCached(artifact azurehitch.Artifact, tier azurehitch.CacheTier) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cached[artifact] = tier
}

// Incarnation returns the identifier of the current start.
func (e *Engine) Incarnation() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return strconv.Itoa(e.incarnation)
}

// State returns what the engine reports.
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

// reportedActive returns the load of a placement as it was up to the lag ago.
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

// Order carries out an order and returns when that is done. With an incarnation
// named, it reaches only that one.
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
	highest := e.highest[order.Pool]
	if order.Token >= highest {
		e.highest[order.Pool] = order.Token
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
	// The transfer goes on when the orderer is gone, as it does in an engine.
	if err := e.bring(context.WithoutCancel(ctx), order.Artifact); err != nil {
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

// reserve books the memory of a load. A load of what is loaded changes nothing.
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
	e.options.Ledger.loaded(e.options.Name, order, e.clock.Now())
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

func (e *Engine) bring(ctx context.Context, artifact azurehitch.Artifact) error {
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
		e.options.Ledger.unloaded(e.options.Name, artifact, p.Memory, e.clock.Now())
		delete(e.placements, artifact)
	}
}

const unloadPoll = 5 * time.Millisecond

// unload refuses new requests at once and frees the memory when those in
// progress are done.
func (e *Engine) unload(ctx context.Context, artifact azurehitch.Artifact) error {
	for {
		if e.tryUnload(artifact) {
			return nil
		}
		if err := e.clock.Sleep(ctx, unloadPoll); err != nil {
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
	e.options.Ledger.unloaded(e.options.Name, artifact, p.Memory, e.clock.Now())
	delete(e.placements, artifact)
	return true
}
