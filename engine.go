package azurehitch

import (
	"context"
	"fmt"
)

// Artifact names what an engine loads: a version of a model, or an adapter on
// top of one.
type Artifact struct {
	Model   string
	Version string
	// Adapter is empty for the model itself.
	Adapter string
}

// WithoutAdapter returns the model that an adapter needs beneath it.
func (a Artifact) WithoutAdapter() Artifact {
	a.Adapter = ""
	return a
}

// String returns the name that callers use: model[:adapter]@version.
func (a Artifact) String() string {
	name := a.Model
	if a.Adapter != "" {
		name += ":" + a.Adapter
	}
	return name + "@" + a.Version
}

// PlacementState is the state of an artifact on a backend server.
type PlacementState string

// The states of placements.
const (
	// PlacementIntended is recorded on the log, and the order may still arrive.
	PlacementIntended  PlacementState = "Intended"
	PlacementLoading   PlacementState = "Loading"
	PlacementReady     PlacementState = "Ready"
	PlacementUnloading PlacementState = "Unloading"
)

// Placement is an artifact on a backend server.
type Placement struct {
	Artifact Artifact
	State    PlacementState
	// Memory is the accelerator memory that it occupies.
	Memory ByteSize
	// Active is the number of requests in progress on it.
	Active int
}

// EngineState is what a model engine reports about itself.
type EngineState struct {
	Name string
	// Incarnation differs for each start of the engine.
	Incarnation string
	// Memory is the accelerator memory of the server.
	Memory     ByteSize
	Leaving    bool
	Placements []Placement
	// Cached tells where checkpoints lie; models not named are remote.
	Cached map[Artifact]CacheTier
}

// OrderKind is what an order asks of an engine.
type OrderKind string

// The kinds of orders.
const (
	OrderLoad   OrderKind = "Load"
	OrderUnload OrderKind = "Unload"
	// OrderFence presents a fencing token and changes nothing else.
	OrderFence OrderKind = "Fence"
)

// EngineOrder is an order to a model engine.
type EngineOrder struct {
	Kind     OrderKind
	Pool     string
	Token    int64
	Artifact Artifact
	// Memory is the accelerator memory that a load needs.
	Memory ByteSize
	// CancelBelow makes an unload cancel the requests of a lower priority instead of
	// waiting for their end; 0 cancels none. A cancelled stream can be resumed.
	CancelBelow int `json:",omitempty"`
}

// The priorities of requests at the engines.
const (
	PriorityPaid  = 10
	PriorityTrial = 1
)

// EngineSession is a connection to one incarnation of an engine. It never
// connects anew: an order either reaches the incarnation that was dialed or
// fails, so an order held back by a paused process cannot reach a later
// incarnation of the engine.
type EngineSession interface {
	State(ctx context.Context) (EngineState, error)
	// Order returns when the order is carried out. An *ErrOrder tells whether it
	// may have taken effect. The order is sent at most once.
	Order(ctx context.Context, order EngineOrder) error
	Close() error
}

// EngineDialer opens sessions.
type EngineDialer interface {
	Dial(ctx context.Context, address string) (EngineSession, error)
}

// OrderFailure says why an engine did not carry out an order.
type OrderFailure string

// The reasons for failed orders.
const (
	OrderFailureStaleToken  OrderFailure = "StaleToken"
	OrderFailureOutOfMemory OrderFailure = "OutOfMemory"
	OrderFailureLeaving     OrderFailure = "Leaving"
	OrderFailureInvalid     OrderFailure = "Invalid"
	OrderFailureUnknown     OrderFailure = "Unknown"
)

// ErrOrder is a failed order.
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
