package engine

import (
	"slices"
	"sync"
	"time"

	"azurehitch"
)

// Ledger is a record of the loads and unloads of all engines of a test, by which the test checks
// limits across engines: the replicas of each model and the memory in use on each server. An engine
// records a change while it holds its own lock, so that the order of the changes is exact.
type Ledger struct {
	mu sync.Mutex
	// replicas is keyed by model, memory in use by server.
	replicas map[string]int
	memory   map[string]azurehitch.ByteSize
	// peakReplicas is the maximum number of replicas by model.
	peakReplicas map[string]int
	// peakMemory is the maximum memory in use by server.
	peakMemory map[string]azurehitch.ByteSize
	changes    []LedgerChange
}

// LedgerChange is the start of a load or the end of an unload.
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
		peakReplicas: map[string]int{}, peakMemory: map[string]azurehitch.ByteSize{},
	}
}

func (l *Ledger) recordLoad(server string, order azurehitch.EngineOrder, now time.Time) {
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
	l.peakReplicas[model] = max(l.peakReplicas[model], l.replicas[model])
	l.peakMemory[server] = max(l.peakMemory[server], l.memory[server])
	l.changes = append(l.changes, LedgerChange{
		At: now, Server: server, Artifact: order.Artifact, Token: order.Token,
		Replicas: l.replicas[model], Memory: l.memory[server],
	})
}

func (l *Ledger) recordUnload(server string, artifact azurehitch.Artifact, memory azurehitch.ByteSize, now time.Time) {
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

// PeakReplicas returns the maximum number of replicas of a model that were loaded at once.
func (l *Ledger) PeakReplicas(model string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.peakReplicas[model]
}

// Replicas returns the number of replicas of a model that are loaded.
func (l *Ledger) Replicas(model string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.replicas[model]
}

// PeakMemory returns the maximum memory that was in use on a server.
func (l *Ledger) PeakMemory(server string) azurehitch.ByteSize {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.peakMemory[server]
}

// Changes returns all changes, oldest first.
func (l *Ledger) Changes() []LedgerChange {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]LedgerChange(nil), l.changes...)
}

// Loads returns the loads among the changes.
func (l *Ledger) Loads() []LedgerChange {
	return slices.DeleteFunc(l.Changes(), func(c LedgerChange) bool { return c.Unload })
}
