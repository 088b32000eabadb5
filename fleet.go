package azurehitch

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// FleetServer is a backend server as the platform lists it, from the entry that the server itself
// writes. The list lags behind the server's actual state.
type FleetServer struct {
	ServerIdentity
	Service       string
	FailureDomain string
	// Slots is the number of requests that the server runs at once.
	Slots int
	// SoftwareVersion is the version of the server's software; empty means unknown. Versions have no
	// order. What two versions write does not fit together in one stream.
	SoftwareVersion string
	// ShuttingDown is true while the server is shutting down.
	ShuttingDown bool
	// Missing is true while the server has no entry in the list and may have been removed, although
	// other servers of its service are listed.
	Missing bool
	// RemainingTime is how long a server that is shutting down still runs; 0 means unknown.
	RemainingTime time.Duration
	// Orders is the number of orders that the server has accepted.
	Orders int64
	Loaded []LoadedModel
	Cached CachedModels
}

// VersionBound restricts a request to the servers of one software version: a stream goes on only where
// it began. The zero value allows all servers.
type VersionBound struct {
	IsSet bool
	// Version is a FleetServer.SoftwareVersion. If it is empty, only servers of unknown version are
	// allowed.
	Version string
}

// Allows reports whether a server of a software version may get the request.
func (b VersionBound) Allows(version string) bool { return !b.IsSet || version == b.Version }

// ServerIdentity identifies one start of a backend server.
type ServerIdentity struct {
	ID      string
	Address string
	// Incarnation is different after each start of the server with the ID.
	Incarnation int64
}

// ServerNotice is the state that a backend server announces in the header of any of its responses.
type ServerNotice struct {
	// ShuttingDown is true if the server is shutting down and accepts no new requests.
	ShuttingDown bool
	// Backoff is how long the server asks this daemon to send it no requests; 0 means none. It comes
	// from the server and may be absurdly long.
	Backoff time.Duration
	// RateLimit is the number of requests per second that the server accepts from all daemons
	// together; 0 means that it names no limit.
	RateLimit float64
	// Brittle is true if the server falls over once it has to reject more than MaxRejections requests from
	// all daemons together within a second for lack of capacity.
	Brittle       bool
	MaxRejections int
}

// ServerBackoff is a backoff that a server has requested from a daemon. The daemon sends the server
// no requests during the backoff, and only a few during the slow start after it.
type ServerBackoff struct {
	Server ServerIdentity
	// Remaining is the time until the backoff ends; 0 during the slow start after it.
	Remaining time.Duration
}

// ServerRateLimit is what a daemon knows of the rate limit of a server. Daemons exchange it.
type ServerRateLimit struct {
	Server ServerIdentity
	// PerSecond is the limit in requests per second; 0 means that it has ended.
	PerSecond float64
	// Age is the time since a server's response last confirmed this.
	Age time.Duration
}

// LoadedModel is a model that a server has loaded, with the adapters loaded for it.
type LoadedModel struct {
	Name     string
	Version  int64
	Adapters []string
}

// CachedModels lists the models whose checkpoints a server has cached.
type CachedModels struct {
	InMemory []string
	OnDisk   []string
}

// ServerReport is the report of a model engine on its state and load. It lags by a few hundred
// milliseconds.
type ServerReport struct {
	// Incarnation is 0 if the report does not contain it.
	Incarnation int64
	// Orders is the number of orders that the server has accepted.
	Orders int64
	// Busy is true while the server carries out an order or has one pending.
	Busy bool
	// Active and Queued are the numbers of requests that run and that wait at the server.
	Active int
	Queued int
	Loaded []LoadedModel
	Cached CachedModels
	Notice ServerNotice
}

// SwapOrder loads or unloads a model, or an adapter of a loaded model.
type SwapOrder struct {
	Kind  OrderKind
	Model string
	// Adapter is empty if the order is for the model itself.
	Adapter string
	// AfterOrders is the precondition of the order: the server rejects it unless this is the number
	// of orders that it has accepted so far.
	AfterOrders int64
	// Holder and Token identify the lease under which the order is sent.
	Holder string
	Token  int64
}

// OrderAnswer is a server's answer to an order, or the reason why the server gave no answer.
type OrderAnswer string

// The answers to orders, with the values that logs show.
const (
	OrderAccepted OrderAnswer = "Accepted"
	// OrderNoChange means that the server was already in the state that the order requests.
	OrderNoChange OrderAnswer = "Holds"
	// OrderConflict means that the server is carrying out another order, or that its number of
	// accepted orders is not AfterOrders.
	OrderConflict OrderAnswer = "Conflict"
	// OrderStale means that the server has seen a higher token.
	OrderStale OrderAnswer = "Stale"
	// OrderMisdirected means that another server has the address now.
	OrderMisdirected OrderAnswer = "Misdirected"
	OrderInvalid     OrderAnswer = "Invalid"
	// OrderNotRun means that the order was not sent, or that the server rejected it for lack of
	// capacity.
	OrderNotRun OrderAnswer = "NotRun"
	// OrderOutcomeUnknown means that the order may have been carried out or may still be.
	OrderOutcomeUnknown OrderAnswer = "Unanswered"
)

// OrderResult is the answer to an order and the notice that came with it.
type OrderResult struct {
	Answer OrderAnswer
	Notice ServerNotice
}

// ErrOtherServer reports that a server has rejected a call because it isn't the one that was called.
var ErrOtherServer = errors.New("another server has the address")

// EngineControl reads the reports of model engines and sends them orders.
type EngineControl interface {
	// Report reads the report of a server. The notice is valid even if the error is not nil. The error
	// wraps ErrOtherServer if another server has the address now.
	Report(ctx context.Context, server ServerIdentity) (ServerReport, error)
	// Order sends an order once. It calls mayOrder right before it would send the first byte, and
	// sends nothing if mayOrder returns false. The error is the reason for a missing answer; the
	// notice is valid even if the error is not nil.
	Order(ctx context.Context, server ServerIdentity, order SwapOrder, mayOrder func() bool) (OrderResult, error)
}

// KeyedRecord is the newest record of a key.
type KeyedRecord struct {
	Key string
	// Value is empty if the key was deleted.
	Value []byte
}

// KeyedBatch is the result of a read of a keyed stream.
type KeyedBatch struct {
	// Next is the offset at which the next read continues.
	Next    int64
	Records []KeyedRecord
	// Era is the era of the log that the offsets belong to. It is a higher one after the log has lost records
	// that it had acknowledged: offsets are then given out again. 0 means that the log has not named it.
	Era int64
	// Gap is true if records before Next were deleted before they were read. The reader then has to
	// list the newest record of each key.
	Gap bool
}

// KeyedLog is a compacted log: it always keeps the newest record of each key.
type KeyedLog interface {
	// Newest lists the newest record of each key. The list may lack records at or after
	// KeyedBatch.Next.
	Newest(ctx context.Context, stream string) (KeyedBatch, error)
	// Changes returns the records at or after the offset from. If there are none, it waits up to the
	// duration wait for the next one.
	Changes(ctx context.Context, stream string, from int64, wait time.Duration) (KeyedBatch, error)
	// Put writes a record. If the response is lost, Put returns an error although the record may
	// have been written.
	Put(ctx context.Context, stream string, record KeyedRecord) error
}

// FleetDecoder decodes the entries of backend servers in a keyed stream.
type FleetDecoder interface {
	// Stream returns the name of the stream, whose keys are the IDs of the servers.
	Stream() string
	// Decode decodes the entry of the server with an ID.
	Decode(id string, value []byte) (FleetServer, error)
}
