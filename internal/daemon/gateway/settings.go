package gateway

import (
	"fmt"
	"time"

	"azurehitch"
	"azurehitch/internal/forward/retrybudget"
	"azurehitch/internal/placement/swap"
	"azurehitch/internal/transport/connpool"
)

// Settings holds the settings of one daemon.
type Settings struct {
	Name          string
	FailureDomain string
	// Callers, Ready, Peers and Metrics are the listen addresses for callers, for readiness checks
	// of the load balancer, for other daemons and for metrics.
	Callers string
	Ready   string
	Peers   string
	Metrics string
	// Tunnels is the listen address for other daemons that do not reach the backend servers; empty listens for
	// none. MaxTunnels limits the connections to servers that are open for them.
	Tunnels    string
	MaxTunnels int
	// Store is the address of the platform's store.
	Store string
	// Memory is the memory limit of the process; 0 sets none.
	Memory azurehitch.ByteSize
	// Processor is the processor time of the host in cores, and Bandwidth the rate of its network
	// link in bits per second; 0 is unknown.
	Processor float64
	Bandwidth int64
	// MaxConnections limits the connections of callers.
	MaxConnections int
	MaxBodyBytes   int
	MaxHeaderBytes int
	ReadTimeout    time.Duration
	IdleTimeout    time.Duration
	// Answers limits the sizes of responses from backend servers.
	Answers connpool.Limits
	// MaxBufferedAnswer is the largest response that is buffered until it is complete, MaxAnswer
	// the largest that is forwarded, and MaxEvent the largest event of a stream.
	MaxBufferedAnswer azurehitch.ByteSize
	MaxAnswer         azurehitch.ByteSize
	MaxEvent          azurehitch.ByteSize
	// MaxStoreAnswer limits a response of the platform's store, and MaxPeerMessage a message from
	// another daemon.
	MaxStoreAnswer azurehitch.ByteSize
	MaxPeerMessage azurehitch.ByteSize
	// LeaseDuration is the time for which the lease of a service is valid without a renewal.
	LeaseDuration time.Duration
	// TokensChecked is true if model engines reject orders with an old fencing token. If it is false,
	// a daemon that has sent orders for a service and lost its lease to another daemon may claim the
	// lease again only ReclaimDelay after those orders, so that orders of two holders don't
	// alternate.
	TokensChecked bool
	ReclaimDelay  time.Duration
	// LogRetention is the time for which the log keeps records.
	LogRetention time.Duration
	// StopTimeout limits the duration of a planned stop.
	StopTimeout time.Duration
	// RetryRatio, RetrySlack and RetryWindow limit the retries of all daemons together.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// HedgeShare limits the hedged requests of each service, together with BackendService.HedgeShare.
	HedgeShare azurehitch.HedgeShare
	// MaxConfigurationAge is the age of the configuration from which on requests that need a key are refused; 0
	// serves them with the last known keys.
	MaxConfigurationAge time.Duration
	LogLevel            string
	// ConfirmFrom is the lowest number of daemons at which the holder of a service reports to the other
	// daemons how far it has read the streams that all daemons follow, so that the others read these
	// streams less often. With fewer daemons, it takes fewer calls if each daemon reads the streams
	// itself.
	ConfirmFrom int
	Swap        swap.Settings
}

// DefaultSettings returns the default settings. Names and addresses have no default.
func DefaultSettings() Settings {
	return Settings{
		MaxConnections:    4096,
		MaxTunnels:        1024,
		MaxBodyBytes:      8 << 20,
		MaxHeaderBytes:    32 << 10,
		ReadTimeout:       10 * time.Second,
		IdleTimeout:       90 * time.Second,
		Answers:           connpool.DefaultLimits(),
		MaxBufferedAnswer: 256 << 10,
		MaxAnswer:         64 << 20,
		MaxEvent:          1 << 20,
		MaxStoreAnswer:    4 << 20,
		MaxPeerMessage:    1 << 20,
		LeaseDuration:     4500 * time.Millisecond,
		TokensChecked:     true,
		ReclaimDelay:      3300 * time.Millisecond,
		LogRetention:      20 * time.Second,
		StopTimeout:       8 * time.Second,
		RetryRatio:        0.1,
		RetrySlack:        10,
		RetryWindow:       10 * time.Second,
		LogLevel:          "info",
		ConfirmFrom:       24,
		Swap:              swap.DefaultSettings(),
	}
}

const (
	// budgetMemoryRatio is the part of the process memory that the process holds for others. The garbage collector
	// lets memory reach memoryLimitRatio, which leaves room for garbage and for the state of the daemon. The memory
	// above it is for the program, and for bytes that connections have received and the process has not read yet.
	budgetMemoryRatio = 0.3
	// connectionMemoryRatio is the part for the connections of callers, each of which takes connectionBytes for its
	// buffers and its goroutine.
	connectionMemoryRatio = 0.25
	connectionBytes       = 48 << 10
)

// WithMemory returns a copy for a process with the given memory limit.
func (s Settings) WithMemory(memory azurehitch.ByteSize) Settings {
	s.Memory = memory
	if memory > 0 {
		s.Answers.Memory = azurehitch.ByteSize(float64(memory) * budgetMemoryRatio)
		s.MaxConnections = min(s.MaxConnections, int(float64(memory)*connectionMemoryRatio)/connectionBytes)
	}
	return s
}

const (
	// reservedDescriptors is for files and listeners.
	reservedDescriptors = 200
	// callerDescriptorRatio is the part of the other descriptors for the connections of callers. The rest is for
	// connections to servers, other daemons and the store: a request uses one of each kind at most, and idle
	// connections to servers are closed when others are needed.
	callerDescriptorRatio = 0.4
)

// WithMaxDescriptors returns a copy for a process that may have a number of descriptors open.
func (s Settings) WithMaxDescriptors(descriptors int) Settings {
	if descriptors > 0 {
		available := max(descriptors-reservedDescriptors, descriptors/4)
		s.MaxConnections = min(s.MaxConnections, int(float64(available)*callerDescriptorRatio))
		s.MaxTunnels = min(s.MaxTunnels, available/8)
	}
	return s
}

func (s Settings) retryLimits() retrybudget.Limits {
	return retrybudget.Limits{Ratio: s.RetryRatio, Slack: s.RetrySlack, Window: s.RetryWindow}
}

// needsRestart reports whether a setting differs that takes effect only at the next start.
func (s Settings) needsRestart(running Settings) bool {
	return s.Name != running.Name || s.FailureDomain != running.FailureDomain || s.Callers != running.Callers ||
		s.Ready != running.Ready || s.Peers != running.Peers || s.Tunnels != running.Tunnels || s.Store != running.Store
}

// ErrSetting reports a setting that is missing or not allowed.
type ErrSetting struct {
	// Field is the name of the field in the settings file.
	Field  string
	Reason string
}

// Error implements error.
func (e *ErrSetting) Error() string { return fmt.Sprintf("setting %s: %s", e.Field, e.Reason) }
