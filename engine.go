package azurehitch

import (
	"context"
	"fmt"
)

// Artifact identifies what an engine loads: a version of a model, or an adapter for that version.
type Artifact struct {
	Model   string
	Version string
	// Adapter is empty if the artifact is the model itself.
	Adapter string
}

// WithoutAdapter returns the model that the adapter belongs to.
func (a Artifact) WithoutAdapter() Artifact {
	a.Adapter = ""
	return a
}

// String returns the name in the form that callers use: model[:adapter]@version.
func (a Artifact) String() string {
	name := a.Model
	if a.Adapter != "" {
		name += ":" + a.Adapter
	}
	return name + "@" + a.Version
}

// PlacementState is the state of an artifact on a backend server.
type PlacementState string

// The states of a placement.
const (
	// PlacementIntended means that the log records the intent to load the artifact, and that the
	// engine may still receive the order.
	PlacementIntended  PlacementState = "Intended"
	PlacementLoading   PlacementState = "Loading"
	PlacementReady     PlacementState = "Ready"
	PlacementUnloading PlacementState = "Unloading"
)

// Placement is an artifact that a backend server has loaded, is loading or is unloading, or that an
// intent names.
type Placement struct {
	Artifact Artifact
	State    PlacementState
	// Memory is the accelerator memory that the artifact occupies.
	Memory ByteSize
	// Active is the number of requests to the artifact that are in progress.
	Active int
}

// EngineState is what a model engine reports about itself.
type EngineState struct {
	Name string
	// Incarnation is different after each start of the engine.
	Incarnation string
	// Memory is the total accelerator memory of the server.
	Memory ByteSize
	// Leaving is true while the engine is shutting down.
	Leaving    bool
	Placements []Placement
	// Cached maps each artifact to the tier that has its checkpoint. The checkpoints of absent
	// artifacts are only in the weight store.
	Cached map[Artifact]CacheTier
}

// OrderKind is the operation that an order requests from an engine.
type OrderKind string

// The kinds of orders.
const (
	OrderLoad   OrderKind = "Load"
	OrderUnload OrderKind = "Unload"
	// OrderFence presents the fencing token to the engine and has no other effect.
	OrderFence OrderKind = "Fence"
)

// EngineOrder is an order to a model engine.
type EngineOrder struct {
	Kind OrderKind
	Pool string
	// Token is the fencing token of the lease under which the order is sent.
	Token    int64
	Artifact Artifact
	// Memory is the accelerator memory that a load requires.
	Memory ByteSize
	// CancelBelow makes an unload cancel the requests whose priority is lower than this, instead of
	// waiting until they complete. 0 cancels none. A cancelled stream can be resumed.
	CancelBelow int `json:",omitempty"`
}

// The priorities of requests at an engine. A higher number takes precedence.
const (
	PriorityPaid  = 10
	PriorityTrial = 1
)

// EngineSession is a connection to one incarnation of an engine. It never reconnects: an order
// either reaches the incarnation that was dialed or fails, so an order that a paused process sends
// late cannot reach a later incarnation of the engine.
type EngineSession interface {
	State(ctx context.Context) (EngineState, error)
	// Order sends an order at most once and returns when the engine has carried it out. If it fails
	// with an *ErrOrder, MayHaveTakenEffect reports whether it may have been carried out.
	Order(ctx context.Context, order EngineOrder) error
	Close() error
}

// EngineDialer opens sessions to the engines at network addresses.
type EngineDialer interface {
	Dial(ctx context.Context, address string) (EngineSession, error)
}

// OrderFailure is the reason for which an order failed.
type OrderFailure string

// The reasons for which an order fails.
const (
	// OrderFailureStaleToken means that the engine has seen a higher fencing token.
	OrderFailureStaleToken  OrderFailure = "StaleToken"
	OrderFailureOutOfMemory OrderFailure = "OutOfMemory"
	// OrderFailureLeaving means that the engine is shutting down.
	OrderFailureLeaving OrderFailure = "Leaving"
	OrderFailureInvalid OrderFailure = "Invalid"
	// OrderFailureUnknown means that the order may have been carried out.
	OrderFailureUnknown OrderFailure = "Unknown"
)

// ErrOrder is the error of an order that failed.
type ErrOrder struct {
	Failure OrderFailure
	Server  string
	Cause   error
}

// Error implements error.
func (e *ErrOrder) Error() string {
	return fmt.Sprintf("order to %s failed (%s): %v", e.Server, e.Failure, e.Cause)
}

// Unwrap returns the cause.
func (e *ErrOrder) Unwrap() error { return e.Cause }

// MayHaveTakenEffect reports whether the order may have been carried out.
func (e *ErrOrder) MayHaveTakenEffect() bool { return e.Failure == OrderFailureUnknown }
