// Package cmds builds the commands of azurehitch-standin.
package cmds

import (
	"context"
	"fmt"
	"io"
	"net"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"azurehitch"
	"azurehitch/internal/standin/engine"
	"azurehitch/internal/standin/fault"
	"azurehitch/internal/standin/hosts"
	"azurehitch/internal/standin/platformlog"
	"azurehitch/internal/standin/service"
	"azurehitch/internal/standin/weights"
	"azurehitch/internal/transport/jsonhttp"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
	"github.com/valyala/fasthttp"
)

const (
	maxBodyBytes      = 64 << 20
	headerBufferBytes = 64 << 10
)

// Run runs the command line and returns the exit code.
func Run(args []string, stderr io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	if err := newRoot().Run(ctx, args); err != nil {
		fmt.Fprintln(stderr, "azurehitch-standin:", err)
		return 1
	}
	return 0
}

func newRoot() *cli.Command {
	return &cli.Command{
		Name:  "azurehitch-standin",
		Usage: "stand-ins for the platform and for backend servers, for demos and tests",
		Commands: []*cli.Command{
			newLogCommand(), newHostsCommand(), newWeightsCommand(),
			newEngineCommand(), newServiceCommand(), newPortsCommand(),
		},
	}
}

func listenFlag() cli.Flag {
	return &cli.StringFlag{Name: "listen", Value: "127.0.0.1:0", Usage: "loopback `ADDRESS` to listen on"}
}

// serve prints the listen address as Listen=ADDRESS, and serves until the context ends.
func serve(ctx context.Context, cmd *cli.Command, faults *fault.Set, handler fasthttp.RequestHandler) error {
	listener, err := net.Listen("tcp", cmd.String("listen"))
	if err != nil {
		return errors.Wrapf(err, "--listen %s", cmd.String("listen"))
	}
	if _, err := fmt.Fprintf(cmd.Root().Writer, "Listen=%s\n", listener.Addr()); err != nil {
		return errors.Wrap(err, "print the listen address")
	}
	return jsonhttp.Serve(ctx, listener, &fasthttp.Server{
		Handler:            faults.Wrap(handler),
		Name:               "azurehitch-standin",
		MaxRequestBodySize: maxBodyBytes,
		ReadBufferSize:     headerBufferBytes,
		CloseOnShutdown:    true,
	})
}

func newLogCommand() *cli.Command {
	return &cli.Command{
		Name:  "log",
		Usage: "the append-only log",
		Flags: []cli.Flag{
			listenFlag(),
			&cli.IntFlag{Name: "retention", Usage: "`RECORDS` that a stream keeps; 0 keeps all"},
			&cli.FloatFlag{Name: "appends-per-second", Value: 500, Usage: "limit of all appends; 0 is unlimited"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			log := platformlog.New(platformlog.Options{
				Retention:        cmd.Int("retention"),
				AppendsPerSecond: cmd.Float("appends-per-second"),
			})
			return serve(ctx, cmd, fault.NewSet(), platformlog.NewHandler(log))
		},
	}
}

func newHostsCommand() *cli.Command {
	return &cli.Command{
		Name:  "hosts",
		Usage: "the list of hosts",
		Flags: []cli.Flag{
			listenFlag(),
			&cli.DurationFlag{Name: "lag", Value: time.Second, Usage: "how old the list is that callers see"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			list := hosts.New(azurehitch.SystemClock{}, cmd.Duration("lag"))
			return serve(ctx, cmd, fault.NewSet(), hosts.NewHandler(list))
		},
	}
}

func newWeightsCommand() *cli.Command {
	return &cli.Command{
		Name:  "weights",
		Usage: "the weight store",
		Flags: []cli.Flag{
			listenFlag(),
			&cli.FloatFlag{Name: "loads-per-second", Value: 7, Usage: "rate at which loads start"},
			&cli.IntFlag{Name: "concurrent-loads", Value: 4, Usage: "loads at full speed"},
			&cli.DurationFlag{Name: "load-time", Value: time.Second, Usage: "time of one load at full speed"},
			&cli.IntFlag{Name: "concurrent-adapters", Value: 30, Usage: "adapter loads at full speed"},
			&cli.DurationFlag{Name: "adapter-load-time", Value: 7 * time.Millisecond, Usage: "time of one adapter load at full speed"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			store := weights.New(azurehitch.SystemClock{}, weights.Options{
				LoadsPerSecond:     cmd.Float("loads-per-second"),
				ConcurrentLoads:    cmd.Int("concurrent-loads"),
				LoadTime:           cmd.Duration("load-time"),
				ConcurrentAdapters: cmd.Int("concurrent-adapters"),
				AdapterLoadTime:    cmd.Duration("adapter-load-time"),
			})
			return serve(ctx, cmd, fault.NewSet(), weights.NewHandler(store))
		},
	}
}

func newEngineCommand() *cli.Command {
	return &cli.Command{
		Name:  "engine",
		Usage: "a model engine",
		Flags: []cli.Flag{
			listenFlag(),
			&cli.StringFlag{Name: "name", Value: "engine", Usage: "`NAME` of the backend server"},
			&cli.StringFlag{Name: "weights", Required: true, Usage: "`ADDRESS` of the weight store"},
			&cli.IntFlag{Name: "memory-gib", Value: 80, Usage: "accelerator memory in GiB"},
			&cli.BoolFlag{Name: "ignore-token", Usage: "carry out orders with an old fencing token"},
			&cli.DurationFlag{Name: "memory-load-time", Value: 50 * time.Millisecond, Usage: "load time from memory"},
			&cli.DurationFlag{Name: "disk-load-time", Value: 300 * time.Millisecond, Usage: "load time from disk"},
			&cli.DurationFlag{Name: "token-interval", Value: 2 * time.Millisecond, Usage: "time between tokens"},
			&cli.DurationFlag{Name: "report-lag", Usage: "how old the reported load may be"},
			&cli.IntFlag{Name: "slots", Value: 64, Usage: "requests that run at once"},
		},
		Action: runEngine,
	}
}

func runEngine(ctx context.Context, cmd *cli.Command) error {
	name := cmd.String("name")
	e := engine.New(azurehitch.SystemClock{}, weights.NewClient(cmd.String("weights"), name), engine.Options{
		Name:           name,
		Memory:         azurehitch.ByteSize(cmd.Int("memory-gib")) * azurehitch.Gibibyte,
		ChecksToken:    !cmd.Bool("ignore-token"),
		MemoryLoadTime: cmd.Duration("memory-load-time"),
		DiskLoadTime:   cmd.Duration("disk-load-time"),
		TokenInterval:  cmd.Duration("token-interval"),
		Slots:          cmd.Int("slots"),
		ReportLag:      cmd.Duration("report-lag"),
	})
	faults := fault.NewSet()
	return serve(ctx, cmd, faults, engine.NewHandler(e, faults))
}

func newServiceCommand() *cli.Command {
	return &cli.Command{
		Name:  "service",
		Usage: "a plain service",
		Flags: []cli.Flag{
			listenFlag(),
			&cli.StringFlag{Name: "name", Value: "service", Usage: "`NAME` of the backend server"},
			&cli.DurationFlag{Name: "run-time", Usage: "how long each call takes"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			s := service.New(azurehitch.SystemClock{}, service.Options{Name: cmd.String("name"), RunTime: cmd.Duration("run-time")})
			return serve(ctx, cmd, fault.NewSet(), service.NewHandler(s))
		},
	}
}

// The range lies below the ephemeral ports of outgoing connections, so that none of them takes a
// port between the probe and its use.
const (
	firstPort = 20000
	lastPort  = 32000
)

func newPortsCommand() *cli.Command {
	return &cli.Command{
		Name:      "ports",
		Usage:     "print free loopback ports",
		ArgsUsage: "COUNT",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "from", Value: firstPort, Usage: "first `PORT` to try"},
		},
		Arguments: []cli.Argument{&cli.IntArg{Name: "count", Value: 1}},
		Action: func(_ context.Context, cmd *cli.Command) error {
			ports, err := freePorts(cmd.Int("from"), cmd.IntArg("count"))
			if err != nil {
				return err
			}
			_, err = fmt.Fprintln(cmd.Root().Writer, strings.Join(ports, " "))
			return err
		},
	}
}

// freePorts returns the first count free loopback ports, starting at from.
func freePorts(from, count int) ([]string, error) {
	var ports []string
	for port := from; port <= lastPort && len(ports) < count; port++ {
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		if err := listener.Close(); err != nil {
			return nil, errors.Wrap(err, "close probe")
		}
		ports = append(ports, fmt.Sprint(port))
	}
	if len(ports) < count {
		return nil, errors.Errorf("only %d of %d ports are free from %d to %d", len(ports), count, from, lastPort)
	}
	return ports, nil
}
