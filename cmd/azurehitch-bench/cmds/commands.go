// Package cmds builds the commands of azurehitch-bench. Each figure is printed on a line of its
// own as: Name Value Unit.
package cmds

import (
	"context"
	"fmt"
	"io"
	"time"

	"azurehitch/internal/bench/livepath"

	"github.com/urfave/cli/v3"
)

// Run runs the command line and returns the exit code.
func Run(args []string, stdout, stderr io.Writer) int {
	root := &cli.Command{
		Name:     "azurehitch-bench",
		Usage:    "measure azurehitch",
		Writer:   stdout,
		Commands: []*cli.Command{newPathCommand(), newTablesCommand(), newPublicationCommand(), newScaleCommand(), newPolicyCommand()},
	}
	if err := root.Run(context.Background(), args); err != nil {
		fmt.Fprintln(stderr, "azurehitch-bench:", err)
		return 1
	}
	return 0
}

func newPathCommand() *cli.Command {
	var target livepath.Target
	return &cli.Command{
		Name:  "path",
		Usage: "measure running processes: the added latency of a warm hop, streams, and the cost when idle",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "daemon", Required: true, Destination: &target.Daemon, Usage: "`ADDRESS` of a daemon for callers"},
			&cli.StringFlag{Name: "engine", Required: true, Destination: &target.Engine, Usage: "`ADDRESS` of the engine that has the model"},
			&cli.StringFlag{Name: "key", Required: true, Destination: &target.Key, Usage: "`KEY` of a caller"},
			&cli.StringFlag{Name: "model", Required: true, Destination: &target.Model, Usage: "`MODEL` that is loaded"},
			&cli.StringFlag{Name: "version", Required: true, Destination: &target.Version, Usage: "`VERSION` of the model"},
			&cli.IntFlag{Name: "process", Required: true, Destination: &target.PID, Usage: "process `ID` of the daemon"},
			&cli.IntFlag{Name: "requests", Value: 3000, Usage: "requests of each kind"},
			&cli.IntFlag{Name: "events", Value: 200_000, Usage: "events of the stream"},
			&cli.DurationFlag{Name: "idle", Value: 10 * time.Second, Usage: "how long to watch the idle daemon"},
		},
		Action: func(_ context.Context, cmd *cli.Command) error {
			return runPath(cmd, target)
		},
	}
}

func runPath(cmd *cli.Command, target livepath.Target) error {
	out := cmd.Root().Writer
	idle, err := livepath.MeasureIdle(target, cmd.Duration("idle"))
	if err != nil {
		return err
	}
	printFigure(out, "IdleCpuShare", 100*idle.CPUShare, "percent")
	printFigure(out, "IdleMemory", float64(idle.Memory)/(1<<20), "MiB")
	hop, err := livepath.MeasureHop(target, cmd.Int("requests"))
	if err != nil {
		return err
	}
	printFigure(out, "WarmDirectP50", microseconds(hop.Direct.P50), "us")
	printFigure(out, "WarmDirectP99", microseconds(hop.Direct.P99), "us")
	printFigure(out, "WarmHopAddedP50", microseconds(hop.Daemon.P50-hop.Direct.P50), "us")
	printFigure(out, "WarmHopAddedP99", microseconds(hop.Daemon.P99-hop.Direct.P99), "us")
	stream, err := livepath.MeasureStream(target, cmd.Int("events"))
	if err != nil {
		return err
	}
	printFigure(out, "StreamEventsPerSecond", stream.PerSecond, "1/s")
	printFigure(out, "StreamEventsPerSecondPerCore", stream.PerSecondPerCore, "1/s")
	return nil
}

func microseconds(d time.Duration) float64 { return float64(d) / float64(time.Microsecond) }

func printFigure(out io.Writer, name string, value float64, unit string) {
	fmt.Fprintf(out, "%s %.4g %s\n", name, value, unit)
}
