package engine

import (
	"slices"
	"sync"
	"time"

	"azurehitch"
)

// Ledger counts, across engines, what is loaded at each moment. Each change is
// recorded while the engine's own lock is held, so that its order is exact.
type Ledger struct {
	mu       sync.Mutex
	replicas map[string]int
	memory   map[string]azurehitch.ByteSize
	// peaks are the most replicas of a model at once.
	peaks map[string]int
	// memoryPeaks are the most memory of a server in use at once.
	memoryPeaks map[string]azurehitch.ByteSize
	changes     []LedgerChange
}

// LedgerChange is one load as it began, or one unload as it ended.
type LedgerChange struct {
	At       time.Time
	Unload   bool
	Server   string
	Artifact azurehitch.Artifact
	Token    int64
	// Replicas is the number of replicas of the model after the change.
	Replicas int
	// Memory is the memory of the server in use after the change.
	Memory azurehitch.ByteSize
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{
		replicas: map[string]int{}, memory: map[string]azurehitch.ByteSize{},
		peaks: map[string]int{}, memoryPeaks: map[string]azurehitch.ByteSize{},
	}
}

func (l *Ledger) loaded(server string, order azurehitch.EngineOrder, now time.Time) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	model := order.Artifact.Model
	if order.Artifact.Adapter == "" {
		l.replicas[model]++
	}
	l.memory[server] += order.Memory
	l.peaks[model] = max(l.peaks[model], l.replicas[model])
	l.memoryPeaks[server] = max(l.memoryPeaks[server], l.memory[server])
	l.changes = append(l.changes, LedgerChange{
		At: now, Server: server, Artifact: order.Artifact, Token: order.Token,
		Replicas: l.replicas[model], Memory: l.memory[server],
	})
}

func (l *Ledger) unloaded(server string, artifact azurehitch.Artifact, memory azurehitch.ByteSize, now time.Time) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if artifact.Adapter == "" {
		l.replicas[artifact.Model]--
	}
	l.memory[server] -= memory
	l.changes = append(l.changes, LedgerChange{
		At: now, Unload: true, Server: server, Artifact: artifact,
		Replicas: l.replicas[artifact.Model], Memory: l.memory[server],
	})
}

// PeakReplicas returns the most replicas of a model that were loaded at once.
func (l *Ledger) PeakReplicas(model string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.peaks[model]
}

// Replicas returns the number of replicas of a model that are loaded.
func (l *Ledger) Replicas(model string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.replicas[model]
}

// PeakMemory returns the most memory of a server that was in use at once.
func (l *Ledger) PeakMemory(server string) azurehitch.ByteSize {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.memoryPeaks[server]
}

// Changes returns all changes in their order.
func (l *Ledger) Changes() []LedgerChange {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]LedgerChange(nil), l.changes...)
}

// Loads returns the loads among the changes.
func (l *Ledger) Loads() []LedgerChange {
	return slices.DeleteFunc(l.Changes(), func(c LedgerChange) bool { return c.Unload })
}
