package gateway

import (
	"fmt"
	"time"

	"azurehitch"
	"azurehitch/internal/forward/retrybudget"
	"azurehitch/internal/placement/swap"
	"azurehitch/internal/transport/connpool"
)

// Settings are the settings of one daemon.
type Settings struct {
	Name          string
	FailureDomain string
	// Callers, Ready, Peers and Metrics are the addresses on which the daemon listens: for
	// callers, for the balancer's readiness checks, for other daemons and for metrics.
	Callers string
	Ready   string
	Peers   string
	Metrics string
	// Store is the address of the platform's store.
	Store string
	// Memory is what the process may use.
	Memory azurehitch.ByteSize
	// Processor is the processor time of the host, in cores, and Bandwidth the rate of its
	// link in bits per second. 0 is unknown.
	Processor float64
	Bandwidth int64
	// MaxConnections bounds the connections of callers.
	MaxConnections int
	MaxBodyBytes   int
	MaxHeaderBytes int
	ReadTimeout    time.Duration
	IdleTimeout    time.Duration
	// Answers bounds what is read of the answers of backend servers.
	Answers connpool.Limits
	// HeldAnswer is up to which size an answer is held until it is whole, MaxAnswer up to which
	// one is passed on, and MaxEvent bounds an event of a stream.
	HeldAnswer azurehitch.ByteSize
	MaxAnswer  azurehitch.ByteSize
	MaxEvent   azurehitch.ByteSize
	// MaxStoreAnswer bounds an answer of the platform's store, and MaxPeerMessage a message of
	// another daemon.
	MaxStoreAnswer azurehitch.ByteSize
	MaxPeerMessage azurehitch.ByteSize
	// LeaseDuration is how long the holder of a service stays in office without a renewal.
	LeaseDuration time.Duration
	// TokensChecked is true when model engines refuse orders under an old token. Where they don't,
	// TurnSpan is the span within which two holders must not give orders by turns.
	TokensChecked bool
	TurnSpan      time.Duration
	// LogRetention is how long the log keeps records.
	LogRetention time.Duration
	// StopTimeout is how long a planned stop may take.
	StopTimeout time.Duration
	// RetryRatio, RetrySlack and RetryWindow bound the requests that all daemons together
	// send again.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
	LogLevel    string
	// VouchFrom is the number of daemons from which on the holder of a service vouches for the
	// streams that all follow. Fewer daemons make fewer calls by reading for themselves.
	VouchFrom int
	Swap      swap.Settings
}

// DefaultSettings returns the settings but for the names and addresses.
func DefaultSettings() Settings {
	return Settings{
		MaxConnections: 4096,
		MaxBodyBytes:   8 << 20,
		MaxHeaderBytes: 32 << 10,
		ReadTimeout:    10 * time.Second,
		IdleTimeout:    90 * time.Second,
		Answers:        connpool.DefaultLimits(),
		HeldAnswer:     256 << 10,
		MaxAnswer:      64 << 20,
		MaxEvent:       1 << 20,
		MaxStoreAnswer: 4 << 20,
		MaxPeerMessage: 1 << 20,
		LeaseDuration:  4500 * time.Millisecond,
		TokensChecked:  true,
		TurnSpan:       3300 * time.Millisecond,
		LogRetention:   20 * time.Second,
		StopTimeout:    8 * time.Second,
		RetryRatio:     0.1,
		RetrySlack:     10,
		RetryWindow:    10 * time.Second,
		LogLevel:       "info",
		VouchFrom:      24,
		Swap:           swap.DefaultSettings(),
	}
}

// answerMemoryDivisor is the part of the memory of a process that held answers may take.
const answerMemoryDivisor = 8

// WithMemory returns a copy for a process that may use some memory.
func (s Settings) WithMemory(memory azurehitch.ByteSize) Settings {
	s.Memory = memory
	if memory > 0 {
		s.Answers.Memory = memory / answerMemoryDivisor
	}
	return s
}

func (s Settings) retryLimits() retrybudget.Limits {
	return retrybudget.Limits{Ratio: s.RetryRatio, Slack: s.RetrySlack, Window: s.RetryWindow}
}

// needsRestart reports whether settings differ in what a running daemon can't change.
func (s Settings) needsRestart(running Settings) bool {
	return s.Name != running.Name || s.FailureDomain != running.FailureDomain || s.Callers != running.Callers ||
		s.Ready != running.Ready || s.Peers != running.Peers || s.Store != running.Store
}

// ErrSetting is a setting that is missing or not allowed.
type ErrSetting struct {
	// Field is the name of the field in the settings file.
	Field  string
	Reason string
}

// Error implements error.
func (e *ErrSetting) Error() string { return fmt.Sprintf("setting %s: %s", e.Field, e.Reason) }
