// Package settings defines, defaults and checks the settings of a daemon.
//
// # Usage
//
//	s := settings.Default()
//	s.Name = "daemon-1"
//	if err := s.Check(); err != nil { ... } // *settings.ErrSetting
package settings

import (
	"fmt"
	"net"
	"net/url"
	"time"

	"azurehitch/internal/telemetry/logging"
	"azurehitch/internal/telemetry/tracing"
)

// Settings holds the settings of one daemon. The comment of each field begins with the flag that
// sets it. Check rejects values outside the allowed range.
type Settings struct {
	// --name: the name of this host in the list of hosts. No other host has it.
	Name string
	// --failure-domain: the failure domain of this host.
	FailureDomain string
	// --listen: the address and port at which callers reach the daemon.
	Listen string
	// --peer-listen: the address and port at which other daemons reach this daemon.
	PeerListen string
	// --admin-listen: the address and port for operators and the load balancer's health check.
	AdminListen string
	// --admin-key-sha256: the hexadecimal SHA-256 digest of the operators' key. If it is empty,
	// AdminListen needs no key.
	AdminKeySHA256 string
	// --log-service: the address of the append-only log.
	LogService string
	// --host-list: the address of the list of hosts.
	HostList string
	// --weight-store: the address of the weight store.
	WeightStore string
	// --control-stream: the stream of the log that contains the configuration and the leases.
	ControlStream string
	// --call-stream: the stream of the log that contains the claims of idempotency keys.
	CallStream string
	// --default-timeout: the timeout of a request that sets none.
	DefaultTimeout time.Duration
	// --max-timeout: the longest timeout that a request may set.
	MaxTimeout time.Duration
	// --max-body-bytes: the size limit of a request body.
	MaxBodyBytes int
	// --max-header-bytes: the size limit of a request line with its header fields.
	MaxHeaderBytes int
	// --read-timeout: the time within which a whole request must have arrived.
	ReadTimeout time.Duration
	// --max-connections: the maximum number of connections of callers.
	MaxConnections int
	// --idempotency-window: how long a repeated call with an idempotency key gets the outcome of the
	// first one.
	IdempotencyWindow time.Duration
	// --snapshot-records: the number of records of ControlStream after which a snapshot of the state
	// is appended, so that the log may delete them.
	SnapshotRecords int
	// --snapshot-interval: the time after which a snapshot is appended even if fewer records than
	// SnapshotRecords were.
	SnapshotInterval time.Duration
	// --drain-delay: how long a daemon still accepts requests after a planned stop has begun, so that
	// the load balancer notices the stop.
	DrainDelay time.Duration
	// --drain-timeout: how long a planned stop waits for the requests in progress.
	DrainTimeout time.Duration
	// --trace-exporter: where spans are exported: none, stdout or otlp.
	TraceExporter string
	// --trace-endpoint: the URL of the OpenTelemetry collector, for the exporter otlp.
	TraceEndpoint string
	// --trace-sample-ratio: the ratio of recorded traces among those that start in this daemon, from 0
	// to 1.
	TraceSampleRatio float64
	// --log-level: the lowest level that is logged: debug, info, warn or error.
	LogLevel string
	// --log-layers: a comma-separated list of layers that log at debug level regardless of LogLevel.
	LogLayers string
}

// Default returns the default settings. Name and the addresses of the log service, the
// host list and the weight store have no default.
func Default() Settings {
	return Settings{
		FailureDomain:     "default",
		Listen:            "127.0.0.1:8080",
		PeerListen:        "127.0.0.1:8081",
		AdminListen:       "127.0.0.1:8082",
		ControlStream:     "control",
		CallStream:        "calls",
		DefaultTimeout:    time.Minute,
		MaxTimeout:        10 * time.Minute,
		MaxBodyBytes:      8 << 20,
		MaxHeaderBytes:    16 << 10,
		ReadTimeout:       10 * time.Second,
		MaxConnections:    10_000,
		IdempotencyWindow: 10 * time.Minute,
		SnapshotRecords:   1000,
		SnapshotInterval:  5 * time.Minute,
		DrainDelay:        time.Second,
		DrainTimeout:      2 * time.Minute,
		TraceExporter:     string(tracing.ExporterNone),
		TraceEndpoint:     "http://127.0.0.1:4318",
		TraceSampleRatio:  0.01,
		LogLevel:          "info",
	}
}

// ErrSetting reports a setting that is not allowed.
type ErrSetting struct {
	Flag    string
	Value   any
	Allowed string
}

// Error implements error.
func (e *ErrSetting) Error() string {
	return fmt.Sprintf("--%s: %v is not allowed: %s", e.Flag, e.Value, e.Allowed)
}

// Check returns an *ErrSetting for the first setting that is not allowed, or nil.
func (s Settings) Check() error {
	for _, check := range s.checks() {
		if !check.ok {
			return &ErrSetting{Flag: check.flag, Value: check.value, Allowed: check.allowed}
		}
	}
	return nil
}

// check is one setting and whether its value is allowed. The field allowed describes the allowed
// values.
type check struct {
	flag    string
	value   any
	ok      bool
	allowed string
}

func (s Settings) checks() []check {
	checks := []check{
		{"name", quoted(s.Name), s.Name != "", "a name that no other host has"},
		{"failure-domain", quoted(s.FailureDomain), s.FailureDomain != "", "the name of the host's failure domain"},
		checkAddress("listen", s.Listen),
		checkAddress("peer-listen", s.PeerListen),
		checkAddress("admin-listen", s.AdminListen),
		checkAddress("log-service", s.LogService),
		checkAddress("host-list", s.HostList),
		checkAddress("weight-store", s.WeightStore),
		{"control-stream", quoted(s.ControlStream), s.ControlStream != "" && s.ControlStream != s.CallStream, "a name other than --call-stream"},
		{"call-stream", quoted(s.CallStream), s.CallStream != "", "a name"},
		{"admin-key-sha256", quoted(s.AdminKeySHA256), isDigest(s.AdminKeySHA256), "empty or 64 hexadecimal digits"},
		checkRange("max-timeout", s.MaxTimeout, time.Second, 24*time.Hour),
		checkRange("default-timeout", s.DefaultTimeout, 10*time.Millisecond, s.MaxTimeout),
		checkRange("read-timeout", s.ReadTimeout, 100*time.Millisecond, 10*time.Minute),
		checkRange("idempotency-window", s.IdempotencyWindow, time.Second, 24*time.Hour),
		checkRange("snapshot-interval", s.SnapshotInterval, time.Second, 24*time.Hour),
		checkRange("drain-delay", s.DrainDelay, 0, time.Minute),
		checkRange("drain-timeout", s.DrainTimeout, 0, 24*time.Hour),
		checkCount("max-body-bytes", s.MaxBodyBytes, 1<<10, 256<<20),
		checkCount("max-header-bytes", s.MaxHeaderBytes, 1<<10, 1<<20),
		checkCount("max-connections", s.MaxConnections, 1, 1_000_000),
		checkCount("snapshot-records", s.SnapshotRecords, 10, 10_000_000),
		{"trace-sample-ratio", s.TraceSampleRatio, s.TraceSampleRatio >= 0 && s.TraceSampleRatio <= 1, "from 0 to 1"},
		{"trace-exporter", quoted(s.TraceExporter), isExporter(s.TraceExporter), "none, stdout or otlp"},
		checkURL("trace-endpoint", s.TraceEndpoint),
		{"log-level", quoted(s.LogLevel), isLevel(s.LogLevel), "debug, info, warn or error"},
	}
	_, err := logging.ParseLayers(s.LogLayers)
	return append(checks, check{"log-layers", quoted(s.LogLayers), err == nil, fmt.Sprintf("a comma-separated list of %v", logging.Layers())})
}

func quoted(text string) string { return fmt.Sprintf("%q", text) }

func checkAddress(flag, value string) check {
	host, port, err := net.SplitHostPort(value)
	ok := err == nil && net.ParseIP(host) != nil && port != ""
	return check{flag, quoted(value), ok, "an IP number and port such as 127.0.0.1:8080"}
}

func checkRange(flag string, value, minValue, maxValue time.Duration) check {
	return check{flag, value, value >= minValue && value <= maxValue, fmt.Sprintf("from %v to %v", minValue, maxValue)}
}

func checkCount(flag string, value, minValue, maxValue int) check {
	return check{flag, value, value >= minValue && value <= maxValue, fmt.Sprintf("from %d to %d", minValue, maxValue)}
}

func checkURL(flag, value string) check {
	parsed, err := url.Parse(value)
	return check{flag, quoted(value), err == nil && parsed.Host != "", "a URL such as http://127.0.0.1:4318"}
}

func isDigest(value string) bool {
	const hexDigits = 64
	if value == "" {
		return true
	}
	for _, digit := range value {
		if (digit < '0' || digit > '9') && (digit < 'a' || digit > 'f') {
			return false
		}
	}
	return len(value) == hexDigits
}

func isExporter(value string) bool {
	switch tracing.Exporter(value) {
	case tracing.ExporterNone, tracing.ExporterStdout, tracing.ExporterOTLP:
		return true
	}
	return false
}

func isLevel(value string) bool {
	switch value {
	case "debug", "info", "warn", "error":
		return true
	}
	return false
}
