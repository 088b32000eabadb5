package cmds

import (
	"context"
	"io"
	"strings"
	"time"

	"azurehitch"
	"azurehitch/internal/daemon/serve"
	"azurehitch/internal/daemon/settings"
	"azurehitch/internal/forward/httpengine"
	"azurehitch/internal/reference/httphosts"
	"azurehitch/internal/reference/httplog"
	"azurehitch/internal/reference/httpweights"
	"azurehitch/internal/telemetry/logging"
	"azurehitch/internal/telemetry/tracing"

	"github.com/urfave/cli/v3"
)

func newServeCommand() *cli.Command {
	s := settings.Default()
	return &cli.Command{
		Name:  "serve",
		Usage: "run the daemon",
		Flags: serveFlags(&s),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			return runServe(ctx, s, cmd.Root().ErrWriter)
		},
	}
}

func runServe(ctx context.Context, s settings.Settings, output io.Writer) error {
	if err := s.Check(); err != nil {
		return err
	}
	layers, err := logging.ParseLayers(s.LogLayers)
	if err != nil {
		return err
	}
	tracer, err := tracing.New(ctx, tracing.Options{
		Exporter:    tracing.Exporter(s.TraceExporter),
		Endpoint:    s.TraceEndpoint,
		SampleRatio: s.TraceSampleRatio,
		Daemon:      s.Name,
		Output:      output,
	})
	if err != nil {
		return err
	}
	daemon, err := serve.New(s, serve.Platform{
		Log:     httplog.NewClient(s.LogService, s.Name),
		Hosts:   httphosts.NewClient(s.HostList, s.Name),
		Weights: httpweights.NewClient(s.WeightStore, s.Name),
		Engines: httpengine.Dialer{Agent: s.Name},
		Clock:   azurehitch.SystemClock{},
		Logs:    logging.New(logging.Options{Output: output, Level: s.LogLevel, Debug: layers, Daemon: s.Name}),
		Tracer:  tracer,
	})
	if err != nil {
		return err
	}
	if err := daemon.Run(ctx); err != nil {
		return err
	}
	return tracer.Shutdown(context.WithoutCancel(ctx))
}

// flagSource returns the environment variable of a flag, such as AZUREHITCH_PEER_LISTEN for
// --peer-listen.
func flagSource(flag string) cli.ValueSourceChain {
	return env(strings.ToUpper(strings.ReplaceAll(flag, "-", "_")))
}

func stringFlag(destination *string, name, usage string) cli.Flag {
	return &cli.StringFlag{Name: name, Usage: usage, Value: *destination, Destination: destination, Sources: flagSource(name)}
}

func intFlag(destination *int, name, usage string) cli.Flag {
	return &cli.IntFlag{Name: name, Usage: usage, Value: *destination, Destination: destination, Sources: flagSource(name)}
}

func serveFlags(s *settings.Settings) []cli.Flag {
	return append([]cli.Flag{
		stringFlag(&s.Name, "name", "`NAME` of this host in the platform's list"),
		stringFlag(&s.FailureDomain, "failure-domain", "failure `DOMAIN` of this host"),
		stringFlag(&s.Listen, "listen", "`ADDRESS` for callers"),
		stringFlag(&s.PeerListen, "peer-listen", "`ADDRESS` for other daemons"),
		stringFlag(&s.AdminListen, "admin-listen", "`ADDRESS` for operators and the balancer's health check"),
		stringFlag(&s.AdminKeySHA256, "admin-key-sha256", "`DIGEST` of the operators' key; empty needs no key"),
		stringFlag(&s.LogService, "log-service", "`ADDRESS` of the append-only log"),
		stringFlag(&s.HostList, "host-list", "`ADDRESS` of the list of hosts"),
		stringFlag(&s.WeightStore, "weight-store", "`ADDRESS` of the weight store"),
		stringFlag(&s.ControlStream, "control-stream", "`STREAM` of configuration and leases"),
		stringFlag(&s.CallStream, "call-stream", "`STREAM` of claims of idempotency keys"),
		stringFlag(&s.TraceExporter, "trace-exporter", "where spans go: none, stdout or otlp"),
		stringFlag(&s.TraceEndpoint, "trace-endpoint", "`URL` of the OTLP collector"),
		&cli.FloatFlag{
			Name: "trace-sample-ratio", Usage: "part of the traces that start here which are recorded",
			Value: s.TraceSampleRatio, Destination: &s.TraceSampleRatio, Sources: flagSource("trace-sample-ratio"),
		},
		stringFlag(&s.LogLevel, "log-level", "lowest level of log lines: debug, info, warn or error"),
		stringFlag(&s.LogLayers, "log-layers", "comma-separated `LAYERS` that log at debug level"),
	}, limitFlags(s)...)
}

func limitFlags(s *settings.Settings) []cli.Flag {
	flags := []cli.Flag{
		intFlag(&s.MaxBodyBytes, "max-body-bytes", "bound of a request body"),
		intFlag(&s.MaxHeaderBytes, "max-header-bytes", "bound of a request line with its headers"),
		intFlag(&s.MaxConnections, "max-connections", "bound of the connections of callers"),
		intFlag(&s.SnapshotRecords, "snapshot-records", "records after which a snapshot is appended"),
	}
	for _, duration := range []struct {
		destination *time.Duration
		name        string
		usage       string
	}{
		{&s.DefaultTimeout, "default-timeout", "time of a request that names none"},
		{&s.MaxTimeout, "max-timeout", "longest time that a request may name"},
		{&s.ReadTimeout, "read-timeout", "time in which a request must have arrived whole"},
		{&s.IdempotencyWindow, "idempotency-window", "how long an idempotency key counts"},
		{&s.SnapshotInterval, "snapshot-interval", "time after which a snapshot is appended"},
		{&s.DrainDelay, "drain-delay", "how long a planned stop still accepts, so that the balancer notices"},
		{&s.DrainTimeout, "drain-timeout", "how long a planned stop waits for requests in progress"},
	} {
		flags = append(flags, &cli.DurationFlag{
			Name: duration.name, Usage: duration.usage, Value: *duration.destination, Destination: duration.destination, Sources: flagSource(duration.name),
		})
	}
	return flags
}
